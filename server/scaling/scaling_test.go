package scaling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/scaling"
	"dotterelmount.example/lib/singleton"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// fakePlatform records orders and holds the terms of the duty. It carries out orders at once,
// unless outcome is set for them.
type fakePlatform struct {
	t        *testing.T
	now      time.Time
	term     singleton.Term
	held     bool
	orders   []singleton.UpstreamOrder
	fences   []uint64
	outcome  func(singleton.UpstreamOrder) (singleton.Outcome, bool)
	counts   map[scaling.Place]int
	viewAsOf time.Time
	sent     []*call // to the duty that makes the calls
	scaler   *Scaler
	caller   *caller
}

func (f *fakePlatform) order(_ context.Context, t singleton.Term, o singleton.UpstreamOrder) error {
	f.orders, f.fences = append(f.orders, o), append(f.fences, t.Fence)
	if outcome, failed := f.outcome(o); failed {
		f.held = f.held && outcome != singleton.OutcomeFenced
		return &singleton.CallError{Op: "scale", Outcome: outcome}
	}
	f.counts[scaling.PlaceOf(o)] = o.Count
	return nil
}

func (f *fakePlatform) view() *directory.View {
	changes := []directory.Change{directory.ConfigChanged{Config: routes.Config{Version: 1, Services: []routes.Service{
		{Name: "plain"},
		{Name: "s", Engine: &routes.Engine{Models: []api.ModelName{"m", "n"}}, Autoscale: &routes.Autoscale{
			Min: 1, Max: 30, BootTime: 4 * time.Second, SpotPrice: 0.2, Prices: map[api.DataCentre]float64{"a": 1, "b": 0.8},
		}},
	}}}}
	for place, count := range f.counts {
		for n := range count {
			changes = append(changes, directory.UpstreamListed{Upstream: directory.Upstream{ID: id(place, n), Service: "s", DataCentre: place.DataCentre, Reclaimable: place.Reclaimable, Slots: 8}})
		}
	}
	return directory.NewView().Apply(changes).ReadAt(f.viewAsOf, f.viewAsOf)
}

func id(p scaling.Place, n int) api.UpstreamID {
	return api.UpstreamID(fmt.Sprint(p.DataCentre, p.Reclaimable, n))
}

func (f *fakePlatform) snapshot() *jobreplica.Snapshot {
	s := &jobreplica.Snapshot{}
	for place, count := range f.counts {
		for n := range count {
			s.Upstreams = append(s.Upstreams, batch.Upstream{ID: id(place, n), Service: "s", AssignedModel: []api.ModelName{"m", "n"}[n%2], EventIntervalMicros: 50000})
		}
	}
	return s
}

// workloads returns those of two trainers that submit a step each 4 s.
func (f *fakePlatform) workloads(context.Context) ([]batch.Workload, error) {
	var out []batch.Workload
	for age := 24 * time.Second; age >= 0; age -= 4 * time.Second {
		for _, m := range []api.ModelName{"m", "n"} {
			out = append(out, batch.Workload{Service: "s", Model: m, Target: 7500 * time.Millisecond, Age: age, Events: 4000, LongEvents: 60})
		}
	}
	return out, nil
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{
		t: t, now: time.Unix(1000, 0), term: singleton.Term{Duty: Duty, Fence: 7}, counts: map[scaling.Place]int{{DataCentre: "a"}: 3, {DataCentre: "b"}: 3},
		outcome: func(singleton.UpstreamOrder) (singleton.Outcome, bool) { return 0, false },
	}
	f.viewAsOf = f.now
	cfg := Config{
		Decision: scaling.Config{
			Window: time.Minute, MinHistory: 15 * time.Second, OnTime: 0.8, Utilisation: 0.7, DefaultTarget: 10 * time.Second, LoadTime: time.Second, Reserve: 0.25,
			Surplus: 0.15, Shortage: 0.05, ReduceInterval: 8 * time.Second, ConfirmTimeout: 6 * time.Second, RetryInterval: 2 * time.Second, RefusalTime: 5 * time.Second, SightTime: 20 * time.Second,
		},
		CallTimeout: time.Second, MaxViewAge: 3 * time.Second, MaxReadAge: 2 * time.Second, Now: func() time.Time { return f.now },
	}
	deps := Deps{
		Term: func() (singleton.Term, bool) { return f.term, f.held }, Order: f.order, View: f.view, Snapshot: f.snapshot, LastFullRead: func() time.Time { return f.now }, Workloads: f.workloads,
	}
	f.scaler = newScaler(cfg, deps, zap.NewNop())
	f.scaler.started = true
	f.scaler.send = func(c *call) error {
		f.sent = append(f.sent, c)
		return nil
	}
	f.caller = &caller{cfg: cfg, deps: deps, postEnd: func(ctx context.Context, c *call) { f.scaler.Handle(ctx, c) }}
	return f
}

// tick passes a second and lets the calls of its decision end. The view is read each time.
func (f *fakePlatform) tick() {
	f.now = f.now.Add(time.Second)
	f.viewAsOf = f.now
	f.scaler.Tick(f.t.Context())
	for len(f.sent) > 0 {
		c := f.sent[0]
		f.sent = f.sent[1:]
		f.caller.Handle(f.t.Context(), c)
	}
}

func (f *fakePlatform) total() int {
	n := 0
	for _, count := range f.counts {
		n += count
	}
	return n
}

func TestOrdersNeedTheTermAndAFullView(t *testing.T) {
	f := newFakePlatform(t)
	f.tick()
	assert.Equal(t, len(f.orders), 0, "another daemon holds the duty")
	f.held = true
	asOf := f.now
	f.now = f.now.Add(time.Second)
	f.viewAsOf = asOf
	f.scaler.Tick(t.Context())
	assert.Equal(t, len(f.sent), 0, "the directory may not show what the holder before ordered")
	f.tick()
	assert.Assert(t, f.total() >= 20, "%v", f.counts)
	for _, fence := range f.fences {
		assert.Equal(t, fence, uint64(7))
	}
}

// The platform's API is down for 10 s and the term passes to another daemon meanwhile.
func TestOutageOfThePlatformAndChangeOfTheHolder(t *testing.T) {
	f := newFakePlatform(t)
	f.held = true
	f.outcome = func(singleton.UpstreamOrder) (singleton.Outcome, bool) { return singleton.OutcomeUnknown, true }
	for range 10 {
		f.tick()
	}
	assert.Equal(t, f.total(), 6)
	assert.Assert(t, len(f.orders) > 4 && len(f.orders) <= 10/2*4, "%d orders", len(f.orders))
	before := len(f.orders)
	f.held = false
	for range 5 {
		f.tick()
	}
	assert.Equal(t, len(f.orders), before, "nothing is sent after the term")

	f.outcome = func(singleton.UpstreamOrder) (singleton.Outcome, bool) { return 0, false }
	f.held, f.term.Fence = true, 9
	f.tick()
	f.tick()
	assert.Assert(t, f.total() >= 20, "%v", f.counts)
	assert.Equal(t, f.fences[len(f.fences)-1], uint64(9))
	before = len(f.orders)
	for range 7 {
		f.tick()
	}
	assert.Equal(t, len(f.orders), before, "%+v", f.orders[before:])
}

func TestRefusals(t *testing.T) {
	f := newFakePlatform(t)
	f.held = true
	f.outcome = func(o singleton.UpstreamOrder) (singleton.Outcome, bool) {
		return singleton.OutcomeUnavailable, o.DataCentre == "b"
	}
	for range 3 {
		f.tick()
	}
	assert.Equal(t, f.counts[scaling.Place{DataCentre: "b"}], 3)
	assert.Assert(t, f.total() >= 20, "%v", f.counts)
	f.outcome = func(singleton.UpstreamOrder) (singleton.Outcome, bool) { return singleton.OutcomeFenced, true }
	f.counts[scaling.Place{DataCentre: "a"}] = 0
	before := len(f.orders)
	for range 3 {
		f.tick()
	}
	assert.Assert(t, !f.held)
	assert.Equal(t, len(f.orders)-before, 1, "nothing follows a refusal by a higher fence")
}

// The duties start, send an order and stop.
func TestDuties(t *testing.T) {
	f := newFakePlatform(t)
	f.held = true
	ordered := make(chan singleton.UpstreamOrder, 64)
	deps := f.scaler.deps
	deps.Order = func(_ context.Context, _ singleton.Term, o singleton.UpstreamOrder) error {
		ordered <- o
		return nil
	}
	cfg := f.scaler.cfg
	cfg.Tick, cfg.IdleTick, cfg.RingSize = 5*time.Millisecond, 5*time.Millisecond, 16
	cfg.Now = func() time.Time { return f.viewAsOf }
	s := Start(duty.NewSystem(nil), cfg, deps, zap.NewNop())
	select {
	case o := <-ordered:
		assert.Equal(t, o.Service, "s")
	case <-time.After(20 * time.Second):
		t.Fatal("no order")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
}
