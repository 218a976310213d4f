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
	maxTokensLimit   = 1 << 20 // tokens
)

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	N         int            `json:"n"`
}

// chatResponse is a whole chat completion.
type chatResponse struct {
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
	q, body, err := h.readRequest(w, r)
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
		errmap.Write(w, api.Errorf(api.CodeInvalid, "stream cannot be combined with %s and %s", HeaderOnce, HeaderIdempotencyKey), api.OutcomeNotRun)
		return
	}
	fillChat(q.job, in)
	if !in.Stream {
		h.completeChat(w, q)
		return
	}
	h.streamChat(w, q)
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
	case in.MaxTokens < 1 || in.MaxTokens > maxTokensLimit:
		return nil, api.Errorf(api.CodeInvalid, "max_tokens is %d; allowed: 1 to %d", in.MaxTokens, maxTokensLimit)
	}
	return in, nil
}

func fillChat(j *work.Job, in *chatRequest) {
	j.Model, j.Stream, j.CostTokens = in.Model, in.Stream, in.MaxTokens
	j.Call = work.Call{Generate: &work.Generate{Messages: in.Messages, MaxTokens: in.MaxTokens}}
	j.Fingerprint, j.Prefix = fingerprint.Generate(in.Model, in.Messages)
}

func (h *handler) completeChat(w http.ResponseWriter, q *request) {
	q.encode = func(a work.Result) []byte {
		raw, err := json.Marshal(newChatResponse(q.job, a))
		if err != nil {
			return nil
		}
		return raw
	}
	a, replayed := h.run(q, nil)
	setResponseHeaders(w, a, replayed)
	if a.Err != nil {
		errmap.Write(w, a.Err, a.Outcome)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.Body) // a failed write: the caller went away
}

func newChatResponse(j *work.Job, a work.Result) chatResponse {
	message := work.Message{Role: "assistant", Content: a.Text}
	return chatResponse{
		ID: j.ID, Object: "chat.completion", Model: j.Model,
		Choices:  []choice{{Message: message, FinishReason: a.FinishReason}},
		Usage:    usage{CompletionTokens: a.Tokens},
		Versions: a.Versions,
	}
}

// streamChat sends the answer as server-sent events. The status is sent with the
// first piece; a failure before it is an ordinary error answer, one after it a
// last event with the error and without the end marker.
func (h *handler) streamChat(w http.ResponseWriter, q *request) {
	out := &eventWriter{w: w, flush: http.NewResponseController(w), job: q.job}
	a, replayed := h.run(q, func(s *sink) { out.relay(q.callerCtx, s) })
	if !out.relayedAll && a.Err == nil {
		a = work.Result{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeCancelled, "the caller went away")}
	}
	if !out.started {
		setResponseHeaders(w, a, replayed)
		if a.Err != nil {
			errmap.Write(w, a.Err, a.Outcome)
			return
		}
		out.start()
	}
	out.end(a)
}

// eventWriter writes a stream of chat chunks.
type eventWriter struct {
	w          http.ResponseWriter
	flush      *http.ResponseController
	job        *work.Job
	started    bool
	relayedAll bool // all pieces were relayed
}

// relay sends the pieces until their end, which the dispatcher brings about
// also after the deadline, or until the caller goes away.
func (e *eventWriter) relay(ctx context.Context, s *sink) {
	for {
		c, err := s.chunks.Pop(ctx)
		if err != nil {
			var ended *ring.ClosedError
			e.relayedAll = errors.As(err, &ended)
			return
		}
		e.start()
		e.writeJSON(chatChunk{
			ID: e.job.ID, Object: "chat.completion.chunk", Model: e.job.Model, Version: c.Version,
			Choices: []chunkChoice{{Delta: delta{Content: c.Text}}},
		})
	}
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Trailer", errmap.HeaderOutcome)
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) end(a work.Result) {
	e.w.Header().Set(errmap.HeaderOutcome, a.Outcome.String())
	if a.Err != nil {
		e.writeJSON(errmap.NewBody(a.Err, a.Outcome))
		return
	}
	e.writeJSON(chatChunk{
		ID: e.job.ID, Object: "chat.completion.chunk", Model: e.job.Model,
		Choices: []chunkChoice{{FinishReason: &a.FinishReason}},
		Usage:   &usage{CompletionTokens: a.Tokens},
	})
	e.writeEvent([]byte("[DONE]"))
}

func (e *eventWriter) writeJSON(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	e.writeEvent(raw)
}

func (e *eventWriter) writeEvent(data []byte) {
	_, _ = e.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // a failed write: the caller went away
	_ = e.flush.Flush()
}
