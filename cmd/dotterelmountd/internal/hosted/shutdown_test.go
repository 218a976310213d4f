package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// openRequest sends the head of a request and half of its body. finish sends the rest and
// returns the response.
func (d *deployment) openRequest(n *Node, id string, deadline time.Duration) (finish func() (*http.Response, error)) {
	d.t.Helper()
	c, err := net.Dial("tcp", n.settings.CallerAddress)
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n.", memberPath, host, id, deadline.Milliseconds())
	assert.NilError(d.t, err)
	return func() (*http.Response, error) {
		if _, err := io.WriteString(c, "."); err != nil {
			return nil, err
		}
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
}

// stopInBackground starts to stop a daemon. The returned channel is closed when its process
// would exit.
func (d *deployment) stopInBackground(n *Node) <-chan struct{} {
	stopped := make(chan struct{})
	time.AfterFunc(0, func() {
		defer close(stopped)
		_ = n.Shutdown(context.Background()) // requests in progress may outlast it
	})
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if n.ready() {
			return poll.Continue("ready")
		}
		return poll.Success()
	})
	return stopped
}

// Guards against requests that a stopping daemon takes late and cuts off without a response.
func TestLateRequestOfStoppingDaemonIsRefusedOrAnswered(t *testing.T) {
	d := newDeployment(t, 1)
	n := d.daemons[0]
	n.settings.ShutdownTimeout = lingerTime + stopMargin + responseMargin + time.Second
	d.configureSlowMembers(2)
	var runs atomic.Int32
	hang := make(chan struct{})
	defer close(hang)
	for _, p := range d.plain {
		p.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			runs.Add(1)
			if r.Header.Get("X-Request-Id") == "hangs" {
				select {
				case <-hang:
				case <-r.Context().Done():
				}
			}
			return false
		}
	}
	hanging := d.openRequest(n, "hangs", 9*time.Second)
	late, lateShort := d.openRequest(n, "late", 9*time.Second), d.openRequest(n, "short", 700*time.Millisecond)
	<-time.After(50 * time.Millisecond)
	stopped := d.stopInBackground(n)
	ended := make(chan error, 1)
	time.AfterFunc(0, func() {
		resp, err := hanging()
		if err == nil && resp.StatusCode != http.StatusGatewayTimeout {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		ended <- err
	})
	<-time.After(lingerTime + 100*time.Millisecond)
	before := runs.Load()
	resp, err := late()
	assert.NilError(t, err, "the connection was closed without a response")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, runs.Load(), before, "a refused request has run")
	resp, err = lateShort()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout, "its deadline had passed while it was read")
	<-stopped
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(responseMargin):
		t.Fatal("a request in progress is cut off without a response")
	}
}
