// Package httpapi is the HTTP front end for members and directors. It decodes
// requests into jobs, posts them and waits for their answers; it decides
// nothing. docs/API.md describes every status, header and outcome.
package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/once"
)

// Headers of requests and answers.
const (
	HeaderCustomer       = "X-Customer"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderOnce           = "X-Once"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderReplayed       = "X-Replayed"
	HeaderWeightVersions = "X-Weight-Versions"
	HeaderUpstreams      = "X-Upstreams"
)

// Deps are what the front end works with.
type Deps struct {
	Submitter work.Submitter
	Guard     *once.Guard
	// State returns the configuration in force.
	State func() *ledger.State
	// Ready returns nil, or why requests are refused as not run.
	Ready func() error
	NewID func() api.RequestID
	Now   func() time.Time

	MaxBodyBytes    int64
	DefaultDeadline time.Duration
}

// handler serves the callers' routes.
type handler struct{ Deps }

// Register adds the callers' routes to a mux.
func Register(mux *http.ServeMux, d Deps) {
	h := &handler{Deps: d}
	mux.HandleFunc("POST /v1/chat/completions", h.chat)
	mux.HandleFunc("/v1/plain/{service}/{path...}", h.plain)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", h.ready)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		errmap.Write(w, err, api.OutcomeNotRun)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// request is what both kinds of calls have in common.
type request struct {
	callerCtx context.Context // ends when the caller goes away
	ctx       context.Context // ends also at the deadline
	cancel    context.CancelFunc
	job       *work.Job
	once      bool
	key       string
	// encode builds the body that a repeated call with the key is answered
	// with; nil keeps the answer's own.
	encode func(work.Result) []byte
}

// readRequest reads the headers and the body; the job still lacks its call.
func (h *handler) readRequest(w http.ResponseWriter, r *http.Request) (*request, []byte, error) {
	if err := h.Ready(); err != nil {
		return nil, nil, err
	}
	customer := customerOf(r)
	plan, err := h.State().CustomerPlan(customer)
	if err != nil {
		return nil, nil, err
	}
	deadline, err := h.deadline(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := h.body(w, r)
	if err != nil {
		return nil, nil, err
	}
	q := &request{once: r.Header.Get(HeaderOnce) == "true", key: r.Header.Get(HeaderIdempotencyKey)}
	q.callerCtx = r.Context()
	q.ctx, q.cancel = context.WithDeadline(r.Context(), deadline)
	q.job = &work.Job{
		ID: h.NewID(), Customer: customer, Plan: plan.Name, Lane: api.LaneInteractive,
		Repeatable: !q.once, Deadline: deadline, CostTokens: 1,
	}
	if q.once {
		q.job.Lane = api.LaneOnce
	}
	w.Header().Set(HeaderRequestID, string(q.job.ID))
	return q, body, nil
}

// customerOf returns the customer; tools that only know bearer keys send it there.
func customerOf(r *http.Request) api.CustomerID {
	if c := r.Header.Get(HeaderCustomer); c != "" {
		return api.CustomerID(c)
	}
	return api.CustomerID(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
}

func (h *handler) deadline(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return h.Now().Add(h.DefaultDeadline), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, api.Errorf(api.CodeInvalid, "header %s %q; allowed: milliseconds: %w", HeaderDeadline, text, err)
	}
	if ms <= 0 {
		return time.Time{}, api.Errorf(api.CodeDeadlineExceeded, "header %s: the deadline is past", HeaderDeadline)
	}
	return h.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

func (h *handler) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, api.Errorf(api.CodeTooLarge, "body over %d bytes: %w", tooLarge.Limit, err)
	case err != nil:
		return nil, api.Errorf(api.CodeInvalid, "body truncated: %w", err)
	}
	return body, nil
}

// run submits the job, once only where the caller's key asks for it, and
// returns its answer; relay is called before the end for streamed jobs.
func (h *handler) run(q *request, relay func(*sink)) (work.Result, bool) {
	submit := func() work.Result {
		a := h.submit(q, relay)
		if q.encode != nil && a.Outcome == api.OutcomeComplete {
			a.Body = q.encode(a)
		}
		return a
	}
	if !q.once || q.key == "" {
		return submit(), false
	}
	key := ledger.ClaimKey{Customer: q.job.Customer, Key: q.key}
	return h.Guard.Run(q.ctx, once.Request{Key: key, Fingerprint: q.job.Fingerprint}, submit)
}

func (h *handler) submit(q *request, relay func(*sink)) work.Result {
	s := newSink(q.job.Stream)
	q.job.Sink = s
	if err := h.Submitter.Submit(q.job); err != nil {
		return work.Result{Outcome: api.OutcomeNotRun, Err: err}
	}
	stop := context.AfterFunc(q.callerCtx, func() { h.Submitter.Cancel(q.job.ID) })
	defer stop()
	if relay != nil {
		relay(s)
	}
	return s.wait()
}

func setResponseHeaders(w http.ResponseWriter, a work.Result, replayed bool) {
	head := w.Header()
	head.Set(errmap.HeaderOutcome, a.Outcome.String())
	if replayed {
		head.Set(HeaderReplayed, "true")
	}
	if len(a.Versions) > 0 {
		head.Set(HeaderWeightVersions, joinVersions(a.Versions))
	}
	if len(a.Upstreams) > 0 {
		names := make([]string, len(a.Upstreams))
		for i, u := range a.Upstreams {
			names[i] = string(u)
		}
		head.Set(HeaderUpstreams, strings.Join(names, ","))
	}
}

func joinVersions(versions []api.WeightVersion) string {
	texts := make([]string, len(versions))
	for i, v := range versions {
		texts[i] = v.String()
	}
	return strings.Join(texts, ",")
}
