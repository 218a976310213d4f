package shares_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
	"gotest.tools/v3/assert"
)

const (
	daemons   = 12
	upstreams = 12
	window    = 16
	reserve   = 0.2
	step      = 10 * time.Millisecond // also the time that a message takes one way
)

// Bytes on the wire, near those of the drpc encoding with names of 12 bytes.
const (
	callBytes  = 84 // frames and names of one call and its answer
	askBytes   = 32
	grantBytes = 14
)

// scheme is a way to share windows out.
type scheme string

const (
	leased scheme = "leased"
	fixed  scheme = "fixed"
	none   scheme = "none"
)

type inProgress struct {
	until time.Duration
	short bool
}

// simDaemon is one daemon with its calls to each upstream.
type simDaemon struct {
	table *quota.Table
	calls [upstreams][]inProgress
	used  [upstreams]time.Duration
	// usedLong is when slots for any work were needed last.
	usedLong [upstreams]time.Duration
	short    [upstreams]int // calls counted in short slots
	// load is the number of calls that arrive in a step; below zero: always work queued.
	load    float64
	credit  float64
	cut     bool // its messages are lost
	waiting int  // queued short calls
	late    int  // short calls that waited for longer than a step
}

type wire struct {
	from   int
	batch  quota.RequestBatch
	grants []quota.ResourceGrant
}

type sim struct {
	scheme  scheme
	now     time.Duration
	rnd     *rand.Rand
	daemons []*simDaemon
	live    []bool
	asks    []wire
	answers []wire
	bytes   int
	peak    int // most calls in progress at one upstream
	used    int // sum over steps and upstreams
	steps   int
}

var origin = time.Unix(1_700_000_000, 0)

func (s *sim) clock(d int) time.Time { return origin.Add(s.now + time.Duration(d)*time.Hour) }

func name(u int) string { return fmt.Sprintf("upstream-%03d", u) }

func id(d int) api.DaemonID { return api.DaemonID(fmt.Sprintf("daemon-%03d", d)) }

func resource(k quota.Kind, u int) quota.Resource { return quota.Resource{Kind: k, Name: name(u)} }

func newSim(sc scheme, n int) *sim {
	s := &sim{scheme: sc, rnd: rand.New(rand.NewPCG(1, 1))}
	for d := range n {
		s.daemons = append(s.daemons, &simDaemon{table: quota.NewTable(id(d), quota.DefaultLease, 1)})
		s.live = append(s.live, true)
	}
	s.setMembers()
	long, short := quota.SplitWindow(window, reserve)
	sizes := make(map[quota.Resource]int)
	for u := range upstreams {
		sizes[resource(quota.KindLong, u)], sizes[resource(quota.KindShort, u)] = long, short
	}
	for d := range n {
		s.daemons[d].table.SetSizes(sizes, s.clock(d))
	}
	return s
}

func (s *sim) setMembers() {
	var ids []api.DaemonID
	for d, ok := range s.live {
		if ok {
			ids = append(ids, id(d))
		}
	}
	for d := range s.daemons {
		s.daemons[d].table.SetMembers(ids, s.clock(d))
	}
}

func (s *sim) share(d int, shares map[quota.Resource]quota.Share, u int) (long, short int) {
	switch s.scheme {
	case fixed:
		return quota.SplitWindow(max(1, window/len(s.daemons)), reserve)
	case none:
		return quota.SplitWindow(window, reserve)
	default:
		now := s.clock(d)
		return shares[resource(quota.KindLong, u)].SlotsAt(now), shares[resource(quota.KindShort, u)].SlotsAt(now)
	}
}

// run lets a time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += step
		s.deliver()
		for i, m := range s.daemons {
			if s.live[i] {
				s.work(i, m)
			}
		}
		s.count()
	}
}

func (s *sim) deliver() {
	asks, answers := s.asks, s.answers
	s.asks, s.answers = nil, nil
	for _, w := range answers {
		if s.live[w.from] {
			s.daemons[w.from].table.HandleGrants(w.batch, w.grants, s.clock(w.from))
		}
	}
	for _, w := range asks {
		to := 0
		for id(to) != w.batch.Target {
			to++
		}
		if !s.live[to] || s.daemons[to].cut || s.daemons[w.from].cut {
			s.daemons[w.from].table.RequestsFailed(w.batch)
			continue
		}
		w.grants = s.daemons[to].table.Handle(w.batch.Requests, s.clock(to))
		s.bytes += grantBytes * len(w.grants)
		s.answers = append(s.answers, w)
	}
}

func (s *sim) work(d int, m *simDaemon) {
	shares, generation := m.table.PublishShares(s.clock(d))
	m.credit += max(0, m.load)
	arrived := int(m.credit)
	m.credit -= float64(arrived)
	for range arrived {
		m.waiting++
	}
	began := m.waiting
	for k := range upstreams {
		u := (k + int(s.now/step)) % upstreams
		m.calls[u] = ended(m.calls[u], s.now)
		s.start(d, m, u, shares)
	}
	m.late += min(began, m.waiting)
	for u := range upstreams {
		s.need(d, m, u, shares)
	}
	m.table.ConfirmShares(generation)
	if s.scheme != leased {
		return
	}
	const callers = 8
	for _, b := range m.table.DueRequests(callers, s.clock(d)) {
		s.bytes += callBytes + askBytes*len(b.Requests)
		s.asks = append(s.asks, wire{from: d, batch: b})
	}
}

func ended(calls []inProgress, now time.Duration) []inProgress {
	var out []inProgress
	for _, c := range calls {
		if c.until > now {
			out = append(out, c)
		}
	}
	return out
}

func tally(calls []inProgress) (long, short int) {
	for _, c := range calls {
		if c.short {
			short++
		} else {
			long++
		}
	}
	return long, short
}

// start starts short calls that wait and, on a daemon that always has work, long ones.
func (s *sim) start(d int, m *simDaemon, u int, shares map[quota.Resource]quota.Share) {
	longSlots, shortSlots := s.share(d, shares, u)
	for m.waiting > 0 && len(m.calls[u]) < longSlots+shortSlots {
		m.waiting--
		m.add(u, inProgress{until: s.now + s.between(50, 400), short: true}, s.now)
	}
	for m.load < 0 {
		long, _ := tally(m.calls[u])
		if len(m.calls[u]) >= longSlots+shortSlots {
			return
		}
		m.add(u, inProgress{until: s.now + s.between(500, 8000), short: long >= longSlots}, s.now)
	}
}

func (m *simDaemon) add(u int, c inProgress, now time.Duration) {
	m.calls[u] = append(m.calls[u], c)
	m.used[u] = now
}

func (s *sim) between(from, to int) time.Duration {
	return time.Duration(from+s.rnd.IntN(to-from)) * time.Millisecond
}

func (s *sim) need(d int, m *simDaemon, u int, shares map[quota.Resource]quota.Share) {
	long, short := tally(m.calls[u])
	recent := func(at time.Duration) bool { return at > 0 && s.now-at < quota.HeadroomRetention }
	l := quota.Load{Long: long, Short: short, RecentShort: recent(m.used[u]), RecentLong: recent(m.usedLong[u])}
	if m.load < 0 {
		l.QueuedLong, l.QueuedShort = window, window
	}
	if m.waiting > 0 {
		l.QueuedShort += 1 + m.waiting/upstreams
	}
	_, shortSlots := s.share(d, shares, u)
	longNeed, shortNeed := l.Demands(shortSlots, m.short[u])
	m.short[u] = shortNeed.InUse
	if longNeed.Wanted > longNeed.Headroom {
		m.usedLong[u] = s.now
	}
	m.table.SetDemand(resource(quota.KindLong, u), longNeed)
	m.table.SetDemand(resource(quota.KindShort, u), shortNeed)
}

func (s *sim) count() {
	s.steps++
	for u := range upstreams {
		n := 0
		for d, m := range s.daemons {
			if s.live[d] {
				n += len(m.calls[u])
			}
		}
		s.used += n
		s.peak = max(s.peak, n)
	}
}

func (s *sim) reset() { s.peak, s.used, s.steps, s.bytes = 0, 0, 0, 0 }

func (s *sim) usable() float64 { return float64(s.used) / float64(s.steps*upstreams*window) }

func (s *sim) over() float64 { return float64(max(0, s.peak-window)) / window }

func (s *sim) rate() float64 {
	return float64(s.bytes) / (float64(s.steps) * step.Seconds()) / float64(len(s.daemons))
}

func (s *sim) setLoad(load func(d int) float64) {
	for d, m := range s.daemons {
		m.load = load(d)
	}
}

func saturated(int) float64 { return -1 }

func halfSaturated(d int) float64 { return float64(-(d % 2)) }

// TestSharedWindows measures the schemes: all daemons with work without end,
// half of them idle, and half of them idle that then take up work.
func TestSharedWindows(t *testing.T) {
	t.Log("scheme  phase            most over the window   window used   control B/s a daemon")
	for _, sc := range []scheme{leased, fixed, none} {
		s := newSim(sc, daemons)
		for _, phase := range []struct {
			name string
			load func(int) float64
		}{{"cold start, all", saturated}, {"all", saturated}, {"half idle", halfSaturated}, {"all again", saturated}} {
			s.reset()
			s.setLoad(phase.load)
			if phase.name == "half idle" {
				s.run(10 * time.Second) // calls of the idle ones end
				s.peak, s.used, s.steps = 0, 0, 0
			}
			s.run(20 * time.Second)
			t.Logf("%-7s %-16s %18.1f%% %13.1f%% %12.0f", sc, phase.name, 100*s.over(), 100*s.usable(), s.rate())
			if sc != leased {
				continue
			}
			assert.Assert(t, s.over() <= 0.1, "%s: %d calls", phase.name, s.peak)
			if phase.name == "half idle" {
				assert.Assert(t, s.usable() >= 0.85, "%.3f", s.usable())
			}
		}
	}
}

// TestKeepersDie: four daemons die together; half of the others wake in the
// same moment.
func TestKeepersDie(t *testing.T) {
	s := newSim(leased, daemons)
	s.setLoad(halfSaturated)
	s.run(20 * time.Second)
	for d := range 4 {
		s.live[d] = false
	}
	s.reset()
	s.setLoad(saturated)
	s.run(2 * time.Second) // until membership tells
	s.setMembers()
	s.run(20 * time.Second)
	t.Logf("most over the window %.1f%%, window used %.1f%%", 100*s.over(), 100*s.usable())
	assert.Assert(t, s.over() <= 0.1, "%d calls", s.peak)
}

// TestShortWorkAtAColdStart: members' short work runs while keepers are new.
func TestShortWorkAtAColdStart(t *testing.T) {
	s := newSim(leased, daemons)
	s.setLoad(func(int) float64 { return 0.1 }) // 10 calls a second on each daemon
	s.run(2 * time.Second)
	ran := 0
	for _, m := range s.daemons {
		ran += 20 - m.waiting
	}
	t.Logf("started within two seconds of the cold start: %d of 240", ran)
	assert.Assert(t, ran >= 200)
	assert.Equal(t, s.over(), 0.0)
}

// TestControlBytesGrowWithUpstreamsInUse reports the cost of control for
// daemons with some short calls in progress.
func TestControlBytesGrowWithUpstreamsInUse(t *testing.T) {
	for _, n := range []int{4, 12, 32} {
		s := newSim(leased, n)
		s.setLoad(func(int) float64 { return 0 })
		s.run(20 * time.Second)
		s.reset()
		s.run(20 * time.Second)
		rest := s.rate()
		s.setLoad(func(int) float64 { return 0.1 })
		s.run(20 * time.Second)
		s.reset()
		s.run(20 * time.Second)
		t.Logf("%2d daemons: %4.0f B/s at rest, %4.0f B/s with 10 calls a second each", n, rest, s.rate())
		assert.Equal(t, rest, 0.0)
	}
}
