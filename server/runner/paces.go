package runner

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"go.uber.org/zap"
)

// paceState is how fast runs go on at an upstream.
type paceState struct {
	meter *pace.Meter
	told  time.Duration // gap last told; 0: none
}

// measure looks at how many events came, tells paces that changed, and has
// runs moved off upstreams that are slow.
func (r *Runner) measure() {
	now := r.cfg.Now()
	since := now.Sub(r.looked)
	if since < r.cfg.PaceEvery {
		return
	}
	r.looked = now
	events := make(map[api.UpstreamID]int)
	busy := make(map[api.UpstreamID]time.Duration)
	for _, a := range r.active {
		came := a.events.Load()
		if a.ended || a.over.Load() || came == 0 {
			continue // in the upstream's queue, or over
		}
		if a.counted > 0 { // the first look counts from the first event on
			events[a.Upstream] += int(came - a.counted)
			busy[a.Upstream] += since
		}
		a.counted = came
	}
	for id := range busy {
		if r.paces[id] == nil {
			r.paces[id] = &paceState{meter: pace.NewMeter(r.cfg.Pace)}
		}
	}
	if len(r.paces) == 0 {
		return
	}
	all := r.deps.Upstreams()
	for id, p := range r.paces {
		p.meter.Add(now, events[id], busy[id])
		if gap, ok := p.meter.Gap(now); ok {
			r.judge(id, p, gap, all)
		}
	}
}

// judge tells an upstream's pace and acts when it is slow.
func (r *Runner) judge(id api.UpstreamID, p *paceState, gap time.Duration, all []batch.Upstream) {
	if change := float64(gap-p.told) / float64(max(p.told, 1)); change > r.cfg.PaceChange || change < -r.cfg.PaceChange {
		p.told = gap
		r.propose(&batch.PaceMeasured{Upstream: id, Daemon: r.cfg.Self, Micros: gap.Microseconds()})
	}
	var self *batch.Upstream
	var peers []time.Duration
	for i := range all {
		switch u := &all[i]; {
		case u.ID == id:
			self = u
		case u.PaceMicros > 0:
			peers = append(peers, time.Duration(u.PaceMicros)*time.Microsecond)
		}
	}
	if self == nil || self.Condition == batch.ConditionSlow || !r.cfg.Pace.Slow(gap, peers) {
		return
	}
	r.log.Info("upstream slow", zap.String("upstream", string(id)), zap.Duration("gap", gap), zap.Int("peers", len(peers)))
	p.meter.Reset()
	r.deps.Ran(generation.Outcome{Upstream: id, Slow: true})
	for _, a := range r.active {
		if a.Upstream == id && !a.ended {
			a.evicted = true
			a.cancel()
		}
	}
}
