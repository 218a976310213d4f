package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/fingerprint"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
)

const (
	defaultMaxTokens = 256     // tokens, for requests that name no bound
	maxMaxTokens     = 1 << 20 // tokens
)

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	N         int            `json:"n"`
}

// chatAnswer is a whole chat completion.
type chatAnswer struct {
	ID       api.RequestID       `json:"id"`
	Object   string              `json:"object"`
	Model    api.ModelName       `json:"model"`
	Choices  []choice            `json:"choices"`
	Usage    usage               `json:"usage"`
	Versions []api.WeightVersion `json:"weight_versions"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      work.Message `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// chatChunk is one piece of a streamed chat completion.
type chatChunk struct {
	ID      api.RequestID     `json:"id"`
	Object  string            `json:"object"`
	Model   api.ModelName     `json:"model"`
	Version api.WeightVersion `json:"weight_version,omitempty"`
	Choices []chunkChoice     `json:"choices"`
	Usage   *usage            `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

// chat serves a chat completion, streamed or whole.
func (h *handler) chat(w http.ResponseWriter, r *http.Request) {
	q, body, err := h.open(w, r)
	if err != nil {
		errmap.Write(w, err, api.OutcomeNotRun)
		return
	}
	defer q.cancel()
	in, err := parseChat(body)
	if err != nil {
		errmap.Write(w, err, api.OutcomeNotRun)
		return
	}
	if in.Stream && q.once && q.key != "" {
		errmap.Write(w, api.Errorf(api.CodeInvalid, "stream cannot be combined with %s and %s", HeaderOnce, HeaderKey), api.OutcomeNotRun)
		return
	}
	fillChat(q.job, in)
	if !in.Stream {
		h.whole(w, q)
		return
	}
	h.stream(w, q)
}

func parseChat(body []byte) (*chatRequest, error) {
	in := &chatRequest{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, in); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "body: %w", err)
	}
	switch {
	case in.Model == "":
		return nil, api.Errorf(api.CodeInvalid, "model is missing")
	case len(in.Messages) == 0:
		return nil, api.Errorf(api.CodeInvalid, "messages are missing")
	case in.N > 1:
		return nil, api.Errorf(api.CodeInvalid, "n is %d; allowed: 1", in.N)
	case in.MaxTokens < 1 || in.MaxTokens > maxMaxTokens:
		return nil, api.Errorf(api.CodeInvalid, "max_tokens is %d; allowed: 1 to %d", in.MaxTokens, maxMaxTokens)
	}
	return in, nil
}

func fillChat(j *work.Job, in *chatRequest) {
	j.Model, j.Stream, j.CostTokens = in.Model, in.Stream, in.MaxTokens
	j.Call = work.Call{Generate: &work.Generate{Messages: in.Messages, MaxTokens: in.MaxTokens}}
	j.Fingerprint, j.Prefix = fingerprint.Generate(in.Model, in.Messages)
}

func (h *handler) whole(w http.ResponseWriter, q *request) {
	q.encode = func(a work.Answer) []byte {
		raw, err := json.Marshal(newChatAnswer(q.job, a))
		if err != nil {
			return nil
		}
		return raw
	}
	a, replayed := h.run(q, nil)
	setAnswerHeaders(w, a, replayed)
	if a.Err != nil {
		errmap.Write(w, a.Err, a.Outcome)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.Body) // a failed write: the caller went away
}

func newChatAnswer(j *work.Job, a work.Answer) chatAnswer {
	message := work.Message{Role: "assistant", Content: a.Text}
	return chatAnswer{
		ID: j.ID, Object: "chat.completion", Model: j.Model,
		Choices:  []choice{{Message: message, FinishReason: a.FinishReason}},
		Usage:    usage{CompletionTokens: a.Tokens},
		Versions: a.Versions,
	}
}

// stream sends the answer as server-sent events. The status is sent with the
// first piece; a failure before it is an ordinary error answer, one after it a
// last event with the error and without the end marker.
func (h *handler) stream(w http.ResponseWriter, q *request) {
	out := &events{w: w, flush: http.NewResponseController(w), job: q.job}
	a, replayed := h.run(q, func(s *sink) { out.relay(q.caller, s) })
	if !out.whole && a.Err == nil {
		a = work.Answer{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeCancelled, "the caller went away")}
	}
	if !out.started {
		setAnswerHeaders(w, a, replayed)
		if a.Err != nil {
			errmap.Write(w, a.Err, a.Outcome)
			return
		}
		out.start()
	}
	out.end(a)
}

// events writes a stream of chat chunks.
type events struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	job     *work.Job
	started bool
	whole   bool // all pieces were relayed
}

// relay sends the pieces until their end, which the dispatcher brings about
// also after the deadline, or until the caller goes away.
func (e *events) relay(ctx context.Context, s *sink) {
	for {
		c, err := s.chunks.Pop(ctx)
		if err != nil {
			var ended *ring.ClosedError
			e.whole = errors.As(err, &ended)
			return
		}
		e.start()
		e.send(chatChunk{
			ID: e.job.ID, Object: "chat.completion.chunk", Model: e.job.Model, Version: c.Version,
			Choices: []chunkChoice{{Delta: delta{Content: c.Text}}},
		})
	}
}

func (e *events) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Trailer", errmap.HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}

func (e *events) end(a work.Answer) {
	e.w.Header().Set(errmap.HeaderOutcome, a.Outcome.String())
	if a.Err != nil {
		e.send(errmap.NewBody(a.Err, a.Outcome))
		return
	}
	e.send(chatChunk{
		ID: e.job.ID, Object: "chat.completion.chunk", Model: e.job.Model,
		Choices: []chunkChoice{{FinishReason: &a.FinishReason}},
		Usage:   &usage{CompletionTokens: a.Tokens},
	})
	e.raw([]byte("[DONE]"))
}

func (e *events) send(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	e.raw(raw)
}

func (e *events) raw(data []byte) {
	_, _ = e.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // a failed write: the caller went away
	_ = e.flush.Flush()
}
