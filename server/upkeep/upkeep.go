// Package upkeep maintains the upstreams that this daemon holds leases on. It orders
// them to load announced weight versions and records in the log when an upstream
// drains, fails, is slow or recovers. One duty decides; caller duties make one call
// at a time each.
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
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

// Config configures an Upkeep.
type Config struct {
	Self        api.DaemonID
	CallDuties  int // maximum concurrent calls
	RingSize    int // capacity in messages
	Tick        time.Duration
	IdleTick    time.Duration // while this daemon holds no upstream; bounds the delay until it notices its first one
	CallTimeout time.Duration // timeout of one call
	// LeaseWait is how long a new holder sends an upstream no orders, so that the
	// previous holder has stopped sending.
	LeaseWait time.Duration
	// OrderLeaseAge is the maximum time after this daemon's last renewal for it to
	// send orders.
	OrderLeaseAge time.Duration
	// LoadPollInterval is the minimum time between polls of a load in progress.
	LoadPollInterval time.Duration
	// AnnouncementDelay is the time from an announcement to the first order for it.
	AnnouncementDelay time.Duration
	// ProposalTimeout is how long a record may take to be read back from the journal
	// before it is proposed again.
	ProposalTimeout time.Duration
	// LoadShare is the fraction of a service's upstreams that may load at once.
	LoadShare float64
	// FailLimit is the number of consecutive failed runs that make an upstream
	// suspect.
	FailLimit int
	// ProbeInterval is the time between probes of a suspect upstream.
	ProbeInterval time.Duration
	// SlowDuration is how long a slow upstream gets no runs.
	SlowDuration time.Duration
	Now          func() time.Time
}

// Deps are the dependencies of an Upkeep.
type Deps struct {
	Engine   generation.Client
	View     func() *directory.View
	Snapshot func() *jobreplica.Snapshot
	// Propose appends a record without waiting. The record is dropped if it is not
	// appended within the given time.
	Propose func(r batch.Record, within time.Duration) error
	// OneVersionRuns reports whether this daemon has runs on an upstream that must end with
	// the weight version they began with.
	OneVersionRuns func(api.UpstreamID) bool
}

// loadPollFraction is the fraction of the last load's duration after which a load is
// first polled.
const loadPollFraction = 0.8

// Upkeep controls the duties. The fields from upstreams on are accessed only on the
// duty that decides.
type Upkeep struct {
	cfg       Config
	deps      Deps
	log       *zap.Logger
	duty      *duty.Duty[any]
	callers   *duty.Pool[*call]
	upstreams map[api.UpstreamID]*heldUpstream
	announced map[api.ModelName]announcement // latest of each model
	limits    map[string]*loads.Limit        // of services whose number of upstreams changes
	// lastLoadTime is the duration of the last load on any upstream that did not wait for
	// runs.
	lastLoadTime time.Duration
}

type announcement struct {
	version api.WeightVersion
	seenAt  time.Time
}

// heldUpstream is this daemon's state of an upstream that it holds.
type heldUpstream struct {
	lease               batch.Offset
	ordersFrom          time.Time // earliest time of an order
	startMillis         int64     // start of the upstream's process, in Unix milliseconds
	calling             bool
	loading             *generation.LoadOrder // decided and not completed; nil: none
	loadStarted         time.Time             // when loading was decided
	orderStarted        bool                  // the upstream has started loading
	nextCall            time.Time
	consecutiveFailures int  // of runs
	suspect             bool // as found by this daemon's runs
	slowUntil           time.Time
	versions            map[api.ModelName]api.WeightVersion
	requestLimit        float64                // of the upstream, in requests a second; 0: none
	proposedAt          time.Time              // time of lastProposal
	lastProposal        *batch.UpstreamChanged // nil: the log is up to date
}

// call fetches an upstream's report and sends an order if one is needed.
type call struct {
	caller      int
	upstream    *directory.Upstream
	order       *generation.LoadOrder // nil: report only
	report      generation.Report
	orderResult generation.OrderResult
	ordered     bool
	err         error
}

// Start starts the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Upkeep {
	k := &Upkeep{cfg: cfg, deps: deps, log: log, upstreams: make(map[api.UpstreamID]*heldUpstream), announced: make(map[api.ModelName]announcement), limits: make(map[string]*loads.Limit)}
	c := &caller{cfg: cfg, engine: deps.Engine, postEnd: func(ctx context.Context, c *call) { _ = k.duty.PostWait(ctx, c) }} // fails only while stopping
	k.callers = duty.NewPool(sys, duty.Config{Name: "upkeep-caller"}, cfg.CallDuties, func() duty.Handler[*call] { return c })
	k.duty = duty.Start(sys, duty.Config{Name: "upkeep", RingSize: cfg.RingSize, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[any](k))
	return k
}

// ReportOutcome reports the outcome of a run. It never blocks; if the ring is full,
// the outcome is dropped.
func (k *Upkeep) ReportOutcome(r generation.RunOutcome) {
	if err := k.duty.Post(r); err != nil {
		k.log.Warn("run outcome dropped", zap.Error(err))
	}
}

// Handle processes the outcome of a run or the end of a call.
func (k *Upkeep) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case generation.RunOutcome:
		k.handleOutcome(m)
	case *call:
		k.callers.Release(m.caller)
		k.handleCallEnd(m)
	}
	k.Tick(ctx)
}

// Tick proposes the condition of each held upstream and starts calls that are due.
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
		state := k.heldState(u, listed, now)
		k.proposeCondition(u, listed, state, now)
		k.startCall(s, v, u, listed, state, now)
	}
	k.observeLoads(s, v, now)
	maps.DeleteFunc(k.upstreams, func(id api.UpstreamID, state *heldUpstream) bool { return !held[id] && !state.calling })
}

// Idle implements duty.Idler.
func (k *Upkeep) Idle() bool { return len(k.upstreams) == 0 }

// heldState returns the state of an upstream. It resets the state after a change of
// lease and, in part, after a restart of the upstream.
func (k *Upkeep) heldState(u *batch.Upstream, listed *directory.Upstream, now time.Time) *heldUpstream {
	state, ok := k.upstreams[u.ID]
	if !ok || state.lease != u.LeaseOffset {
		ordersFrom := now
		if u.PreviousHolder != "" && u.PreviousHolder != k.cfg.Self {
			ordersFrom = now.Add(k.cfg.LeaseWait)
		}
		state = &heldUpstream{lease: u.LeaseOffset, ordersFrom: ordersFrom, startMillis: listed.StartMillis, versions: maps.Clone(u.Versions)}
		k.upstreams[u.ID] = state
	}
	state.requestLimit = u.RequestLimit
	if state.startMillis != listed.StartMillis {
		k.log.Info("upstream restarted", zap.String("upstream", string(u.ID)), zap.Int64("born_ms", listed.StartMillis))
		state.startMillis, state.loading, state.consecutiveFailures, state.suspect = listed.StartMillis, nil, 0, false
		state.versions = maps.Clone(listed.Versions)
	}
	return state
}

// proposeCondition proposes an upstream's condition and versions if they differ from
// the log's.
func (k *Upkeep) proposeCondition(u *batch.Upstream, listed *directory.Upstream, state *heldUpstream, now time.Time) {
	condition := batch.ConditionReady
	switch {
	case listed.Draining:
		condition = batch.ConditionDraining
	case state.suspect:
		condition = batch.ConditionSuspect
	case now.Before(state.slowUntil):
		condition = batch.ConditionSlow
	case state.loading != nil:
		condition = batch.ConditionLoading
	}
	if condition == u.Condition && listed.Software == u.Software && maps.Equal(state.versions, u.Versions) {
		state.lastProposal = nil
		return
	}
	proposal := &batch.UpstreamChanged{Upstream: u.ID, Daemon: k.cfg.Self, Condition: condition, Software: listed.Software, Versions: maps.Clone(state.versions)}
	if now.Sub(state.proposedAt) < k.cfg.ProposalTimeout && state.lastProposal != nil && state.lastProposal.Condition == condition &&
		state.lastProposal.Software == proposal.Software && maps.Equal(state.lastProposal.Versions, proposal.Versions) {
		return
	}
	state.proposedAt, state.lastProposal = now, proposal
	if err := k.deps.Propose(proposal, k.cfg.ProposalTimeout); err != nil {
		k.log.Warn("proposal dropped", zap.String("upstream", string(u.ID)), zap.Error(err))
	}
}

// startCall starts the next call to an upstream, if one is due.
func (k *Upkeep) startCall(s *jobreplica.Snapshot, v *directory.View, u *batch.Upstream, listed *directory.Upstream, state *heldUpstream, now time.Time) {
	if state.calling || !k.callers.Idle() || listed.Draining || now.Before(state.nextCall) {
		return
	}
	c := &call{upstream: listed}
	switch {
	case state.suspect:
	case state.loading != nil:
		c.order = state.loading
	default:
		if c.order = k.dueOrder(s, v, u, state, now); c.order == nil {
			return
		}
		state.loading, state.loadStarted = c.order, now
		k.proposeCondition(u, listed, state, now)
	}
	if c.order != nil && !k.mayOrder(s, state, now) {
		c.order = nil
	}
	c.caller, state.calling = k.callers.Acquire()
	if !state.calling {
		return // cannot happen: Idle was checked above
	}
	if err := k.callers.Post(c.caller, c); err != nil {
		state.calling = false // stopping
	}
}

// mayOrder reports whether this daemon's lease is recent enough to send orders and
// the previous holder's orders have ended.
func (k *Upkeep) mayOrder(s *jobreplica.Snapshot, state *heldUpstream, now time.Time) bool {
	return !now.Before(state.ordersFrom) && now.Sub(s.LastRenewals[k.cfg.Self]) < k.cfg.OrderLeaseAge
}

// dueOrder returns the order that an upstream should get now, or nil.
func (k *Upkeep) dueOrder(s *jobreplica.Snapshot, v *directory.View, u *batch.Upstream, state *heldUpstream, now time.Time) *generation.LoadOrder {
	version := v.AnnouncedVersions[u.AssignedModel]
	if u.AssignedModel == "" || state.versions[u.AssignedModel] >= version || !k.announcementDue(u.AssignedModel, version, now) || !k.mayOrder(s, state, now) ||
		!slices.Contains(k.nextLoads(s, v, u.Service), u.ID) {
		return nil
	}
	mode := generation.LoadModeContinue
	if k.deps.OneVersionRuns(u.ID) {
		mode = generation.LoadModeWait
	}
	return &generation.LoadOrder{Model: u.AssignedModel, Version: version, Mode: mode, Holder: k.cfg.Self, Fence: u.LeaseOffset}
}

// observeLoads takes note of the loads of services whose number of upstreams changes, while
// this daemon holds upstreams.
func (k *Upkeep) observeLoads(s *jobreplica.Snapshot, v *directory.View, now time.Time) {
	if v.Table == nil || len(k.upstreams) == 0 {
		for _, l := range k.limits {
			l.Pause()
		}
		return
	}
	for _, service := range v.Table.Autoscaled() {
		l, ok := k.limits[service.Name]
		if !ok {
			l = loads.NewLimit(k.cfg.LoadShare)
			k.limits[service.Name] = l
		}
		l.Observe(s.Upstreams, service.Name, now)
	}
}

// nextLoads returns the upstreams of a service that may start to load now.
func (k *Upkeep) nextLoads(s *jobreplica.Snapshot, v *directory.View, service string) []api.UpstreamID {
	if l, ok := k.limits[service]; ok {
		return loads.NextOf(s.Upstreams, service, v.AnnouncedVersions, l.AtOnce())
	}
	return loads.Next(s.Upstreams, service, v.AnnouncedVersions, k.cfg.LoadShare)
}

// announcementDue reports whether an announcement is old enough for orders. The
// first runs that an announcement allows arrive right after it and would find no
// room on loading upstreams.
func (k *Upkeep) announcementDue(m api.ModelName, version api.WeightVersion, now time.Time) bool {
	a, ok := k.announced[m]
	if !ok || a.version != version {
		k.announced[m] = announcement{version: version, seenAt: now}
		return false
	}
	return now.Sub(a.seenAt) >= k.cfg.AnnouncementDelay
}

// pollInterval returns the time between two polls of a load in progress. Polls need no
// slot, but an upstream that takes few requests gets few of them too.
func (k *Upkeep) pollInterval(state *heldUpstream) time.Duration {
	if state.requestLimit <= 0 {
		return k.cfg.LoadPollInterval
	}
	return max(k.cfg.LoadPollInterval, time.Duration(float64(time.Second)/state.requestLimit))
}

// handleCallEnd applies the result of a call to the upstream's state.
func (k *Upkeep) handleCallEnd(c *call) {
	now := k.cfg.Now()
	id := c.upstream.ID
	state, ok := k.upstreams[id]
	if !ok {
		return
	}
	state.calling = false
	interval := k.pollInterval(state)
	state.nextCall = now.Add(interval)
	if c.ordered {
		state.nextCall = now.Add(max(interval, time.Duration(loadPollFraction*float64(k.lastLoadTime))))
	}
	fields := []zap.Field{zap.String("upstream", string(id)), zap.Uint64("lease", uint64(state.lease)), zap.Any("report", c.report), zap.Error(c.err)}
	if c.ordered {
		fields = append(fields, zap.Stringer("version", c.order.Version), zap.Stringer("mode", c.order.Mode), zap.Uint64("orders", c.report.Orders), zap.Stringer("answer", c.orderResult))
	}
	k.log.Info("upstream polled", fields...)
	if c.err != nil {
		if state.suspect {
			state.nextCall = now.Add(k.cfg.ProbeInterval)
		}
		return
	}
	state.suspect, state.consecutiveFailures = false, 0
	state.orderStarted = state.orderStarted || (c.ordered && c.orderResult == generation.OrderStarted)
	for m, version := range c.report.Versions {
		if !c.report.Busy {
			state.versions[m] = max(state.versions[m], version)
		}
	}
	// Only a report shows that a version is loaded, not the response that an order is not needed.
	if state.loading != nil && !c.report.Busy && state.versions[state.loading.Model] >= state.loading.Version {
		k.log.Info("weights loaded", zap.String("upstream", string(id)), zap.Stringer("version", state.loading.Version), zap.Duration("took", now.Sub(state.loadStarted)))
		if state.orderStarted && state.loading.Mode != generation.LoadModeWait {
			k.lastLoadTime = now.Sub(state.loadStarted)
		}
		state.loading, state.nextCall, state.orderStarted = nil, now, false
	}
}

// handleOutcome applies the outcome of a run to the upstream's state.
func (k *Upkeep) handleOutcome(r generation.RunOutcome) {
	state, ok := k.upstreams[r.Upstream]
	if !ok {
		return
	}
	if r.Slow {
		state.slowUntil = k.cfg.Now().Add(k.cfg.SlowDuration)
		return
	}
	if !r.Failed {
		state.consecutiveFailures = 0
		return
	}
	state.consecutiveFailures++
	if !state.suspect && (r.Stalled || state.consecutiveFailures >= k.cfg.FailLimit) {
		state.suspect = true
		state.nextCall = k.cfg.Now().Add(k.cfg.ProbeInterval)
		k.log.Info("upstream is suspect", zap.String("upstream", string(r.Upstream)), zap.Int("failures", state.consecutiveFailures), zap.Bool("silent", r.Stalled))
	}
}

// Stop stops the duties. Errors: ctx.Err().
func (k *Upkeep) Stop(ctx context.Context) error { return duty.StopPool(ctx, k.duty, k.callers) }

// caller handles one call at a time.
type caller struct {
	cfg     Config
	engine  generation.Client
	postEnd func(context.Context, *call)
}

// Handle fetches an upstream's report and orders a load if one is needed.
func (c *caller) Handle(ctx context.Context, r *call) {
	defer c.postEnd(ctx, r)
	r.report, r.err = c.fetchReport(ctx, r.upstream)
	if r.err != nil || r.order == nil || r.report.Busy || r.report.Versions[r.order.Model] >= r.order.Version {
		return
	}
	order := *r.order
	order.OrdersBefore = r.report.Orders
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	r.ordered = true
	r.orderResult, r.err = c.engine.LoadWeights(callCtx, r.upstream, order)
}

func (c *caller) fetchReport(ctx context.Context, u *directory.Upstream) (generation.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	return c.engine.Report(callCtx, u)
}
