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
	"dotterelmount.example/server/worker"
)

// handler implements the dispatching duty and owns its state.
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
	eligible         map[eligibleKey][]*upstreamState // cache for the current lists
	plans            map[api.PlanName]*planState
	demand           demand
	windowsUpdatedAt time.Time           // when the shares were last applied
	untried          []routing.Candidate // buffer of candidates, reused
	tried            []routing.Candidate // buffer of candidates, reused
	idleWorkers      []int               // indexes of workers without a task
	lastAttemptID    uint64
	shortLatency     movingAverage    // duration of short calls, for hedging
	unloggedStrikes  []unloggedStrike // oldest first
	ticks            int
	wasIdle          bool            // at the end of the last tick
	callsCtx         context.Context // parent of all calls; cancelled when the duty stops
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

// minRetriesPerSecond allows retries on a daemon with few requests.
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
		h.publishView(h.cfg.Now()) // a view that shows a drain mark includes the calls started before it
	case strikeRecordedMsg:
		h.removeUnloggedStrike(m.strike)
	case peerStrikeMsg:
		h.addPeerStrike(m.strike)
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
	refreshTicks = 5  // ticks between refreshes of all upstreams
	viewTicks    = 20 // ticks between publications of the view
)

// Tick expires jobs, refreshes the upstreams' state, publishes the view and
// starts hedges and queued jobs.
func (h *handler) Tick(context.Context) {
	if s := h.d.state.Load(); s != h.state {
		h.applyState(s)
	}
	now := h.cfg.Now()
	for _, it := range h.queue.Expired(now) {
		h.expire(it.ID)
	}
	h.watchProgress(now)
	h.resolveAttributions(now)
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

// refreshUpstreams updates the window, the drain state and the slowness of all
// upstreams.
func (h *handler) refreshUpstreams(now time.Time) {
	h.updateWindows(now)
	for id, u := range h.upstreams {
		u.draining = h.d.isDraining(h.state, &u.info)
		u.slow = u.observer.Slow(id, now)
	}
}

// refreshRunning updates the slowness of upstreams with calls in progress. Others
// have no new observations.
func (h *handler) refreshRunning(now time.Time) {
	for _, f := range h.flights {
		for _, a := range f.running {
			a.upstream.slow = a.upstream.observer.Slow(a.upstream.info.ID, now)
		}
	}
}

// Idle implements duty.Idler. It reports whether there is no job.
func (h *handler) Idle() bool { return len(h.flights) == 0 }

// Stopped cancels the calls in progress and finishes all jobs.
func (h *handler) Stopped() {
	h.cancelCalls()
	for _, f := range h.flights {
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: api.Errorf(api.CodeNotReady, "the daemon is stopping")})
	}
}

// Dropped finishes a job that was still in the ring when the duty stopped.
func (h *handler) Dropped(m event) {
	switch m := m.(type) {
	case submitMsg:
		refuse(m.job, api.Errorf(api.CodeNotReady, "the daemon is stopping"))
	case resultMsg:
		// Stopped has finished its flight.
	}
}

// applyState replaces the configuration unless it is older than the current one.
func (h *handler) applyState(s *ledger.State) {
	if h.state != nil && s.AppliedOffset < h.state.AppliedOffset {
		return
	}
	h.state = s
	h.removeLoggedPeerStrikes()
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
		h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: api.Errorf(api.CodeCancelled, "cancelled by the caller")})
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
		err = api.Errorf(api.CodeQuotaExceeded, "the deadline passed while plan %q was at its concurrency limit", f.job.Plan)
	}
	if f.lastErr != nil {
		err = api.Errorf(api.CodeDeadlineExceeded, "the deadline passed before a retry; last error: %w", f.lastErr)
	}
	h.finish(f, work.Result{Outcome: h.failureOutcome(f), Err: err})
}

// failureOutcome returns the outcome of a flight that is not retried. An attempt
// in progress counts as sent, as it may have reached its upstream.
func (h *handler) failureOutcome(f *flight) api.Outcome {
	return retry.FinalOutcome(retry.Failure{Sent: f.maybeSent || len(f.running) > 0, Responded: f.responded})
}

// finish ends a flight with a result and cancels its other attempts.
func (h *handler) finish(f *flight, res work.Result) {
	if h.flights[f.job.ID] != f {
		return
	}
	delete(h.flights, f.job.ID)
	invariant.Check(res.Outcome != api.OutcomeNotRun || !f.maybeSent && len(f.running) == 0, "not-run-was-not-sent",
		"request %s, tried %v", f.job.ID, f.tried)
	invariant.Check((res.Outcome == api.OutcomeComplete) == (res.Err == nil), "complete-has-no-error",
		"request %s: %s: %v", f.job.ID, res.Outcome, res.Err)
	h.plans[f.job.Plan].pending--
	if f.queued {
		h.queue.Remove(f.job.ID)
	}
	for _, other := range f.running {
		other.cancel()
	}
	res.Upstreams = f.tried
	count(f, res)
	f.job.Sink.Finish(res)
}

// releaseWorker returns a task's worker to the idle ones.
func (h *handler) releaseWorker(t *worker.Task) { h.idleWorkers = append(h.idleWorkers, t.Worker) }
