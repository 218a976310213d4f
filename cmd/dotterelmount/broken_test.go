package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// A broken response of a daemon doesn't say whether it accepted a change, and shows no state.
func TestBrokenResponsesLeaveChangesUnknown(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				assert.Check(t, err)
				c, _, err := http.NewResponseController(w).Hijack()
				if assert.Check(t, err) {
					_, _ = io.WriteString(c, head+"\r\n{}") // the caller may have disconnected
					_ = c.Close()
				}
			}))
			defer srv.Close()
			address := srv.Listener.Addr().String()
			out, code := run(t, "--daemon", address, "weights", "announce", "m", "5")
			assert.Equal(t, code, exitUnknown, out)
			out, code = run(t, "--daemon", address, "status")
			assert.Equal(t, code, exitUnavailable, out)
			out, code = run(t, "hosted", "keys", "--metrics", address)
			assert.Equal(t, code, exitUnavailable, out)
		})
	}
}
