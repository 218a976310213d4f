package upkeep

import (
	"context"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/generation"
	"dotterelmount.example/server/book"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// world is an upstream with the log's view of it; proposals take effect at once.
type world struct {
	mu       sync.Mutex
	upstream batch.Upstream
	report   generation.Report
	orders   []generation.LoadOrder
	answer   func(generation.LoadOrder) (generation.OrderResult, error)
	down     bool
	seen     time.Time
	view     *directory.View
	changes  []batch.Condition
}

func (w *world) Start(context.Context, *directory.Upstream, *batch.Run, []byte) (generation.Stream, error) {
	return nil, &generation.Error{}
}

func (w *world) Report(context.Context, *directory.Upstream) (generation.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return generation.Report{}, &generation.Error{Cause: generation.CauseConnection}
	}
	return w.report, nil
}

func (w *world) LoadWeights(_ context.Context, _ *directory.Upstream, o generation.LoadOrder) (generation.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return w.answer(o)
}

func (w *world) propose(r batch.Record, _ time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := r.(*batch.UpstreamChanged)
	w.changes = append(w.changes, c.Condition)
	w.upstream.Condition, w.upstream.Versions = c.Condition, c.Versions
	return nil
}

func (w *world) snapshot() *book.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &book.Snapshot{Upstreams: []batch.Upstream{w.upstream}, LastRenewals: map[api.DaemonID]time.Time{"d": w.seen}}
}

// load makes the upstream run what it is ordered to.
func (w *world) load(o generation.LoadOrder) (generation.OrderResult, error) {
	w.report.Orders++
	w.report.Versions = map[api.ModelName]api.WeightVersion{o.Model: o.Version}
	return generation.OrderStarted, nil
}

func newWorld() *world {
	w := &world{
		upstream: batch.Upstream{
			ID: "u", Service: "s", Holder: "d", LeaseOffset: 42, AssignedModel: "m", Models: []api.ModelName{"m"},
			Versions: map[api.ModelName]api.WeightVersion{"m": 1},
		},
		report: generation.Report{Versions: map[api.ModelName]api.WeightVersion{"m": 1}, Orders: 7},
		seen:   time.Now().Add(time.Hour),
		view: directory.NewView().Apply([]directory.Change{
			directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}, directory.WeightsAnnounced{Model: "m", Version: 2},
		}),
	}
	w.answer = w.load
	return w
}

func (w *world) start(t *testing.T, wait time.Duration) *Upkeep {
	t.Helper()
	k := Start(duty.NewSystem(nil), Config{
		Self: "d", Callers: 2, RingSize: 16, Tick: 5 * time.Millisecond, CallTimeout: time.Second, LeaseWait: wait, OrderLeaseAge: time.Second,
		LoadPollInterval: 10 * time.Millisecond, AnnouncementDelay: 10 * time.Millisecond, ProposalTimeout: 50 * time.Millisecond, LoadShare: 1, FailLimit: 3,
		ProbeInterval: 20 * time.Millisecond, SlowDuration: 50 * time.Millisecond, Now: time.Now,
	}, Deps{Engine: w, View: func() *directory.View { return w.view }, Snapshot: w.snapshot, Propose: w.propose}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return k
}

// until waits until the world is as wanted.
func (w *world) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func TestAnnouncedVersionIsOrderedUnderTheLease(t *testing.T) {
	w := newWorld()
	w.start(t, 0)
	w.until(t, "loaded", func() bool { return w.upstream.Versions["m"] == 2 && w.upstream.Condition == batch.ConditionReady })
	assert.Equal(t, len(w.orders), 1)
	assert.DeepEqual(t, w.orders[0], generation.LoadOrder{Model: "m", Version: 2, Mode: generation.LoadModeContinue, Holder: "d", Fence: 42, OrdersBefore: 7})
	assert.DeepEqual(t, w.changes, []batch.Condition{batch.ConditionLoading, batch.ConditionReady})
}

// An order that got no answer may be carried out later. It is given again with
// the number of orders that the upstream reports, so that one of them fails.
func TestUnansweredOrderIsGivenAgainByTheUpstreamsOwnCount(t *testing.T) {
	w := newWorld()
	w.answer = func(o generation.LoadOrder) (generation.OrderResult, error) {
		if len(w.orders) < 3 {
			return 0, &generation.Error{Cause: generation.CauseConnection}
		}
		return w.load(o)
	}
	w.start(t, 0)
	w.until(t, "loaded", func() bool { return w.upstream.Versions["m"] == 2 })
	for _, o := range w.orders {
		assert.Equal(t, o.OrdersBefore, uint64(7))
	}
}

func TestNoOrderWithoutASureLease(t *testing.T) {
	const watch = 150 * time.Millisecond
	for name, spoil := range map[string]func(*world){
		"a renewal that is too old":         func(w *world) { w.seen = time.Now().Add(-2 * time.Second) },
		"another daemon's":                  func(w *world) { w.upstream.Holder = "other" },
		"the holder before may still order": func(w *world) { w.upstream.PreviousHolder = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			spoil(w)
			w.start(t, time.Hour)
			time.Sleep(watch)
			w.mu.Lock()
			defer w.mu.Unlock()
			assert.Equal(t, len(w.orders), 0)
		})
	}
}

func TestSuspectUpstreamIsReadyAgainWhenItAnswers(t *testing.T) {
	w := newWorld()
	w.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	w.down = true
	k := w.start(t, 0)
	time.Sleep(20 * time.Millisecond) // the upstream is known
	k.ReportOutcome(generation.Outcome{Upstream: "u", Failed: true, Stalled: true})
	w.until(t, "suspect", func() bool { return w.upstream.Condition == batch.ConditionSuspect })
	time.Sleep(60 * time.Millisecond)
	w.until(t, "still suspect", func() bool { return w.upstream.Condition == batch.ConditionSuspect })
	w.mu.Lock()
	w.down = false
	w.mu.Unlock()
	w.until(t, "ready", func() bool { return w.upstream.Condition == batch.ConditionReady })
}

func TestSlowUpstreamRestsForATime(t *testing.T) {
	w := newWorld()
	w.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	k := w.start(t, 0)
	time.Sleep(20 * time.Millisecond) // the upstream is known
	k.ReportOutcome(generation.Outcome{Upstream: "u", Slow: true})
	w.until(t, "slow", func() bool { return w.upstream.Condition == batch.ConditionSlow })
	w.until(t, "ready", func() bool { return w.upstream.Condition == batch.ConditionReady })
}
