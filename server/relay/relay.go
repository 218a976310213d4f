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
	Chooser  opaque.Chooser
	Patience opaque.Patience
	Carriers int
	RingSize int
	// Rest is how long an upstream is avoided after a failure; it doubles with
	// each further failure in a row, up to MaxRest.
	Rest, MaxRest time.Duration
	// RetryAfter is told to clients whose request was not run.
	RetryAfter time.Duration
	// Crashed tells the other daemons how many upstreams were lost while a
	// request with this content ran on them; none, if it was answered after all.
	Crashed func(content uint64, lost int)
	Now     func() time.Time
}

// Relay is the handle of the duties.
type Relay struct {
	cfg      Config
	log      *zap.Logger
	view     func() *directory.View
	duty     *duty.Duty[any]
	carriers *duty.Pool[*attempt]
	seen     map[api.UpstreamID]*observed
	crashes  *crashes
}

// job is a request in progress.
type job struct {
	request    *opaque.Request
	ctx        context.Context
	reply      *ring.Slot[reply]
	tried      map[api.UpstreamID]bool
	sent       int
	mayHaveRun bool // an attempt may have run
	lost       int  // upstreams whose connection broke under it
	failure    *opaque.Answer
	last       error
	content    uint64 // hash of what the client sends again under other ids
	// flow takes a stream's pieces; nil for requests with a whole answer.
	flow *flow
}

// attempt is a job's try at one upstream.
type attempt struct {
	carrier  int
	job      *job
	upstream *directory.Upstream
	began    time.Time
	limit    time.Duration
	answer   *opaque.Answer
	streamed bool // the answer went to the job's flow
	err      error
}

// reply ends a request: an answer, or a *opaque.RefusedError or
// *opaque.FailedError.
type reply struct {
	Answer   *opaque.Answer
	Err      error
	Upstream api.UpstreamID
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, log *zap.Logger, exchanger opaque.Exchanger, view func() *directory.View) *Relay {
	r := &Relay{cfg: cfg, log: log, view: view, seen: make(map[api.UpstreamID]*observed), crashes: newCrashes()}
	c := &carrier{exchanger: exchanger, report: func(ctx context.Context, a *attempt) { _ = r.duty.PostWait(ctx, a) }} // fails at the stop only
	r.carriers = duty.NewPool(sys, duty.Config{Name: "relay-carrier"}, cfg.Carriers, func() duty.Handler[*attempt] { return c })
	r.duty = duty.Start(sys, duty.Config{Name: "relay", RingSize: cfg.RingSize, Tick: time.Second}, duty.Handler[any](r))
	return r
}

// Pass passes a request on and waits for its end or that of ctx. Errors:
// *opaque.RefusedError, *opaque.FailedError.
func (r *Relay) Pass(ctx context.Context, q *opaque.Request) (*opaque.Answer, api.UpstreamID, error) {
	j := newJob(ctx, q)
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	return r.wait(j)
}

func newJob(ctx context.Context, q *opaque.Request) *job {
	return &job{request: q, ctx: ctx, reply: ring.NewSlot[reply](), tried: make(map[api.UpstreamID]bool), content: fingerprint(q)}
}

// submit hands a job to the duty. Errors: *opaque.RefusedError.
func (r *Relay) submit(j *job) error {
	if err := r.duty.Post(j); err != nil {
		return &opaque.RefusedError{Reason: err.Error(), RetryAfter: r.cfg.RetryAfter}
	}
	return nil
}

// wait waits for a job's end or that of its context.
func (r *Relay) wait(j *job) (*opaque.Answer, api.UpstreamID, error) {
	end, err := j.reply.Wait(j.ctx)
	if err != nil {
		return nil, "", &opaque.FailedError{Reason: "the client left or its time is over", Expired: true}
	}
	return end.Answer, end.Upstream, end.Err
}

// Suspect counts the upstreams that another daemon lost under a request.
func (r *Relay) Suspect(content uint64, lost int) {
	if err := r.duty.Post(elsewhere{content, lost}); err != nil {
		r.log.Warn("crashes that another daemon saw are not counted", zap.Uint64("content", content), zap.Error(err))
	}
}

// elsewhere says how many upstreams another daemon lost under a request.
type elsewhere struct {
	content uint64
	lost    int
}

// Handle takes a new job, an attempt's end or what another daemon saw.
func (r *Relay) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case *job:
		r.next(m)
	case *attempt:
		r.carriers.Give(m.carrier)
		r.ended(m)
	case elsewhere:
		r.crashes.count(m.content, m.lost, r.cfg.Now())
	}
}

// Tick forgets upstreams that are gone.
func (r *Relay) Tick(context.Context) {
	view := r.view()
	for id, o := range r.seen {
		if _, ok := view.Upstreams[id]; !ok && o.inFlight == 0 {
			delete(r.seen, id)
		}
	}
	r.crashes.forget(r.cfg.Now())
}

// next starts a job's next attempt or ends it.
func (r *Relay) next(j *job) {
	q, now := j.request, r.cfg.Now()
	if j.ctx.Err() != nil || !now.Before(q.Deadline) {
		r.finish(j, reply{Err: j.giveUp("its time is over", true, r.cfg.RetryAfter)})
		return
	}
	if j.sent >= q.Route.Attempts {
		r.finish(j, reply{Answer: j.failure, Err: j.giveUp("all attempts failed", false, r.cfg.RetryAfter)})
		return
	}
	if r.crashes.banned(j.content, now) {
		r.finish(j, reply{Err: j.giveUp("the request crashed several upstreams", false, crashBan)})
		return
	}
	u, ok := r.cfg.Chooser.Pick(r.candidates(j, now))
	if !ok || (j.tried[u.ID] && !j.request.Route.Repeatable() && j.mayHaveRun) {
		r.finish(j, reply{Answer: j.failure, Err: j.giveUp("no upstream of service "+q.Service, false, r.cfg.RetryAfter)})
		return
	}
	carrier, ok := r.carriers.Take()
	if !ok {
		r.finish(j, reply{Err: j.giveUp("all carriers are busy", false, r.cfg.RetryAfter)})
		return
	}
	r.start(carrier, j, u, now)
}

func (r *Relay) start(carrier int, j *job, u *directory.Upstream, now time.Time) {
	a := &attempt{
		carrier: carrier, job: j, upstream: u, began: now,
		limit: r.cfg.Patience.AttemptTime(j.request, now, j.request.Route.Attempts-j.sent),
	}
	j.sent++
	j.tried[u.ID] = true
	r.observed(u.ID).inFlight++
	if err := r.carriers.Post(carrier, a); err != nil {
		r.finish(j, reply{Err: j.giveUp("stopping", false, r.cfg.RetryAfter)})
	}
}

// giveUp returns the error that ends a job without an answer.
func (j *job) giveUp(reason string, expired bool, after time.Duration) error {
	if j.failure != nil && !expired {
		return nil // the upstream's own failure is the answer
	}
	if j.last != nil {
		reason += "; last: " + j.last.Error()
	}
	if j.mayHaveRun {
		return &opaque.FailedError{Reason: reason, Expired: expired}
	}
	return &opaque.RefusedError{Reason: reason, RetryAfter: after}
}

// ended decides what follows an attempt.
func (r *Relay) ended(a *attempt) {
	now := r.cfg.Now()
	j, o := a.job, r.observed(a.upstream.ID)
	o.inFlight--
	if a.err == nil && !failed(a.answer) {
		if !a.streamed {
			o.succeeded(now.Sub(a.began)) // a stream's length says nothing of its upstream
		} else {
			o.failures = 0
		}
		r.finish(j, reply{Answer: a.answer, Upstream: a.upstream.ID})
		return
	}
	r.log.Info("attempt failed", zap.String("request", string(j.request.ID)), zap.String("upstream", string(a.upstream.ID)),
		zap.Int("attempt", j.sent), zap.Duration("took", now.Sub(a.began)), zap.Duration("limit", a.limit), zap.Error(a.cause()))
	if a.err == nil {
		j.failure, j.mayHaveRun = a.answer, true
	} else {
		r.learn(a, o, now)
	}
	if j.mayHaveRun && !j.request.Route.Repeatable() {
		r.finish(j, reply{Answer: j.failure, Err: j.giveUp("the upstream failed", false, r.cfg.RetryAfter), Upstream: a.upstream.ID})
		return
	}
	r.next(j)
}

// learn notes what a failed attempt says of its upstream.
func (r *Relay) learn(a *attempt, o *observed, now time.Time) {
	a.job.last = a.err
	var e *opaque.AttemptError
	if !errors.As(a.err, &e) {
		a.job.mayHaveRun = true
		return
	}
	if e.Fate == opaque.FateUnknown {
		a.job.mayHaveRun = true
	}
	if a.job.ctx.Err() == nil && !e.Busy {
		o.failed(now, r.cfg.Rest, r.cfg.MaxRest)
	}
	if e.Broken && !errors.Is(e, context.DeadlineExceeded) && a.job.ctx.Err() == nil {
		a.job.lost++
		r.crashes.count(a.job.content, 1, now)
	}
}

func (a *attempt) cause() error {
	if a.err != nil {
		return a.err
	}
	return &opaque.FailedError{Reason: "the upstream's own failure"}
}

// failed reports whether an answer is a failure of the upstream, after which a
// request that may be repeated is tried elsewhere.
func failed(a *opaque.Answer) bool {
	const serverError = 500
	return a.Status >= serverError
}

func (r *Relay) finish(j *job, end reply) {
	if j.flow != nil {
		j.flow.end()
	}
	if end.Answer != nil {
		end.Err = nil
	}
	r.tellCrashes(j, end)
	j.reply.Put(end)
}

// tellCrashes tells the other daemons once a request what it says of upstreams
// that were lost.
func (r *Relay) tellCrashes(j *job, end reply) {
	answered := end.Answer != nil
	switch {
	case answered && r.crashes.suspected(j.content):
		r.crashes.count(j.content, 0, r.cfg.Now())
		r.cfg.Crashed(j.content, 0)
	case !answered && j.lost > 0:
		r.cfg.Crashed(j.content, j.lost)
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (r *Relay) Stop(ctx context.Context) error { return duty.StopPool(ctx, r.duty, r.carriers) }

// carrier is the duty that carries one attempt at a time.
type carrier struct {
	exchanger opaque.Exchanger
	report    func(context.Context, *attempt)
}

// Handle makes one attempt.
func (c *carrier) Handle(ctx context.Context, a *attempt) {
	call, cancel := context.WithTimeout(a.job.ctx, a.limit)
	if a.job.flow != nil {
		c.stream(call, a)
	} else {
		a.answer, a.err = c.exchanger.Exchange(call, a.upstream, a.job.request)
	}
	cancel()
	c.report(ctx, a)
}
