package main

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/httplog"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/standin/serve"
)

const (
	maxWait         = time.Minute // of one read
	manualReadLimit = 1000        // entries per read of readStream
)

// control is the body of POST /control, which injects faults; absent fields change
// nothing.
type control struct {
	Outage        *bool  `json:"outage"`
	DropResponses *int   `json:"lose_answers"`
	DelayMillis   *int64 `json:"delay_ms"`
}

type handler struct{ log *memlog.Log }

func newHandler(log *memlog.Log) http.Handler {
	h := &handler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httplog.PathAppend, h.append)
	mux.HandleFunc("POST "+httplog.PathRead, h.read)
	mux.HandleFunc("GET /v1/streams/{stream}", h.readStream)
	mux.HandleFunc("POST /control", h.control)
	return mux
}

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var q httplog.AppendRequest
	if !serve.DecodeJSON(w, r, &q) {
		return
	}
	offset, err := h.log.Append(r.Context(), q.Stream, q.Records)
	var ambiguous *eventlog.AmbiguousError
	if errors.As(err, &ambiguous) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if err != nil {
		w.Header().Set(httplog.HeaderNotAppended, "true")
		serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
		return
	}
	serve.WriteJSON(w, http.StatusOK, httplog.AppendResponse{Offset: offset})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	var q httplog.ReadRequest
	if !serve.DecodeJSON(w, r, &q) {
		return
	}
	wait := min(maxWait, time.Duration(q.WaitMillis)*time.Millisecond)
	h.respondRead(w, r, q.Positions, q.Limit, wait)
}

// readStream serves GET /v1/streams/{stream}?from=N, which people use to inspect a
// stream.
func (h *handler) readStream(w http.ResponseWriter, r *http.Request) {
	from := uint64(1)
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			serve.WriteError(w, http.StatusBadRequest, "invalid", err.Error())
			return
		}
		from = n
	}
	position := eventlog.Position{Stream: r.PathValue("stream"), Offset: api.Offset(from)}
	h.respondRead(w, r, []eventlog.Position{position}, manualReadLimit, 0)
}

func (h *handler) respondRead(w http.ResponseWriter, r *http.Request, p []eventlog.Position, limit int, wait time.Duration) {
	batches, err := h.log.Read(r.Context(), p, limit, wait)
	if err != nil {
		serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", err.Error())
		return
	}
	serve.WriteJSON(w, http.StatusOK, httplog.ReadResponse{Batches: batches})
}

func (h *handler) control(w http.ResponseWriter, r *http.Request) {
	var c control
	if !serve.DecodeJSON(w, r, &c) {
		return
	}
	if c.Outage != nil {
		h.log.SetOutage(*c.Outage)
	}
	if c.DropResponses != nil {
		h.log.DropResponses(*c.DropResponses)
	}
	if c.DelayMillis != nil {
		h.log.SetDelay(time.Duration(*c.DelayMillis) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
}
