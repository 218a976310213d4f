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

// fakeUpstream is an upstream with its state in the log, in which proposals take
// effect immediately.
type fakeUpstream struct {
	mu          sync.Mutex
	upstream    batch.Upstream
	report      generation.Report
	orders      []generation.LoadOrder
	respond     func(generation.LoadOrder) (generation.OrderResult, error)
	down        bool
	lastRenewal time.Time
	view        *directory.View
	changes     []batch.Condition
}

func (w *fakeUpstream) Start(context.Context, *directory.Upstream, *batch.Run, []byte) (generation.Stream, error) {
	return nil, &generation.Error{}
}

func (w *fakeUpstream) Report(context.Context, *directory.Upstream) (generation.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return generation.Report{}, &generation.Error{Cause: generation.CauseConnection}
	}
	return w.report, nil
}

func (w *fakeUpstream) LoadWeights(_ context.Context, _ *directory.Upstream, o generation.LoadOrder) (generation.OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return w.respond(o)
}

func (w *fakeUpstream) propose(r batch.Record, _ time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := r.(*batch.UpstreamChanged)
	w.changes = append(w.changes, c.Condition)
	w.upstream.Condition, w.upstream.Versions = c.Condition, c.Versions
	return nil
}

func (w *fakeUpstream) snapshot() *book.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &book.Snapshot{Upstreams: []batch.Upstream{w.upstream}, LastRenewals: map[api.DaemonID]time.Time{"d": w.lastRenewal}}
}

// acceptOrder makes the upstream load the ordered version immediately.
func (w *fakeUpstream) acceptOrder(o generation.LoadOrder) (generation.OrderResult, error) {
	w.report.Orders++
	w.report.Versions = map[api.ModelName]api.WeightVersion{o.Model: o.Version}
	return generation.OrderStarted, nil
}

func newFakeUpstream() *fakeUpstream {
	w := &fakeUpstream{
		upstream: batch.Upstream{
			ID: "u", Service: "s", Holder: "d", LeaseOffset: 42, AssignedModel: "m", Models: []api.ModelName{"m"},
			Versions: map[api.ModelName]api.WeightVersion{"m": 1},
		},
		report:      generation.Report{Versions: map[api.ModelName]api.WeightVersion{"m": 1}, Orders: 7},
		lastRenewal: time.Now().Add(time.Hour),
		view: directory.NewView().Apply([]directory.Change{
			directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}, directory.WeightsAnnounced{Model: "m", Version: 2},
		}),
	}
	w.respond = w.acceptOrder
	return w
}

func (w *fakeUpstream) start(t *testing.T, wait time.Duration) *Upkeep {
	t.Helper()
	k := Start(duty.NewSystem(nil), Config{
		Self: "d", Callers: 2, RingSize: 16, Tick: 5 * time.Millisecond, CallTimeout: time.Second, LeaseWait: wait, OrderLeaseAge: time.Second,
		LoadPollInterval: 10 * time.Millisecond, AnnouncementDelay: 10 * time.Millisecond, ProposalTimeout: 50 * time.Millisecond, LoadShare: 1, FailLimit: 3,
		ProbeInterval: 20 * time.Millisecond, SlowDuration: 50 * time.Millisecond, Now: time.Now,
	}, Deps{Engine: w, View: func() *directory.View { return w.view }, Snapshot: w.snapshot, Propose: w.propose}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return k
}

// waitUntil waits until ok returns true. It calls ok with the mutex held.
func (w *fakeUpstream) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mu.Lock()
		defer w.mu.Unlock()
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s: condition not reached", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func TestAnnouncedVersionIsOrderedWithLeaseAsFence(t *testing.T) {
	w := newFakeUpstream()
	w.start(t, 0)
	w.waitUntil(t, "loaded", func() bool { return w.upstream.Versions["m"] == 2 && w.upstream.Condition == batch.ConditionReady })
	assert.Equal(t, len(w.orders), 1)
	assert.DeepEqual(t, w.orders[0], generation.LoadOrder{Model: "m", Version: 2, Mode: generation.LoadModeContinue, Holder: "d", Fence: 42, OrdersBefore: 7})
	assert.DeepEqual(t, w.changes, []batch.Condition{batch.ConditionLoading, batch.ConditionReady})
}

// An order without a response may take effect later. It must be retried with the
// number of orders that the upstream reports, so that only one of them can succeed.
func TestUnansweredOrderIsRetriedWithReportedOrderCount(t *testing.T) {
	w := newFakeUpstream()
	w.respond = func(o generation.LoadOrder) (generation.OrderResult, error) {
		if len(w.orders) < 3 {
			return 0, &generation.Error{Cause: generation.CauseConnection}
		}
		return w.acceptOrder(o)
	}
	w.start(t, 0)
	w.waitUntil(t, "loaded", func() bool { return w.upstream.Versions["m"] == 2 })
	for _, o := range w.orders {
		assert.Equal(t, o.OrdersBefore, uint64(7))
	}
}

func TestNoOrderWithoutValidLease(t *testing.T) {
	const watchTime = 150 * time.Millisecond
	for name, change := range map[string]func(*fakeUpstream){
		"last renewal too old":            func(w *fakeUpstream) { w.lastRenewal = time.Now().Add(-2 * time.Second) },
		"held by another daemon":          func(w *fakeUpstream) { w.upstream.Holder = "other" },
		"previous holder may still order": func(w *fakeUpstream) { w.upstream.PreviousHolder = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeUpstream()
			change(w)
			w.start(t, time.Hour)
			time.Sleep(watchTime)
			w.mu.Lock()
			defer w.mu.Unlock()
			assert.Equal(t, len(w.orders), 0)
		})
	}
}

func TestSuspectUpstreamBecomesReadyWhenItResponds(t *testing.T) {
	w := newFakeUpstream()
	w.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	w.down = true
	k := w.start(t, 0)
	time.Sleep(20 * time.Millisecond) // until the duty knows the upstream
	k.ReportOutcome(generation.Outcome{Upstream: "u", Failed: true, Stalled: true})
	w.waitUntil(t, "suspect", func() bool { return w.upstream.Condition == batch.ConditionSuspect })
	time.Sleep(60 * time.Millisecond)
	w.waitUntil(t, "still suspect", func() bool { return w.upstream.Condition == batch.ConditionSuspect })
	w.mu.Lock()
	w.down = false
	w.mu.Unlock()
	w.waitUntil(t, "ready", func() bool { return w.upstream.Condition == batch.ConditionReady })
}

func TestSlowUpstreamBecomesReadyAfterSlowDuration(t *testing.T) {
	w := newFakeUpstream()
	w.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	k := w.start(t, 0)
	time.Sleep(20 * time.Millisecond) // until the duty knows the upstream
	k.ReportOutcome(generation.Outcome{Upstream: "u", Slow: true})
	w.waitUntil(t, "slow", func() bool { return w.upstream.Condition == batch.ConditionSlow })
	w.waitUntil(t, "ready", func() bool { return w.upstream.Condition == batch.ConditionReady })
}
