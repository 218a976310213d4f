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
	"dotterelmount.example/server/jobreplica"
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
	oneVersion  bool // it has runs of one weight version
}

func (f *fakeUpstream) Start(context.Context, *directory.Upstream, *batch.Run, []byte) (generation.Stream, error) {
	return nil, &generation.Error{}
}

func (f *fakeUpstream) Report(context.Context, *directory.Upstream) (generation.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return generation.Report{}, &generation.Error{Cause: generation.CauseConnection}
	}
	return f.report, nil
}

func (f *fakeUpstream) LoadWeights(_ context.Context, _ *directory.Upstream, o generation.LoadOrder) (generation.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return f.respond(o)
}

func (f *fakeUpstream) propose(r batch.Record, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := r.(*batch.UpstreamChanged)
	f.changes = append(f.changes, c.Condition)
	f.upstream.Condition, f.upstream.Versions = c.Condition, c.Versions
	return nil
}

func (f *fakeUpstream) snapshot() *jobreplica.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &jobreplica.Snapshot{Upstreams: []batch.Upstream{f.upstream}, LastRenewals: map[api.DaemonID]time.Time{"d": f.lastRenewal}}
}

// acceptOrder makes the upstream load the ordered version immediately.
func (f *fakeUpstream) acceptOrder(o generation.LoadOrder) (generation.OrderResult, error) {
	f.report.Orders++
	f.report.Versions = map[api.ModelName]api.WeightVersion{o.Model: o.Version}
	return generation.OrderStarted, nil
}

func newFakeUpstream() *fakeUpstream {
	f := &fakeUpstream{
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
	f.respond = f.acceptOrder
	return f
}

func (f *fakeUpstream) start(t *testing.T, wait time.Duration) *Upkeep {
	t.Helper()
	k := Start(duty.NewSystem(nil), Config{
		Self: "d", CallDuties: 2, RingSize: 16, Tick: 5 * time.Millisecond, CallTimeout: time.Second, LeaseWait: wait, OrderLeaseAge: time.Second,
		LoadPollInterval: 10 * time.Millisecond, AnnouncementDelay: 10 * time.Millisecond, ProposalTimeout: 50 * time.Millisecond, LoadShare: 1, FailLimit: 3,
		ProbeInterval: 20 * time.Millisecond, SlowDuration: 50 * time.Millisecond, Now: time.Now,
	}, Deps{Engine: f, View: func() *directory.View { return f.view }, Snapshot: f.snapshot, Propose: f.propose, OneVersionRuns: func(api.UpstreamID) bool { return f.oneVersion }}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, k.Stop(context.Background())) })
	return k
}

// waitUntil waits until ok returns true. It calls ok with the mutex held.
func (f *fakeUpstream) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s: condition not reached", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func TestAnnouncedVersionIsOrderedWithLeaseAsFence(t *testing.T) {
	f := newFakeUpstream()
	f.start(t, 0)
	f.waitUntil(t, "loaded", func() bool { return f.upstream.Versions["m"] == 2 && f.upstream.Condition == batch.ConditionReady })
	assert.Equal(t, len(f.orders), 1)
	assert.DeepEqual(t, f.orders[0], generation.LoadOrder{Model: "m", Version: 2, Mode: generation.LoadModeContinue, Holder: "d", Fence: 42, OrdersBefore: 7})
	assert.DeepEqual(t, f.changes, []batch.Condition{batch.ConditionLoading, batch.ConditionReady})
}

// An order without a response may take effect later. It must be retried with the
// number of orders that the upstream reports, so that only one of them can succeed.
func TestUnansweredOrderIsRetriedWithReportedOrderCount(t *testing.T) {
	f := newFakeUpstream()
	f.respond = func(o generation.LoadOrder) (generation.OrderResult, error) {
		if len(f.orders) < 3 {
			return 0, &generation.Error{Cause: generation.CauseConnection}
		}
		return f.acceptOrder(o)
	}
	f.start(t, 0)
	f.waitUntil(t, "loaded", func() bool { return f.upstream.Versions["m"] == 2 })
	for _, o := range f.orders {
		assert.Equal(t, o.OrdersBefore, uint64(7))
	}
}

func TestNoOrderWithoutValidLease(t *testing.T) {
	const watchTime = 150 * time.Millisecond
	for name, change := range map[string]func(*fakeUpstream){
		"last renewal too old":            func(f *fakeUpstream) { f.lastRenewal = time.Now().Add(-2 * time.Second) },
		"held by another daemon":          func(f *fakeUpstream) { f.upstream.Holder = "other" },
		"previous holder may still order": func(f *fakeUpstream) { f.upstream.PreviousHolder = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeUpstream()
			change(f)
			f.start(t, time.Hour)
			time.Sleep(watchTime)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, len(f.orders), 0)
		})
	}
}

func TestSuspectUpstreamBecomesReadyWhenItResponds(t *testing.T) {
	f := newFakeUpstream()
	f.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	f.down = true
	k := f.start(t, 0)
	time.Sleep(20 * time.Millisecond) // until the duty knows the upstream
	k.ReportOutcome(generation.RunOutcome{Upstream: "u", Failed: true, Stalled: true})
	f.waitUntil(t, "suspect", func() bool { return f.upstream.Condition == batch.ConditionSuspect })
	time.Sleep(60 * time.Millisecond)
	f.waitUntil(t, "still suspect", func() bool { return f.upstream.Condition == batch.ConditionSuspect })
	f.mu.Lock()
	f.down = false
	f.mu.Unlock()
	f.waitUntil(t, "ready", func() bool { return f.upstream.Condition == batch.ConditionReady })
}

func TestSlowUpstreamBecomesReadyAfterSlowDuration(t *testing.T) {
	f := newFakeUpstream()
	f.view = directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s"}}})
	k := f.start(t, 0)
	time.Sleep(20 * time.Millisecond) // until the duty knows the upstream
	k.ReportOutcome(generation.RunOutcome{Upstream: "u", Slow: true})
	f.waitUntil(t, "slow", func() bool { return f.upstream.Condition == batch.ConditionSlow })
	f.waitUntil(t, "ready", func() bool { return f.upstream.Condition == batch.ConditionReady })
}

// A late copy of a report's response may be taken for the response to an order, which
// then seems not to be needed. The version must not count as loaded before a report
// shows it.
func TestVersionIsLoadedOnlyOnceReported(t *testing.T) {
	f := newFakeUpstream()
	f.respond = func(o generation.LoadOrder) (generation.OrderResult, error) {
		if len(f.orders) < 3 {
			return generation.OrderUnneeded, nil
		}
		return f.acceptOrder(o)
	}
	f.start(t, 0)
	f.waitUntil(t, "loaded", func() bool { return f.upstream.Versions["m"] == 2 && f.upstream.Condition == batch.ConditionReady })
	assert.Equal(t, len(f.orders), 3)
}

// Guards against runs that must be of one weight version and that a load would end.
func TestLoadWaitsForRunsOfOneVersion(t *testing.T) {
	f := newFakeUpstream()
	f.oneVersion = true
	f.start(t, 0)
	f.waitUntil(t, "loaded", func() bool { return f.upstream.Versions["m"] == 2 })
	assert.Equal(t, f.orders[0].Mode, generation.LoadModeWait)
}
