package dispatch

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
)

const (
	// calmInterval and hurryInterval are the times between two reports of this
	// daemon's needs, without work queued and with.
	calmInterval  = 50 * time.Millisecond
	hurryInterval = 5 * time.Millisecond
	// wholeInterval is the time between two reports of all needs, also of those
	// that did not change: the shares may have learnt of a resource since.
	wholeInterval = time.Second
	// staleShares is the time after which shares are looked at again before
	// work starts: the daemon was paused, and leases may have lapsed meanwhile.
	staleShares = 5 * dispatchTick
)

// windowShare is this daemon's part of one upstream's window.
type windowShare struct {
	set         bool
	long, short int       // slots
	shortInUse  int       // calls counted in short slots
	lastLong    time.Time // latest need of slots for any work
	lastShort   time.Time // latest need of short slots
}

// demand is what the shares know of this daemon's needs.
type demand struct {
	told    map[quota.Resource]quota.Need
	at      time.Time      // latest look at the needs
	wholeAt time.Time      // latest report of all of them
	whole   bool           // this report is one
	changed []quota.Demand // the report being made
	// generation of the shares that the windows have, and the one told last.
	generation, toldGeneration uint64
}

// resize gives each window this daemon's present share of the upstream's.
func (h *handler) resize(now time.Time) {
	h.resized = now
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

// tellDemand reports needs that changed, unless the latest look at them was
// less than an interval ago. What finds no room is told again.
func (h *handler) tellDemand(now time.Time, interval time.Duration) {
	if h.cfg.Shares == nil || now.Sub(h.demand.at) < interval {
		return
	}
	h.demand.at = now
	h.demand.changed = nil // the shares keep what they were given
	h.demand.whole = now.Sub(h.demand.wholeAt) >= wholeInterval
	if h.demand.whole {
		h.demand.wholeAt = now
	}
	queued := h.queuedWork()
	for _, u := range h.upstreams {
		h.needWindow(u, queued[u], now)
	}
	h.needPlans()
	generation := h.demand.generation
	if len(h.demand.changed) == 0 && generation == h.demand.toldGeneration {
		return
	}
	if !h.cfg.Shares.Demand(h.demand.changed, generation) {
		return
	}
	h.demand.toldGeneration = generation
	for _, d := range h.demand.changed {
		if d.Need == (quota.Need{}) {
			delete(h.demand.told, d.Resource)
			continue
		}
		h.demand.told[d.Resource] = d.Need
	}
}

func (h *handler) demandInterval() time.Duration {
	if h.queue.Len() > 0 {
		return hurryInterval
	}
	return calmInterval
}

// need adds a need to the report if it is news.
func (h *handler) need(r quota.Resource, n quota.Need) {
	was, told := h.demand.told[r]
	if n == was && !(told && h.demand.whole) {
		return
	}
	h.demand.changed = append(h.demand.changed, quota.Demand{Resource: r, Need: n})
}

// queuedCalls is the queued work that an upstream might get.
type queuedCalls struct{ long, short int }

// queuedWork spreads what is queued evenly over the upstreams that serve it.
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

// needWindow finds the need of one upstream's slots.
func (h *handler) needWindow(u *upstreamState, queued queuedCalls, now time.Time) {
	s := &u.share
	load := quota.Load{
		Long: u.window.Long(), Short: u.shortCalls(),
		RecentLong:  now.Sub(s.lastLong) < quota.RecentTime,
		RecentShort: now.Sub(s.lastShort) < quota.RecentTime,
	}
	if !u.draining && !u.removed && !now.Before(u.suspended) {
		load.QueuedLong, load.QueuedShort = queued.long, queued.short
	}
	long, short := load.Needs(s.short, s.shortInUse)
	s.shortInUse = short.InUse
	if long.Want > long.Spare {
		s.lastLong = now
	}
	if short.Want > short.Spare {
		s.lastShort = now
	}
	h.need(quota.Resource{Kind: quota.KindLong, Name: string(u.info.ID)}, long)
	h.need(quota.Resource{Kind: quota.KindShort, Name: string(u.info.ID)}, short)
}

// countsLong reports whether a flight may not use short slots.
func (f *flight) countsLong() bool { return f.job.Lane == api.LaneRollout || !f.short }
