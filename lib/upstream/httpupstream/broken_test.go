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

// callAll makes each kind of call that returns what an upstream responded.
func callAll(t *testing.T, to upstream.Target) map[string]error {
	t.Helper()
	c := httpupstream.New(httpupstream.Options{})
	defer c.Close()
	_, plainErr := c.CallPlain(t.Context(), to, "r", &work.Plain{Method: http.MethodPost, Path: "/x"})
	_, _, generateErr := generate(t, c, to)
	_, statusErr := c.Status(t.Context(), to)
	out := map[string]error{"plain": plainErr, "status": statusErr, "load": c.LoadWeights(t.Context(), to, upstream.LoadOrder{Model: "m", Version: 1})}
	if generateErr != nil {
		out["generate"] = generateErr
	}
	return out
}

func TestBrokenResponsesAreNotPassedOn(t *testing.T) {
	stream := event("r", "a ", "null") + event("r", "b ", `"stop"`) + done
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
			for kind, body := range map[string]string{"plain": "body", "generate": stream, "status": "{}", "load": ""} {
				err := callAll(t, serveRaw(t, fmt.Sprintf(response, len(body), body)))[kind]
				var call *upstream.CallError
				if assert.Check(t, errors.As(err, &call), "%s: %v", kind, err) {
					assert.Check(t, call.Sent, "%s: %v", kind, err)
				}
			}
		})
	}
}

func TestSoundResponsesArePassedOn(t *testing.T) {
	stream := event("r", "a ", "null") + event("r", "b ", `"stop"`) + done
	for name, response := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"length, HTTP/1": "HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for kind, body := range map[string]string{"plain": "body", "generate": stream, "status": "{}"} {
				assert.NilError(t, callAll(t, serveRaw(t, fmt.Sprintf(response, len(body), body)))[kind])
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
