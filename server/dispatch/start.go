package dispatch

import (
	"context"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/server/worker"
)

// startQueued starts queued flights while there are idle workers and free slots.
func (h *handler) startQueued() {
	now := h.cfg.Now()
	if !h.d.mayStart() {
		return
	}
	if now.Sub(h.windowsUpdatedAt) > maxSharesAge {
		h.updateWindows(now)
	}
	for len(h.idleWorkers) > 0 {
		it, ok := h.queue.Next(now, func(it admission.Item) bool { return h.runnable(it.ID, now) })
		if !ok {
			return
		}
		f := h.flights[it.ID]
		f.queued = false
		if !h.start(f, now) {
			h.enqueue(f, now)
			return
		}
	}
}

func (h *handler) runnable(id api.RequestID, now time.Time) bool {
	f, ok := h.flights[id]
	if !ok || h.atConcurrencyLimit(f.job.Plan) {
		return false
	}
	isolated := h.quarantineDecision(f.job, now) == quarantine.Isolated
	return slices.ContainsFunc(h.upstreamsFor(f.job), func(u *upstreamState) bool { return h.canTake(u, f, isolated, now) })
}

// start starts an attempt on the upstream that the policy picks. It returns false
// if no upstream can take the flight now.
func (h *handler) start(f *flight, now time.Time) bool {
	cs := h.candidates(f, now)
	id, ok := h.policy.Pick(routing.Request{Prefix: f.job.Prefix, Lane: f.job.Lane}, cs, h.cfg.Rand)
	if !ok {
		return false
	}
	u := h.upstreams[id]
	invariant.Check(!u.draining && !u.removed, "no-new-work-while-draining", "request %s to %s", f.job.ID, id)
	invariant.Check(f.job.Repeatable || !f.maybeSent, "once-only-is-sent-once", "request %s, tried %v", f.job.ID, f.tried)
	h.lastAttemptID++
	a := &attempt{id: h.lastAttemptID, flight: f, upstream: u, started: now}
	u.runsIsolated = h.quarantineDecision(f.job, now) == quarantine.Isolated
	if u.reservedFor == f.job.ID {
		u.reservedFor = ""
	}
	h.countPlanStart(f)
	f.running[a.id], u.running[a.id] = a, a
	f.attempts++
	f.tried = append(f.tried, id)
	u.window.Start(f.job.Lane, f.short)
	u.slow = u.observer.Slow(id, now) // Slow allows single probe requests through
	var ctx context.Context
	ctx, a.cancel = context.WithDeadline(h.callsCtx, f.job.Deadline)
	a.task = &worker.Task{
		Attempt: a.id, Job: f.job, ResumeText: f.text, ResumeTokens: f.tokens, Ctx: ctx,
		Target:           upstream.Target{ID: id, Address: u.info.Address, NewConnection: f.newConnection},
		ProgressDeadline: h.cfg.ProgressDeadline,
		StillAdmitted:    h.stillAdmitted(id),
	}
	h.send(a.task)
	return true
}

// stillAdmitted returns the check that a worker makes right before it sends, as
// the upstream may have been marked as draining since the decision.
func (h *handler) stillAdmitted(id api.UpstreamID) func() bool {
	return func() bool {
		s := h.d.state.Load()
		u, err := s.Upstream(id)
		return err == nil && !h.d.isDraining(s, u) && h.d.mayStart()
	}
}

// send assigns a task to an idle worker. There must be one.
func (h *handler) send(t *worker.Task) {
	last := len(h.idleWorkers) - 1
	t.Worker = h.idleWorkers[last]
	h.idleWorkers = h.idleWorkers[:last]
	_ = h.d.workers[t.Worker].Post(t) // an idle worker's ring is empty
}

// candidates returns the upstreams that can take a flight now, preferring those
// not yet tried. The result is valid until the next call.
func (h *handler) candidates(f *flight, now time.Time) []routing.Candidate {
	h.untried, h.tried = h.untried[:0], h.tried[:0]
	isolated := h.quarantineDecision(f.job, now) == quarantine.Isolated
	for _, u := range h.upstreamsFor(f.job) {
		switch {
		case !h.canTake(u, f, isolated, now):
		case slices.Contains(f.tried, u.info.ID):
			h.tried = append(h.tried, h.candidate(u))
		default:
			h.untried = append(h.untried, h.candidate(u))
		}
	}
	if len(h.untried) > 0 {
		return h.untried
	}
	if len(f.running) > 0 { // a hedge must use another upstream
		return nil
	}
	return h.tried
}

func (h *handler) candidate(u *upstreamState) routing.Candidate {
	return routing.Candidate{
		ID: u.info.ID, FreeSlots: u.window.Free(), InFlight: len(u.running),
		Latency: u.observer.Latency(u.info.ID),
		Slow:    u.slow,
		Local:   u.info.DataCentre == h.cfg.DataCentre,
	}
}

// canTake reports whether an upstream can take a flight now. If an isolated flight
// finds it busy, it may reserve the upstream.
func (h *handler) canTake(u *upstreamState, f *flight, isolated bool, now time.Time) bool {
	switch {
	case u.draining || u.removed || now.Before(u.suspendedUntil) || u.crashCheck != nil:
		return false
	case u.runsIsolated && len(u.running) > 0:
		return false
	case u.reservedFor != "" && u.reservedFor != f.job.ID && h.flights[u.reservedFor] != nil:
		return false
	case isolated && len(u.running) > 0:
		return h.reserve(u, f, now)
	case f.job.Lane == api.LaneRollout && !h.withinStalenessBound(u, f, now):
		return false
	}
	return h.ignoresWindows() || u.window.Admits(f.job.Lane, f.short)
}

// minIsolationReserveTime is the time that must be left until the deadline of an
// isolated flight for an upstream to be reserved for it.
const minIsolationReserveTime = time.Second

// reserve reserves a busy upstream for a flight that must run isolated, so that it
// gets no other work. It returns false because the upstream is not idle yet.
func (h *handler) reserve(u *upstreamState, f *flight, now time.Time) bool {
	for _, other := range h.upstreams {
		if other.reservedFor == f.job.ID {
			return false
		}
	}
	if u.reservedFor == "" && f.job.Deadline.Sub(now) > minIsolationReserveTime {
		u.reservedFor = f.job.ID
	}
	return false
}

// withinStalenessBound reports whether the weights that an engine runs are within
// the plan's staleness bound or unknown.
func (h *handler) withinStalenessBound(u *upstreamState, f *flight, now time.Time) bool {
	loaded := h.loadedVersion(u, f.job.Model, now)
	inForce := h.state.Weights[f.job.Model].Version
	if loaded == 0 || loaded >= inForce {
		return true
	}
	plan, err := h.state.PlanByName(f.job.Plan)
	return err == nil && uint64(inForce-loaded) <= plan.StalenessBound
}

// observedVersionTTL is how long the version in an engine's response takes
// precedence over the latest read-back. An engine excluded for old weights is
// tried again after it.
const observedVersionTTL = 2 * time.Second

// observedVersion is the weight version that generated a response's last token.
type observedVersion struct {
	version api.WeightVersion
	at      time.Time
}

// loadedVersion returns the latest known weight version of an engine, or zero if
// it is unknown. A recent response is more reliable than a read-back.
func (h *handler) loadedVersion(u *upstreamState, m api.ModelName, now time.Time) api.WeightVersion {
	if observed, ok := u.observed[m]; ok && now.Sub(observed.at) < observedVersionTTL {
		return observed.version
	}
	if h.cfg.LoadedVersion == nil {
		return 0
	}
	return h.cfg.LoadedVersion(u.info.ID, m)
}

// ignoresWindows reports whether the policy is a baseline that does not use
// windows.
func (h *handler) ignoresWindows() bool {
	switch h.cfg.Routing {
	case routing.PolicyRoundRobin, routing.PolicyRandom, routing.PolicyLeastInFlight:
		return true
	default:
		return false
	}
}
