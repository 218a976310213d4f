package usage

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const window = 5 * time.Second

var (
	t0        = time.Unix(1_700_000_000, 0)
	reporting = Reporting{
		Window: window, Settle: 2500 * time.Millisecond, Delay: 10 * time.Second, Grace: 1500 * time.Millisecond, GiveUp: 3 * time.Minute,
		RetryDelay: 250 * time.Millisecond, MaxRetryDelay: 2 * time.Second,
	}
)

// reportStore is the topic of the reports. Updates without a response may be executed later.
type reportStore struct {
	stored  Stored
	delayed []Update
}

func (s *reportStore) update(u Update) bool {
	if u.At != s.stored.End {
		return false
	}
	next := Stored{Done: u.Done, End: s.stored.End + 1, Fixed: maps.Clone(s.stored.Fixed)}
	if next.Fixed == nil {
		next.Fixed = make(map[int64]Counts)
	}
	maps.Copy(next.Fixed, u.Fix)
	for _, w := range u.Remove {
		delete(next.Fixed, w)
	}
	s.stored = next
	return true
}

// Several reporters that all take themselves for the holder, lost and late answers and restarts
// never cause two reports of a window with different numbers; without faults all are reported.
func TestWindowIsReportedWithOneNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &reportStore{}
		reports := make(map[int64]int64)
		counts := make(map[int64]Counts)
		now := t0
		first := WindowOf(t0, window)
		reporters := []*Reporter{NewReporter(reporting, first), NewReporter(reporting, first), NewReporter(reporting, first)}
		act := func(r *Reporter, faults bool) {
			step := r.Next(now)
			fault := faults && rapid.IntRange(0, 3).Draw(t, "fault") == 0
			switch {
			case step.Read && fault:
				r.StoreFailed(now)
			case step.Read:
				r.ReadDone(store.stored)
			case step.Collect:
				u, ok := r.Collected(now, counts)
				if !ok {
					return
				}
				if fault && rapid.Bool().Draw(t, "later") {
					store.delayed = append(store.delayed, u)
					r.StoreFailed(now)
					return
				}
				if !store.update(u) || fault {
					r.StoreFailed(now)
					return
				}
				r.Updated(u, store.stored.End)
			case step.Send != nil:
				total := step.Send.Counts.Total()
				if before, ok := reports[step.Send.Window]; ok {
					assert.Equal(t, total, before, "window %d", step.Send.Window)
				}
				reports[step.Send.Window] = total
				if fault {
					r.SendFailed(now)
				} else {
					r.Sent(step.Send.Window)
				}
			}
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			// Counts may arrive at any time, also for windows that are fixed.
			w := WindowOf(now.Add(-time.Duration(rapid.IntRange(0, 10).Draw(t, "age"))*time.Second), window)
			if counts[w] == nil {
				counts[w] = make(Counts)
			}
			counts[w]["a"]++
			if len(store.delayed) > 0 && rapid.Bool().Draw(t, "execute") {
				store.update(store.delayed[0])
				store.delayed = store.delayed[1:]
			}
			i := rapid.IntRange(0, len(reporters)-1).Draw(t, "reporter")
			if rapid.IntRange(0, 15).Draw(t, "restart") == 0 {
				reporters[i] = NewReporter(reporting, WindowOf(now, window))
			}
			act(reporters[i], true)
		}
		last := WindowOf(now, window)
		now = EndOf(last, window).Add(reporting.Settle)
		holder := NewReporter(reporting, last)
		for range 500 {
			act(holder, false)
		}
		begin := max(WindowOf(now.Add(-reporting.GiveUp), window)+1, first)
		for w := begin; w <= last; w++ {
			_, ok := reports[w]
			assert.Assert(t, ok || counts[w] == nil || w <= store.stored.Done, "window %d is not reported", w)
		}
		_, ok := reports[last]
		assert.Assert(t, ok, "the last window is not reported")
	})
}

func TestReportsInOrder(t *testing.T) {
	first := WindowOf(t0, window)
	r := NewReporter(reporting, first)
	assert.Assert(t, r.Next(t0).Read)
	r.ReadDone(Stored{})
	end := EndOf(first, window)
	assert.Assert(t, !r.Next(end.Add(2400*time.Millisecond)).Collect)
	now := end.Add(2500 * time.Millisecond)
	assert.Assert(t, r.Next(now).Collect)
	// Another daemon has counted before this one started.
	u, ok := r.Collected(now, map[int64]Counts{first - 2: {"a": 1}, first: {"a": 2, "b": 3}})
	assert.Assert(t, ok)
	assert.Equal(t, u.Done, first-3)
	assert.DeepEqual(t, u.Fix, map[int64]Counts{first - 2: {"a": 1}, first - 1: {}, first: {"a": 2, "b": 3}})
	r.Updated(u, 1)
	for _, w := range []int64{first - 1, first, first - 2} { // the last one is late already
		step := r.Next(now)
		assert.Equal(t, step.Send.Window, w)
		r.Sent(w)
	}
	assert.DeepEqual(t, r.Next(now), Step{})

	// The next update removes what was reported; a failed report is repeated after a delay.
	now = now.Add(window)
	u, ok = r.Collected(now, nil)
	assert.Assert(t, ok)
	assert.Equal(t, u.Done, first)
	assert.DeepEqual(t, u.Remove, []int64{first - 2, first - 1, first})
	r.Updated(u, 2)
	r.SendFailed(now)
	assert.DeepEqual(t, r.Next(now), Step{})
	assert.Equal(t, r.Next(now.Add(250*time.Millisecond)).Send.Window, first+1)

	// While nobody holds the duty, windows grow too old.
	now = now.Add(reporting.GiveUp + 10*window)
	u, ok = r.Collected(now, nil)
	assert.Assert(t, ok)
	assert.Assert(t, len(u.GivenUp) >= 10 && u.GivenUp[0] == first+1)
	assert.Equal(t, u.Done, u.GivenUp[len(u.GivenUp)-1])
}

// After an outage of the store, the counts that waited for it come first, until it is late.
func TestWindowWaitsForCountsAfterAnOutage(t *testing.T) {
	first := WindowOf(t0, window)
	r := NewReporter(reporting, first)
	due := EndOf(first, window).Add(reporting.Settle)
	r.StoreFailed(due)
	assert.DeepEqual(t, r.Next(due.Add(200*time.Millisecond)), Step{})
	assert.Assert(t, r.Next(due.Add(250*time.Millisecond)).Read)
	r.ReadDone(Stored{})
	assert.DeepEqual(t, r.Next(due.Add(time.Second)), Step{})
	assert.Assert(t, r.Next(due.Add(1500*time.Millisecond)).Collect)
	r.StoreFailed(due.Add(4900 * time.Millisecond))
	r.ReadDone(Stored{})
	assert.Assert(t, r.Next(due.Add(5*time.Second)).Collect, "the window would be late")
}

func TestCounterStoresInTime(t *testing.T) {
	c := NewCounter(Flushing{Window: window, Interval: 3 * time.Second, PerSecond: 100, Spread: 500 * time.Millisecond})
	c.SetDaemons(84)
	w := WindowOf(t0, window)
	assert.Assert(t, !c.Due(time.Hour, t0))
	c.Take(time.Hour)
	c.Add("a", t0)
	c.Add("a", t0.Add(time.Second))
	c.Add("b", t0.Add(window))
	assert.Assert(t, !c.Due(time.Hour+2*time.Second, t0.Add(2*time.Second)))
	assert.Assert(t, c.Due(time.Hour+3*time.Second, t0.Add(3*time.Second)))
	assert.Assert(t, !c.Due(time.Hour+time.Second, EndOf(w, window)))
	assert.Assert(t, c.Due(time.Hour+time.Second, EndOf(w, window).Add(500*time.Millisecond)))
	assert.DeepEqual(t, c.Take(time.Hour), map[int64]Counts{w: {"a": 2}, w + 1: {"b": 1}})
	assert.Assert(t, c.Empty())
	c.SetDaemons(1000)
	c.Add("a", t0)
	assert.Assert(t, !c.Due(time.Hour+9*time.Second, t0) && c.Due(time.Hour+10*time.Second, t0))
	for _, daemon := range []string{"a", "b", "c"} {
		assert.Assert(t, Spread(daemon, time.Second) < time.Second)
	}
}

func TestClockIgnoresJumps(t *testing.T) {
	c := &Clock{}
	_, ok := c.Time(0)
	assert.Assert(t, !ok)
	assert.Assert(t, c.Observe(time.Minute, t0))
	assert.Assert(t, c.Observe(2*time.Minute, t0.Add(time.Minute+5*time.Millisecond)), "drift")
	assert.Assert(t, !c.Observe(3*time.Minute, t0.Add(2*time.Minute+2400*time.Millisecond)), "jump")
	now, _ := c.Time(3 * time.Minute)
	assert.Equal(t, now.Sub(t0), 2*time.Minute+5*time.Millisecond)
	assert.Assert(t, c.Jumped())
	assert.Assert(t, c.Observe(4*time.Minute, t0.Add(3*time.Minute)) && !c.Jumped())
}

// A daemon that starts while its time of day is wrong takes that of the others, and its own
// again once that agrees.
func TestClockOfAStartWithinAJump(t *testing.T) {
	c := &Clock{}
	c.Observe(time.Minute, t0.Add(-2400*time.Millisecond))
	assert.Assert(t, !c.Plausible(t0, time.Minute, time.Second))
	assert.Assert(t, !c.Compare(t0, time.Minute-200*time.Millisecond, time.Minute))
	now, _ := c.Time(time.Minute)
	assert.Assert(t, now.Sub(t0) >= 0 && now.Sub(t0) <= 200*time.Millisecond, "%v", now.Sub(t0))
	assert.Assert(t, !c.Observe(2*time.Minute, t0.Add(time.Minute-2400*time.Millisecond)))
	assert.Assert(t, c.Observe(3*time.Minute, t0.Add(2*time.Minute)))
	now, _ = c.Time(3 * time.Minute)
	assert.Equal(t, now.Sub(t0), 2*time.Minute)
	assert.Assert(t, c.Compare(t0.Add(2*time.Minute), 3*time.Minute-time.Second, 3*time.Minute))
	assert.Assert(t, c.Plausible(t0.Add(2*time.Minute), 3*time.Minute+time.Second, time.Second))
}
