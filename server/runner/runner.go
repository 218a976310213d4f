// Package runner runs the items that are placed on this daemon's upstreams. One
// duty starts and cancels runs; a task for each run reads its events.
package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"dotterelmount.example/lib/ratelimit"
	"go.uber.org/zap"
)

// Config configures a Runner.
type Config struct {
	Self     api.DaemonID
	Process  string // unique to this process instance
	Capacity Capacity
	RingSize int // capacity in messages
	Tick     time.Duration
	IdleTick time.Duration // while there are no runs
	// FirstEventTimeout bounds the time until a run's first event, EventTimeout
	// the time between events.
	FirstEventTimeout, EventTimeout time.Duration
	// FlushInterval is the time between writes of the text of a run in progress.
	FlushInterval time.Duration
	// RetryDelay is the minimum time until an item is run again after a run failed
	// or could not start.
	RetryDelay time.Duration
	// PromptRetryDelay is the same after the item's body could not be read.
	PromptRetryDelay time.Duration
	// BusyLimit is the number of consecutive busy responses after which an item is
	// moved to another upstream.
	BusyLimit int
	// MaxLimitWait is how long an item waits for its upstream's request limit before it is
	// moved to another upstream.
	MaxLimitWait time.Duration
	// LeaveMargin is the time before an upstream goes at which its runs are moved. The time
	// left is known as of the upstream's last description.
	LeaveMargin time.Duration
	// Pace decides which upstreams are slow. MeasureInterval is the time between
	// measurements of the event intervals.
	Pace            pace.Config
	MeasureInterval time.Duration
	// MinIntervalChange is the relative change of an event interval above which it
	// is proposed again.
	MinIntervalChange float64
	// MoveLate moves items that would miss their job's due time where they are.
	MoveLate bool
	Now      func() time.Time
}

// Deps are the dependencies of a Runner.
type Deps struct {
	Engine generation.Client
	View   func() *directory.View
	// StoreText stores events, appends the record that refers to them and returns
	// the record's offset. It retries until ctx ends.
	StoreText func(ctx context.Context, r *batch.TextAdded, data string) (batch.Offset, error)
	// Prompt returns the body of an item.
	Prompt func(ctx context.Context, at batch.ChunkRef) ([]byte, error)
	// PostText does the same as StoreText without waiting.
	PostText func(r *batch.TextAdded, data string) error
	// Propose appends a record without waiting.
	Propose func(r batch.Record) error
	// OnOutcome is called with the outcome of each run that reached its upstream
	// and was not cancelled, and when an upstream is found slow.
	OnOutcome func(generation.RunOutcome)
	// LeasedUpstreams returns the upstreams under a lease with the event intervals
	// from the journal.
	LeasedUpstreams func() []batch.Upstream
	// Limits are the request limits of upstreams.
	Limits *ratelimit.Buckets
	// TextDroppable reports whether a stored text of one weight version can be dropped again,
	// once no upstream has that version. Otherwise such a text is stored only when complete.
	TextDroppable func() bool
	// UpstreamsCurrent reports whether the list of upstreams was read a short time ago.
	UpstreamsCurrent func() bool
}

// Runner controls the duties. The fields from wanted on are accessed only on the
// duty that starts and cancels runs.
type Runner struct {
	cfg         Config
	deps        Deps
	log         *zap.Logger
	duty        *duty.Duty[any]
	tasks       *duty.Tasks
	worker      *worker
	load        load
	wanted      map[batch.ItemKey]batch.Run
	applied     batch.Offset
	active      map[batch.ItemKey]*run
	busyCounts  map[batch.ItemKey]int
	retryAt     map[batch.ItemKey]time.Time
	limited     map[batch.ItemKey]limitWait // items that wait for a request limit
	pausedAt    map[batch.ItemKey]int       // losses of upstreams for which the item has paused
	startedRuns int
	waiting     int // items that can't start for lack of capacity
	intervals   map[api.UpstreamID]*intervalState
	// oneVersion are the upstreams with wanted runs that must be of one weight version.
	oneVersion atomic.Pointer[map[api.UpstreamID]bool]
	measuredAt time.Time     // when event intervals were last measured
	startTime  time.Duration // average time from a run's start to its first event; 0: not known
}

// update replaces the set of wanted runs.
type update struct {
	runs    map[batch.ItemKey]batch.Run
	applied batch.Offset
}

// run is a run in progress, or one whose result is not applied yet.
type run struct {
	batch.Run
	key         batch.ItemKey
	id          string
	cost        int64
	upstream    *directory.Upstream
	ctx         context.Context
	cancel      context.CancelFunc
	startedAt   time.Time
	result      result
	finished    bool
	evicted     bool // to be moved to another upstream
	evictReason string
	// firstEventAfter and lastEventAfter are the times from the start to the first and the
	// newest event, in nanoseconds; 0: there was none.
	firstEventAfter, lastEventAfter atomic.Int64
	receivedEvents                  atomic.Int64 // number of events so far
	readingDone                     atomic.Bool  // no more events follow; the text may still wait to be stored
	measuredEvents                  int64        // receivedEvents at the last measurement
}

// Start starts the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Runner {
	r := &Runner{
		cfg: cfg, deps: deps, log: log, active: make(map[batch.ItemKey]*run),
		load: load{capacity: cfg.Capacity}, intervals: make(map[api.UpstreamID]*intervalState), busyCounts: make(map[batch.ItemKey]int), retryAt: make(map[batch.ItemKey]time.Time),
		limited: make(map[batch.ItemKey]limitWait), pausedAt: make(map[batch.ItemKey]int),
	}
	r.oneVersion.Store(&map[api.UpstreamID]bool{})
	r.tasks, r.worker = duty.NewTasks(sys, "run"), &worker{cfg: cfg, deps: deps, log: log}
	r.duty = duty.Start(sys, duty.Config{Name: "runner", RingSize: cfg.RingSize, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[any](r))
	return r
}

// Update replaces the runs that this daemon should have; applied is the journal
// offset that they are derived from. It never blocks. If the ring is full, the
// update is dropped, as the next one is complete too.
func (r *Runner) Update(runs map[batch.ItemKey]batch.Run, applied batch.Offset) {
	if err := r.duty.Post(&update{runs: runs, applied: applied}); err != nil {
		r.log.Warn("update of runs dropped", zap.Error(err))
	}
}

// Handle processes an update or the end of a run.
func (r *Runner) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *update:
		r.wanted, r.applied = m.runs, m.applied
		r.publishOneVersion()
	case *run:
		r.load.remove(m.cost)
		r.handleEnd(m)
	}
	r.reconcile(ctx)
}

// publishOneVersion publishes the upstreams for OneVersionRuns.
func (r *Runner) publishOneVersion() {
	upstreams := make(map[api.UpstreamID]bool)
	for _, run := range r.wanted {
		if run.Job.SingleVersion {
			upstreams[run.Upstream] = true
		}
	}
	r.oneVersion.Store(&upstreams)
}

// OneVersionRuns reports whether runs are wanted on an upstream that must end with the weight
// version they began with.
func (r *Runner) OneVersionRuns(id api.UpstreamID) bool { return (*r.oneVersion.Load())[id] }

// Tick measures event intervals and starts runs that are due for a retry.
func (r *Runner) Tick(ctx context.Context) {
	r.measureEventIntervals()
	r.moveFromLeaving(r.cfg.Now())
	r.moveStragglers(r.cfg.Now())
	r.reconcile(ctx)
}

// Idle implements duty.Idler.
func (r *Runner) Idle() bool { return len(r.wanted) == 0 && len(r.active) == 0 }

// reconcile cancels runs that are no longer wanted and starts those that are.
func (r *Runner) reconcile(ctx context.Context) {
	for key, active := range r.active {
		w, ok := r.wanted[key]
		switch {
		case active.finished && r.applied >= active.result.offset:
			delete(r.active, key)
		case active.finished:
		case !ok || w.Upstream != active.Upstream || w.LeaseOffset != active.LeaseOffset:
			active.cancel()
		}
	}
	now := r.cfg.Now()
	r.pauseAfterLosses(now)
	waiting := 0
	for _, key := range r.dueRuns(now) {
		wanted := r.wanted[key]
		// A later item doesn't overtake one that has no room: it would never have any.
		if waiting > 0 || !r.load.fits(cost(&wanted)) {
			waiting++
			continue
		}
		r.start(ctx, key, wanted, now)
	}
	r.noteWaiting(waiting)
	for key := range r.retryAt {
		if _, ok := r.wanted[key]; !ok {
			delete(r.retryAt, key)
			delete(r.busyCounts, key)
		}
	}
	for key := range r.limited {
		if _, ok := r.wanted[key]; !ok {
			delete(r.limited, key)
		}
	}
}

// dueRuns returns the items to be started, those of the oldest job first and, within a
// job, the longest first.
func (r *Runner) dueRuns(now time.Time) []batch.ItemKey {
	var due []batch.ItemKey
	for key := range r.wanted {
		if r.active[key] == nil && !now.Before(r.retryAt[key]) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b batch.ItemKey) int {
		runA, runB := r.wanted[a], r.wanted[b]
		return cmp.Or(
			cmp.Compare(runA.Job.SubmittedMillis, runB.Job.SubmittedMillis),
			cmp.Compare(runB.Item.OutputHint, runA.Item.OutputHint),
			cmp.Compare(a.Item, b.Item),
		)
	})
	return due
}

func (r *Runner) start(ctx context.Context, key batch.ItemKey, wanted batch.Run, now time.Time) {
	v := r.deps.View()
	u, ok := v.Upstreams[wanted.Upstream]
	if !ok || v.Table == nil || u.Draining {
		r.retryAt[key] = now.Add(r.cfg.RetryDelay)
		if ok && u.Draining {
			r.proposeMove(key, wanted, "the upstream is draining")
		}
		return
	}
	if wanted.EventCount > 0 && u.Software != wanted.Software {
		r.retryAt[key] = now.Add(r.cfg.RetryDelay)
		r.proposeMove(key, wanted, "the upstream's software can't continue the text")
		return
	}
	route, ok := v.Table.Match(wanted.Job.Host, wanted.Item.Path)
	if !ok || !route.RoutesTo(u.Service) {
		r.retryAt[key] = now.Add(r.cfg.RetryDelay)
		if wanted.Service != u.Service {
			r.proposeMove(key, wanted, "the job was rerouted")
			return
		}
		r.log.Info("run refused by the route table", zap.String("item", string(key.Item)), zap.String("upstream", string(u.ID)), zap.Uint64("config", v.Table.Version()))
		return
	}
	if !r.admit(key, wanted, now) {
		return
	}
	r.startedRuns++
	active := &run{Run: wanted, key: key, id: fmt.Sprintf("%s/%d", r.cfg.Process, r.startedRuns), cost: cost(&wanted), upstream: u, startedAt: now}
	active.ctx, active.cancel = context.WithCancel(ctx)
	r.active[key] = active
	r.load.add(active.cost)
	r.tasks.Start(func(ctx context.Context) {
		r.worker.work(ctx, active)
		_ = r.duty.PostWait(ctx, active) // fails only while stopping
	})
}

// handleEnd decides after a run whether its item is retried, moved or failed.
func (r *Runner) handleEnd(active *run) {
	active.cancel()
	active.finished = true
	res := active.result
	r.observeStart(res.firstEventAfter)
	r.log.Info("run ended", zap.String("job", string(active.key.Job)), zap.String("item", string(active.key.Item)),
		zap.String("upstream", string(active.Upstream)), zap.String("software", active.upstream.Software), zap.Uint64("lease", uint64(active.LeaseOffset)), zap.Int("from", active.EventCount), zap.Int("events", res.events),
		zap.Bool("whole", res.complete), zap.Duration("first", res.firstEventAfter), zap.Duration("took", r.cfg.Now().Sub(active.startedAt)),
		zap.Bool("cancelled", res.cancelled), zap.Error(res.err))
	retryAt := r.cfg.Now().Add(r.cfg.RetryDelay)
	if res.cancelled {
		delete(r.active, active.key)
		if active.evicted {
			r.retryAt[active.key] = retryAt
			r.proposeMove(active.key, active.Run, active.evictReason)
		}
		return
	}
	var promptErr *PromptError
	if errors.As(res.err, &promptErr) {
		delete(r.active, active.key)
		r.retryAt[active.key] = r.cfg.Now().Add(r.cfg.PromptRetryDelay)
		return
	}
	r.deps.OnOutcome(res.outcome(active))
	if res.complete {
		return
	}
	r.retryAt[active.key] = retryAt
	switch cause := res.cause(); {
	case cause == generation.CauseBusy && res.events == 0:
		r.busyCounts[active.key]++
		if r.busyCounts[active.key] >= r.cfg.BusyLimit {
			r.busyCounts[active.key] = 0
			r.proposeMove(active.key, active.Run, "the upstream is still busy")
		}
	case cause == generation.CauseFailed || cause == generation.CauseInvalidItem:
		r.propose(&batch.ItemFailed{Job: active.key.Job, Item: active.key.Item, Status: res.status(), Final: cause == generation.CauseInvalidItem})
	default:
		r.proposeMoveAfterFailure(active)
	}
	if res.offset == 0 {
		delete(r.active, active.key)
	}
}

// proposeMove proposes to place an item on another upstream.
func (r *Runner) proposeMove(key batch.ItemKey, wanted batch.Run, reason string) {
	r.logMove(key, wanted, reason)
	r.propose(&batch.ItemMoved{Job: key.Job, Item: key.Item, FromUpstream: wanted.Upstream})
}

func (r *Runner) logMove(key batch.ItemKey, wanted batch.Run, reason string) {
	r.log.Info("item move proposed", zap.String("job", string(key.Job)), zap.String("item", string(key.Item)),
		zap.String("upstream", string(wanted.Upstream)), zap.String("reason", reason))
}

func (r *Runner) propose(rec batch.Record) {
	if err := r.deps.Propose(rec); err != nil {
		r.log.Warn("proposal dropped", zap.Any("record", rec), zap.Error(err))
	}
}

// Stop stops the duties and cancels runs in progress. Errors: ctx.Err().
func (r *Runner) Stop(ctx context.Context) error { return duty.StopWithTasks(ctx, r.duty, r.tasks) }
