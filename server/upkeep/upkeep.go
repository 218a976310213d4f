// Package upkeep looks after the upstreams that this daemon holds: it has them
// load announced weight versions, and tells the log when one drains, fails or
// is well again. One duty decides, others carry one call each.
package upkeep

import (
	"context"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/loads"
	"dotterelmount.example/server/book"
	"go.uber.org/zap"
)

// Config of an Upkeep.
type Config struct {
	Self     api.DaemonID
	Callers  int
	RingSize int
	Tick     time.Duration
	Timeout  time.Duration // of one call
	// LeaseWait is how long a new holder leaves an upstream without orders, so
	// that the holder before has surely stopped.
	LeaseWait time.Duration
	// LeaseHold is how long after its last renewal this daemon gives orders.
	LeaseHold time.Duration
	// LoadPoll is the time between two looks at a load in progress.
	LoadPoll time.Duration
	// Settle is how long after an announcement the first order for it is given.
	Settle time.Duration
	// Repeat is how long a record may take to come back from the journal.
	Repeat time.Duration
	// LoadShare is the part of a service's upstreams that may load at once.
	LoadShare float64
	// FailLimit is the number of failed runs in a row that make an upstream suspect.
	FailLimit int
	// Probe is the time between two looks at a suspect upstream.
	Probe time.Duration
	// SlowTime is how long an upstream that was found slow gets no runs.
	SlowTime time.Duration
	Now      func() time.Time
}

// Deps of an Upkeep.
type Deps struct {
	Engine   generation.Engine
	View     func() *directory.View
	Snapshot func() *book.Snapshot
	// Propose appends without waiting; what is not appended in time is dropped.
	Propose func(r batch.Record, within time.Duration) error
}

// mostOfALoad is the part of the last load's time after which the next one is
// looked at.
const mostOfALoad = 0.8

// Upkeep is the handle of the duties.
type Upkeep struct {
	cfg       Config
	deps      Deps
	log       *zap.Logger
	duty      *duty.Duty[any]
	callers   *duty.Pool[*call]
	upstreams map[api.UpstreamID]*heldUpstream
	// announced are the newest announcements seen of each model.
	announced map[api.ModelName]announcement
	// loadTime is how long the last load took.
	loadTime time.Duration
}

type announcement struct {
	version api.WeightVersion
	seen    time.Time
}

// heldUpstream is what this daemon knows of an upstream it holds.
type heldUpstream struct {
	lease    batch.Offset
	heldFrom time.Time // orders may be given from then on
	born     int64     // of the incarnation seen
	calling  bool
	loading  *generation.Order // under way
	loadFrom time.Time         // when it was decided
	ordered  bool              // the upstream carries it out
	nextLook time.Time
	failures int  // failed runs in a row
	suspect  bool // by this daemon's own runs
	slowTill time.Time
	versions map[api.ModelName]api.WeightVersion
	proposed time.Time              // last record
	wish     *batch.UpstreamChanged // that record
}

// call is one report, followed by an order where one is needed.
type call struct {
	caller   int
	upstream *directory.Upstream
	order    *generation.Order // nil: only a report
	report   generation.Report
	answer   generation.OrderResult
	ordered  bool
	err      error
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Upkeep {
	k := &Upkeep{cfg: cfg, deps: deps, log: log, upstreams: make(map[api.UpstreamID]*heldUpstream), announced: make(map[api.ModelName]announcement)}
	c := &caller{cfg: cfg, engine: deps.Engine, report: func(ctx context.Context, c *call) { _ = k.duty.PostWait(ctx, c) }} // fails at the stop only
	k.callers = duty.NewPool(sys, duty.Config{Name: "upkeep-caller"}, cfg.Callers, func() duty.Handler[*call] { return c })
	k.duty = duty.Start(sys, duty.Config{Name: "upkeep", RingSize: cfg.RingSize, Tick: cfg.Tick}, duty.Handler[any](k))
	return k
}

// Tell reports how a run went, without waiting; when the ring is full it is dropped.
func (k *Upkeep) Tell(r generation.Outcome) {
	if err := k.duty.Post(r); err != nil {
		k.log.Warn("outcome of a run dropped", zap.Error(err))
	}
}

// Handle takes the end of a run or of a call.
func (k *Upkeep) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case generation.Outcome:
		k.ran(m)
	case *call:
		k.callers.Give(m.caller)
		k.called(m)
	}
	k.Tick(ctx)
}

// Tick looks at every upstream held.
func (k *Upkeep) Tick(context.Context) {
	now := k.cfg.Now()
	s, v := k.deps.Snapshot(), k.deps.View()
	held := make(map[api.UpstreamID]bool)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		listed := v.Upstreams[u.ID]
		if u.Holder != k.cfg.Self || listed == nil {
			continue
		}
		held[u.ID] = true
		w := k.held(u, listed, now)
		k.condition(u, listed, w, now)
		k.look(s, v, u, listed, w, now)
	}
	maps.DeleteFunc(k.upstreams, func(id api.UpstreamID, w *heldUpstream) bool { return !held[id] && !w.calling })
}

// held returns what is known of an upstream, anew after a change of its lease.
func (k *Upkeep) held(u *batch.Upstream, listed *directory.Upstream, now time.Time) *heldUpstream {
	w, ok := k.upstreams[u.ID]
	if !ok || w.lease != u.Taken {
		heldFrom := now
		if u.Before != "" && u.Before != k.cfg.Self {
			heldFrom = now.Add(k.cfg.LeaseWait)
		}
		w = &heldUpstream{lease: u.Taken, heldFrom: heldFrom, born: listed.BornMillis, versions: maps.Clone(u.Versions)}
		k.upstreams[u.ID] = w
	}
	if w.born != listed.BornMillis {
		k.log.Info("upstream started again", zap.String("upstream", string(u.ID)), zap.Int64("born_ms", listed.BornMillis))
		w.born, w.loading, w.failures, w.suspect = listed.BornMillis, nil, 0, false
		w.versions = maps.Clone(listed.Versions)
	}
	return w
}

// condition proposes a record when an upstream's condition is not what the log says.
func (k *Upkeep) condition(u *batch.Upstream, listed *directory.Upstream, w *heldUpstream, now time.Time) {
	want := batch.ConditionReady
	switch {
	case listed.Draining:
		want = batch.ConditionDraining
	case w.suspect:
		want = batch.ConditionSuspect
	case now.Before(w.slowTill):
		want = batch.ConditionSlow
	case w.loading != nil:
		want = batch.ConditionLoading
	}
	if want == u.Condition && maps.Equal(w.versions, u.Versions) {
		w.wish = nil
		return
	}
	wish := &batch.UpstreamChanged{Upstream: u.ID, Daemon: k.cfg.Self, Condition: want, Versions: maps.Clone(w.versions)}
	if now.Sub(w.proposed) < k.cfg.Repeat && w.wish != nil && w.wish.Condition == want && maps.Equal(w.wish.Versions, wish.Versions) {
		return
	}
	w.proposed, w.wish = now, wish
	if err := k.deps.Propose(wish, k.cfg.Repeat); err != nil {
		k.log.Warn("proposal not queued", zap.String("upstream", string(u.ID)), zap.Error(err))
	}
}

// look starts the next call to an upstream, if one is due.
func (k *Upkeep) look(s *book.Snapshot, v *directory.View, u *batch.Upstream, listed *directory.Upstream, w *heldUpstream, now time.Time) {
	if w.calling || !k.callers.Idle() || listed.Draining || now.Before(w.nextLook) {
		return
	}
	c := &call{upstream: listed}
	switch {
	case w.suspect:
	case w.loading != nil:
		c.order = w.loading
	default:
		if c.order = k.due(s, v, u, w, now); c.order == nil {
			return
		}
		w.loading, w.loadFrom = c.order, now
		k.condition(u, listed, w, now)
	}
	if c.order != nil && !k.mayOrder(s, w, now) {
		c.order = nil
	}
	c.caller, w.calling = k.callers.Take()
	if !w.calling {
		return // asked before
	}
	if err := k.callers.Post(c.caller, c); err != nil {
		w.calling = false // stopping
	}
}

// mayOrder reports whether this daemon's lease surely holds.
func (k *Upkeep) mayOrder(s *book.Snapshot, w *heldUpstream, now time.Time) bool {
	return !now.Before(w.heldFrom) && now.Sub(s.Seen[k.cfg.Self]) < k.cfg.LeaseHold
}

// due returns the order that an upstream needs next, if it may have one now.
func (k *Upkeep) due(s *book.Snapshot, v *directory.View, u *batch.Upstream, w *heldUpstream, now time.Time) *generation.Order {
	version := v.Announced[u.Home]
	if u.Home == "" || w.versions[u.Home] >= version || !k.settled(u.Home, version, now) || !k.mayOrder(s, w, now) ||
		!slices.Contains(loads.Next(s.Upstreams, u.Service, v.Announced, k.cfg.LoadShare), u.ID) {
		return nil
	}
	return &generation.Order{Model: u.Home, Version: version, Mode: generation.ModeContinue, Holder: k.cfg.Self, Fence: u.Taken}
}

// settled reports whether an announcement is old enough for orders. The first
// runs that it allows come right after it, and find no room on an upstream
// that loads.
func (k *Upkeep) settled(m api.ModelName, version api.WeightVersion, now time.Time) bool {
	a, ok := k.announced[m]
	if !ok || a.version != version {
		k.announced[m] = announcement{version: version, seen: now}
		return false
	}
	return now.Sub(a.seen) >= k.cfg.Settle
}

// called takes the end of a call.
func (k *Upkeep) called(c *call) {
	now := k.cfg.Now()
	id := c.upstream.ID
	w, ok := k.upstreams[id]
	if !ok {
		return
	}
	w.calling = false
	w.nextLook = now.Add(k.cfg.LoadPoll)
	if c.ordered {
		w.nextLook = now.Add(max(k.cfg.LoadPoll, time.Duration(mostOfALoad*float64(k.loadTime))))
	}
	fields := []zap.Field{zap.String("upstream", string(id)), zap.Uint64("lease", uint64(w.lease)), zap.Any("report", c.report), zap.Error(c.err)}
	if c.ordered {
		fields = append(fields, zap.Stringer("version", c.order.Version), zap.Uint64("orders", c.report.Orders), zap.Stringer("answer", c.answer))
	}
	k.log.Info("upstream looked at", fields...)
	if c.err != nil {
		if w.suspect {
			w.nextLook = now.Add(k.cfg.Probe)
		}
		return
	}
	w.suspect, w.failures = false, 0
	w.ordered = w.ordered || (c.ordered && c.answer == generation.OrderStarted)
	for m, version := range c.report.Versions {
		if !c.report.Busy {
			w.versions[m] = max(w.versions[m], version)
		}
	}
	if w.loading != nil && !c.report.Busy && (c.answer == generation.OrderHolds && c.ordered || w.versions[w.loading.Model] >= w.loading.Version) {
		w.versions[w.loading.Model] = max(w.versions[w.loading.Model], w.loading.Version)
		k.log.Info("weights loaded", zap.String("upstream", string(id)), zap.Stringer("version", w.loading.Version), zap.Duration("took", now.Sub(w.loadFrom)))
		if w.ordered {
			k.loadTime = now.Sub(w.loadFrom)
		}
		w.loading, w.nextLook, w.ordered = nil, now, false
	}
}

// ran notes how a run went.
func (k *Upkeep) ran(r generation.Outcome) {
	w, ok := k.upstreams[r.Upstream]
	if !ok {
		return
	}
	if r.Slow {
		w.slowTill = k.cfg.Now().Add(k.cfg.SlowTime)
		return
	}
	if !r.Failed {
		w.failures = 0
		return
	}
	w.failures++
	if !w.suspect && (r.Silent || w.failures >= k.cfg.FailLimit) {
		w.suspect = true
		w.nextLook = k.cfg.Now().Add(k.cfg.Probe)
		k.log.Info("upstream suspect", zap.String("upstream", string(r.Upstream)), zap.Int("failures", w.failures), zap.Bool("silent", r.Silent))
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (k *Upkeep) Stop(ctx context.Context) error { return duty.StopPool(ctx, k.duty, k.callers) }

// caller is the duty that carries one call at a time.
type caller struct {
	cfg    Config
	engine generation.Engine
	report func(context.Context, *call)
}

// Handle asks an upstream for its state and, if it needs to, orders a load.
func (c *caller) Handle(ctx context.Context, k *call) {
	defer c.report(ctx, k)
	k.report, k.err = c.ask(ctx, k.upstream)
	if k.err != nil || k.order == nil || k.report.Busy || k.report.Versions[k.order.Model] >= k.order.Version {
		return
	}
	order := *k.order
	order.Orders = k.report.Orders
	call, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	k.ordered = true
	k.answer, k.err = c.engine.Order(call, k.upstream, order)
}

func (c *caller) ask(ctx context.Context, u *directory.Upstream) (generation.Report, error) {
	call, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.engine.Report(call, u)
}
