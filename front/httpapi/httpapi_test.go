package httpapi_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

// submitter runs a script on each job and records the last one.
type submitter struct {
	script func(j *work.Job)
	last   *work.Job
}

func (s *submitter) Submit(j *work.Job) error {
	s.last = j
	if s.script == nil {
		return api.Errorf(api.CodeShed, "ring full")
	}
	s.script(j)
	return nil
}

func (s *submitter) Cancel(api.RequestID) {}

func serve(t *testing.T, s *submitter, ready error) *httptest.Server {
	t.Helper()
	plans := &api.PlanList{Plans: []api.Plan{{Name: "p"}}, Customers: []api.Customer{{ID: "c", Plan: "p"}}}
	mux := http.NewServeMux()
	httpapi.Register(mux, httpapi.Deps{
		Submitter: s, State: func() *ledger.State { return &ledger.State{Plans: plans, Usage: &api.UsageList{}} },
		Ready: func() error { return ready }, NewID: func() api.RequestID { return "id" }, Now: time.Now,
		MaxBodyBytes: 256, DefaultDeadline: time.Minute,
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

const chat = `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`

func post(t *testing.T, server *httptest.Server, body string, headers map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(httpapi.HeaderCustomer, "c")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestInvalidRequestsAreNotRun(t *testing.T) {
	s := &submitter{script: func(*work.Job) { t.Error("ran") }}
	server := serve(t, s, nil)
	cases := []struct {
		name, body string
		headers    map[string]string
		status     int
		code       api.Code
	}{
		{"not JSON", "{", nil, 400, api.CodeInvalid},
		{"no model", `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, api.CodeInvalid},
		{"no messages", `{"model":"m"}`, nil, 400, api.CodeInvalid},
		{"several choices", `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, api.CodeInvalid},
		{"negative max_tokens", `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, api.CodeInvalid},
		{"too large", `{"model":"` + strings.Repeat("x", 300) + `"}`, nil, 413, api.CodeTooLarge},
		{"unknown customer", chat, map[string]string{httpapi.HeaderCustomer: "x"}, 403, api.CodeUnknownCustomer},
		{"past deadline", chat, map[string]string{httpapi.HeaderDeadline: "0"}, 504, api.CodeDeadlineExceeded},
		{"malformed deadline", chat, map[string]string{httpapi.HeaderDeadline: "soon"}, 400, api.CodeInvalid},
		{
			"stream with an idempotency key", strings.Replace(chat, "{", `{"stream":true,`, 1),
			map[string]string{httpapi.HeaderOnce: "true", httpapi.HeaderIdempotencyKey: "k"},
			400, api.CodeInvalid,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := post(t, server, c.body, c.headers)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, resp.Header.Get(errmap.HeaderOutcome), "not-run")
			var body errmap.Body
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
			assert.Equal(t, body.Error.Code, c.code)
		})
	}
}

func TestTruncatedBodyIsNotRun(t *testing.T) {
	server := serve(t, &submitter{script: func(*work.Job) { t.Error("ran") }}, nil)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Customer: c\r\nContent-Length: 99\r\n\r\n"+chat)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 400)
	assert.Equal(t, resp.Header.Get(errmap.HeaderOutcome), "not-run")
}

func TestNotReadyAndFullRingAreNotRun(t *testing.T) {
	notReady := api.Errorf(api.CodeNotReady, "disconnected")
	resp := post(t, serve(t, &submitter{}, notReady), chat, nil)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(errmap.HeaderOutcome), "not-run")
	resp = post(t, serve(t, &submitter{}, nil), chat, nil)
	assert.Equal(t, resp.StatusCode, 429)
	assert.Equal(t, resp.Header.Get(errmap.HeaderOutcome), "not-run")
}

func TestResponseHasVersions(t *testing.T) {
	s := &submitter{script: func(j *work.Job) {
		j.Sink.Finish(work.Result{Outcome: api.OutcomeComplete, Text: "ok", Tokens: 1, Versions: []api.WeightVersion{3, 4}})
	}}
	resp := post(t, serve(t, s, nil), chat, map[string]string{httpapi.HeaderOnce: "true"})
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get(httpapi.HeaderWeightVersions), "3,4")
	assert.Equal(t, s.last.Lane, api.LaneOnce)
	assert.Assert(t, !s.last.Repeatable)
	var body struct {
		Choices []struct{ Message work.Message }
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	assert.Equal(t, body.Choices[0].Message.Content, "ok")
}

// An interrupted stream must not look complete: it has no end marker, and its
// outcome is in the trailer and in the last event.
func TestInterruptedStreamHasNoEndMarker(t *testing.T) {
	s := &submitter{script: func(j *work.Job) {
		assert.NilError(t, j.Sink.WriteChunk(t.Context(), work.Chunk{Text: "a ", Tokens: 1, Version: 1}))
		j.Sink.Finish(work.Result{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeUpstreamSilent, "silent")})
	}}
	resp := post(t, serve(t, s, nil), strings.Replace(chat, "{", `{"stream":true,`, 1), nil)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.Trailer.Get(errmap.HeaderOutcome), "unknown")
	assert.Assert(t, strings.Contains(string(data), `"code":"upstream-silent"`))
	assert.Assert(t, !strings.Contains(string(data), "[DONE]"))
}

// A stream must not be reported as complete without the chunks that arrive after
// the deadline, as they do if the daemon was paused.
func TestStreamIsCompleteOnlyWithAllChunks(t *testing.T) {
	s := &submitter{script: func(j *work.Job) {
		go func() {
			<-time.After(time.Until(j.Deadline) + 50*time.Millisecond)
			_ = j.Sink.WriteChunk(t.Context(), work.Chunk{Text: "late ", Tokens: 1, Version: 1})
			j.Sink.Finish(work.Result{Outcome: api.OutcomeComplete, Text: "late ", Tokens: 1, FinishReason: "stop"})
		}()
	}}
	body := strings.Replace(chat, "{", `{"stream":true,`, 1)
	resp := post(t, serve(t, s, nil), body, map[string]string{httpapi.HeaderDeadline: "50"})
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Contains(string(data), "late "), strings.Contains(string(data), "[DONE]"), "%s", data)
}
