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
	s := &simulation{now: t0, engines: map[api.UpstreamID]*engine{}}
	for i := range engines {
		id := api.UpstreamID(fmt.Sprint("e", i))
		s.engines[id] = &engine{fenced: i%2 == 0}
		s.upstreams = append(s.upstreams, api.Upstream{ID: id, Kind: api.KindEngine, Models: []api.ModelName{model}})
	}
	for i := range daemons {
		s.members = append(s.members, api.DaemonID(fmt.Sprint("d", i)))
		s.planners = append(s.planners, weights.NewPlanner(s.members[i], cfg))
		s.updateView(i)
	}
	return s
}

func (s *simulation) announce() {
	s.announced.Version++
	s.announced.Revision += 3
}

func (s *simulation) updateView(daemon int) {
	s.planners[daemon].SetView(weights.View{
		Announced: map[api.ModelName]ledger.WeightState{model: s.announced},
		Upstreams: s.upstreams,
		Members:   s.members,
	})
}

func (s *simulation) tick(daemon int) {
	for _, a := range s.planners[daemon].Next(s.now) {
		s.tasks = append(s.tasks, pendingAction{daemon: daemon, action: a, since: s.now})
	}
}

// advance does the next step of a pending action. fault is 0 for none, 1 if the
// engine fails, 2 if the response is lost after the order took effect.
func (s *simulation) advance(i, fault int) {
	t := s.tasks[i]
	p := s.planners[t.daemon]
	load, isLoad := t.action.(weights.Load)
	if isLoad && !t.sent && load.Order.Valid(s.now) {
		s.tasks[i].sent = true
		s.sends++
		return
	}
	s.tasks = append(s.tasks[:i:i], s.tasks[i+1:]...)
	switch a := t.action.(type) {
	case weights.Read:
		if fault == 1 {
			p.ReadFailed(a.Upstream)
			return
		}
		loaded := map[api.ModelName]api.WeightVersion{model: s.engines[a.Upstream].version}
		p.ReadDone(a.Upstream, loaded, t.since)
	case weights.Load:
		if !t.sent {
			p.LoadDone(a.Order, weights.Expired, s.now)
			return
		}
		p.LoadDone(a.Order, s.engines[a.Order.Upstream].load(a.Order, fault), s.now)
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
func (s *simulation) runWithoutFaults(rounds int) {
	for range rounds {
		s.now = s.now.Add(100 * time.Millisecond)
		for d := range s.planners {
			s.updateView(d)
			s.tick(d)
		}
		for len(s.tasks) > 0 {
			s.advance(0, 0)
		}
	}
}

func (s *simulation) checkInvariants(t *rapid.T, cfg weights.Config, before map[api.UpstreamID]api.WeightVersion) {
	loads := make([]int, len(s.planners))
	for _, k := range s.tasks {
		if _, ok := k.action.(weights.Load); ok {
			loads[k.daemon]++
			assert.Assert(t, loads[k.daemon] <= cfg.MaxLoads)
		}
	}
	for id, e := range s.engines {
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
		s := newSimulation(4, 3, cfg)
		before := map[api.UpstreamID]api.WeightVersion{}
		daemon := func() int { return rapid.IntRange(0, 2).Draw(t, "daemon") }
		for range steps {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				s.announce()
			case 1:
				s.updateView(daemon())
			case 2:
				id := s.upstreams[rapid.IntRange(0, 3).Draw(t, "engine")].ID
				if e := s.engines[id]; !e.fenced {
					e.version = e.version / 2 // a delayed order of a paused daemon arrives
				}
			case 3:
				ms := rapid.SampledFrom([]int{10, 100, 700, 3000}).Draw(t, "ms")
				s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
			case 4, 5:
				s.tick(daemon())
			default:
				if len(s.tasks) > 0 {
					s.advance(rapid.IntRange(0, len(s.tasks)-1).Draw(t, "task"), rapid.IntRange(0, 2).Draw(t, "fault"))
				}
			}
			s.checkInvariants(t, cfg, before)
		}
		s.runWithoutFaults(120)
		for id, e := range s.engines {
			assert.Equal(t, e.version, s.announced.Version, "%s", id)
		}
	})
}

func TestOneOrderPerEngineWithoutFaults(t *testing.T) {
	s := newSimulation(40, 5, weights.DefaultConfig())
	s.runWithoutFaults(20)
	s.announce()
	s.runWithoutFaults(30)
	for id, e := range s.engines {
		assert.Equal(t, e.version, s.announced.Version, "%s", id)
	}
	assert.Equal(t, s.sends, 40)
}

func TestLoadsAreSpreadInWaves(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads = 100
	s := newSimulation(40, 5, cfg)
	s.runWithoutFaults(20)
	s.announce()
	for range 30 {
		s.runWithoutFaults(1)
		assert.Assert(t, s.sends <= cfg.WaveSize*(1+int(s.now.Sub(t0.Add(2*time.Second))/cfg.WaveInterval)), "%d sent", s.sends)
	}
	assert.Equal(t, s.sends, 40)
}

func TestManyEnginesLoadWithinSevenSeconds(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads, cfg.MaxReads = 70, 70 // 10 daemons simulate the capacity of many
	s := newSimulation(650, 10, cfg)
	s.runWithoutFaults(20)
	s.announce()
	s.runWithoutFaults(70)
	for id, e := range s.engines {
		assert.Equal(t, e.version, s.announced.Version, "%s", id)
	}
}

func TestEnginesOfOtherModelsDoNotDelayAWave(t *testing.T) {
	cfg := weights.DefaultConfig()
	cfg.MaxLoads, cfg.MaxReads, cfg.MaxSpread = 700, 700, 0
	s := newSimulation(650, 1, cfg)
	for i := range s.upstreams {
		if i%65 > 0 {
			s.upstreams[i].Models = []api.ModelName{"other"}
		}
	}
	s.runWithoutFaults(1)
	s.announce()
	s.runWithoutFaults(20)
	assert.Equal(t, s.sends, 10)
}

func TestNextDaemonTakesOverFromStuckDaemon(t *testing.T) {
	s := newSimulation(1, 2, weights.DefaultConfig())
	s.announce()
	stuck := -1
	for range 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		for d := range s.planners {
			if d == stuck {
				continue
			}
			s.updateView(d)
			s.tick(d)
			for i := len(s.tasks) - 1; i >= 0; i-- {
				if _, load := s.tasks[i].action.(weights.Load); load && stuck < 0 {
					stuck = d // its order is decided and never sent
				}
				if s.tasks[i].daemon != stuck {
					s.advance(i, 0)
				}
			}
		}
	}
	assert.Assert(t, stuck >= 0)
	assert.Equal(t, s.engines["e0"].version, s.announced.Version)
	s.advance(0, 0) // the stuck daemon resumes with an expired order
	assert.Equal(t, s.sends, 1, "the expired order must not be sent")
}

func TestStaleViewOrdersNoOlderVersion(t *testing.T) {
	s := newSimulation(1, 1, weights.DefaultConfig())
	s.announce()
	s.updateView(0)
	s.engines["e0"].version = 9
	for range 50 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.tick(0)
		for len(s.tasks) > 0 {
			s.advance(0, 0)
		}
	}
	assert.Equal(t, s.sends, 0)
}

func TestFailedLoadsBackOff(t *testing.T) {
	cfg := weights.DefaultConfig()
	s := newSimulation(1, 1, cfg)
	s.announce()
	s.updateView(0)
	for range 100 { // 10 s
		s.now = s.now.Add(100 * time.Millisecond)
		s.tick(0)
		for len(s.tasks) > 0 {
			s.advance(0, 1-s.readFault())
		}
	}
	assert.Assert(t, s.sends >= 4 && s.sends <= 8, "%d sent", s.sends)
}

// readFault returns 1 if the first pending action is a read, which must succeed, and
// 0 otherwise.
func (s *simulation) readFault() int {
	if _, read := s.tasks[0].action.(weights.Read); read {
		return 1
	}
	return 0
}

func TestStaleReadBackIsRepeatedBeforeOrder(t *testing.T) {
	s := newSimulation(1, 1, weights.DefaultConfig())
	s.runWithoutFaults(20)
	s.now = s.now.Add(time.Minute) // paused
	s.announce()
	s.updateView(0)
	s.tick(0)
	assert.Equal(t, len(s.tasks), 1)
	_, read := s.tasks[0].action.(weights.Read)
	assert.Assert(t, read)
}

func BenchmarkNext650Engines(b *testing.B) {
	s := newSimulation(650, 1, weights.DefaultConfig())
	s.runWithoutFaults(200)
	b.ReportAllocs()
	for range b.N {
		s.planners[0].Next(s.now)
	}
}

// BenchmarkSetView measures a view change with 650 engines and 370 live daemons, the
// size that the system is designed for.
func BenchmarkSetView(b *testing.B) {
	s := newSimulation(650, 1, weights.DefaultConfig())
	for i := range 369 {
		s.members = append(s.members, api.DaemonID(fmt.Sprint("daemon-", i)))
	}
	for b.Loop() {
		s.updateView(0)
	}
}
