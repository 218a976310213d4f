package httpupstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/upstream/httpupstream"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

// startCopier starts an upstream that names the request in each response, and sends a copy of
// each response before the next one on the same connection. It refuses its first request.
func startCopier(t *testing.T, body string) upstream.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for last := ""; ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			status, text := http.StatusOK, body
			if requests.Add(1) == 1 {
				status, text = http.StatusServiceUnavailable, "busy"
			}
			response := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
				status, httpupstream.HeaderRequestID, r.Header.Get(httpupstream.HeaderRequestID), len(text), text)
			if _, err := io.WriteString(c, last+response); err != nil {
				return
			}
			last = response
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return target(l.Addr().String())
}

// The late copy of a response must not be taken for that to the next send of the same request,
// nor for that to another request.
func TestLateCopyIsNoResponseToNextCall(t *testing.T) {
	c := httpupstream.New(httpupstream.Options{})
	defer c.Close()
	t.Run("generation", func(t *testing.T) {
		to := startCopier(t, event("r", "a ", "null")+event("r", "b ", `"stop"`)+done)
		_, _, err := generate(t, c, to)
		assert.Equal(t, err.Status, http.StatusServiceUnavailable)
		text, _, err := generate(t, c, to)
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, text, "a b ")
	})
	for name, ids := range map[string][2]string{"plain call again": {"r", "r"}, "other plain call": {"r", "s"}} {
		t.Run(name, func(t *testing.T) {
			to := startCopier(t, "body")
			p := &work.Plain{Method: http.MethodPost, Path: "/x"}
			first, err := c.CallPlain(t.Context(), to, api.RequestID(ids[0]), p)
			assert.NilError(t, err)
			assert.Equal(t, first.Status, http.StatusServiceUnavailable)
			second, err := c.CallPlain(t.Context(), to, api.RequestID(ids[1]), p)
			assert.Assert(t, err != nil || second.Status == http.StatusOK, "status %d", second.Status)
		})
	}
}
