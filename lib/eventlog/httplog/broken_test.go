package httplog

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dotterelmount.example/lib/eventlog"
	"gotest.tools/v3/assert"
)

// serveRaw starts a log that sends a response once it has read a request, or at once if it is
// early, and then closes or resets the connection.
func serveRaw(t *testing.T, response string, early bool) string {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if !early {
			_, err := io.Copy(io.Discard, r.Body)
			assert.Check(t, err)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		_, _ = io.WriteString(c, response) // the caller may have disconnected
		if early {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
}

const (
	appended = `{"offset":7}`
	batches  = `{"batches":[{"stream":"s","entries":[],"oldest":1,"next":1}]}`
)

// readFrom and appendTo make one call each, on a connection of its own.
func readFrom(t *testing.T, address string) error {
	_, err := New(address, nil).Read(t.Context(), []eventlog.Position{{Stream: "s", Offset: 1}}, 10, 0)
	return err
}

func appendTo(t *testing.T, address string, record eventlog.Record) error {
	_, err := New(address, nil).Append(t.Context(), "s", []eventlog.Record{record})
	return err
}

// A broken response says nothing of an append, and holds no records.
func TestBrokenResponsesAreAmbiguous(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: %d\r\n\r\n",
		"blank after a name":     "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n",
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: %d\r\n\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: %d\r\n\r\n",
		"not appended, broken":   "HTTP/1.1 503 No\r\n" + HeaderNotAppended + ": true\r\nA b: c\r\nContent-Length: %d\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var unavailable *eventlog.UnavailableError
			var ambiguous *eventlog.AmbiguousError
			err := readFrom(t, serveRaw(t, fmt.Sprintf(head, len(batches))+batches, false))
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			err = appendTo(t, serveRaw(t, fmt.Sprintf(head, len(appended))+appended, false), eventlog.Record{ID: "a"})
			assert.Assert(t, errors.As(err, &ambiguous), "%v", err)
		})
	}
}

func TestSoundResponses(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", "HTTP/1.1 200 OK\r\n\r\n%[2]s"} {
		assert.NilError(t, readFrom(t, serveRaw(t, fmt.Sprintf(head, len(batches), batches), false)))
		assert.NilError(t, appendTo(t, serveRaw(t, fmt.Sprintf(head, len(appended), appended), false), eventlog.Record{ID: "a"}))
	}
}

// A log that responds before it has read an append, and resets the connection, may not have
// appended it.
func TestEarlyResponseCutByResetIsAmbiguous(t *testing.T) {
	record := eventlog.Record{ID: "a", Payload: make([]byte, 8<<20)}
	for name, body := range map[string]string{"part": appended[:len(appended)-1], "whole": appended} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+body, true)
			for range 10 {
				err := appendTo(t, address, record)
				var ambiguous *eventlog.AmbiguousError
				assert.Assert(t, errors.As(err, &ambiguous), "%v", err)
			}
		})
	}
}
