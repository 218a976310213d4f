// Package runner runs the items that are placed on this daemon's upstreams:
// one duty decides which runs go on, others carry one run each.
package runner

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"go.uber.org/zap"
)

// Config of a Runner.
type Config struct {
	Self     api.DaemonID
	Process  string // unique to this run of the process
	Workers  int
	RingSize int
	Tick     time.Duration
	// FirstEventTimeout is how long a run may wait for its first event, EventGap for
	// each further one.
	FirstEventTimeout, EventTimeout time.Duration
	// FlushInterval is how often the text of a run in progress is stored.
	FlushInterval time.Duration
	// RetryDelay is how long a run waits after its upstream was busy.
	RetryDelay time.Duration
	// PromptRetryDelay is how long a run waits after its item's body could not be read.
	PromptRetryDelay time.Duration
	// BusyLimit is the number of times in a row that an upstream may be busy
	// before an item is moved to another.
	BusyLimit int
	// Pace decides which upstreams are slow; PaceEvery is the time between two
	// looks at how fast runs go on.
	Pace            pace.Config
	MeasureInterval time.Duration
	// MinIntervalChange is the relative change of a pace from which on it is told again.
	MinIntervalChange float64
	Now               func() time.Time
}

// Deps of a Runner.
type Deps struct {
	Engine generation.Engine
	View   func() *directory.View
	// StoreText stores events and appends the record that names them, however
	// long that takes, and waits for the record's offset.
	StoreText func(ctx context.Context, r *batch.TextAdded, data string) (batch.Offset, error)
	// Prompt returns the body of an item.
	Prompt func(ctx context.Context, at batch.ChunkRef) ([]byte, error)
	// PostText does the same without waiting.
	PostText func(r *batch.TextAdded, data string) error
	// Propose appends a record without waiting.
	Propose func(r batch.Record) error
	// OnOutcome is told how runs at an upstream went, and that one is slow.
	OnOutcome func(generation.Outcome)
	// LeasedUpstreams are those under a lease, with their paces as last told.
	LeasedUpstreams func() []batch.Upstream
}

// Runner is the handle of the duties.
type Runner struct {
	cfg         Config
	deps        Deps
	log         *zap.Logger
	duty        *duty.Duty[any]
	workers     *duty.Pool[*run]
	wanted      map[batch.ItemKey]batch.Run
	applied     batch.Offset
	active      map[batch.ItemKey]*run
	busyCounts  map[batch.ItemKey]int
	retryAt     map[batch.ItemKey]time.Time
	startedRuns int // runs
	paces       map[api.UpstreamID]*intervalState
	measuredAt  time.Time // at the paces
}

// update replaces what this daemon is to run.
type update struct {
	runs    map[batch.ItemKey]batch.Run
	applied batch.Offset
}

// run is a run on a carrier.
type run struct {
	batch.Run
	key            batch.ItemKey
	id             string
	worker         int
	upstream       *directory.Upstream
	ctx            context.Context
	cancel         context.CancelFunc
	startedAt      time.Time
	result         result
	reported       bool
	evicted        bool         // its upstream is slow: it goes on elsewhere
	events         atomic.Int64 // that came so far
	readingDone    atomic.Bool  // no more will come; the text may still wait to be stored
	measuredEvents int64        // of them, by the pace
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Runner {
	r := &Runner{
		cfg: cfg, deps: deps, log: log, active: make(map[batch.ItemKey]*run),
		paces: make(map[api.UpstreamID]*intervalState), busyCounts: make(map[batch.ItemKey]int), retryAt: make(map[batch.ItemKey]time.Time),
	}
	c := &worker{cfg: cfg, deps: deps, log: log, postEnd: func(ctx context.Context, a *run) { _ = r.duty.PostWait(ctx, a) }} // fails at the stop only
	r.workers = duty.NewPool(sys, duty.Config{Name: "run-carrier"}, cfg.Workers, func() duty.Handler[*run] { return c })
	r.duty = duty.Start(sys, duty.Config{Name: "runner", RingSize: cfg.RingSize, Tick: cfg.Tick}, duty.Handler[any](r))
	return r
}

// Update replaces what this daemon is to run. A full ring drops it: the next
// update has all that this one had.
func (r *Runner) Update(runs map[batch.ItemKey]batch.Run, applied batch.Offset) {
	if err := r.duty.Post(&update{runs: runs, applied: applied}); err != nil {
		r.log.Warn("update of runs dropped", zap.Error(err))
	}
}

// Handle takes an update or a run's end.
func (r *Runner) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *update:
		r.wanted, r.applied = m.runs, m.applied
	case *run:
		r.workers.Release(m.worker)
		r.handleEnd(m)
	}
	r.reconcile(ctx)
}

// Tick looks at the paces and starts what waited.
func (r *Runner) Tick(ctx context.Context) {
	r.measureEventIntervals()
	r.reconcile(ctx)
}

// reconcile cancels runs that are no longer wanted and starts those that are.
func (r *Runner) reconcile(ctx context.Context) {
	for key, a := range r.active {
		w, ok := r.wanted[key]
		switch {
		case a.reported && r.applied >= a.result.offset:
			delete(r.active, key)
		case a.reported:
		case !ok || w.Upstream != a.Upstream || w.LeaseOffset != a.LeaseOffset:
			a.cancel()
		}
	}
	now := r.cfg.Now()
	for key, w := range r.wanted {
		if !r.workers.Idle() {
			break
		}
		if r.active[key] == nil && !now.Before(r.retryAt[key]) {
			r.start(ctx, key, w, now)
		}
	}
	for key := range r.retryAt {
		if _, ok := r.wanted[key]; !ok {
			delete(r.retryAt, key)
			delete(r.busyCounts, key)
		}
	}
}

func (r *Runner) start(ctx context.Context, key batch.ItemKey, w batch.Run, now time.Time) {
	v := r.deps.View()
	u, ok := v.Upstreams[w.Upstream]
	if !ok || v.Table == nil || u.Draining {
		r.retryAt[key] = now.Add(r.cfg.RetryDelay)
		if ok && u.Draining {
			r.proposeMove(key, w, "the upstream is draining")
		}
		return
	}
	route, ok := v.Table.Match(w.Job.Host, w.Item.Path)
	if !ok || !route.RoutesTo(u.Service) {
		r.retryAt[key] = now.Add(r.cfg.RetryDelay)
		r.log.Info("run not allowed", zap.String("item", string(key.Item)), zap.String("upstream", string(u.ID)), zap.Uint64("config", v.Table.Version()))
		return
	}
	carrier, ok := r.workers.Acquire()
	if !ok {
		return // reconcile asked before
	}
	r.startedRuns++
	a := &run{Run: w, key: key, id: fmt.Sprintf("%s/%d", r.cfg.Process, r.startedRuns), worker: carrier, upstream: u, startedAt: now}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.active[key] = a
	if err := r.workers.Post(carrier, a); err != nil {
		a.cancel() // stopping
	}
}

// handleEnd decides what follows a run.
func (r *Runner) handleEnd(a *run) {
	a.cancel()
	a.reported = true
	res := a.result
	r.log.Info("run ended", zap.String("job", string(a.key.Job)), zap.String("item", string(a.key.Item)),
		zap.String("upstream", string(a.Upstream)), zap.Uint64("lease", uint64(a.LeaseOffset)), zap.Int("from", a.EventCount), zap.Int("events", res.events),
		zap.Bool("whole", res.complete), zap.Duration("first", res.firstEventAfter), zap.Duration("took", r.cfg.Now().Sub(a.startedAt)),
		zap.Bool("cancelled", res.cancelled), zap.Error(res.err))
	retryAt := r.cfg.Now().Add(r.cfg.RetryDelay)
	if res.cancelled {
		delete(r.active, a.key)
		if a.evicted {
			r.retryAt[a.key] = retryAt
			r.proposeMove(a.key, a.Run, "the upstream is slow")
		}
		return
	}
	var unread *PromptError
	if errors.As(res.err, &unread) {
		delete(r.active, a.key)
		r.retryAt[a.key] = r.cfg.Now().Add(r.cfg.PromptRetryDelay)
		return
	}
	r.deps.OnOutcome(res.outcome(a))
	if res.complete {
		return
	}
	r.retryAt[a.key] = retryAt
	switch cause := res.cause(); {
	case cause == generation.CauseBusy && res.events == 0:
		r.busyCounts[a.key]++
		if r.busyCounts[a.key] >= r.cfg.BusyLimit {
			r.busyCounts[a.key] = 0
			r.proposeMove(a.key, a.Run, "the upstream stays busy")
		}
	case cause == generation.CauseFailed || cause == generation.CauseInvalidItem:
		r.propose(&batch.ItemFailed{Job: a.key.Job, Item: a.key.Item, Status: res.status(), Final: cause == generation.CauseInvalidItem})
	default:
		r.proposeMove(a.key, a.Run, "the run broke")
	}
	if res.offset == 0 {
		delete(r.active, a.key)
	}
}

// proposeMove has an item placed anew.
func (r *Runner) proposeMove(key batch.ItemKey, w batch.Run, reason string) {
	r.log.Info("item moved", zap.String("job", string(key.Job)), zap.String("item", string(key.Item)),
		zap.String("upstream", string(w.Upstream)), zap.String("reason", reason))
	r.propose(&batch.ItemMoved{Job: key.Job, Item: key.Item, FromUpstream: w.Upstream})
}

func (r *Runner) propose(rec batch.Record) {
	if err := r.deps.Propose(rec); err != nil {
		r.log.Warn("proposal not queued", zap.Any("record", rec), zap.Error(err))
	}
}

// Stop ends the duties; runs in progress are given up. Errors: ctx.Err().
func (r *Runner) Stop(ctx context.Context) error { return duty.StopPool(ctx, r.duty, r.workers) }
