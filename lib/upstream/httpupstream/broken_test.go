package httpupstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/upstream/httpupstream"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

// serveRaw starts an upstream that sends a response once it has read a request, and closes the
// connection.
func serveRaw(t *testing.T, response string) upstream.Target {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		c, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			_, _ = io.WriteString(c, response) // the caller may have disconnected
			_ = c.Close()
		}
	})
}

// serveEarly starts an upstream that responds at once, and resets the connection while the
// request is being written.
func serveEarly(t *testing.T, response string) upstream.Target {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			_, _ = io.WriteString(c, response) // the caller may have disconnected
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	})
}

// calls are the kinds of calls that return what an upstream responded.
var calls = map[string]func(*testing.T, *httpupstream.Client, upstream.Target) error{
	"plain": func(t *testing.T, c *httpupstream.Client, to upstream.Target) error {
		_, err := c.CallPlain(t.Context(), to, "r", &work.Plain{Method: http.MethodPost, Path: "/x"})
		return err
	},
	"generate": func(t *testing.T, c *httpupstream.Client, to upstream.Target) error {
		if _, _, err := generate(t, c, to); err != nil {
			return err
		}
		return nil
	},
	"status": func(t *testing.T, c *httpupstream.Client, to upstream.Target) error {
		_, err := c.Status(t.Context(), to)
		return err
	},
	"load": func(t *testing.T, c *httpupstream.Client, to upstream.Target) error {
		return c.LoadWeights(t.Context(), to, upstream.LoadOrder{Model: "m", Version: 1})
	},
}

// bodies returns the body of a sound response to each kind of call.
func bodies() map[string]string {
	stream := event("r", "a ", "null") + event("r", "b ", `"stop"`) + done
	return map[string]string{"plain": "body", "generate": stream, "status": "{}", "load": ""}
}

// callOnce makes a call on a connection of its own.
func callOnce(t *testing.T, kind string, to upstream.Target) error {
	t.Helper()
	c := httpupstream.New(httpupstream.Options{})
	defer c.Close()
	return calls[kind](t, c, to)
}

func TestBrokenResponsesAreNotPassedOn(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
		"status 600":             "HTTP/1.1 600 OK\r\nContent-Length: %d\r\n\r\n%s",
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: %d\r\n\r\n%s",
		"blank after a name":     "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s",
		"blank before chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: %d\r\n\r\n%s",
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\nContent-Length: %d\r\n\r\n%s",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: %d\r\n\r\n%s",
	} {
		t.Run(name, func(t *testing.T) {
			for kind, body := range bodies() {
				err := callOnce(t, kind, serveRaw(t, fmt.Sprintf(response, len(body), body)))
				var call *upstream.CallError
				if assert.Check(t, errors.As(err, &call), "%s: %v", kind, err) {
					assert.Check(t, call.Sent, "%s: %v", kind, err)
				}
			}
		})
	}
}

func TestSoundResponsesArePassedOn(t *testing.T) {
	for name, response := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"old version": "HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for kind, body := range bodies() {
				assert.NilError(t, callOnce(t, kind, serveRaw(t, fmt.Sprintf(response, len(body), body))), kind)
			}
		})
	}
}

// A response without a length is never a plain service's whole one.
func TestEarlyResponseCutByResetIsNotComplete(t *testing.T) {
	to := serveEarly(t, "HTTP/1.1 200 OK\r\n\r\npart")
	c := httpupstream.New(httpupstream.Options{})
	defer c.Close()
	for n := range 20 {
		_, err := c.CallPlain(t.Context(), to, "r", &work.Plain{Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)})
		assert.Assert(t, err != nil, "call %d", n)
	}
}
