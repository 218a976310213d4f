package check

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

var chat = []work.Message{{Role: "system", Content: "a"}, {Role: "user", Content: "b len=3"}}

func TestExpected(t *testing.T) {
	// FNV-1a 32 of the empty string is the offset basis 811c9dc5.
	assert.Equal(t, ExpectedText(nil, 2), "811c9dc5-0 811c9dc5-1 ")
	assert.Equal(t, strings.Count(ExpectedText(chat, 9), " "), 3)
}

func TestCheckTextDistinguishesTruncatedFromOtherText(t *testing.T) {
	want := ExpectedText(chat, 9)
	assert.NilError(t, CheckText(chat, 9, want))
	var wrong *WrongResponseError
	assert.Assert(t, errors.As(CheckText(chat, 9, want[:5]), &wrong))
	assert.Equal(t, wrong.Reason, "text truncated")
	assert.Assert(t, errors.As(CheckText(chat, 9, "other"), &wrong))
	assert.Equal(t, wrong.Reason, "text of another request")
}

func send(t *testing.T, stream bool, outcome, body string) (Response, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("X-Customer") == "c" && r.Header.Get("X-Deadline-Ms") == "1000")
		if outcome != "" {
			w.Header().Set("X-Outcome", outcome)
		}
		_, _ = fmt.Fprint(w, body)
	}))
	defer srv.Close()
	c := Caller{Customer: "c", Client: srv.Client(), Deadline: time.Second}
	return c.Chat(context.Background(), srv.Listener.Addr().String(), ChatRequest{Model: "m", Messages: chat, Stream: stream})
}

func TestChatChecksResponses(t *testing.T) {
	text := ExpectedText(chat, 0)
	complete := `{"choices":[{"message":{"content":"` + text + `"},"finish_reason":"stop"}],"weight_versions":[1,2]}`
	response, err := send(t, false, "complete", complete)
	assert.NilError(t, err)
	assert.DeepEqual(t, response.Versions, []api.WeightVersion{1, 2})
	for _, c := range []struct{ outcome, body string }{
		{"", complete},
		{"unknown", complete},
		{"complete", complete[:40]},
		{"complete", `{"choices":[]}`},
		{"complete", strings.Replace(complete, "-2 ", "", 1)},
	} {
		_, err := send(t, false, c.outcome, c.body)
		assert.Assert(t, err != nil, "%v", c)
	}
}

func TestChatChecksStreams(t *testing.T) {
	var events string
	for _, token := range strings.SplitAfter(strings.TrimSpace(ExpectedText(chat, 0))+" ", " ")[:3] {
		events += `data: {"choices":[{"delta":{"content":"` + token + `"}}],"weight_version":4}` + "\n\n"
	}
	end := `data: {"choices":[{"delta":{},"finish_reason":"length"}]}` + "\n\n"
	response, err := send(t, true, "", events+end+"data: [DONE]\n\n")
	assert.NilError(t, err)
	assert.Equal(t, response.Outcome, api.OutcomeComplete)
	assert.DeepEqual(t, response.Versions, []api.WeightVersion{4})
	for _, body := range []string{
		events + end,
		events + "data: [DONE]\n\n",
		end + "data: [DONE]\n\n",
		events + `data: {"error":{"code":"truncated"},"outcome":"failed"}` + "\n\n" + end + "data: [DONE]\n\n",
	} {
		_, err := send(t, true, "", body)
		assert.Assert(t, err != nil, body)
	}
}

func TestPoolRunsAllJobs(t *testing.T) {
	p := NewPool(3)
	var ran atomic.Int64
	jobs := make([]func(), 100)
	for i := range jobs {
		jobs[i] = func() { ran.Add(1) }
	}
	assert.NilError(t, p.Do(context.Background(), jobs))
	assert.Equal(t, ran.Load(), int64(100))
	assert.NilError(t, p.Close(context.Background()))
}
