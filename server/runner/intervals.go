package runner

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"go.uber.org/zap"
)

// intervalState tracks the mean time between events of runs on an upstream.
type intervalState struct {
	meter            *pace.Meter
	startMillis      int64         // of the upstream's process
	reportedInterval time.Duration // last proposed interval; 0: none
}

// measureEventIntervals measures the event intervals of all upstreams with active
// runs. It proposes intervals that changed and moves runs off slow upstreams.
func (r *Runner) measureEventIntervals() {
	now := r.cfg.Now()
	since := now.Sub(r.measuredAt)
	if since < r.cfg.MeasureInterval {
		return
	}
	r.measuredAt = now
	events := make(map[api.UpstreamID]int)
	busy := make(map[api.UpstreamID]time.Duration)
	for _, active := range r.active {
		received := active.receivedEvents.Load()
		if active.finished || active.readingDone.Load() || received == 0 {
			continue // still queued at the upstream, or ended
		}
		if active.measuredEvents > 0 { // the time before the first event does not count
			events[active.Upstream] += int(received - active.measuredEvents)
			busy[active.Upstream] += since
		}
		active.measuredEvents = received
	}
	for id := range busy {
		if r.intervals[id] == nil {
			r.intervals[id] = &intervalState{meter: pace.NewMeter(r.cfg.Pace)}
		}
	}
	r.forgetRestarted()
	if len(r.intervals) == 0 {
		return
	}
	upstreams := r.deps.LeasedUpstreams()
	for id, state := range r.intervals {
		state.meter.Add(now, events[id], busy[id])
		if interval, ok := state.meter.MeanInterval(now); ok {
			r.evaluateEventInterval(id, state, interval, upstreams)
		}
	}
}

// evaluateEventInterval proposes an upstream's event interval if it changed enough,
// and evicts the upstream's runs if it is slow compared to its peers.
func (r *Runner) evaluateEventInterval(id api.UpstreamID, state *intervalState, interval time.Duration, upstreams []batch.Upstream) {
	if change := float64(interval-state.reportedInterval) / float64(max(state.reportedInterval, 1)); change > r.cfg.MinIntervalChange || change < -r.cfg.MinIntervalChange {
		state.reportedInterval = interval
		r.propose(&batch.EventIntervalMeasured{Upstream: id, Daemon: r.cfg.Self, Micros: interval.Microseconds()})
	}
	var self *batch.Upstream
	var peers []time.Duration
	for i := range upstreams {
		switch u := &upstreams[i]; {
		case u.ID == id:
			self = u
		case u.EventIntervalMicros > 0:
			peers = append(peers, time.Duration(u.EventIntervalMicros)*time.Microsecond)
		}
	}
	if self == nil || self.Condition == batch.ConditionSlow || !r.cfg.Pace.IsSlow(interval, peers) {
		return
	}
	r.log.Info("upstream is slow", zap.String("upstream", string(id)), zap.Duration("gap", interval), zap.Int("peers", len(peers)))
	state.meter.Reset()
	r.deps.OnOutcome(generation.RunOutcome{Upstream: id, Slow: true})
	for _, active := range r.active {
		if active.Upstream == id && !active.finished {
			active.evict("the upstream is slow")
		}
	}
}

// forgetRestarted resets the measurements of upstreams whose process is another one.
func (r *Runner) forgetRestarted() {
	listed := r.deps.View().Upstreams
	for id, state := range r.intervals {
		u := listed[id]
		if u == nil || u.StartMillis == state.startMillis {
			continue
		}
		if state.startMillis != 0 {
			state.meter.Reset()
			state.reportedInterval = 0
		}
		state.startMillis = u.StartMillis
	}
}
