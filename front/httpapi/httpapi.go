// Package httpapi is the HTTP front end for members and directors. It decodes
// requests into jobs, submits them and encodes their results; it makes no
// decisions. docs/API.md describes every status, header and outcome.
package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/intake"
	"dotterelmount.example/server/once"
)

// Headers of requests and responses.
const (
	HeaderCustomer       = "X-Customer"
	HeaderDeadline       = "X-Deadline-Ms"   // milliseconds left for the request
	HeaderOnce           = "X-Once"          // "true": the request must run at most once
	HeaderIdempotencyKey = "Idempotency-Key" // used with HeaderOnce
	HeaderRequestID      = "X-Request-Id"
	HeaderReplayed       = "X-Replayed"        // "true": the stored result of an earlier request with the same key
	HeaderWeightVersions = "X-Weight-Versions" // comma-separated
	HeaderUpstreams      = "X-Upstreams"       // ids, comma-separated
)

// Deps are the dependencies and settings of the front end.
type Deps struct {
	Submitter work.Submitter
	Guard     *once.Guard
	// State returns the configuration in force.
	State func() *ledger.State
	// Ready returns nil or the error with which requests are refused.
	Ready func() error
	NewID func() api.RequestID
	Now   func() time.Time

	MaxBodyBytes    int64
	DefaultDeadline time.Duration
}

// handler serves the routes for callers.
type handler struct{ Deps }

// Register adds the routes for callers to mux.
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

// request is the common part of chat and plain requests.
type request struct {
	callerCtx context.Context // done when the caller disconnects
	ctx       context.Context // also done at the deadline
	cancel    context.CancelFunc
	job       *work.Job
	once      bool
	key       string
	// encode builds the body of a complete response, which is also the one stored
	// for repeated calls with the same key. If nil, the result's body is used.
	encode func(work.Result) []byte
}

// readRequest reads the headers and the body. It returns a request whose job has
// no call yet. Errors: CodeInvalid, CodeTooLarge, CodeDeadlineExceeded and those
// of Ready and of finding the customer's plan.
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

// customerOf returns the customer's id. Clients that can only set an API key send
// it as the bearer token.
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
		return time.Time{}, api.Errorf(api.CodeInvalid, "header %s %q; must be milliseconds: %w", HeaderDeadline, text, err)
	}
	if ms <= 0 {
		return time.Time{}, api.Errorf(api.CodeDeadlineExceeded, "header %s: the deadline has passed", HeaderDeadline)
	}
	return h.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

func (h *handler) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := intake.Body(w, r, h.MaxBodyBytes)
	if err != nil {
		return nil, intake.APIError(err)
	}
	return body, nil
}

// run submits the job and returns its result. With a key, the job runs only once
// and a repeated call returns the stored result, reported by true. relay, if not
// nil, forwards the chunks of a streamed job.
func (h *handler) run(q *request, relay func(*sink)) (work.Result, bool) {
	submit := func() work.Result {
		result := h.submit(q, relay)
		if q.encode != nil && result.Outcome == api.OutcomeComplete {
			result.Body = q.encode(result)
		}
		return result
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

func setResponseHeaders(w http.ResponseWriter, result work.Result, replayed bool) {
	header := w.Header()
	header.Set(errmap.HeaderOutcome, result.Outcome.String())
	if replayed {
		header.Set(HeaderReplayed, "true")
	}
	if len(result.Versions) > 0 {
		header.Set(HeaderWeightVersions, joinVersions(result.Versions))
	}
	if len(result.Upstreams) > 0 {
		ids := make([]string, len(result.Upstreams))
		for i, u := range result.Upstreams {
			ids[i] = string(u)
		}
		header.Set(HeaderUpstreams, strings.Join(ids, ","))
	}
}

func joinVersions(versions []api.WeightVersion) string {
	texts := make([]string, len(versions))
	for i, v := range versions {
		texts[i] = v.String()
	}
	return strings.Join(texts, ",")
}
