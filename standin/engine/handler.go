package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/standin/engine/tokens"
	"dotterelmount.example/standin/journal"
	"dotterelmount.example/standin/serve"
)

const headerRequestID = "X-Request-Id"

// handler decodes HTTP requests, passes them to the decode duty and writes its
// replies.
type handler struct {
	loop        *loop
	gate        *gate
	loader      *loader
	journalFile *journal.File
}

func newHandler(cfg config, exit func(int)) *handler {
	l := startLoop(newEngine(cfg, exit, time.Now()))
	return &handler{loop: l, gate: newGate(), loader: newLoader(cfg, l), journalFile: cfg.journal}
}

func (h *handler) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", h.journalled(h.gated(h.complete)))
	mux.Handle("GET /load", h.gated(h.query(func(now time.Time, e *engine) any { return e.reports.visible(now) })))
	mux.Handle("GET /v1/weights", h.gated(h.query(func(_ time.Time, e *engine) any {
		return weightsBody{Models: modelList(e.weights.versions)}
	})))
	mux.Handle("GET /v1/cache_events", h.gated(h.cacheEvents))
	mux.Handle("POST /v1/load_weights", h.gated(h.loadWeights))
	mux.HandleFunc("POST /control", h.control)
	mux.HandleFunc("GET /journal", h.query(func(_ time.Time, e *engine) any {
		return journalBody{Requests: e.journal, Orders: e.weights.orders, Dropped: e.droppedEntries}
	}))
	return mux
}

// journalled writes the arrival of a request to the journal file, also while the
// engine hangs. The response names the request.
func (h *handler) journalled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		h.journalFile.Write(journal.Line{Event: journal.EventStart, RequestID: id})
		w.Header().Set(headerRequestID, id)
		next.ServeHTTP(w, r)
	})
}

// gated blocks requests while the engine hangs.
func (h *handler) gated(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.gate.wait(r.Context()) == nil {
			next(w, r)
		}
	})
}

// query returns a handler that responds with what read returns, as JSON. read is
// called by the decode duty.
func (h *handler) query(read func(time.Time, *engine) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reply := ring.NewSlot[json.RawMessage]()
		body, err := postAndWait(r.Context(), h.loop, queryCommand{read: read, reply: reply}, reply)
		if err != nil {
			serve.WriteError(w, http.StatusServiceUnavailable, "busy", err.Error())
			return
		}
		serve.WriteJSON(w, http.StatusOK, body)
	}
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from := uint64(1)
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			serve.WriteError(w, http.StatusBadRequest, "invalid", err.Error())
			return
		}
		from = n
	}
	h.query(func(now time.Time, e *engine) any { return e.cache.eventsFrom(now, from) })(w, r)
}

func (h *handler) control(w http.ResponseWriter, r *http.Request) {
	var c controlBody
	if !serve.DecodeJSON(w, r, &c) {
		return
	}
	if c.Mode != nil && !c.Mode.valid() {
		serve.WriteError(w, http.StatusBadRequest, "invalid", fmt.Sprintf("mode %q; allowed: normal, slow, hang, crash, refuse, cut, truncate", *c.Mode))
		return
	}
	if c.Factor != nil && *c.Factor <= 0 {
		serve.WriteError(w, http.StatusBadRequest, "invalid", fmt.Sprintf("factor %v; allowed: above 0", *c.Factor))
		return
	}
	reply := ring.NewSlot[struct{}]()
	if _, err := postAndWait(r.Context(), h.loop, controlCommand{body: c, reply: reply}, reply); err != nil {
		serve.WriteError(w, http.StatusServiceUnavailable, "busy", err.Error())
		return
	}
	if c.Mode != nil {
		h.gate.setClosed(*c.Mode == modeHang)
	}
	w.WriteHeader(http.StatusNoContent)
}

// complete serves POST /v1/chat/completions.
func (h *handler) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if !serve.DecodeJSON(w, r, &q) {
		return
	}
	if !q.Stream || len(q.Messages) == 0 {
		serve.WriteError(w, http.StatusBadRequest, "invalid", "stream must be true and messages must not be empty")
		return
	}
	id := r.Header.Get(headerRequestID)
	s := newSequence(id, &q)
	reply := ring.NewSlot[error]()
	refused, err := postAndWait(r.Context(), h.loop, submitCommand{sequence: s, reply: reply}, reply)
	if err != nil {
		h.loop.cancelSequence(r.Context(), s)
		serve.WriteError(w, http.StatusServiceUnavailable, "busy", err.Error())
		return
	}
	if refused != nil {
		serve.WriteError(w, refusalStatus(refused), string(api.CodeOf(refused)), refused.Error())
		return
	}
	h.stream(w, r, s)
}

// stream writes the sequence's tokens until the sequence ends or the caller
// disconnects.
func (h *handler) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	emitted := 0
	for {
		o, err := s.outputs.Pop(r.Context())
		if err == nil {
			err = h.gate.wait(r.Context())
		}
		if err != nil {
			h.loop.cancelSequence(r.Context(), s)
			return
		}
		if o.cutConnection {
			panic(http.ErrAbortHandler) // closes the connection
		}
		if o.truncated {
			return
		}
		if o.text != "" {
			emitted++
		}
		if err := writeChunk(w, s, o, emitted); err != nil {
			h.loop.cancelSequence(r.Context(), s)
			return
		}
		if o.finishReason != "" {
			return
		}
	}
}

// writeChunk writes one event; the last one has the finish reason, the usage and
// the end marker. emitted is the number of tokens written by this request.
func writeChunk(w http.ResponseWriter, s *sequence, o output, emitted int) error {
	c := chunkBody{
		ID: s.entry.RequestID, Object: "chat.completion.chunk", Model: s.model, WeightVersion: o.version,
		Choices: []choiceBody{{Delta: deltaBody{Content: o.text}}},
	}
	end := ""
	if o.finishReason != "" {
		c.Choices[0].FinishReason = &o.finishReason
		c.Usage = &usageBody{PromptTokens: promptTokens(s), CompletionTokens: emitted}
		end = "data: [DONE]\n\n"
	}
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n%s", body, end); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func promptTokens(s *sequence) int {
	n := tokens.Count(s.resumeText)
	for _, m := range s.messages {
		n += tokens.Count(m.Content)
	}
	return n
}
