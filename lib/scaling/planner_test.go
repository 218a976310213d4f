package scaling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/singleton"
	"gotest.tools/v3/assert"
)

const (
	testInterval = 50 * time.Millisecond // between two events of a run
	testSlots    = 8
	testTarget   = 7500 * time.Millisecond
	testStep     = 4 * time.Second // between two steps of a trainer
	testTick     = time.Second
)

var testConfig = Config{
	Window: time.Minute, MinHistory: 15 * time.Second, OnTime: 0.8, Utilisation: 0.7, DefaultTarget: 10 * time.Second, LoadTime: time.Second,
	Reserve: 0.25, Surplus: 0.15, Shortage: 0.05, ReduceInterval: 8 * time.Second, ConfirmTimeout: 6 * time.Second,
	RetryInterval: 2 * time.Second, RefusalTime: 5 * time.Second, SightTime: 20 * time.Second,
}

func testAutoscale() routes.Autoscale {
	return routes.Autoscale{Min: 1, Max: 30, BootTime: 4 * time.Second, SpotPrice: 0.2, Prices: map[api.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25}}
}

// world simulates a platform that carries out orders, with the steps of two trainers.
type world struct {
	t         *testing.T
	now       time.Time
	start     time.Time
	planner   *Planner
	scale     routes.Autoscale
	counts    map[Place]int // upstreams that serve
	booting   map[Place][]time.Time
	unlisted  map[Place]int
	events    float64 // of a step
	paused    bool
	remaining float64 // of the newest job
	jobs      []time.Time
	dry       func(Place) bool
	down      bool
	sent      []Order
	reduced   []time.Time
	need      Need
}

func newWorld(t *testing.T, perDataCentre int) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), start: time.Unix(1000, 0), planner: NewPlanner(testConfig), scale: testAutoscale(),
		counts: make(map[Place]int), booting: make(map[Place][]time.Time), unlisted: make(map[Place]int),
		events: 4000, dry: func(Place) bool { return false },
	}
	for dc := range w.scale.Prices {
		w.counts[Place{dc, false}] = perDataCentre
	}
	return w
}

func (w *world) input() *Input {
	in := &Input{Service: "s", Models: []api.ModelName{"m", "n"}, Autoscale: w.scale}
	for place, n := range w.counts {
		for i := range n - w.unlisted[place] {
			in.Upstreams = append(in.Upstreams, Upstream{Place: place, Model: in.Models[i%2], Slots: testSlots, Interval: testInterval})
		}
	}
	for k, at := range w.jobs {
		for _, m := range in.Models {
			j := batch.Workload{Model: m, Target: testTarget, Age: w.now.Sub(at), Events: w.events, LongEvents: 60}
			if k == len(w.jobs)-1 {
				j.Remaining = w.remaining
			}
			in.Jobs = append(in.Jobs, j)
		}
	}
	return in
}

// order carries out an order.
func (w *world) order(o singleton.UpstreamOrder) {
	place := PlaceOf(o)
	if o.Count <= w.counts[place] {
		w.counts[place], w.booting[place] = o.Count, nil
		return
	}
	for len(w.booting[place]) < o.Count-w.counts[place] {
		w.booting[place] = append(w.booting[place], w.now.Add(w.scale.BootTime))
	}
}

// run passes an amount of time, with a decision each second.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testTick) {
		if n := len(w.jobs); !w.paused && (n == 0 || w.now.Sub(w.jobs[n-1]) >= testStep) {
			w.jobs = append(w.jobs, w.now)
		}
		for place, ready := range w.booting {
			for len(ready) > 0 && !w.now.Before(ready[0]) {
				w.counts[place]++
				ready = ready[1:]
			}
			w.booting[place] = ready
		}
		orders, need := w.planner.Plan(w.now, w.input())
		w.need = need
		for _, o := range orders {
			w.sent = append(w.sent, o)
			if o.Count < o.Present {
				w.reduced = append(w.reduced, w.now)
			}
			switch {
			case w.down:
			case w.dry(PlaceOf(o.UpstreamOrder)):
				w.planner.Refused(w.now, o.UpstreamOrder)
			default:
				w.order(o.UpstreamOrder)
				w.planner.Accepted(o.UpstreamOrder)
			}
			assert.Assert(w.t, o.Count >= 0 && o.Count <= w.scale.Max, "%+v", o)
		}
	}
}

func (w *world) total(reclaimable bool) int {
	n := 0
	for place, count := range w.counts {
		if place.Reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

func (w *world) ordersSince(n int) string { return fmt.Sprintf("%+v", w.sent[n:]) }

func TestUpstreamsAreOrderedForThePeakOfAStep(t *testing.T) {
	w := newWorld(t, 2)
	w.run(12 * time.Second)
	// Two models with 4000 events each 4 s take 50 slots at the mean; the peak of a step
	// within its time and the loads of versions take more.
	assert.Assert(t, w.need.Base > 2*4000*50/4000/testSlots && w.need.Base < 40, "%+v", w.need)
	assert.Assert(t, w.total(false) >= w.need.Base, "%v of %+v", w.counts, w.need)
	assert.Assert(t, w.total(true) >= w.need.Reserve, "%v of %+v", w.counts, w.need)

	w.paused = true
	before := len(w.sent)
	w.run(20 * time.Second)
	assert.Equal(t, len(w.sent), before, "a pause between steps changes nothing: %s", w.ordersSince(before))
}

func TestSurplusIsGivenBackInSteps(t *testing.T) {
	w := newWorld(t, 25)
	w.run(15 * time.Second)
	assert.Equal(t, len(w.reduced), 0, "the peak isn't known yet")
	w.run(60 * time.Second)
	surplus := int((1 + testConfig.Surplus) * float64(w.need.Base))
	assert.Assert(t, w.total(false) >= w.need.Base && w.total(false) <= surplus, "%v for %+v", w.counts, w.need)
	assert.Assert(t, w.counts[Place{"c", false}] < w.counts[Place{"b", false}], "the dearest data centre keeps fewer: %v", w.counts)
	for n := 1; n < len(w.reduced); n++ {
		gap := w.reduced[n].Sub(w.reduced[n-1])
		assert.Assert(t, gap == 0 || gap >= testConfig.ReduceInterval, "%v", gap)
	}
}

func TestCountsDoNotFlutterUnderNoise(t *testing.T) {
	w := newWorld(t, 10)
	rng := rand.New(rand.NewPCG(1, 2))
	w.run(70 * time.Second)
	before := len(w.sent)
	for range 60 {
		w.events = 4000 * (0.95 + 0.1*rng.Float64())
		w.run(2 * time.Second)
	}
	assert.Assert(t, len(w.sent)-before <= 4, "%s", w.ordersSince(before))
}

// A whole data centre of reclaimable upstreams is taken away, then the others, and there are
// none to be had for a time: the rest does the work, and they come back afterwards.
func TestReclaimedUpstreamsAreNotNeededForWorkInTime(t *testing.T) {
	w := newWorld(t, 15)
	w.run(40 * time.Second)
	reserve := w.total(true)
	assert.Assert(t, reserve >= w.need.Reserve)
	for _, dc := range []api.DataCentre{"a", "b", "c"} {
		assert.Assert(t, w.counts[Place{dc, true}] <= (reserve+2)/3, "they are spread: %v", w.counts)
	}
	ordinary := w.total(false)
	w.dry = func(p Place) bool { return p.Reclaimable }
	for _, dc := range []api.DataCentre{"a", "b", "c"} {
		w.counts[Place{dc, true}] = 0
		w.run(3 * time.Second)
		assert.Assert(t, w.total(false) >= w.need.Base, "%v for %+v", w.counts, w.need)
	}
	before := len(w.sent)
	w.run(20 * time.Second)
	assert.Assert(t, w.total(false) <= ordinary, "nothing is ordered instead: %s", w.ordersSince(before))
	assert.Assert(t, len(w.sent)-before <= 3*4, "a refusal is remembered: %s", w.ordersSince(before))
	w.dry = func(Place) bool { return false }
	w.run(12 * time.Second)
	assert.Assert(t, w.total(true) >= w.need.Reserve, "%v for %+v", w.counts, w.need)
}

func TestRefusedOrderGoesElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	w.dry = func(p Place) bool { return p.DataCentre == "b" }
	w.run(20 * time.Second)
	assert.Equal(t, w.counts[Place{"b", false}], 2)
	assert.Assert(t, w.total(false) >= w.need.Base, "%v for %+v", w.counts, w.need)
}

func TestOrderWithoutResponseIsRepeatedUntilItShows(t *testing.T) {
	w := newWorld(t, 2)
	w.down = true
	w.run(10 * time.Second)
	assert.Assert(t, len(w.sent) > 0 && len(w.sent) <= 10/2*6, "%s", w.ordersSince(0))
	last := w.sent[len(w.sent)-1]
	assert.Assert(t, last.Repeat, "%+v", last)
	w.down = false
	w.run(10 * time.Second)
	assert.Assert(t, w.total(false) >= w.need.Base, "%v for %+v", w.counts, w.need)
	w.run(20 * time.Second)
	before := len(w.sent)
	w.run(10 * time.Second)
	assert.Equal(t, len(w.sent), before, "%s", w.ordersSince(before))
}

// The platform carries out an old order after newer ones, in either direction.
func TestOrderCarriedOutLateIsCorrected(t *testing.T) {
	for _, late := range []int{0, 28} {
		w := newWorld(t, 10)
		w.run(60 * time.Second)
		settled := w.total(false)
		w.order(Place{"b", false}.order("s", late))
		w.run(testConfig.ReduceInterval + testConfig.SightTime + w.scale.BootTime + testConfig.ConfirmTimeout)
		assert.Assert(t, w.total(false) >= w.need.Base, "order of %d: %v for %+v", late, w.counts, w.need)
		w.run(60 * time.Second)
		assert.Assert(t, w.total(false) <= settled+5, "order of %d: %d, %v for %+v", late, settled, w.counts, w.need)
	}
}

// Upstreams that crashed, or whose entries lapsed while the store was down, are counted by
// the platform: an order of what is listed would take others away.
func TestUnlistedUpstreamsAreNotOrderedAway(t *testing.T) {
	w := newWorld(t, 8)
	w.run(50 * time.Second)
	before := w.counts[Place{"b", false}]
	w.unlisted[Place{"b", false}] = before - 1
	n := len(w.sent)
	w.run(10 * time.Second)
	for _, o := range w.sent[n:] {
		assert.Assert(t, o.DataCentre != "b" || o.Reclaimable || o.Count >= before, "%+v, %d before", o, before)
	}
}

func TestBoundsHoldForBothKindsTogether(t *testing.T) {
	w := newWorld(t, 2)
	w.scale.Max, w.scale.Min, w.events = 6, 3, 40000
	w.run(30 * time.Second)
	for dc := range w.scale.Prices {
		both := w.counts[Place{dc, false}] + w.counts[Place{dc, true}]
		assert.Assert(t, both == 6, "%v", w.counts)
	}
	w.events, w.jobs = 10, nil
	w.run(3 * time.Minute)
	for dc := range w.scale.Prices {
		both := w.counts[Place{dc, false}] + w.counts[Place{dc, true}]
		assert.Assert(t, both >= 3, "%v", w.counts)
	}
}

func TestEachModelKeepsTwoHomesWhicheverLeave(t *testing.T) {
	in := &Input{Models: []api.ModelName{"m", "n"}}
	for n := range 20 {
		model := api.ModelName("m")
		if n < 5 {
			model = "n"
		}
		in.Upstreams = append(in.Upstreams, Upstream{Model: model, Draining: n == 0})
	}
	assert.Equal(t, spareHomes(in), 2)
	in.Models = append(in.Models, "o")
	assert.Equal(t, spareHomes(in), 0)
}

func TestNothingChangesBeforeWorkIsKnown(t *testing.T) {
	w := newWorld(t, 15)
	w.paused = true
	w.run(time.Minute)
	assert.Equal(t, len(w.sent), 0, "%s", w.ordersSince(0))
}

func TestLateJobsAddUpstreams(t *testing.T) {
	w := newWorld(t, 15)
	w.run(30 * time.Second)
	base := w.need.Base
	w.remaining = w.events
	w.paused = true
	w.run(6 * time.Second)
	assert.Assert(t, w.need.Late && w.need.Base > base && w.need.Base <= 2*base, "%+v, %d before", w.need, base)
}

// Steps that are late coincide with the next ones.
func TestStepsThatBeginTogetherNeedMore(t *testing.T) {
	in := &Input{Models: []api.ModelName{"m"}, Upstreams: []Upstream{{Slots: testSlots, Interval: testInterval}}}
	need := func(late bool, ages ...time.Duration) int {
		in.Jobs = nil
		for _, age := range ages {
			in.Jobs = append(in.Jobs, batch.Workload{Model: "m", Target: testTarget, Age: age, Events: 4000, LongEvents: 60})
		}
		n, ok := testConfig.Assess(in, map[api.ModelName]bool{"m": late})
		assert.Assert(t, ok)
		return n.Base
	}
	apart, together := need(false, 20*time.Second, 16*time.Second), need(false, 20*time.Second, 19*time.Second)
	assert.Assert(t, together >= 3*apart/2, "%d apart, %d together", apart, together)
	assert.Equal(t, need(true, 20*time.Second, 16*time.Second), together)
	assert.Equal(t, need(true, 30*time.Second, 16*time.Second), need(false, 30*time.Second, 16*time.Second), "they don't overlap")
}
