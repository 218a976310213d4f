package stricthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeConn is a connection whose peer sends a response, once the first part of the request was
// written, and then closes or resets the connection. Reads see the end of the stream in both
// cases, as they do after a reset that a write was told of.
type fakeConn struct {
	net.Conn
	response  io.Reader
	readable  chan struct{}             // closed after the first write
	ended     chan struct{}             // closed when the peer is gone
	laterPart func([]byte) (int, error) // writes what follows the first part of the request
	writes    int
	closed    chan struct{}
	closing   sync.Once
}

func (c *fakeConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return c.laterPart(p)
	}
	close(c.readable)
	return len(p), nil
}

func (c *fakeConn) Read(p []byte) (int, error) {
	<-c.readable
	if n, err := c.response.Read(p); err == nil {
		return n, nil
	}
	<-c.ended
	return 0, io.EOF
}

func (c *fakeConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return nil
}

// Whatever becomes of the writes, a response that ends with its connection is complete only if
// the connection took the whole request.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const (
		part = "part"    // of the response
		last = byte('z') // of the request
	)
	ok := func(p []byte) (int, error) { return len(p), nil }
	reset := func([]byte) (int, error) { return 0, syscall.ECONNRESET }
	for name, c := range map[string]struct {
		head       string
		laterPart  func([]byte) (int, error) // nil: does not return while the connection is open
		incomplete bool
	}{
		"request taken":            {"", ok, false},
		"reset during the request": {"", reset, true},
		"write in progress":        {"", nil, true},
		"length, reset":            {"Content-Length: 4\r\n", reset, false},
		"length, in progress":      {"Content-Length: 4\r\n", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			writable := make(chan struct{}) // closed when later parts may be written
			decided := make(chan struct{})  // closed when the last byte was taken, or a write fails
			f := &fakeConn{
				response: strings.NewReader("HTTP/1.1 200 OK\r\n" + c.head + "\r\n" + part),
				readable: make(chan struct{}), ended: make(chan struct{}),
				closed: make(chan struct{}),
			}
			f.laterPart = func(p []byte) (int, error) {
				if c.laterPart == nil {
					<-f.closed
					return 0, net.ErrClosed
				}
				<-writable
				n, err := c.laterPart(p)
				if err != nil || p[len(p)-1] == last {
					close(decided)
				}
				return n, err
			}
			transport := New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return f, nil }})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream", strings.NewReader(strings.Repeat("x", 1<<20)+string(last)))
			assert.NilError(t, err)
			resp, err := transport.RoundTrip(request)
			assert.NilError(t, err)
			defer resp.Body.Close()
			got := make([]byte, len(part))
			_, err = io.ReadFull(resp.Body, got)
			assert.NilError(t, err)
			close(writable)
			if c.laterPart != nil {
				<-decided
			}
			close(f.ended)
			rest, err := io.ReadAll(resp.Body)
			assert.Equal(t, string(got)+string(rest), part)
			var incomplete *IncompleteError
			assert.Equal(t, errors.As(err, &incomplete), c.incomplete, "%v", err)
			assert.Assert(t, err == nil || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		})
	}
}
