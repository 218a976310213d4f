package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

// brokenResponse is what faulty servers send instead of a response.
type brokenResponse struct {
	name  string
	bytes string // with the request id as %s
	reset bool   // the connection is reset afterwards, otherwise closed
	body  int    // bytes of the requests
}

const brokenHead = "X-Request-Id: %s\r\nX-Response-Signature: s\r\n"

var brokenResponses = []brokenResponse{
	{"cut by a reset while the request is sent", "HTTP/1.1 200 OK\r\n" + brokenHead + "\r\nid: 1\ndata: a\n\n", true, 4 << 20},
	{"status 000", "HTTP/1.1 000 OK\r\n" + brokenHead + "Content-Length: 4\r\n\r\nbody", false, 0},
	{"blank in a name", "HTTP/1.1 200 OK\r\n" + brokenHead + "X Odd: 4\r\nContent-Length: 4\r\n\r\nbody", false, 0},
	{"blank after a name", "HTTP/1.1 200 OK\r\n" + brokenHead + "Content-Length : 4\r\n\r\nbodyrest", false, 0},
	{"blank before a name", "HTTP/1.1 200 OK\r\n" + brokenHead + " Content-Length: 4\r\n\r\nbodyrest", false, 0},
	{"control byte in a name", "HTTP/1.1 200 OK\r\n" + brokenHead + "X-\x01Odd: 4\r\nContent-Length: 4\r\n\r\nbody", false, 0},
	{"line feed before a name", "HTTP/1.1 200 OK\r\n" + brokenHead + "\nContent-Length: 4\r\n\r\nbody", false, 0},
}

// breaker makes the servers of a deployment send broken responses. It is safe for concurrent
// use.
type breaker struct {
	mu       sync.Mutex
	response *brokenResponse
	most     int            // broken responses to a request
	attempts map[string]int // by request id
}

// set sets the broken response from now on, and how many a request gets at most.
func (b *breaker) set(r *brokenResponse, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.response, b.most, b.attempts = r, most, make(map[string]int)
}

// attempt counts an attempt at a request and returns the broken response to it; nil: none.
func (b *breaker) attempt(id string) *brokenResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[id]++
	if b.attempts[id] > b.most {
		return nil
	}
	return b.response
}

// count returns the number of attempts at a request.
func (b *breaker) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts[id]
}

// intercept implements platform.Server.Intercept.
func (b *breaker) intercept(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	broken := b.attempt(id)
	if broken == nil {
		return false
	}
	if !broken.reset {
		_, _ = io.Copy(io.Discard, r.Body) // unread data would reset the connection
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	_, _ = fmt.Fprintf(c, broken.bytes, id) // the caller may have disconnected
	if broken.reset {
		time.Sleep(10 * time.Millisecond) // lets the response arrive
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
	return true
}

// startBroken starts a deployment whose servers send broken responses once they are set. It
// has routes for safe requests and for those that run at most once.
func startBroken(t *testing.T) (*deployment, *breaker) {
	t.Helper()
	d := newDeployment(t, 1)
	d.store.MaxBodyBytes = 8 << 20
	d.configure(2,
		platform.Route{Name: "safe", PathPrefix: "/safe/", Kind: "safe", Service: "plain", TimeoutMillis: 10000, LatencyTargetMillis: 10000, Attempts: 3},
		platform.Route{Name: "once", PathPrefix: "/once/", Kind: "unsafe", Service: "plain", TimeoutMillis: 10000, LatencyTargetMillis: 10000, Attempts: 3})
	d.awaitConfig(2)
	b := &breaker{}
	b.set(nil, 0)
	for _, s := range append(d.plain, d.models...) {
		s.Intercept = b.intercept
	}
	return d, b
}

// exchange sends a request and returns the response as its client gets it. The error is that of
// a response that was aborted.
func (d *deployment) exchange(path, id string, body []byte) (int, string, error) {
	d.t.Helper()
	r, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+d.daemons[0].settings.CallerAddress+path, bytes.NewReader(body))
	assert.NilError(d.t, err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "10000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Clients get no broken response of a server, neither as a success nor as the server's own
// failure.
func TestBrokenResponsesAreNotPassedOn(t *testing.T) {
	d, b := startBroken(t)
	defer d.stopAll()
	for _, broken := range brokenResponses {
		for kind, path := range map[string]string{"safe": "/safe/", "once": "/once/", "stream": streamPath} {
			b.set(&broken, 3)
			reached := 0
			for n := range 3 {
				id := fmt.Sprintf("%s, %s, %d", broken.name, kind, n)
				status, body, err := d.exchange(path+id[:3], id, append([]byte(id), make([]byte, broken.body)...))
				aborted := err != nil && kind == "stream" // after its head was passed on
				assert.Check(t, aborted || status >= http.StatusInternalServerError, "%s: status %d, body %q, %v", id, status, body, err)
				reached += b.count(id)
			}
			assert.Check(t, reached > 0, "no request of %s, %s reached a server", broken.name, kind)
		}
	}
}

// A request whose response was broken may have run: it runs again only if it is safe.
func TestOnlySafeRequestsAreRepeatedAfterBrokenResponse(t *testing.T) {
	d, b := startBroken(t)
	defer d.stopAll()
	for _, broken := range brokenResponses {
		b.set(&broken, 1)
		content := append([]byte(broken.name), make([]byte, broken.body)...)
		status, body, err := d.exchange("/safe/x", "safe", content)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, broken.name)
		assert.Assert(t, body == "POST /safe/x "+string(content), "%s: %d bytes", broken.name, len(body))
		assert.Equal(t, b.count("safe"), 2, broken.name)

		status, _, err = d.exchange("/once/x", "once", content)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway, broken.name)
		assert.Equal(t, b.count("once"), 1, broken.name)
	}
}
