package httplog

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"gotest.tools/v3/assert"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAppendClassifiesFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := closed.Addr().String()
	assert.NilError(t, closed.Close())
	status := func(code int, notAppended, body string) string {
		return serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotAppended, notAppended)
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		})
	}
	cases := []struct {
		name, address string
		unavailable   bool // certainly not appended
	}{
		{"connection refused", refused, true},
		{"503 not appended", status(503, "true", ""), true},
		{"503", status(503, "", ""), false},
		{"500 that claims not appended", status(500, "true", ""), false},
		{"200 with malformed body", status(200, "", "{"), false},
		{"200 without offset", status(200, "", "{}"), false},
		{"closed without response", serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(c.address, nil).Append(t.Context(), "s", []eventlog.Record{{ID: "a"}})
			var unavailable *eventlog.UnavailableError
			var ambiguous *eventlog.AmbiguousError
			assert.Equal(t, errors.As(err, &unavailable), c.unavailable, "%v", err)
			assert.Equal(t, errors.As(err, &ambiguous), !c.unavailable, "%v", err)
		})
	}
}

func TestReadReplacesStalledConnection(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) == 1 {
			<-release
			return
		}
		_, _ = io.WriteString(w, `{"batches":[{"stream":"s","entries":[],"oldest":1,"next":1}]}`)
	})
	defer close(release)
	l := newLog(address, nil, 50*time.Millisecond)
	positions := []eventlog.Position{{Stream: "s", Offset: 1}}
	_, err := l.Read(t.Context(), positions, 10, 0)
	var unavailable *eventlog.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	l.timeoutMargin = readTimeoutMargin
	batches, err := l.Read(t.Context(), positions, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, batches[0].Next, api.Offset(1))
}

func FuzzDecodeRead(f *testing.F) {
	f.Add(`{"batches":[{"stream":"s","entries":[{"offset":3,"id":"a"}],"oldest":1,"next":4}]}`)
	f.Add(`{"batches":[{"stream":"s","entries":null,"oldest":1,"next":1}]}`)
	f.Add(`{"batches":null}`)
	f.Fuzz(func(t *testing.T, body string) {
		batches, err := DecodeRead([]byte(body), []eventlog.Position{{Stream: "s", Offset: 3}})
		var decode *DecodeError
		assert.Assert(t, err == nil || errors.As(err, &decode))
		for _, b := range batches {
			for i := 1; i < len(b.Entries); i++ {
				assert.Equal(t, b.Entries[i].Offset, b.Entries[i-1].Offset+1)
			}
		}
	})
}
