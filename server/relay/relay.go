// Package relay forwards opaque requests to upstreams. One duty chooses upstreams
// and decides about retries; a task for each attempt waits for its response.
package relay

import (
	"context"
	"errors"
	"expvar"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/fairshare"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/ratelimit"
	"dotterelmount.example/lib/ring"
	"go.uber.org/zap"
)

// refusedForRoom counts requests that were refused since this host bears no more attempts.
var refusedForRoom = expvar.NewInt("requests_refused_for_room")

// Config configures a Relay.
type Config struct {
	Chooser         opaque.Chooser
	AttemptTimeouts opaque.AttemptTimeouts
	MaxInFlight     int // maximum concurrent attempts
	RingSize        int // capacity in messages
	// Backoff is how long an upstream is avoided after a failure. It doubles with
	// each consecutive failure, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// RetryAfter is the retry delay sent to callers whose request was not run.
	RetryAfter time.Duration
	// Limits are the request limits of upstreams.
	Limits *ratelimit.Buckets
	// MaxWaiting is the number of requests that may wait for a request limit, and WaitTick
	// the interval at which it is checked.
	MaxWaiting int
	WaitTick   time.Duration
	// Streams knows which software began a stream.
	Streams StreamIndex
	// OnLeaving is called if a peer passes on the response of an upstream that leaves.
	OnLeaving func(id api.UpstreamID)
	// UpstreamsCurrent reports whether the list of upstreams was read a short time ago.
	UpstreamsCurrent func() bool
	Peers            Peers
	// Keys decides whether a request's key is still valid when an attempt begins.
	Keys access.Policy
	// OnCrashes reports to the other daemons the connections to upstreams that were
	// lost while a request with this content hash ran, or none if it got a response
	// after all.
	OnCrashes func(content uint64, losses []quarantine.Loss)
	// OnBegan is told of each request of a customer that an upstream began to run, and when;
	// nil: nobody is. It must not block.
	OnBegan func(customer string, at time.Time)
	// CrashConfirmation is the time within which a cut-off of this daemon is found out.
	// Crashes are reported after it.
	CrashConfirmation time.Duration
	// Windows bounds what is outstanding at each upstream by its refusals and losses.
	Windows bool
	Now     func() time.Time
}

// Relay controls the duties. Its statistics and crash counts are accessed only on the
// duty that chooses upstreams.
type Relay struct {
	cfg    Config
	log    *zap.Logger
	view   func() *directory.View
	duty   *duty.Duty[any]
	tasks  *duty.Tasks
	worker *worker
	// inFlight is the number of attempts that have not ended.
	inFlight int
	stats    map[api.UpstreamID]*upstreamStats
	// peerStats is what this daemon has observed of others that run requests for it.
	peerStats map[api.DaemonID]*upstreamStats
	crashes   *quarantine.Contents
	// unconfirmed are crashes that a cut-off of this daemon may explain.
	unconfirmed unconfirmedCrashes
	waiting     []*job                       // for a request limit or window
	shares      map[string]*fairshare.Shares // by service
	estimates   map[string]windowEstimate    // by service
}

// job is a request in progress.
type job struct {
	request         *opaque.Request
	ctx             context.Context
	reply           *ring.Slot[reply]
	tried           map[api.UpstreamID]bool
	triedPeers      map[api.DaemonID]bool
	attempts        int               // at upstreams, by this daemon
	runs            int               // attempts that may have run, also by peers
	mayHaveRun      bool              // an attempt may have run
	retryAfter      time.Duration     // named by the last peer that did not run it
	losses          []quarantine.Loss // connections lost while it ran
	failureResponse *opaque.Response
	lastErr         error
	content         uint64 // fingerprint of the request
	// stream receives the events; nil for a request without streaming.
	stream *stream
	// waitingSince is when the job began to wait for a request limit; zero if it doesn't.
	waitingSince time.Time
	demanded     bool // counted as demand for an upstream with a limit
	// beganAt is the start of the first attempt that may have run; counted is set once
	// Config.OnBegan is told.
	beganAt time.Time
	counted bool
	charged bool // counted as use of its customer's share
	asked   bool // counted as its customer's demand
}

// attempt is one attempt at a job on one upstream.
type attempt struct {
	job       *job
	upstream  *directory.Upstream // nil: through a peer
	peer      *opaque.Peer
	startedAt time.Time
	timeout   time.Duration
	response  *opaque.Response
	streamed  bool // the response went to the job's stream
	err       error
	// upstreamID and head are what a peer returned: the upstream that responded, and the
	// head of a streamed response.
	upstreamID api.UpstreamID
	head       *opaque.Response
}

// reply ends a request. Err is nil, *opaque.NotRunError or *opaque.FailedError.
type reply struct {
	Response *opaque.Response
	Err      error
	Upstream api.UpstreamID
}

// Start starts the duties. view returns the current directory.
func Start(sys *duty.System, cfg Config, log *zap.Logger, exchanger opaque.Exchanger, view func() *directory.View) *Relay {
	if cfg.OnBegan == nil {
		cfg.OnBegan = ignoreBegan
	}
	r := &Relay{cfg: cfg, log: log, view: view, stats: make(map[api.UpstreamID]*upstreamStats), peerStats: make(map[api.DaemonID]*upstreamStats), shares: make(map[string]*fairshare.Shares), estimates: make(map[string]windowEstimate), crashes: quarantine.NewContents(daemonSpread(string(cfg.Chooser.Daemon)))}
	r.worker = &worker{exchanger: exchanger, forwarder: cfg.Peers.Forwarder, streams: cfg.Streams, current: cfg.UpstreamsCurrent, onBegan: cfg.OnBegan, now: cfg.Now}
	r.tasks = duty.NewTasks(sys, "attempt")
	r.duty = duty.Start(sys, duty.Config{Name: "relay", RingSize: cfg.RingSize, Tick: cfg.WaitTick, IdleTick: time.Second}, duty.Handler[any](r))
	return r
}

// Forward forwards a request and returns its response with the upstream's id. It
// returns early when ctx ends. Errors: *opaque.NotRunError, *opaque.FailedError.
func (r *Relay) Forward(ctx context.Context, q *opaque.Request) (*opaque.Response, api.UpstreamID, error) {
	j := newJob(ctx, q)
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	return r.wait(j)
}

func newJob(ctx context.Context, q *opaque.Request) *job {
	return &job{request: q, ctx: ctx, reply: ring.NewSlot[reply](), tried: make(map[api.UpstreamID]bool), triedPeers: make(map[api.DaemonID]bool), content: fingerprint(q)}
}

// submit posts a job to the duty. Errors: *opaque.NotRunError.
func (r *Relay) submit(j *job) error {
	if err := r.duty.Post(j); err != nil {
		return elsewhere(&opaque.NotRunError{Reason: err.Error(), RetryAfter: r.cfg.RetryAfter})
	}
	return nil
}

// elsewhere marks a request that has not run as one that another daemon may be able to run.
func elsewhere(err error) error {
	var notRun *opaque.NotRunError
	if errors.As(err, &notRun) {
		notRun.Elsewhere = true
	}
	return err
}

// wait waits until a job or its context ends. Errors: those of Forward.
func (r *Relay) wait(j *job) (*opaque.Response, api.UpstreamID, error) {
	rep, err := j.reply.Wait(j.ctx)
	if err != nil {
		return nil, "", &opaque.FailedError{Reason: "the caller disconnected or the deadline passed", DeadlineExceeded: true}
	}
	return rep.Response, rep.Upstream, rep.Err
}

// AddCrashes adds the connections to upstreams that another daemon lost while a request
// ran, or clears those of the request if there are none. It never blocks; if the ring is
// full, the report is dropped.
func (r *Relay) AddCrashes(content uint64, losses []quarantine.Loss) {
	if err := r.duty.Post(peerCrashes{content, losses}); err != nil {
		r.log.Warn("crash report of another daemon dropped", zap.Uint64("content", content), zap.Error(err))
	}
}

// peerCrashes is another daemon's report of lost connections.
type peerCrashes struct {
	content uint64
	losses  []quarantine.Loss
}

func (r *Relay) addPeerCrashes(p peerCrashes) {
	if len(p.losses) == 0 {
		r.crashes.Clear(p.content)
	}
	for _, l := range p.losses {
		r.crashes.Add(p.content, l)
	}
}

// Handle processes a new job, the end of an attempt, a peer's crash report or a question.
func (r *Relay) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *job:
		r.startNext(m)
	case *attempt:
		r.inFlight--
		if m.peer != nil {
			r.handlePeerEnd(m)
		} else {
			r.handleEnd(m)
		}
	case *explanation:
		m.reply.Put(r.explain(ctx, m.request))
	case peerCrashes:
		r.addPeerCrashes(m)
	}
}

// Tick starts requests that a request limit allows now, and drops the statistics of
// removed upstreams and expired crashes.
func (r *Relay) Tick(context.Context) {
	r.startWaiting()
	view, now := r.view(), r.cfg.Now()
	for id, s := range r.stats {
		if _, ok := view.Upstreams[id]; !ok && s.inFlight == 0 {
			delete(r.stats, id)
		}
	}
	for id, s := range r.peerStats {
		if s.inFlight == 0 && now.Sub(s.backoffUntil) > r.cfg.MaxBackoff {
			delete(r.peerStats, id)
		}
	}
	r.crashes.Expire(now)
	r.confirmCrashes(now)
}

// startNext starts a job's next attempt or finishes the job.
func (r *Relay) startNext(j *job) {
	q, now := j.request, r.cfg.Now()
	if j.ctx.Err() != nil || !now.Before(q.Deadline) {
		r.finish(j, reply{Err: j.failure("the deadline passed", true, r.cfg.RetryAfter)})
		return
	}
	if err := r.checkKey(j, now); err != nil {
		r.finish(j, reply{Err: err})
		return
	}
	if !r.admitContent(j, now) {
		return
	}
	if r.startForwarded(j, now) {
		return
	}
	if j.attempts >= q.Route.MaxAttempts || j.runs >= q.Route.MaxAttempts {
		r.finish(j, reply{Response: j.failureResponse, Err: j.failure("all attempts failed", false, r.cfg.RetryAfter)})
		return
	}
	c := r.choose(j, now)
	if !c.ok {
		r.finish(j, reply{Err: elsewhere(j.failure("no upstream available for service "+q.Service, false, r.cfg.RetryAfter))})
		return
	}
	r.countDemand(j, c.candidates, c.waits)
	if c.waits {
		r.waitForLimit(j, c.chosen, now)
		return
	}
	if !r.hasRoom() {
		r.finish(j, r.tooMany(j))
		return
	}
	r.startAttempt(j, c.chosen.Upstream, now)
}

// choice is the decision about the upstream of a job's next attempt.
type choice struct {
	candidates []opaque.Candidate
	chosen     opaque.Candidate
	ok         bool // there is an upstream that the job may be sent to
	waits      bool // the job has to wait for the upstream's limits first
}

// choose decides about the upstream of a job's next attempt.
func (r *Relay) choose(j *job, now time.Time) choice {
	c := choice{candidates: r.candidates(j, now)}
	r.setWaits(j, c.candidates, now)
	r.setWindowWaits(j, c.candidates, now)
	c.chosen, c.ok = r.cfg.Chooser.PickFor(j.request.Route.LatencyTarget, c.candidates)
	c.ok = c.ok && (!c.chosen.Tried || j.request.Route.Repeatable() || !j.mayHaveRun)
	c.waits = c.ok && r.mustWait(j, c.chosen)
	return c
}

// hasRoom reports whether this host bears another attempt.
func (r *Relay) hasRoom() bool { return r.inFlight < r.cfg.MaxInFlight }

const tooManyAttempts = "too many requests in progress"

// tooMany refuses a job for which there is no room.
func (r *Relay) tooMany(j *job) reply {
	refusedForRoom.Add(1)
	return reply{Err: elsewhere(j.failure(tooManyAttempts, false, r.cfg.RetryAfter))}
}

func (r *Relay) startAttempt(j *job, u *directory.Upstream, now time.Time) {
	a := &attempt{
		job: j, upstream: u, startedAt: now,
		timeout: r.cfg.AttemptTimeouts.AttemptTimeout(j.request, now, j.request.Route.MaxAttempts-j.attempts),
	}
	r.cfg.Limits.Take(u.ID, now)
	r.charge(j, now)
	j.waitingSince = time.Time{}
	j.attempts++
	j.tried[u.ID] = true
	stats := r.statsOf(u.ID)
	stats.inFlight++
	stats.bytes += len(j.request.Body)
	r.start(a)
}

// start makes an attempt in a task of its own.
func (r *Relay) start(a *attempt) {
	r.inFlight++
	r.tasks.Start(func(ctx context.Context) {
		r.worker.attempt(a)
		_ = r.duty.PostWait(ctx, a) // fails only while stopping
	})
}

// failure returns the error of a job without a response, or nil if a failure
// response of an upstream is the result.
func (j *job) failure(reason string, deadlineExceeded bool, retryAfter time.Duration) error {
	if j.failureResponse != nil && !deadlineExceeded {
		return nil
	}
	if j.lastErr != nil {
		reason += "; last error: " + j.lastErr.Error()
	}
	if j.mayHaveRun {
		return &opaque.FailedError{Reason: reason, DeadlineExceeded: deadlineExceeded}
	}
	return &opaque.NotRunError{Reason: reason, RetryAfter: retryAfter}
}

// handleEnd finishes a job after an attempt or starts the next one.
func (r *Relay) handleEnd(a *attempt) {
	now := r.cfg.Now()
	j, stats := a.job, r.statsOf(a.upstream.ID)
	stats.inFlight--
	stats.bytes -= len(j.request.Body)
	a.rejectLateResponse()
	if a.err == nil {
		r.noteBegan(a, true)
	}
	r.observeWindow(a, now)
	defer r.startWaitingForWindows()
	if a.err == nil && !isFailure(a.response) {
		if !a.streamed {
			stats.succeeded(now.Sub(a.startedAt), now) // a stream's duration does not measure the upstream
		} else {
			stats.consecutiveFailures = 0
		}
		r.finish(j, reply{Response: a.response, Upstream: a.upstream.ID})
		return
	}
	r.log.Info("attempt failed", zap.String("request", string(j.request.ID)), zap.String("upstream", string(a.upstream.ID)),
		zap.Int("attempt", j.attempts), zap.Duration("took", now.Sub(a.startedAt)), zap.Duration("limit", a.timeout), zap.Int64("last_event", j.lastEvent()), zap.Error(a.cause()))
	if a.err == nil {
		j.failureResponse, j.mayHaveRun = a.response, true
		j.runs++
	} else {
		r.recordFailure(a, stats, now)
	}
	if j.mayHaveRun && !j.request.Route.Repeatable() {
		r.finish(j, reply{Response: j.failureResponse, Err: j.failure("the upstream failed", false, r.cfg.RetryAfter), Upstream: a.upstream.ID})
		return
	}
	r.startNext(j)
}

// recordFailure records a failed attempt in its job, the upstream's statistics and
// the crash counts.
func (r *Relay) recordFailure(a *attempt, stats *upstreamStats, now time.Time) {
	a.job.lastErr = a.err
	var e *opaque.AttemptError
	if !errors.As(a.err, &e) {
		a.job.mayHaveRun = true
		a.job.runs++
		r.noteBegan(a, false)
		return
	}
	if e.Execution == opaque.ExecutionUnknown {
		a.job.mayHaveRun = true
		a.job.runs++
		r.noteBegan(a, false)
	}
	if a.job.ctx.Err() == nil && !e.Busy {
		stats.failed(now, r.cfg.Backoff, r.cfg.MaxBackoff)
	}
	if !a.job.request.Owed && e.ConnectionLost && !errors.Is(e, context.DeadlineExceeded) && a.job.ctx.Err() == nil {
		r.addCrash(a, now)
	}
}

func (a *attempt) cause() error {
	if a.err != nil {
		return a.err
	}
	return &opaque.FailedError{Reason: "the upstream responded with a failure"}
}

// isFailure reports whether a response is a server error, after which a repeatable
// request is retried on another upstream.
func isFailure(resp *opaque.Response) bool {
	const serverError = 500
	return resp.Status >= serverError
}

func (r *Relay) finish(j *job, rep reply) {
	if j.stream != nil {
		j.stream.close()
	}
	if rep.Err == nil && rep.Response == nil {
		rep.Response = j.failureResponse
	}
	if rep.Response != nil {
		rep.Err = nil
	}
	r.reportCrashes(j, rep)
	r.countUncertain(j)
	j.reply.Put(rep)
}

// Stop stops the duties. Errors: ctx.Err().
func (r *Relay) Stop(ctx context.Context) error { return duty.StopWithTasks(ctx, r.duty, r.tasks) }

// worker makes attempts, each in a task of its own.
type worker struct {
	exchanger opaque.Exchanger
	forwarder opaque.Forwarder
	streams   StreamIndex
	current   func() bool // Config.UpstreamsCurrent
	onBegan   func(customer string, at time.Time)
	now       func() time.Time
}

// attempt makes one attempt.
func (w *worker) attempt(a *attempt) {
	ctx, cancel := context.WithTimeout(a.job.ctx, a.timeout)
	defer cancel()
	switch {
	case a.peer != nil:
		w.forward(ctx, a)
	case a.job.stream != nil:
		w.stream(ctx, a)
	default:
		a.response, a.err = w.exchanger.Exchange(ctx, a.upstream, a.job.request)
	}
}
