package stricthttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

const nameHeader = "X-Name"

// echoServer names the request in each response and counts its connections.
type echoServer struct {
	*httptest.Server
	connections atomic.Int64
}

func startEcho(t *testing.T, named bool) *echoServer {
	t.Helper()
	s := &echoServer{Server: httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if named {
			w.Header().Set(nameHeader, r.Header.Get(nameHeader))
		}
		_, _ = io.Copy(w, r.Body)
	}))}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func newAttributed(t *testing.T) *Attributed {
	t.Helper()
	c := NewAttributed(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, nameHeader)
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func open(t *testing.T, c *Attributed, url, name string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body"))
	assert.NilError(t, err)
	if name != "" {
		r.Header.Set(nameHeader, name)
	}
	resp, err := c.RoundTrip(r)
	assert.NilError(t, err)
	return resp
}

func send(t *testing.T, c *Attributed, url, name string) {
	t.Helper()
	resp := open(t, c, url, name)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "body")
	assert.NilError(t, resp.Body.Close())
}

// Attributing responses must not cost a connection for each request.
func TestRequestsShareAConnection(t *testing.T) {
	s, c := startEcho(t, true), newAttributed(t)
	for n := range 1000 {
		send(t, c, s.URL, fmt.Sprint(n))
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// A repeat takes an open connection that has not carried its name, and costs a new one only if
// there is none.
func TestRepeatTakesAnotherOpenConnection(t *testing.T) {
	s, c := startEcho(t, true), newAttributed(t)
	first, second := open(t, c, s.URL, "a"), open(t, c, s.URL, "b")
	for _, resp := range []*http.Response{first, second} {
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, s.connections.Load(), int64(2))
	send(t, c, s.URL, "a")
	send(t, c, s.URL, "b")
	assert.Equal(t, s.connections.Load(), int64(2))
	send(t, c, s.URL, "a")
	assert.Equal(t, s.connections.Load(), int64(3))
}

func TestConnectionIsClosedAfterUnnamedResponse(t *testing.T) {
	s, c := startEcho(t, false), newAttributed(t)
	for n := range 3 {
		send(t, c, s.URL, fmt.Sprint(n))
	}
	assert.Equal(t, s.connections.Load(), int64(3))
}

// A body that is not read to its end leaves its connection in an unknown state.
func TestConnectionOfAbandonedResponseIsNotUsedAgain(t *testing.T) {
	s, c := startEcho(t, true), newAttributed(t)
	assert.NilError(t, open(t, c, s.URL, "a").Body.Close())
	send(t, c, s.URL, "b")
	assert.Equal(t, s.connections.Load(), int64(2))
}

func TestIdleConnectionsAreBoundedAndClosed(t *testing.T) {
	s, c := startEcho(t, true), newAttributed(t)
	var open5 []*http.Response
	for n := range 5 {
		open5 = append(open5, open(t, c, s.URL, fmt.Sprint(n)))
	}
	for _, resp := range open5 {
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(c.idle[strings.TrimPrefix(s.URL, "http://")]), http.DefaultMaxIdleConnsPerHost)
	c.CloseIdleConnections()
	send(t, c, s.URL, "again")
	assert.Equal(t, s.connections.Load(), int64(6))
}
