package runner

import (
	"context"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/lib/pace"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// testRunner is a Runner without its duty and with a settable clock.
type testRunner struct {
	*Runner
	now  time.Time
	slow []api.UpstreamID
	run  *run
	view *directory.View
}

func newTestRunner(t *testing.T) *testRunner {
	t.Helper()
	r := &testRunner{now: time.Unix(100, 0), view: directory.NewView()}
	r.Runner = &Runner{
		cfg: Config{
			Self: "d", MeasureInterval: 200 * time.Millisecond, MinIntervalChange: 0.3, Now: func() time.Time { return r.now },
			Pace: pace.Config{Window: 1800 * time.Millisecond, MinEvents: 12, Factor: 2.2, MinPeers: 2},
		},
		deps: Deps{
			View:    func() *directory.View { return r.view },
			Propose: func(batch.Record) error { return nil },
			OnOutcome: func(o generation.RunOutcome) {
				assert.Assert(t, o.Slow)
				r.slow = append(r.slow, o.Upstream)
			},
			LeasedUpstreams: func() []batch.Upstream {
				return []batch.Upstream{{ID: "u"}, {ID: "v", EventIntervalMicros: 40000}, {ID: "w", EventIntervalMicros: 40000}}
			},
		},
		log: zap.NewNop(), active: make(map[batch.ItemKey]*run), intervals: make(map[api.UpstreamID]*intervalState),
	}
	r.run = &run{Run: batch.Run{Upstream: "u"}, key: batch.ItemKey{Job: "j", Item: "i"}}
	r.run.ctx, r.run.cancel = context.WithCancel(context.Background())
	r.active[r.run.key] = r.run
	return r
}

// advance advances the clock by d while the run receives one event per gap, or
// none if gap is 0.
func (r *testRunner) advance(d, gap time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(200 * time.Millisecond)
		if gap > 0 {
			r.run.receivedEvents.Add(int64(200 * time.Millisecond / gap))
		}
		r.measureEventIntervals()
	}
}

func TestRunsAreEvictedFromSlowUpstream(t *testing.T) {
	r := newTestRunner(t)
	r.advance(3*time.Second, 40*time.Millisecond)
	assert.Equal(t, len(r.slow), 0)
	r.advance(3*time.Second, 100*time.Millisecond)
	assert.DeepEqual(t, r.slow[:1], []api.UpstreamID{"u"})
	assert.Assert(t, r.run.evicted && r.run.ctx.Err() != nil)
}

// While the store is down, complete texts wait to be stored. Their runs receive no
// events, which must not count against the upstream.
func TestRunsWaitingForStorageDoNotMakeUpstreamSlow(t *testing.T) {
	r := newTestRunner(t)
	r.advance(3*time.Second, 40*time.Millisecond)
	r.run.readingDone.Store(true)
	r.advance(7*time.Second, 0)
	assert.Equal(t, len(r.slow), 0)
	assert.Assert(t, !r.run.evicted)
}

// list lists the process of an upstream that started at a time.
func (r *testRunner) list(id api.UpstreamID, startMillis int64) {
	r.view = r.view.Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: id, Service: "s", StartMillis: startMillis}}})
}

// What was measured of an upstream says nothing of its next process.
func TestRestartedUpstreamIsMeasuredAnew(t *testing.T) {
	r := newTestRunner(t)
	r.list("u", 1)
	r.advance(3*time.Second, 40*time.Millisecond)
	_, known := r.intervals["u"].meter.MeanInterval(r.now)
	assert.Assert(t, known)
	r.list("u", 2)
	r.advance(200*time.Millisecond, 40*time.Millisecond)
	_, known = r.intervals["u"].meter.MeanInterval(r.now)
	assert.Assert(t, !known)
}
