package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

const (
	// idleDemandInterval and queuedDemandInterval are the minimum times between
	// reports of this daemon's demands, with an empty queue and with queued work.
	idleDemandInterval   = 50 * time.Millisecond
	queuedDemandInterval = 5 * time.Millisecond
	// fullDemandInterval is the time between reports that include unchanged
	// demands, since the shares ignore demands for resources that they don't know yet.
	fullDemandInterval = time.Second
	// maxSharesAge is the time after which the shares are read again before work
	// starts: leases may have expired while the daemon was paused.
	maxSharesAge = 5 * dispatchTick
)

// windowShare is this daemon's share of one upstream's window.
type windowShare struct {
	set           bool
	long, short   int       // slots
	shortInUse    int       // calls counted against short slots
	longNeededAt  time.Time // latest demand for slots for any work
	shortNeededAt time.Time // latest demand for short slots
}

// demand tracks which of this daemon's demands were reported to the shares.
type demand struct {
	reported  map[quota.Resource]quota.Demand
	checkedAt time.Time              // latest computation of the demands
	fullAt    time.Time              // latest full report
	full      bool                   // the current report is a full one
	changed   []quota.ResourceDemand // the current report
	// generation is that of the shares applied to the windows;
	// reportedGeneration is the last one reported.
	generation, reportedGeneration uint64
}

// updateWindows sets each window to this daemon's current share of it.
func (h *handler) updateWindows(now time.Time) {
	h.windowsUpdatedAt = now
	if h.cfg.Shares != nil {
		h.demand.generation = h.cfg.Shares.Generation()
	}
	for id, u := range h.upstreams {
		if h.cfg.Shares == nil {
			u.window.SetLimit(u.info.Window)
			continue
		}
		long, short := h.cfg.Shares.Window(id)
		if u.share.set && long == u.share.long && short == u.share.short {
			continue
		}
		u.share.shortInUse = quota.ShortInUse(u.shortCalls(), u.share.shortInUse, u.share.short)
		u.share.set, u.share.long, u.share.short = true, long, short
		u.window.SetShares(long, short)
	}
}

// shortCalls returns the number of members' short calls in progress.
func (u *upstreamState) shortCalls() int { return u.window.InFlight() - u.window.Long() }

// reportDemand reports changed demands unless they were computed less than an
// interval ago. Demands that were dropped are reported again.
func (h *handler) reportDemand(now time.Time, interval time.Duration) {
	if h.cfg.Shares == nil || now.Sub(h.demand.checkedAt) < interval {
		return
	}
	h.demand.checkedAt = now
	h.demand.changed = nil // the shares retain the slice
	h.demand.full = now.Sub(h.demand.fullAt) >= fullDemandInterval
	if h.demand.full {
		h.demand.fullAt = now
	}
	queued := h.queuedWork()
	for _, u := range h.upstreams {
		h.addWindowDemands(u, queued[u], now)
	}
	h.addPlanDemands()
	generation := h.demand.generation
	if len(h.demand.changed) == 0 && generation == h.demand.reportedGeneration {
		return
	}
	if !h.cfg.Shares.ReportDemand(h.demand.changed, generation) {
		return
	}
	h.demand.reportedGeneration = generation
	for _, d := range h.demand.changed {
		if d.Demand == (quota.Demand{}) {
			delete(h.demand.reported, d.Resource)
			continue
		}
		h.demand.reported[d.Resource] = d.Demand
	}
}

func (h *handler) demandInterval() time.Duration {
	if h.queue.Len() > 0 {
		return queuedDemandInterval
	}
	return idleDemandInterval
}

// addDemand adds a demand to the report if it changed, or if the report is full
// and the demand was reported before.
func (h *handler) addDemand(r quota.Resource, d quota.Demand) {
	previous, reported := h.demand.reported[r]
	if d == previous && !(reported && h.demand.full) {
		return
	}
	h.demand.changed = append(h.demand.changed, quota.ResourceDemand{Resource: r, Demand: d})
}

// queuedCalls is the number of queued jobs attributed to an upstream.
type queuedCalls struct{ long, short int }

// queuedWork distributes the queued jobs evenly over the upstreams that can run
// them.
func (h *handler) queuedWork() map[*upstreamState]queuedCalls {
	if h.queue.Len() == 0 {
		return nil
	}
	waiting := make(map[eligibleKey]queuedCalls)
	for _, f := range h.flights {
		if !f.queued {
			continue
		}
		k := eligibleKey{plan: f.job.Plan, model: f.job.Model}
		n := waiting[k]
		if f.countsLong() {
			n.long++
		} else {
			n.short++
		}
		waiting[k] = n
	}
	out := make(map[*upstreamState]queuedCalls)
	for k, n := range waiting {
		list := h.eligible[k]
		for _, u := range list {
			q := out[u]
			q.long += ceilDiv(n.long, len(list))
			q.short += ceilDiv(n.short, len(list))
			out[u] = q
		}
	}
	return out
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// addWindowDemands adds the demands for one upstream's slots.
func (h *handler) addWindowDemands(u *upstreamState, queued queuedCalls, now time.Time) {
	s := &u.share
	load := quota.Load{
		Long: u.window.Long(), Short: u.shortCalls(),
		RecentLong:  now.Sub(s.longNeededAt) < quota.HeadroomRetention,
		RecentShort: now.Sub(s.shortNeededAt) < quota.HeadroomRetention,
	}
	if !u.draining && !u.removed && !now.Before(u.suspendedUntil) {
		load.QueuedLong, load.QueuedShort = queued.long, queued.short
	}
	long, short := load.Demands(s.short, s.shortInUse)
	s.shortInUse = short.InUse
	if long.Wanted > long.Headroom {
		s.longNeededAt = now
	}
	if short.Wanted > short.Headroom {
		s.shortNeededAt = now
	}
	h.addDemand(quota.Resource{Kind: quota.KindLong, Name: string(u.info.ID)}, long)
	h.addDemand(quota.Resource{Kind: quota.KindShort, Name: string(u.info.ID)}, short)
}

// countsLong reports whether a flight may not use short slots.
func (f *flight) countsLong() bool { return f.job.Lane == api.LaneRollout || !f.short }
