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
	Carriers int
	RingSize int
	Tick     time.Duration
	// FirstEvent is how long a run may wait for its first event, EventGap for
	// each further one.
	FirstEvent, EventGap time.Duration
	// FlushEvery is how often the text of a run in progress is stored.
	FlushEvery time.Duration
	// Retry is how long a run waits after its upstream was busy.
	Retry time.Duration
	// PromptRetry is how long a run waits after its item's body could not be read.
	PromptRetry time.Duration
	// BusyLimit is the number of times in a row that an upstream may be busy
	// before an item is moved to another.
	BusyLimit int
	// Pace decides which upstreams are slow; PaceEvery is the time between two
	// looks at how fast runs go on.
	Pace      pace.Config
	PaceEvery time.Duration
	// PaceChange is the relative change of a pace from which on it is told again.
	PaceChange float64
	Now        func() time.Time
}

// Deps of a Runner.
type Deps struct {
	Engine generation.Engine
	View   func() *directory.View
	// StoreText stores events and appends the record that names them, however
	// long that takes, and waits for the record's offset.
	StoreText func(ctx context.Context, r *batch.TextAdded, data string) (batch.Offset, error)
	// Prompt returns the body of an item.
	Prompt func(ctx context.Context, at batch.Chunk) ([]byte, error)
	// PostText does the same without waiting.
	PostText func(r *batch.TextAdded, data string) error
	// Propose appends a record without waiting.
	Propose func(r batch.Record) error
	// Ran is told how runs at an upstream went, and that one is slow.
	Ran func(generation.Outcome)
	// Upstreams are those under a lease, with their paces as last told.
	Upstreams func() []batch.Upstream
}

// Runner is the handle of the duties.
type Runner struct {
	cfg      Config
	deps     Deps
	log      *zap.Logger
	duty     *duty.Duty[any]
	carriers *duty.Pool[*run]
	wanted   map[batch.Key]batch.Run
	applied  batch.Offset
	active   map[batch.Key]*run
	busy     map[batch.Key]int
	retryAt  map[batch.Key]time.Time
	begun    int // runs
	paces    map[api.UpstreamID]*paceState
	looked   time.Time // at the paces
}

// update replaces what this daemon is to run.
type update struct {
	runs    map[batch.Key]batch.Run
	applied batch.Offset
}

// run is a run on a carrier.
type run struct {
	batch.Run
	key      batch.Key
	id       string
	carrier  int
	upstream *directory.Upstream
	ctx      context.Context
	cancel   context.CancelFunc
	began    time.Time
	result   result
	ended    bool
	evicted  bool         // its upstream is slow: it goes on elsewhere
	events   atomic.Int64 // that came so far
	over     atomic.Bool  // no more will come; the text may still wait to be stored
	counted  int64        // of them, by the pace
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Runner {
	r := &Runner{
		cfg: cfg, deps: deps, log: log, active: make(map[batch.Key]*run),
		paces: make(map[api.UpstreamID]*paceState), busy: make(map[batch.Key]int), retryAt: make(map[batch.Key]time.Time),
	}
	c := &carrier{cfg: cfg, deps: deps, log: log, report: func(ctx context.Context, a *run) { _ = r.duty.PostWait(ctx, a) }} // fails at the stop only
	r.carriers = duty.NewPool(sys, duty.Config{Name: "run-carrier"}, cfg.Carriers, func() duty.Handler[*run] { return c })
	r.duty = duty.Start(sys, duty.Config{Name: "runner", RingSize: cfg.RingSize, Tick: cfg.Tick}, duty.Handler[any](r))
	return r
}

// Update replaces what this daemon is to run. A full ring drops it: the next
// update has all that this one had.
func (r *Runner) Update(runs map[batch.Key]batch.Run, applied batch.Offset) {
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
		r.carriers.Give(m.carrier)
		r.finished(m)
	}
	r.reconcile(ctx)
}

// Tick looks at the paces and starts what waited.
func (r *Runner) Tick(ctx context.Context) {
	r.measure()
	r.reconcile(ctx)
}

// reconcile cancels runs that are no longer wanted and starts those that are.
func (r *Runner) reconcile(ctx context.Context) {
	for key, a := range r.active {
		w, ok := r.wanted[key]
		switch {
		case a.ended && r.applied >= a.result.offset:
			delete(r.active, key)
		case a.ended:
		case !ok || w.Upstream != a.Upstream || w.Lease != a.Lease:
			a.cancel()
		}
	}
	now := r.cfg.Now()
	for key, w := range r.wanted {
		if !r.carriers.Idle() {
			break
		}
		if r.active[key] == nil && !now.Before(r.retryAt[key]) {
			r.start(ctx, key, w, now)
		}
	}
	for key := range r.retryAt {
		if _, ok := r.wanted[key]; !ok {
			delete(r.retryAt, key)
			delete(r.busy, key)
		}
	}
}

func (r *Runner) start(ctx context.Context, key batch.Key, w batch.Run, now time.Time) {
	v := r.deps.View()
	u, ok := v.Upstreams[w.Upstream]
	if !ok || v.Table == nil || u.Draining {
		r.retryAt[key] = now.Add(r.cfg.Retry)
		if ok && u.Draining {
			r.move(key, w, "the upstream is draining")
		}
		return
	}
	route, ok := v.Table.Match(w.Job.Host, w.Item.Path)
	if !ok || !route.Serves(u.Service) {
		r.retryAt[key] = now.Add(r.cfg.Retry)
		r.log.Info("run not allowed", zap.String("item", string(key.Item)), zap.String("upstream", string(u.ID)), zap.Uint64("config", v.Table.Version()))
		return
	}
	carrier, ok := r.carriers.Take()
	if !ok {
		return // reconcile asked before
	}
	r.begun++
	a := &run{Run: w, key: key, id: fmt.Sprintf("%s/%d", r.cfg.Process, r.begun), carrier: carrier, upstream: u, began: now}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.active[key] = a
	if err := r.carriers.Post(carrier, a); err != nil {
		a.cancel() // stopping
	}
}

// finished decides what follows a run.
func (r *Runner) finished(a *run) {
	a.cancel()
	a.ended = true
	res := a.result
	r.log.Info("run ended", zap.String("job", string(a.key.Job)), zap.String("item", string(a.key.Item)),
		zap.String("upstream", string(a.Upstream)), zap.Uint64("lease", uint64(a.Lease)), zap.Int("from", a.Events), zap.Int("events", res.events),
		zap.Bool("whole", res.whole), zap.Duration("first", res.first), zap.Duration("took", r.cfg.Now().Sub(a.began)),
		zap.Bool("cancelled", res.cancelled), zap.Error(res.err))
	retryAt := r.cfg.Now().Add(r.cfg.Retry)
	if res.cancelled {
		delete(r.active, a.key)
		if a.evicted {
			r.retryAt[a.key] = retryAt
			r.move(a.key, a.Run, "the upstream is slow")
		}
		return
	}
	var unread *PromptError
	if errors.As(res.err, &unread) {
		delete(r.active, a.key)
		r.retryAt[a.key] = r.cfg.Now().Add(r.cfg.PromptRetry)
		return
	}
	r.deps.Ran(res.outcome(a))
	if res.whole {
		return
	}
	r.retryAt[a.key] = retryAt
	switch cause := res.cause(); {
	case cause == generation.CauseBusy && res.events == 0:
		r.busy[a.key]++
		if r.busy[a.key] >= r.cfg.BusyLimit {
			r.busy[a.key] = 0
			r.move(a.key, a.Run, "the upstream stays busy")
		}
	case cause == generation.CauseFailed || cause == generation.CauseImpossible:
		r.propose(&batch.ItemFailed{Job: a.key.Job, Item: a.key.Item, Status: res.status(), Final: cause == generation.CauseImpossible})
	default:
		r.move(a.key, a.Run, "the run broke")
	}
	if res.offset == 0 {
		delete(r.active, a.key)
	}
}

// move has an item placed anew.
func (r *Runner) move(key batch.Key, w batch.Run, reason string) {
	r.log.Info("item moved", zap.String("job", string(key.Job)), zap.String("item", string(key.Item)),
		zap.String("upstream", string(w.Upstream)), zap.String("reason", reason))
	r.propose(&batch.ItemMoved{Job: key.Job, Item: key.Item, From: w.Upstream})
}

func (r *Runner) propose(rec batch.Record) {
	if err := r.deps.Propose(rec); err != nil {
		r.log.Warn("proposal not queued", zap.Any("record", rec), zap.Error(err))
	}
}

// Stop ends the duties; runs in progress are given up. Errors: ctx.Err().
func (r *Runner) Stop(ctx context.Context) error { return duty.StopPool(ctx, r.duty, r.carriers) }
