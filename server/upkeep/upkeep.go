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
	Self        api.DaemonID
	Callers     int
	RingSize    int
	Tick        time.Duration
	CallTimeout time.Duration // of one call
	// LeaseWait is how long a new holder leaves an upstream without orders, so
	// that the holder before has surely stopped.
	LeaseWait time.Duration
	// OrderLeaseAge is how long after its last renewal this daemon gives orders.
	OrderLeaseAge time.Duration
	// LoadPollInterval is the time between two looks at a load in progress.
	LoadPollInterval time.Duration
	// AnnouncementDelay is how long after an announcement the first order for it is given.
	AnnouncementDelay time.Duration
	// ProposalTimeout is how long a record may take to come back from the journal.
	ProposalTimeout time.Duration
	// LoadShare is the part of a service's upstreams that may load at once.
	LoadShare float64
	// FailLimit is the number of failed runs in a row that make an upstream suspect.
	FailLimit int
	// ProbeInterval is the time between two looks at a suspect upstream.
	ProbeInterval time.Duration
	// SlowDuration is how long an upstream that was found slow gets no runs.
	SlowDuration time.Duration
	Now          func() time.Time
}

// Deps of an Upkeep.
type Deps struct {
	Engine   generation.Engine
	View     func() *directory.View
	Snapshot func() *book.Snapshot
	// Propose appends without waiting; what is not appended in time is dropped.
	Propose func(r batch.Record, within time.Duration) error
}

// loadPollFraction is the part of the last load's time after which the next one is
// looked at.
const loadPollFraction = 0.8

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
	// lastLoadTime is how long the last load took.
	lastLoadTime time.Duration
}

type announcement struct {
	version api.WeightVersion
	seenAt  time.Time
}

// heldUpstream is what this daemon knows of an upstream it holds.
type heldUpstream struct {
	lease        batch.Offset
	ordersFrom   time.Time // orders may be given from then on
	startMillis  int64     // of the incarnation seen
	calling      bool
	loading      *generation.LoadOrder // under way
	loadStarted  time.Time             // when it was decided
	ordered      bool                  // the upstream carries it out
	nextCall     time.Time
	failures     int  // failed runs in a row
	suspect      bool // by this daemon's own runs
	slowUntil    time.Time
	versions     map[api.ModelName]api.WeightVersion
	proposedAt   time.Time              // last record
	lastProposal *batch.UpstreamChanged // that record
}

// call is one report, followed by an order where one is needed.
type call struct {
	caller   int
	upstream *directory.Upstream
	order    *generation.LoadOrder // nil: only a report
	report   generation.Report
	answer   generation.OrderResult
	ordered  bool
	err      error
}

// Start spawns the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Upkeep {
	k := &Upkeep{cfg: cfg, deps: deps, log: log, upstreams: make(map[api.UpstreamID]*heldUpstream), announced: make(map[api.ModelName]announcement)}
	c := &caller{cfg: cfg, engine: deps.Engine, postEnd: func(ctx context.Context, c *call) { _ = k.duty.PostWait(ctx, c) }} // fails at the stop only
	k.callers = duty.NewPool(sys, duty.Config{Name: "upkeep-caller"}, cfg.Callers, func() duty.Handler[*call] { return c })
	k.duty = duty.Start(sys, duty.Config{Name: "upkeep", RingSize: cfg.RingSize, Tick: cfg.Tick}, duty.Handler[any](k))
	return k
}

// ReportOutcome reports how a run went, without waiting; when the ring is full it is dropped.
func (k *Upkeep) ReportOutcome(r generation.Outcome) {
	if err := k.duty.Post(r); err != nil {
		k.log.Warn("outcome of a run dropped", zap.Error(err))
	}
}

// Handle takes the end of a run or of a call.
func (k *Upkeep) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case generation.Outcome:
		k.handleOutcome(m)
	case *call:
		k.callers.Release(m.caller)
		k.handleCallEnd(m)
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
		w := k.heldState(u, listed, now)
		k.proposeCondition(u, listed, w, now)
		k.startCall(s, v, u, listed, w, now)
	}
	maps.DeleteFunc(k.upstreams, func(id api.UpstreamID, w *heldUpstream) bool { return !held[id] && !w.calling })
}

// heldState returns what is known of an upstream, anew after a change of its lease.
func (k *Upkeep) heldState(u *batch.Upstream, listed *directory.Upstream, now time.Time) *heldUpstream {
	w, ok := k.upstreams[u.ID]
	if !ok || w.lease != u.LeaseOffset {
		heldFrom := now
		if u.PreviousHolder != "" && u.PreviousHolder != k.cfg.Self {
			heldFrom = now.Add(k.cfg.LeaseWait)
		}
		w = &heldUpstream{lease: u.LeaseOffset, ordersFrom: heldFrom, startMillis: listed.StartMillis, versions: maps.Clone(u.Versions)}
		k.upstreams[u.ID] = w
	}
	if w.startMillis != listed.StartMillis {
		k.log.Info("upstream started again", zap.String("upstream", string(u.ID)), zap.Int64("born_ms", listed.StartMillis))
		w.startMillis, w.loading, w.failures, w.suspect = listed.StartMillis, nil, 0, false
		w.versions = maps.Clone(listed.Versions)
	}
	return w
}

// proposeCondition proposes a record when an upstream's condition is not what the log says.
func (k *Upkeep) proposeCondition(u *batch.Upstream, listed *directory.Upstream, w *heldUpstream, now time.Time) {
	want := batch.ConditionReady
	switch {
	case listed.Draining:
		want = batch.ConditionDraining
	case w.suspect:
		want = batch.ConditionSuspect
	case now.Before(w.slowUntil):
		want = batch.ConditionSlow
	case w.loading != nil:
		want = batch.ConditionLoading
	}
	if want == u.Condition && maps.Equal(w.versions, u.Versions) {
		w.lastProposal = nil
		return
	}
	wish := &batch.UpstreamChanged{Upstream: u.ID, Daemon: k.cfg.Self, Condition: want, Versions: maps.Clone(w.versions)}
	if now.Sub(w.proposedAt) < k.cfg.ProposalTimeout && w.lastProposal != nil && w.lastProposal.Condition == want && maps.Equal(w.lastProposal.Versions, wish.Versions) {
		return
	}
	w.proposedAt, w.lastProposal = now, wish
	if err := k.deps.Propose(wish, k.cfg.ProposalTimeout); err != nil {
		k.log.Warn("proposal not queued", zap.String("upstream", string(u.ID)), zap.Error(err))
	}
}

// startCall starts the next call to an upstream, if one is due.
func (k *Upkeep) startCall(s *book.Snapshot, v *directory.View, u *batch.Upstream, listed *directory.Upstream, w *heldUpstream, now time.Time) {
	if w.calling || !k.callers.Idle() || listed.Draining || now.Before(w.nextCall) {
		return
	}
	c := &call{upstream: listed}
	switch {
	case w.suspect:
	case w.loading != nil:
		c.order = w.loading
	default:
		if c.order = k.dueOrder(s, v, u, w, now); c.order == nil {
			return
		}
		w.loading, w.loadStarted = c.order, now
		k.proposeCondition(u, listed, w, now)
	}
	if c.order != nil && !k.mayOrder(s, w, now) {
		c.order = nil
	}
	c.caller, w.calling = k.callers.Acquire()
	if !w.calling {
		return // asked before
	}
	if err := k.callers.Post(c.caller, c); err != nil {
		w.calling = false // stopping
	}
}

// mayOrder reports whether this daemon's lease surely holds.
func (k *Upkeep) mayOrder(s *book.Snapshot, w *heldUpstream, now time.Time) bool {
	return !now.Before(w.ordersFrom) && now.Sub(s.LastRenewals[k.cfg.Self]) < k.cfg.OrderLeaseAge
}

// dueOrder returns the order that an upstream needs next, if it may have one now.
func (k *Upkeep) dueOrder(s *book.Snapshot, v *directory.View, u *batch.Upstream, w *heldUpstream, now time.Time) *generation.LoadOrder {
	version := v.AnnouncedVersions[u.AssignedModel]
	if u.AssignedModel == "" || w.versions[u.AssignedModel] >= version || !k.oldEnough(u.AssignedModel, version, now) || !k.mayOrder(s, w, now) ||
		!slices.Contains(loads.Next(s.Upstreams, u.Service, v.AnnouncedVersions, k.cfg.LoadShare), u.ID) {
		return nil
	}
	return &generation.LoadOrder{Model: u.AssignedModel, Version: version, Mode: generation.LoadModeContinue, Holder: k.cfg.Self, Fence: u.LeaseOffset}
}

// oldEnough reports whether an announcement is old enough for orders. The first
// runs that it allows come right after it, and find no room on an upstream
// that loads.
func (k *Upkeep) oldEnough(m api.ModelName, version api.WeightVersion, now time.Time) bool {
	a, ok := k.announced[m]
	if !ok || a.version != version {
		k.announced[m] = announcement{version: version, seenAt: now}
		return false
	}
	return now.Sub(a.seenAt) >= k.cfg.AnnouncementDelay
}

// handleCallEnd takes the end of a call.
func (k *Upkeep) handleCallEnd(c *call) {
	now := k.cfg.Now()
	id := c.upstream.ID
	w, ok := k.upstreams[id]
	if !ok {
		return
	}
	w.calling = false
	w.nextCall = now.Add(k.cfg.LoadPollInterval)
	if c.ordered {
		w.nextCall = now.Add(max(k.cfg.LoadPollInterval, time.Duration(loadPollFraction*float64(k.lastLoadTime))))
	}
	fields := []zap.Field{zap.String("upstream", string(id)), zap.Uint64("lease", uint64(w.lease)), zap.Any("report", c.report), zap.Error(c.err)}
	if c.ordered {
		fields = append(fields, zap.Stringer("version", c.order.Version), zap.Uint64("orders", c.report.Orders), zap.Stringer("answer", c.answer))
	}
	k.log.Info("upstream looked at", fields...)
	if c.err != nil {
		if w.suspect {
			w.nextCall = now.Add(k.cfg.ProbeInterval)
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
	if w.loading != nil && !c.report.Busy && (c.answer == generation.OrderUnneeded && c.ordered || w.versions[w.loading.Model] >= w.loading.Version) {
		w.versions[w.loading.Model] = max(w.versions[w.loading.Model], w.loading.Version)
		k.log.Info("weights loaded", zap.String("upstream", string(id)), zap.Stringer("version", w.loading.Version), zap.Duration("took", now.Sub(w.loadStarted)))
		if w.ordered {
			k.lastLoadTime = now.Sub(w.loadStarted)
		}
		w.loading, w.nextCall, w.ordered = nil, now, false
	}
}

// handleOutcome notes how a run went.
func (k *Upkeep) handleOutcome(r generation.Outcome) {
	w, ok := k.upstreams[r.Upstream]
	if !ok {
		return
	}
	if r.Slow {
		w.slowUntil = k.cfg.Now().Add(k.cfg.SlowDuration)
		return
	}
	if !r.Failed {
		w.failures = 0
		return
	}
	w.failures++
	if !w.suspect && (r.Stalled || w.failures >= k.cfg.FailLimit) {
		w.suspect = true
		w.nextCall = k.cfg.Now().Add(k.cfg.ProbeInterval)
		k.log.Info("upstream suspect", zap.String("upstream", string(r.Upstream)), zap.Int("failures", w.failures), zap.Bool("silent", r.Stalled))
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (k *Upkeep) Stop(ctx context.Context) error { return duty.StopPool(ctx, k.duty, k.callers) }

// caller is the duty that carries one call at a time.
type caller struct {
	cfg     Config
	engine  generation.Engine
	postEnd func(context.Context, *call)
}

// Handle asks an upstream for its state and, if it needs to, orders a load.
func (c *caller) Handle(ctx context.Context, k *call) {
	defer c.postEnd(ctx, k)
	k.report, k.err = c.fetchReport(ctx, k.upstream)
	if k.err != nil || k.order == nil || k.report.Busy || k.report.Versions[k.order.Model] >= k.order.Version {
		return
	}
	order := *k.order
	order.OrdersBefore = k.report.Orders
	call, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	k.ordered = true
	k.answer, k.err = c.engine.LoadWeights(call, k.upstream, order)
}

func (c *caller) fetchReport(ctx context.Context, u *directory.Upstream) (generation.Report, error) {
	call, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return c.engine.Report(call, u)
}
