package dispatch

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/retry"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/carrier"
)

// handler is the state of the dispatching duty.
type handler struct {
	d           *Dispatcher
	cfg         Config
	state       *ledger.State
	queue       *admission.Queue
	policy      routing.Policy
	observers   map[observedGroup]*routing.Observer
	retryBudget *retry.Budget
	hedgeBudget *retry.Budget

	flights          map[api.RequestID]*flight
	upstreams        map[api.UpstreamID]*upstreamState
	eligible         map[eligibleKey][]*upstreamState // of this state's lists
	plans            map[api.PlanName]*planState
	demand           demand
	windowsUpdatedAt time.Time           // latest look at the shares
	untried          []routing.Candidate // reused between decisions
	tried            []routing.Candidate // reused between decisions
	idleWorkers      []int               // carriers without a task
	lastAttemptID    uint64
	shortLatency     movingAverage    // time of short work, for hedging
	unloggedStrikes  []unloggedStrike // oldest first
	ticks            int
	wasIdle          bool            // at the end of the last tick
	callsCtx         context.Context // ends with the duty
	cancelCalls      context.CancelFunc
}

func newHandler(d *Dispatcher) (*handler, error) {
	policy, err := routing.New(d.cfg.Routing)
	if err != nil {
		return nil, err
	}
	h := &handler{
		d: d, cfg: d.cfg, policy: policy,
		observers:   make(map[observedGroup]*routing.Observer),
		retryBudget: retry.NewBudget(d.cfg.RetryRatio, minRetriesPerSecond),
		hedgeBudget: retry.NewBudget(d.cfg.HedgeRatio, 0),
		flights:     make(map[api.RequestID]*flight),
		upstreams:   make(map[api.UpstreamID]*upstreamState),
		plans:       make(map[api.PlanName]*planState),
		demand:      demand{reported: make(map[quota.Resource]quota.Demand)},
		queue: admission.NewQueue(admission.Config{
			Limit: d.cfg.QueueLimit, Weights: d.cfg.LaneWeights, RolloutShare: d.cfg.RolloutShare,
		}),
	}
	for i := range d.cfg.Workers {
		h.idleWorkers = append(h.idleWorkers, i)
	}
	h.callsCtx, h.cancelCalls = context.WithCancel(context.Background())
	h.applyState(d.state.Load())
	return h, nil
}

// minRetriesPerSecond lets a quiet daemon retry at all.
const minRetriesPerSecond = 2

// Handle processes one message.
func (h *handler) Handle(_ context.Context, m event) {
	switch m := m.(type) {
	case submitMsg:
		h.submit(m.job)
	case cancelMsg:
		h.cancel(m.id)
	case resultMsg:
		h.handleResult(m.result)
	case stateMsg:
		h.applyState(m.state)
		h.publishView(h.cfg.Now()) // who sees a mark there sees the calls begun before it
	case strikeRecordedMsg:
		h.removeUnloggedStrike(m.strike)
	case sharesMsg:
		h.updateWindows(h.cfg.Now())
		h.startQueued()
		h.reportDemand(h.cfg.Now(), 0)
		return
	}
	h.startQueued()
	if h.queue.Len() > 0 {
		h.reportDemand(h.cfg.Now(), h.demandInterval())
	}
}

const (
	refreshTicks = 5  // ticks between two looks at all upstreams
	viewTicks    = 20 // ticks between two pictures of the state
)

// Tick looks at deadlines, shares and hedges.
func (h *handler) Tick(context.Context) {
	if s := h.d.state.Load(); s != h.state {
		h.applyState(s)
	}
	now := h.cfg.Now()
	for _, it := range h.queue.Expired(now) {
		h.expire(it.ID)
	}
	h.watchProgress(now)
	h.ticks++
	if h.ticks%refreshTicks == 0 || h.Idle() {
		h.refreshUpstreams(now)
	} else {
		h.refreshRunning(now)
	}
	if h.ticks%viewTicks == 0 || (h.Idle() && !h.wasIdle) {
		h.publishView(now)
	}
	h.wasIdle = h.Idle()
	h.hedge(now)
	h.startQueued()
	h.reportDemand(now, h.demandInterval())
}

// refreshUpstreams looks at every upstream anew.
func (h *handler) refreshUpstreams(now time.Time) {
	h.updateWindows(now)
	for id, u := range h.upstreams {
		u.draining = h.d.isDraining(h.state, &u.info)
		u.slow = u.observer.Slow(id, now)
	}
}

// refreshRunning looks at the upstreams that have calls in progress, of which
// alone there is news.
func (h *handler) refreshRunning(now time.Time) {
	for _, f := range h.flights {
		for _, a := range f.running {
			a.upstream.slow = a.upstream.observer.Slow(a.upstream.info.ID, now)
		}
	}
}

// Idle implements duty.Idler: there is no job.
func (h *handler) Idle() bool { return len(h.flights) == 0 }

// Stopped cuts what is still in progress.
func (h *handler) Stopped() {
	h.cancelCalls()
	for _, f := range h.flights {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: api.Errorf(api.CodeNotReady, "the daemon stopped")})
	}
}

// Dropped answers a job that was still in the ring at the stop.
func (h *handler) Dropped(m event) {
	switch m := m.(type) {
	case submitMsg:
		refuse(m.job, api.Errorf(api.CodeNotReady, "the daemon stopped"))
	case resultMsg:
		// Its flight was finished by Stopped.
	}
}

// applyState takes over a configuration.
func (h *handler) applyState(s *ledger.State) {
	if h.state != nil && s.AppliedOffset < h.state.AppliedOffset {
		return
	}
	h.state = s
	h.eligible = make(map[eligibleKey][]*upstreamState)
	for _, u := range h.upstreams {
		u.removed = true
	}
	for _, info := range s.Usage.Upstreams {
		u, ok := h.upstreams[info.ID]
		if !ok {
			u = &upstreamState{
				running: make(map[uint64]*attempt), window: h.newWindow(info.Window),
				observed: make(map[api.ModelName]observedVersion),
			}
			h.upstreams[info.ID] = u
		}
		u.info, u.removed = info, false
		u.observer = h.observerOf(&u.info)
		u.draining = h.d.isDraining(s, &info)
	}
	for id, u := range h.upstreams {
		if u.removed && len(u.running) == 0 {
			delete(h.upstreams, id)
			u.observer.Forget(id)
		}
	}
	h.applyPlans()
	h.updateWindows(h.cfg.Now())
}

func (h *handler) newWindow(limit int) *admission.Window {
	return admission.NewWindow(admission.WindowConfig{Limit: limit, Floor: 1, ShortReserve: h.cfg.ShortReserve})
}

func (h *handler) cancel(id api.RequestID) {
	f, ok := h.flights[id]
	if !ok {
		return
	}
	f.cancelled = true
	if f.queued && h.queue.Remove(id) {
		f.queued = false
	}
	if len(f.running) == 0 {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: api.Errorf(api.CodeCancelled, "the caller went away")})
		return
	}
	for _, a := range f.running {
		a.cancel()
	}
}

func (h *handler) expire(id api.RequestID) {
	f, ok := h.flights[id]
	if !ok {
		return
	}
	f.queued = false
	err := api.Errorf(api.CodeDeadlineExceeded, "the deadline passed while queued")
	if h.atConcurrencyLimit(f.job.Plan) {
		err = api.Errorf(api.CodeQuotaExceeded, "the deadline passed while plan %q was at its concurrency", f.job.Plan)
	}
	if f.lastErr != nil {
		err = api.Errorf(api.CodeDeadlineExceeded, "the deadline passed before another attempt after: %w", f.lastErr)
	}
	h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err})
}

// failureOutcome returns the outcome of a flight that is not tried again. An attempt
// still in progress may have been sent.
func (h *handler) failureOutcome(f *flight) api.Outcome {
	return retry.FinalOutcome(retry.Failure{Sent: f.maybeSent || len(f.running) > 0, Responded: f.answered})
}

// finish ends a flight; its other attempts are cancelled.
func (h *handler) finish(f *flight, a work.Result) {
	if h.flights[f.job.ID] != f {
		return
	}
	delete(h.flights, f.job.ID)
	invariant.Check(a.Outcome != api.OutcomeNotRun || !f.maybeSent && len(f.running) == 0, "not-run-was-not-sent",
		"request %s, tried %v", f.job.ID, f.tried)
	invariant.Check((a.Outcome == api.OutcomeComplete) == (a.Err == nil), "complete-has-no-error",
		"request %s: %s: %v", f.job.ID, a.Outcome, a.Err)
	h.plans[f.job.Plan].pending--
	if f.queued {
		h.queue.Remove(f.job.ID)
	}
	for _, other := range f.running {
		other.cancel()
	}
	a.Upstreams = f.tried
	count(f, a)
	f.job.Sink.Finish(a)
}

// releaseWorker frees what a task held.
func (h *handler) releaseWorker(t *carrier.Task) { h.idleWorkers = append(h.idleWorkers, t.Worker) }
