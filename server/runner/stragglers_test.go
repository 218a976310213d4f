package runner

import (
	"testing"
	"time"

	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

// newLateRunner has a run of an item with 40 events whose job is due 4 s after its start. A run
// elsewhere takes 40 ms for an event.
func newLateRunner(t *testing.T) *testRunner {
	t.Helper()
	r := newTestRunner(t)
	job := &batch.Job{ID: "j", SubmittedMillis: r.now.UnixMilli(), TargetMillis: 4000}
	r.deps.LeasedUpstreams = func() []batch.Upstream { return []batch.Upstream{{ID: "u"}} } // no peers: none is slow
	r.cfg.MoveLate, r.startTime = true, 100*time.Millisecond
	r.run.Job, r.run.startedAt = job, r.now
	r.wanted = map[batch.ItemKey]batch.Run{r.run.key: {
		Job: job, Upstream: "u", Alternative: &batch.Alternative{Upstream: "v", EventIntervalMicros: 40_000, FreeSlots: 1, ExpectedEvents: 40},
	}}
	return r
}

// receive lets the run receive an event per gap for some time, then looks for stragglers.
func (r *testRunner) receive(d, gap time.Duration) {
	r.advance(d, gap)
	if gap > 0 {
		r.run.lastEventAfter.Store(int64(r.now.Sub(r.run.startedAt)))
	}
	r.moveStragglers(r.now)
}

func TestItemThatWouldBeLateIsMoved(t *testing.T) {
	r := newLateRunner(t)
	r.receive(2*time.Second, 66*time.Millisecond) // 30 of 40 events
	assert.Assert(t, !r.run.evicted, "the others end in time here")
	r.receive(600*time.Millisecond, 0) // it stops
	assert.Assert(t, r.run.evicted && r.run.ctx.Err() != nil)
	assert.Equal(t, r.run.evictReason, "the item would be late")
}

func TestItemStaysIfItCannotMove(t *testing.T) {
	for name, change := range map[string]func(*testRunner){
		"not asked for":      func(r *testRunner) { r.cfg.MoveLate = false },
		"no place elsewhere": func(r *testRunner) { r.wanted = nil },
		"text only to store": func(r *testRunner) { r.run.readingDone.Store(true) },
		"text would be lost": func(r *testRunner) { r.run.Job.SingleVersion = true },
		"length not known": func(r *testRunner) {
			r.wanted[r.run.key].Alternative.ExpectedEvents = 0
		},
		"no run measured yet":  func(r *testRunner) { r.startTime = 0 },
		"it has ended already": func(r *testRunner) { r.run.finished = true },
	} {
		r := newLateRunner(t)
		r.deps.TextDroppable = func() bool { return false }
		change(r)
		r.receive(2*time.Second, 66*time.Millisecond)
		r.receive(600*time.Millisecond, 0)
		assert.Assert(t, !r.run.evicted, name)
	}
}

// A host's clock that is behind the one that dated the job doesn't make its items urgent, nor
// one that is ahead move items that end no earlier elsewhere.
func TestTimeLeftToleratesClocks(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	assert.Equal(t, timeLeft(&batch.Job{SubmittedMillis: 999_000, TargetMillis: 4000}, now), 3*time.Second)
	assert.Equal(t, timeLeft(&batch.Job{SubmittedMillis: 2_000_000, TargetMillis: 4000}, now), 4*time.Second)
	r := newLateRunner(t)
	r.run.Job.SubmittedMillis -= time.Hour.Milliseconds()
	r.receive(2*time.Second, 50*time.Millisecond)
	assert.Assert(t, !r.run.evicted)
}

func TestOverrunningItemMovesToFasterUpstream(t *testing.T) {
	r := newLateRunner(t)
	r.wanted[r.run.key].Alternative.ExpectedEvents = 100
	r.receive(2*time.Second, 66*time.Millisecond)
	r.run.receivedEvents.Store(0) // as of the next item there
	r.run.measuredEvents = 0
	r.wanted[r.run.key].Alternative.ExpectedEvents = 12
	r.receive(time.Second, 66*time.Millisecond) // 15 events instead of 12, an event each 40 ms elsewhere
	assert.Assert(t, !r.run.evicted)
	r.receive(400*time.Millisecond, 66*time.Millisecond)
	assert.Assert(t, r.run.evicted)
}
