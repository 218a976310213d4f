package runner

import (
	"expvar"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/straggler"
	"go.uber.org/zap"
)

// itemsMovedLate counts the items moved because they would have missed their due time.
var itemsMovedLate = expvar.NewInt("items_moved_late")

const startSmoothing = 0.2 // weight of the latest run in the average time to a first event

// observeStart takes the time from a run's start to its first event; 0: there was none.
func (r *Runner) observeStart(firstEventAfter time.Duration) {
	switch {
	case firstEventAfter <= 0:
	case r.startTime == 0:
		r.startTime = firstEventAfter
	default:
		r.startTime += time.Duration(startSmoothing * float64(firstEventAfter-r.startTime))
	}
}

// usualStart returns the usual time from a run's start to its first event: before a run has
// ended, the longest of those in progress; 0: there was no event yet.
func (r *Runner) usualStart() time.Duration {
	start := r.startTime
	if start == 0 {
		for _, active := range r.active {
			start = max(start, time.Duration(active.firstEventAfter.Load()))
		}
	}
	return start
}

// moveStragglers moves the runs that would end in time elsewhere but not where they are.
func (r *Runner) moveStragglers(now time.Time) {
	start := r.usualStart()
	if !r.cfg.MoveLate || start == 0 {
		return
	}
	var runs []*run
	var items []straggler.Item
	room := 0
	for key, active := range r.active {
		alternative := r.wanted[key].Alternative
		if alternative == nil || alternative.ExpectedEvents == 0 || active.finished || active.evicted || active.readingDone.Load() || !r.keepsText(active) {
			continue
		}
		runs = append(runs, active)
		items = append(items, r.stragglerItem(active, alternative, start, now))
		room = max(room, alternative.FreeSlots)
	}
	for _, n := range straggler.Pick(items, room) {
		active, item := runs[n], items[n]
		itemsMovedLate.Add(1)
		r.log.Info("item would be late", zap.String("job", string(active.key.Job)), zap.String("item", string(active.key.Item)),
			zap.String("upstream", string(active.Upstream)), zap.String("to", string(r.wanted[active.key].Alternative.Upstream)),
			zap.Duration("left", item.Left), zap.Duration("here", item.Here()), zap.Duration("there", item.There()))
		active.evict("the item would be late")
	}
}

// keepsText reports whether the text of a run so far is stored if it is cancelled.
func (r *Runner) keepsText(active *run) bool {
	return !active.Job.SingleVersion || active.receivedEvents.Load() == 0 || r.deps.TextDroppable()
}

func (r *Runner) stragglerItem(active *run, a *batch.Alternative, start time.Duration, now time.Time) straggler.Item {
	const (
		overrun       = 0.25 // a text that is longer than expected goes on for some time in proportion
		overrunFactor = 1.5  // expectations are off by half
		minOverrun    = 16   // events; shorter texts end soon wherever they run
	)
	done := float64(active.EventCount) + float64(active.receivedEvents.Load())
	item := straggler.Item{
		Remaining: max(1, a.ExpectedEvents-done, overrun*done), Overrun: done > overrunFactor*a.ExpectedEvents && done >= minOverrun,
		SinceLast: now.Sub(active.startedAt) - time.Duration(active.lastEventAfter.Load()),
		Left:      timeLeft(active.Job, now), Start: start,
		Elsewhere: time.Duration(a.EventIntervalMicros) * time.Microsecond,
	}
	if state := r.intervals[active.Upstream]; state != nil {
		var measured bool
		if item.Interval, measured = state.meter.MeanInterval(now); !measured {
			item.Interval = state.reportedInterval // in the step before
		}
	}
	return item
}

// timeLeft returns the time until a job is due. A submission that seems to be in the future, as
// the clocks of hosts differ, counts as one at now.
func timeLeft(j *batch.Job, now time.Time) time.Duration {
	age := max(0, now.UnixMilli()-j.SubmittedMillis)
	return time.Duration(j.TargetMillis-age) * time.Millisecond
}

// evict cancels a run whose item is then moved to another upstream.
func (r *run) evict(reason string) {
	r.evicted, r.evictReason = true, reason
	r.cancel()
}
