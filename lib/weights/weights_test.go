package weights_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/weights"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const model = api.ModelName("m")

var t0 = time.Unix(1_700_000_000, 0)

type engine struct {
	fenced  bool
	version api.WeightVersion
	fence   api.Offset
}

// pendingAction is an action in progress on a daemon.
type pendingAction struct {
	daemon int
	action weights.Action
	since  time.Time
	sent   bool // the load order is on its way to the engine
}

type simulation struct {
	now       time.Time
	announced ledger.WeightState
	upstreams []api.Upstream
	engines   map[api.UpstreamID]*engine
	members   []api.DaemonID
	planners  []*weights.Planner
	tasks     []pendingAction
	sends     int
}

func newSimulation(engines, daemons int, cfg weights.Config) *simulation {
	w := &simulation{now: t0, engines: map[api.UpstreamID]*engine{}}
	for i := range engines {
		id := api.UpstreamID(fmt.Sprint("e", i))
		w.engines[id] = &engine{fenced: i%2 == 0}
		w.upstreams = append(w.upstreams, api.Upstream{ID: id, Kind: api.KindEngine, Models: []api.ModelName{model}})
	}
	for i := range daemons {
		w.members = append(w.members, api.DaemonID(fmt.Sprint("d", i)))
		w.planners = append(w.planners, weights.NewPlanner(w.members[i], cfg))
		w.updateView(i)
	}
	return w
}

func (w *simulation) announce() {
	w.announced.Version++
	w.announced.Revision += 3
}

func (w *simulation) updateView(daemon int) {
	w.planners[daemon].SetView(weights.View{
		Announced: map[api.ModelName]ledger.WeightState{model: w.announced},
		Upstreams: w.upstreams,
		Members:   w.members,
	})
}

func (w *simulation) tick(daemon int) {
	for _, a := range w.planners[daemon].Next(w.now) {
		w.tasks = append(w.tasks, pendingAction{daemon: daemon, action: a, since: w.now})
	}
}

// advance does the next step of a pending action. fault is 0 for none, 1 if the
// engine fails, 2 if the response is lost after the order took effect.
func (w *simulation) advance(i, fault int) {
	t := w.tasks[i]
	p := w.planners[t.daemon]
	load, isLoad := t.action.(weights.Load)
	if isLoad && !t.sent && load.Order.Valid(w.now) {
		w.tasks[i].sent = true
		w.sends++
		return
	}
	w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
	switch a := t.action.(type) {
	case weights.Read:
		if fault == 1 {
			p.ReadFailed(a.Upstream)
			return
		}
		loaded := map[api.ModelName]api.WeightVersion{model: w.engines[a.Upstream].version}
		p.ReadDone(a.Upstream, loaded, t.since)
	case weights.Load:
		if !t.sent {
			p.LoadDone(a.Order, weights.Expired, w.now)
			return
		}
		p.LoadDone(a.Order, w.engines[a.Order.Upstream].load(a.Order, fault), w.now)
	}
}

func (e *engine) load(o weights.Order, fault int) weights.Result {
	if fault == 1 || (e.fenced && o.Fence < e.fence) {
		return weights.Failed
	}
	e.version, e.fence = o.Version, max(e.fence, o.Fence)
	if fault == 2 {
		return weights.Failed
	}
	return weights.Accepted
}

// runWithoutFaults runs rounds of 100 ms without faults and with current views.
func (w *simulation) runWithoutFaults(rounds int) {
	for range rounds {
		w.now = w.now.Add(100 * time.Millisecond)
		for d := range w.planners {
			w.updateView(d)
			w.tick(d)
		}
		for len(w.tasks) > 0 {
			w.advance(0, 0)
		}
	}
}

func (w *simulation) checkInvariants(t *rapid.T, cfg weights.Config, before map[api.UpstreamID]api.WeightVersion) {
	loads := make([]int, len(w.planners))
	for _, k := range w.tasks {
		if _, ok := k.action.(weights.Load); ok {
			loads[k.daemon]++
			assert.Assert(t, loads[k.daemon] <= cfg.MaxLoads)
		}
	}
	for id, e := range w.engines {
		assert.Assert(t, !e.fenced || e.version >= before[id], "%s reverted to an older version", id)
		before[id] = e.version
	}
}

// Stale views, pauses between decision and sending, failed loads, lost responses and
// reverted engines must not keep an engine from the announced version once they end,
// and an engine with fencing must never load an older version.
func TestEnginesReachTheAnnouncedVersion(t *testing.T) {
	const steps = 200
	rapid.Check(t, func(t *rapid.T) {
		cfg := weights.DefaultConfig()
		cfg.MaxLoads = 2
		w := newSimulation(4, 3, cfg)
		before := map[api.UpstreamID]api.WeightVersion{}
		daemon := func() int { return rapid.IntRange(0, 2).Draw(t, "daemon") }
		for range steps {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				w.announce()
			case 1:
				w.updateView(daemon())
			case 2:
				id := w.upstreams[rapid.IntRange(0, 3).Draw(t, "engine")].ID
				if e := w.engines[id]; !e.fenced {
					e.version = e.version / 2 // a delayed order of a paused daemon arrives
				}
			case 3:
				ms := rapid.SampledFrom([]int{10, 100, 700, 3000}).Draw(t, "ms")
				w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
			case 4, 5:
				w.tick(daemon())
			default:
				if len(w.tasks) > 0 {
					w.advance(rapid.IntRange(0, len(w.tasks)-1).Draw(t, "task"), rapid.IntRange(0, 2).Draw(t, "fault"))
				}
			}
			w.checkInvariants(t, cfg, before)
		}
		w.runWithoutFaults(120)
		for id, e := range w.engines {
			assert.Equal(t, e.version, w.announced.Version, "%s", id)
		}
	})
}

func TestOneOrderPerEngineWithoutFaults(t *testing.T) {
	w := newSimulation(40, 5, weights.DefaultConfig())
	w.runWithoutFaults(20)
	w.announce()
	w.runWithoutFaults(30)
	for id, e := range w.engines {
		assert.Equal(t, e.version, w.announced.Version, "%s", id)
	}
	assert.Equal(t, w.sends, 40)
}

func TestLoadsAreSpreadInWaves(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads = 100
	w := newSimulation(40, 5, cfg)
	w.runWithoutFaults(20)
	w.announce()
	for range 30 {
		w.runWithoutFaults(1)
		assert.Assert(t, w.sends <= cfg.WaveSize*(1+int(w.now.Sub(t0.Add(2*time.Second))/cfg.WaveInterval)), "%d sent", w.sends)
	}
	assert.Equal(t, w.sends, 40)
}

func TestManyEnginesLoadWithinSevenSeconds(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads, cfg.MaxReads = 70, 70 // 10 daemons simulate the capacity of many
	w := newSimulation(650, 10, cfg)
	w.runWithoutFaults(20)
	w.announce()
	w.runWithoutFaults(70)
	for id, e := range w.engines {
		assert.Equal(t, e.version, w.announced.Version, "%s", id)
	}
}

func TestEnginesOfOtherModelsDoNotDelayAWave(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads, cfg.MaxReads, cfg.MaxSpread = 700, 700, 0
	w := newSimulation(650, 1, cfg)
	for i := range w.upstreams {
		if i%65 > 0 {
			w.upstreams[i].Models = []api.ModelName{"other"}
		}
	}
	w.runWithoutFaults(1)
	w.announce()
	w.runWithoutFaults(20)
	assert.Equal(t, w.sends, 10)
}

func TestNextDaemonTakesOverFromStuckDaemon(t *testing.T) {
	w := newSimulation(1, 2, weights.DefaultConfig())
	w.announce()
	stuck := -1
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for d := range w.planners {
			if d == stuck {
				continue
			}
			w.updateView(d)
			w.tick(d)
			for i := len(w.tasks) - 1; i >= 0; i-- {
				if _, load := w.tasks[i].action.(weights.Load); load && stuck < 0 {
					stuck = d // its order is decided and never sent
				}
				if w.tasks[i].daemon != stuck {
					w.advance(i, 0)
				}
			}
		}
	}
	assert.Assert(t, stuck >= 0)
	assert.Equal(t, w.engines["e0"].version, w.announced.Version)
	w.advance(0, 0) // the stuck daemon resumes with an expired order
	assert.Equal(t, w.sends, 1, "the expired order must not be sent")
}

func TestStaleViewOrdersNoOlderVersion(t *testing.T) {
	w := newSimulation(1, 1, weights.DefaultConfig())
	w.announce()
	w.updateView(0)
	w.engines["e0"].version = 9
	for range 50 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.tick(0)
		for len(w.tasks) > 0 {
			w.advance(0, 0)
		}
	}
	assert.Equal(t, w.sends, 0)
}

func TestFailedLoadsBackOff(t *testing.T) {
	cfg := weights.DefaultConfig()
	w := newSimulation(1, 1, cfg)
	w.announce()
	w.updateView(0)
	for range 100 { // 10 s
		w.now = w.now.Add(100 * time.Millisecond)
		w.tick(0)
		for len(w.tasks) > 0 {
			w.advance(0, 1-w.readFault())
		}
	}
	assert.Assert(t, w.sends >= 4 && w.sends <= 8, "%d sent", w.sends)
}

// readFault returns 1 if the first pending action is a read, which must succeed, and
// 0 otherwise.
func (w *simulation) readFault() int {
	if _, read := w.tasks[0].action.(weights.Read); read {
		return 1
	}
	return 0
}

func TestStaleReadBackIsRepeatedBeforeOrder(t *testing.T) {
	w := newSimulation(1, 1, weights.DefaultConfig())
	w.runWithoutFaults(20)
	w.now = w.now.Add(time.Minute) // paused
	w.announce()
	w.updateView(0)
	w.tick(0)
	assert.Equal(t, len(w.tasks), 1)
	_, read := w.tasks[0].action.(weights.Read)
	assert.Assert(t, read)
}

func BenchmarkNext650Engines(b *testing.B) {
	w := newSimulation(650, 1, weights.DefaultConfig())
	w.runWithoutFaults(200)
	b.ReportAllocs()
	for range b.N {
		w.planners[0].Next(w.now)
	}
}

// BenchmarkSetView measures a view change with 650 engines and 370 live daemons, the
// size that the system is designed for.
func BenchmarkSetView(b *testing.B) {
	w := newSimulation(650, 1, weights.DefaultConfig())
	for i := range 369 {
		w.members = append(w.members, api.DaemonID(fmt.Sprint("daemon-", i)))
	}
	for b.Loop() {
		w.updateView(0)
	}
}
