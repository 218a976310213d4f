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
	"dotterelmount.example/server/intake"
)

const (
	defaultMaxTokens = 256     // tokens; for requests without max_tokens
	maxTokensLimit   = 1 << 20 // tokens
)

// chatRequest is the request body of a chat completion.
type chatRequest struct {
	Model     api.ModelName  `json:"model"`
	Messages  []work.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	N         int            `json:"n"`
}

// chatResponse is the response body of a chat completion that is not streamed.
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

// chatChunk is one event of a streamed chat completion.
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

// chat serves a chat completion, streamed or not.
func (h *handler) chat(w http.ResponseWriter, r *http.Request) {
	q, body, err := h.readRequest(w, r)
	if err != nil {
		errmap.Write(w, err, api.OutcomeNotRun)
		return
	}
	defer q.cancel()
	if err := intake.ClaimJSON(r.Context(), body); err != nil {
		errmap.Write(w, intake.APIError(err), api.OutcomeNotRun)
		return
	}
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
		return nil, api.Errorf(api.CodeInvalid, "decoding the body: %w", err)
	}
	switch {
	case in.Model == "":
		return nil, api.Errorf(api.CodeInvalid, "model is missing")
	case len(in.Messages) == 0:
		return nil, api.Errorf(api.CodeInvalid, "messages are missing")
	case in.N > 1:
		return nil, api.Errorf(api.CodeInvalid, "n is %d; must be 1", in.N)
	case in.MaxTokens < 1 || in.MaxTokens > maxTokensLimit:
		return nil, api.Errorf(api.CodeInvalid, "max_tokens is %d; must be 1 to %d", in.MaxTokens, maxTokensLimit)
	}
	return in, nil
}

func fillChat(j *work.Job, in *chatRequest) {
	j.Model, j.Stream, j.CostTokens = in.Model, in.Stream, in.MaxTokens
	j.Call = work.Call{Generate: &work.Generate{Messages: in.Messages, MaxTokens: in.MaxTokens}}
	j.Fingerprint, j.Prefix = fingerprint.Generate(in.Model, in.Messages)
}

func (h *handler) completeChat(w http.ResponseWriter, q *request) {
	q.encode = func(result work.Result) []byte {
		data, err := json.Marshal(newChatResponse(q.job, result))
		if err != nil {
			return nil
		}
		return data
	}
	result, replayed := h.run(q, nil)
	setResponseHeaders(w, result, replayed)
	if result.Err != nil {
		errmap.Write(w, result.Err, result.Outcome)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(result.Body) // fails only if the caller disconnected
}

func newChatResponse(j *work.Job, result work.Result) chatResponse {
	message := work.Message{Role: "assistant", Content: result.Text}
	return chatResponse{
		ID: j.ID, Object: "chat.completion", Model: j.Model,
		Choices:  []choice{{Message: message, FinishReason: result.FinishReason}},
		Usage:    usage{CompletionTokens: result.Tokens},
		Versions: result.Versions,
	}
}

// streamChat sends the result as server-sent events. The status is sent with the
// first chunk. An error before it is an ordinary error response; one after it is
// sent as the last event, without the end marker.
func (h *handler) streamChat(w http.ResponseWriter, q *request) {
	out := &eventWriter{w: w, flush: http.NewResponseController(w), job: q.job}
	result, replayed := h.run(q, func(s *sink) { out.relay(q.callerCtx, s) })
	if !out.relayedAll && result.Err == nil {
		result = work.Result{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeCancelled, "the caller disconnected")}
	}
	if !out.started {
		setResponseHeaders(w, result, replayed)
		if result.Err != nil {
			errmap.Write(w, result.Err, result.Outcome)
			return
		}
		out.start()
	}
	out.end(result)
}

// eventWriter writes a stream of chat completion chunks.
type eventWriter struct {
	w          http.ResponseWriter
	flush      *http.ResponseController
	job        *work.Job
	started    bool
	relayedAll bool // all chunks were sent
}

// relay sends chunks until the dispatcher ends them, which it also does after
// the deadline, or until the caller disconnects.
func (e *eventWriter) relay(ctx context.Context, s *sink) {
	for {
		c, err := s.chunks.Pop(ctx)
		if err != nil {
			var closed *ring.ClosedError
			e.relayedAll = errors.As(err, &closed)
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

func (e *eventWriter) end(result work.Result) {
	e.w.Header().Set(errmap.HeaderOutcome, result.Outcome.String())
	if result.Err != nil {
		e.writeJSON(errmap.NewBody(result.Err, result.Outcome))
		return
	}
	e.writeJSON(chatChunk{
		ID: e.job.ID, Object: "chat.completion.chunk", Model: e.job.Model,
		Choices: []chunkChoice{{FinishReason: &result.FinishReason}},
		Usage:   &usage{CompletionTokens: result.Tokens},
	})
	e.writeEvent([]byte("[DONE]"))
}

func (e *eventWriter) writeJSON(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	e.writeEvent(data)
}

func (e *eventWriter) writeEvent(data []byte) {
	_, _ = e.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // fails only if the caller disconnected
	_ = e.flush.Flush()
}
