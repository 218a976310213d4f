// Package relay passes opaque requests on: one duty chooses upstreams and
// decides about retries, others carry one attempt each.
package relay

import (
	"context"
	"errors"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
	"go.uber.org/zap"
)

// Config of a Relay.
type Config struct {
	Chooser         opaque.Chooser
	AttemptTimeouts opaque.AttemptTimeouts
	Workers         int
	RingSize        int
	// Backoff is how long an upstream is avoided after a failure; it doubles with
	// each further failure in a row, up to MaxRest.
	Backoff, MaxBackoff time.Duration
	// RetryAfter is told to clients whose request was not run.
	RetryAfter time.Duration
	// OnCrashes tells the other daemons how many upstreams were lost while a
	// request with this content ran on them; none, if it was answered after all.
	OnCrashes func(content uint64, lost int)
	Now       func() time.Time
}

// Relay is the handle of the duties.
type Relay struct {
	cfg     Config
	log     *zap.Logger
	view    func() *directory.View
	duty    *duty.Duty[any]
	workers *duty.Pool[*attempt]
	stats   map[api.UpstreamID]*upstreamStats
	crashes *crashes
}

// job is a request in progress.
type job struct {
	request         *opaque.Request
	ctx             context.Context
	reply           *ring.Slot[reply]
	tried           map[api.UpstreamID]bool
	attempts        int
	mayHaveRun      bool // an attempt may have run
	crashes         int  // upstreams whose connection broke under it
	failureResponse *opaque.Response
	lastErr         error
	content         uint64 // hash of what the client sends again under other ids
	// stream takes a stream's pieces; nil for requests with a whole answer.
	stream *stream
}

// attempt is a job's try at one upstream.
type attempt struct {
	worker    int
	job       *job
	upstream  *directory.Upstream
	startedAt time.Time
	timeout   time.Duration
	answer    *opaque.Response
	streamed  bool // the answer went to the job's flow
	err       error
}

// reply ends a request: an answer, or a *opaque.NotRunError or
// *opaque.FailedError.
type reply struct {
	Answer   *opaque.Response
	Err      error
	Upstream api.UpstreamID
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, log *zap.Logger, exchanger opaque.Exchanger, view func() *directory.View) *Relay {
	r := &Relay{cfg: cfg, log: log, view: view, stats: make(map[api.UpstreamID]*upstreamStats), crashes: newCrashes()}
	c := &worker{exchanger: exchanger, postResult: func(ctx context.Context, a *attempt) { _ = r.duty.PostWait(ctx, a) }} // fails at the stop only
	r.workers = duty.NewPool(sys, duty.Config{Name: "relay-carrier"}, cfg.Workers, func() duty.Handler[*attempt] { return c })
	r.duty = duty.Start(sys, duty.Config{Name: "relay", RingSize: cfg.RingSize, Tick: time.Second}, duty.Handler[any](r))
	return r
}

// Forward passes a request on and waits for its end or that of ctx. Errors:
// *opaque.NotRunError, *opaque.FailedError.
func (r *Relay) Forward(ctx context.Context, q *opaque.Request) (*opaque.Response, api.UpstreamID, error) {
	j := newJob(ctx, q)
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	return r.wait(j)
}

func newJob(ctx context.Context, q *opaque.Request) *job {
	return &job{request: q, ctx: ctx, reply: ring.NewSlot[reply](), tried: make(map[api.UpstreamID]bool), content: fingerprint(q)}
}

// submit hands a job to the duty. Errors: *opaque.NotRunError.
func (r *Relay) submit(j *job) error {
	if err := r.duty.Post(j); err != nil {
		return &opaque.NotRunError{Reason: err.Error(), RetryAfter: r.cfg.RetryAfter}
	}
	return nil
}

// wait waits for a job's end or that of its context.
func (r *Relay) wait(j *job) (*opaque.Response, api.UpstreamID, error) {
	end, err := j.reply.Wait(j.ctx)
	if err != nil {
		return nil, "", &opaque.FailedError{Reason: "the client left or its time is over", DeadlineExceeded: true}
	}
	return end.Answer, end.Upstream, end.Err
}

// AddCrashes counts the upstreams that another daemon lost under a request.
func (r *Relay) AddCrashes(content uint64, lost int) {
	if err := r.duty.Post(peerCrashes{content, lost}); err != nil {
		r.log.Warn("crashes that another daemon saw are not counted", zap.Uint64("content", content), zap.Error(err))
	}
}

// peerCrashes says how many upstreams another daemon lost under a request.
type peerCrashes struct {
	content uint64
	lost    int
}

// Handle takes a new job, an attempt's end or what another daemon saw.
func (r *Relay) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case *job:
		r.startNext(m)
	case *attempt:
		r.workers.Release(m.worker)
		r.handleEnd(m)
	case peerCrashes:
		r.crashes.add(m.content, m.lost, r.cfg.Now())
	}
}

// Tick forgets upstreams that are gone.
func (r *Relay) Tick(context.Context) {
	view := r.view()
	for id, o := range r.stats {
		if _, ok := view.Upstreams[id]; !ok && o.inFlight == 0 {
			delete(r.stats, id)
		}
	}
	r.crashes.expire(r.cfg.Now())
}

// startNext starts a job's next attempt or ends it.
func (r *Relay) startNext(j *job) {
	q, now := j.request, r.cfg.Now()
	if j.ctx.Err() != nil || !now.Before(q.Deadline) {
		r.finish(j, reply{Err: j.failure("its time is over", true, r.cfg.RetryAfter)})
		return
	}
	if j.attempts >= q.Route.MaxAttempts {
		r.finish(j, reply{Answer: j.failureResponse, Err: j.failure("all attempts failed", false, r.cfg.RetryAfter)})
		return
	}
	if r.crashes.refused(j.content, now) {
		r.finish(j, reply{Err: j.failure("the request crashed several upstreams", false, crashRetryAfter)})
		return
	}
	u, ok := r.cfg.Chooser.Pick(r.candidates(j, now))
	if !ok || (j.tried[u.ID] && !j.request.Route.Repeatable() && j.mayHaveRun) {
		r.finish(j, reply{Answer: j.failureResponse, Err: j.failure("no upstream of service "+q.Service, false, r.cfg.RetryAfter)})
		return
	}
	carrier, ok := r.workers.Acquire()
	if !ok {
		r.finish(j, reply{Err: j.failure("all carriers are busy", false, r.cfg.RetryAfter)})
		return
	}
	r.startAttempt(carrier, j, u, now)
}

func (r *Relay) startAttempt(carrier int, j *job, u *directory.Upstream, now time.Time) {
	a := &attempt{
		worker: carrier, job: j, upstream: u, startedAt: now,
		timeout: r.cfg.AttemptTimeouts.AttemptTimeout(j.request, now, j.request.Route.MaxAttempts-j.attempts),
	}
	j.attempts++
	j.tried[u.ID] = true
	r.statsOf(u.ID).inFlight++
	if err := r.workers.Post(carrier, a); err != nil {
		r.finish(j, reply{Err: j.failure("stopping", false, r.cfg.RetryAfter)})
	}
}

// failure returns the error that ends a job without an answer.
func (j *job) failure(reason string, expired bool, after time.Duration) error {
	if j.failureResponse != nil && !expired {
		return nil // the upstream's own failure is the answer
	}
	if j.lastErr != nil {
		reason += "; last: " + j.lastErr.Error()
	}
	if j.mayHaveRun {
		return &opaque.FailedError{Reason: reason, DeadlineExceeded: expired}
	}
	return &opaque.NotRunError{Reason: reason, RetryAfter: after}
}

// handleEnd decides what follows an attempt.
func (r *Relay) handleEnd(a *attempt) {
	now := r.cfg.Now()
	j, o := a.job, r.statsOf(a.upstream.ID)
	o.inFlight--
	if a.err == nil && !isFailure(a.answer) {
		if !a.streamed {
			o.succeeded(now.Sub(a.startedAt)) // a stream's length says nothing of its upstream
		} else {
			o.failures = 0
		}
		r.finish(j, reply{Answer: a.answer, Upstream: a.upstream.ID})
		return
	}
	r.log.Info("attempt failed", zap.String("request", string(j.request.ID)), zap.String("upstream", string(a.upstream.ID)),
		zap.Int("attempt", j.attempts), zap.Duration("took", now.Sub(a.startedAt)), zap.Duration("limit", a.timeout), zap.Error(a.cause()))
	if a.err == nil {
		j.failureResponse, j.mayHaveRun = a.answer, true
	} else {
		r.recordFailure(a, o, now)
	}
	if j.mayHaveRun && !j.request.Route.Repeatable() {
		r.finish(j, reply{Answer: j.failureResponse, Err: j.failure("the upstream failed", false, r.cfg.RetryAfter), Upstream: a.upstream.ID})
		return
	}
	r.startNext(j)
}

// recordFailure notes what a failed attempt says of its upstream.
func (r *Relay) recordFailure(a *attempt, o *upstreamStats, now time.Time) {
	a.job.lastErr = a.err
	var e *opaque.AttemptError
	if !errors.As(a.err, &e) {
		a.job.mayHaveRun = true
		return
	}
	if e.Execution == opaque.ExecutionUnknown {
		a.job.mayHaveRun = true
	}
	if a.job.ctx.Err() == nil && !e.Busy {
		o.failed(now, r.cfg.Backoff, r.cfg.MaxBackoff)
	}
	if e.ConnectionLost && !errors.Is(e, context.DeadlineExceeded) && a.job.ctx.Err() == nil {
		a.job.crashes++
		r.crashes.add(a.job.content, 1, now)
	}
}

func (a *attempt) cause() error {
	if a.err != nil {
		return a.err
	}
	return &opaque.FailedError{Reason: "the upstream's own failure"}
}

// isFailure reports whether an answer is a failure of the upstream, after which a
// request that may be repeated is tried elsewhere.
func isFailure(a *opaque.Response) bool {
	const serverError = 500
	return a.Status >= serverError
}

func (r *Relay) finish(j *job, end reply) {
	if j.stream != nil {
		j.stream.close()
	}
	if end.Answer != nil {
		end.Err = nil
	}
	r.reportCrashes(j, end)
	j.reply.Put(end)
}

// reportCrashes tells the other daemons once a request what it says of upstreams
// that were lost.
func (r *Relay) reportCrashes(j *job, end reply) {
	answered := end.Answer != nil
	switch {
	case answered && r.crashes.known(j.content):
		r.crashes.add(j.content, 0, r.cfg.Now())
		r.cfg.OnCrashes(j.content, 0)
	case !answered && j.crashes > 0:
		r.cfg.OnCrashes(j.content, j.crashes)
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (r *Relay) Stop(ctx context.Context) error { return duty.StopPool(ctx, r.duty, r.workers) }

// worker is the duty that carries one attempt at a time.
type worker struct {
	exchanger  opaque.Exchanger
	postResult func(context.Context, *attempt)
}

// Handle makes one attempt.
func (c *worker) Handle(ctx context.Context, a *attempt) {
	call, cancel := context.WithTimeout(a.job.ctx, a.timeout)
	if a.job.stream != nil {
		c.stream(call, a)
	} else {
		a.answer, a.err = c.exchanger.Exchange(call, a.upstream, a.job.request)
	}
	cancel()
	c.postResult(ctx, a)
}
