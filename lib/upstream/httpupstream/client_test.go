package httpupstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/upstream/httpupstream"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

func target(address string) upstream.Target { return upstream.Target{ID: "u", Address: address} }

func serve(t *testing.T, h http.HandlerFunc) upstream.Target {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return target(strings.TrimPrefix(s.URL, "http://"))
}

func event(id, content, finish string) string {
	return fmt.Sprintf(`data: {"id":%q,"weight_version":7,"choices":[{"delta":{"content":%q},"finish_reason":%s}],"usage":{"completion_tokens":2}}`+"\n\n",
		id, content, finish)
}

const done = "data: [DONE]\n\n"

func generate(t *testing.T, c *httpupstream.Client, to upstream.Target) (string, upstream.Finish, *upstream.CallError) {
	t.Helper()
	text := ""
	f, err := c.Generate(t.Context(), to, "r", "m", &work.Generate{MaxTokens: 2}, func(c work.Chunk) error {
		assert.Equal(t, c.Version, api.WeightVersion(7))
		text += c.Text
		return nil
	})
	var call *upstream.CallError
	assert.Assert(t, err == nil || errors.As(err, &call))
	return text, f, call
}

func TestGenerateAcceptsOnlyCompleteResponses(t *testing.T) {
	a, b := event("r", "a ", "null"), event("r", "b ", "null")
	end := event("r", "", `"stop"`)
	cases := []struct {
		name, stream string
		want         api.Code
	}{
		{"complete", a + b + end + done, ""},
		{"complete with comment", ": ping\n\n" + a + b + end + done, ""},
		{"no end marker", a + b + end, api.CodeTruncated},
		{"no last chunk", a + b + done, api.CodeTruncated},
		{"missing chunk", a + end + done, api.CodeTruncated},
		{"duplicate chunk", a + b + b + end + done, api.CodeTruncated},
		{"chunk of another request", a + event("q", "b ", "null") + end + done, api.CodeInvalid},
		{"truncated event", a + b[:20], api.CodeTruncated},
		{"chunk after the last chunk", a + b + end + a + done, api.CodeInvalid},
		{"engine error", a + `data: {"error":{"code":"x"}}` + "\n\n", api.CodeUpstreamFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := httpupstream.New(httpupstream.Options{})
			to := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.stream) })
			text, finish, err := generate(t, client, to)
			if c.want == "" {
				assert.Assert(t, err == nil, "%v", err)
				assert.Equal(t, text, "a b ")
				assert.Equal(t, finish, upstream.Finish{Reason: "stop", Tokens: 2})
				return
			}
			assert.Equal(t, err.Code, c.want)
			assert.Assert(t, err.Sent)
		})
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, _, failed := generate(t, httpupstream.New(httpupstream.Options{}), target(l.Addr().String()))
	assert.Assert(t, !failed.Sent)
	assert.Equal(t, failed.Code, api.CodeUpstreamFailed)
}

// serveThenClose serves the first request of each connection and closes the
// connection on the second one without a response. It counts requests.
func serveThenClose(t *testing.T) (upstream.Target, *atomic.Int32) {
	t.Helper()
	var requests atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for responded := false; ; responded = true {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests.Add(1)
			if responded {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
	return target(l.Addr().String()), &requests
}

func TestClosedKeptAliveConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "x"} {
			t.Run(method+body, func(t *testing.T) {
				c := httpupstream.New(httpupstream.Options{})
				to, requests := serveThenClose(t)
				p := &work.Plain{Method: method, Path: "/", Body: []byte(body)}
				resp, err := c.CallPlain(t.Context(), to, "1", p)
				assert.NilError(t, err)
				assert.Equal(t, string(resp.Body), "ok")
				_, err = c.CallPlain(t.Context(), to, "2", p)
				var call *upstream.CallError
				assert.Assert(t, errors.As(err, &call), "%v", err)
				assert.Assert(t, call.Sent)
				assert.Equal(t, requests.Load(), int32(2))
			})
		}
	}
}

func TestConnectionsAreReusedAgedAndDropped(t *testing.T) {
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event("r", "a ", "null")+event("r", "b ", `"length"`)+done)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	now := time.Unix(0, 0)
	c := httpupstream.New(httpupstream.Options{MaxAge: time.Minute, Clock: func() time.Time { return now }})
	to := target(strings.TrimPrefix(s.URL, "http://"))
	expect := func(to upstream.Target, connections int32) {
		t.Helper()
		_, _, err := generate(t, c, to)
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, opened.Load(), connections)
	}
	expect(to, 1)
	expect(to, 1)
	c.CloseIdle(to.Address)
	expect(to, 2)
	now = now.Add(time.Minute)
	expect(to, 3)
	expect(upstream.Target{ID: "u", Address: to.Address, NewConnection: true}, 4)
	expect(to, 4)
}

func TestCallPlainDetectsTruncation(t *testing.T) {
	for name, head := range map[string]string{"short": "Content-Length: 9\r\n", "unframed": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			to := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err == nil)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\nok")
				_ = c.Close()
			})
			_, err := httpupstream.New(httpupstream.Options{}).CallPlain(t.Context(), to, "1", &work.Plain{Method: http.MethodPost, Path: "/"})
			var call *upstream.CallError
			assert.Assert(t, errors.As(err, &call), "%v", err)
			assert.Equal(t, call.Code, api.CodeTruncated)
		})
	}
}

func TestContextCauseEndsStream(t *testing.T) {
	ended := make(chan struct{})
	to := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, event("r", "a ", "null"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	_, err := httpupstream.New(httpupstream.Options{}).Generate(ctx, to, "r", "m", &work.Generate{}, func(work.Chunk) error {
		cancel(api.Errorf(api.CodeUpstreamSilent, "no progress"))
		return nil
	})
	var call *upstream.CallError
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Code, api.CodeUpstreamSilent)
	<-ended
}

func TestLoadReportsStaleFence(t *testing.T) {
	to := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"error":{"code":"stale-fence"}}`)
	})
	err := httpupstream.New(httpupstream.Options{}).LoadWeights(t.Context(), to, upstream.LoadOrder{Model: "m", Version: 1, Fence: 1})
	var call *upstream.CallError
	assert.Assert(t, errors.As(err, &call))
	assert.Equal(t, call.Code, api.CodeSuperseded)
	assert.Equal(t, call.Status, http.StatusConflict)
}
