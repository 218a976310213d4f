package runner

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"go.uber.org/zap"
)

// intervalState is how fast runs go on at an upstream.
type intervalState struct {
	meter            *pace.Meter
	reportedInterval time.Duration // gap last told; 0: none
}

// measureEventIntervals looks at how many events came, tells paces that changed, and has
// runs moved off upstreams that are slow.
func (r *Runner) measureEventIntervals() {
	now := r.cfg.Now()
	since := now.Sub(r.measuredAt)
	if since < r.cfg.MeasureInterval {
		return
	}
	r.measuredAt = now
	events := make(map[api.UpstreamID]int)
	busy := make(map[api.UpstreamID]time.Duration)
	for _, a := range r.active {
		came := a.events.Load()
		if a.reported || a.readingDone.Load() || came == 0 {
			continue // in the upstream's queue, or over
		}
		if a.measuredEvents > 0 { // the first look counts from the first event on
			events[a.Upstream] += int(came - a.measuredEvents)
			busy[a.Upstream] += since
		}
		a.measuredEvents = came
	}
	for id := range busy {
		if r.paces[id] == nil {
			r.paces[id] = &intervalState{meter: pace.NewMeter(r.cfg.Pace)}
		}
	}
	if len(r.paces) == 0 {
		return
	}
	all := r.deps.LeasedUpstreams()
	for id, p := range r.paces {
		p.meter.Add(now, events[id], busy[id])
		if gap, ok := p.meter.MeanInterval(now); ok {
			r.evaluateEventInterval(id, p, gap, all)
		}
	}
}

// evaluateEventInterval tells an upstream's pace and acts when it is slow.
func (r *Runner) evaluateEventInterval(id api.UpstreamID, p *intervalState, gap time.Duration, all []batch.Upstream) {
	if change := float64(gap-p.reportedInterval) / float64(max(p.reportedInterval, 1)); change > r.cfg.MinIntervalChange || change < -r.cfg.MinIntervalChange {
		p.reportedInterval = gap
		r.propose(&batch.EventIntervalMeasured{Upstream: id, Daemon: r.cfg.Self, Micros: gap.Microseconds()})
	}
	var self *batch.Upstream
	var peers []time.Duration
	for i := range all {
		switch u := &all[i]; {
		case u.ID == id:
			self = u
		case u.EventIntervalMicros > 0:
			peers = append(peers, time.Duration(u.EventIntervalMicros)*time.Microsecond)
		}
	}
	if self == nil || self.Condition == batch.ConditionSlow || !r.cfg.Pace.IsSlow(gap, peers) {
		return
	}
	r.log.Info("upstream slow", zap.String("upstream", string(id)), zap.Duration("gap", gap), zap.Int("peers", len(peers)))
	p.meter.Reset()
	r.deps.OnOutcome(generation.Outcome{Upstream: id, Slow: true})
	for _, a := range r.active {
		if a.Upstream == id && !a.reported {
			a.evicted = true
			a.cancel()
		}
	}
}
