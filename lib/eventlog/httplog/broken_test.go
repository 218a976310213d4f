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

func readAndAppend(t *testing.T, address string, record eventlog.Record) (readErr, appendErr error) {
	t.Helper()
	l := New(address, nil)
	_, readErr = l.Read(t.Context(), []eventlog.Position{{Stream: "s", Offset: 1}}, 10, 0)
	_, appendErr = l.Append(t.Context(), "s", []eventlog.Record{record})
	return readErr, appendErr
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
			readErr, _ := readAndAppend(t, serveRaw(t, fmt.Sprintf(head, len(batches))+batches, false), eventlog.Record{ID: "a"})
			assert.Assert(t, errors.As(readErr, &unavailable), "%v", readErr)
			_, appendErr := readAndAppend(t, serveRaw(t, fmt.Sprintf(head, len(appended))+appended, false), eventlog.Record{ID: "a"})
			assert.Assert(t, errors.As(appendErr, &ambiguous), "%v", appendErr)
		})
	}
}

func TestSoundResponses(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", "HTTP/1.1 200 OK\r\n\r\n%[2]s"} {
		readErr, _ := readAndAppend(t, serveRaw(t, fmt.Sprintf(head, len(batches), batches), false), eventlog.Record{ID: "a"})
		assert.NilError(t, readErr)
		_, appendErr := readAndAppend(t, serveRaw(t, fmt.Sprintf(head, len(appended), appended), false), eventlog.Record{ID: "a"})
		assert.NilError(t, appendErr)
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
				_, err := New(address, nil).Append(t.Context(), "s", []eventlog.Record{record})
				var ambiguous *eventlog.AmbiguousError
				assert.Assert(t, errors.As(err, &ambiguous), "%v", err)
			}
		})
	}
}
