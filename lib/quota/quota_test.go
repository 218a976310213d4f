package quota_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const lease = time.Second

var t0 = time.Unix(1_700_000_000, 0)

// message is a request in flight to an allocator, or its grant in flight back.
type message struct {
	daemon        int
	allocatorTerm int // term of the allocator addressed
	request       quota.LeaseRequest
	requestedAt   time.Time
	grant         *quota.Grant
}

// simulation has daemons with separate clocks, one allocator at a time, and
// messages that are delayed, reordered, repeated and lost.
type simulation struct {
	window        int
	now           time.Duration
	leases        []*quota.SlotLease
	allocator     *quota.Allocator
	allocatorTerm int
	messages      []message
}

func (s *simulation) clock(daemon int) time.Time {
	return t0.Add(s.now + time.Duration(daemon)*time.Hour)
}

func (s *simulation) allocatorClock() time.Time { return s.clock(100 + s.allocatorTerm) }

func (s *simulation) takeMessage(t *rapid.T, grants bool) (message, bool) {
	var indexes []int
	for i, m := range s.messages {
		if (m.grant != nil) == grants && m.allocatorTerm <= s.allocatorTerm {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) == 0 {
		return message{}, false
	}
	i := rapid.SampledFrom(indexes).Draw(t, "message")
	m := s.messages[i]
	if !rapid.Bool().Draw(t, "repeat") {
		s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	}
	return m, true
}

func (s *simulation) sendRequest(t *rapid.T) {
	d := rapid.IntRange(0, len(s.leases)-1).Draw(t, "daemon")
	now := s.clock(d)
	req := s.leases[d].NextRequest(rapid.IntRange(0, s.window+1).Draw(t, "want"), now)
	// Some daemons know of the next allocator before it starts.
	to := s.allocatorTerm + rapid.IntRange(0, 1).Draw(t, "early")
	s.messages = append(s.messages, message{daemon: d, allocatorTerm: to, request: req, requestedAt: now})
}

func (s *simulation) handle(t *rapid.T) {
	m, ok := s.takeMessage(t, false)
	if !ok || m.allocatorTerm != s.allocatorTerm {
		return // the addressed daemon is no longer the allocator
	}
	g := s.allocator.Handle(m.request, s.allocatorClock())
	m.grant = &g
	s.messages = append(s.messages, m)
}

func (s *simulation) apply(t *rapid.T) {
	if m, ok := s.takeMessage(t, true); ok {
		s.leases[m.daemon].Apply(*m.grant, m.requestedAt, s.clock(m.daemon))
	}
}

func (s *simulation) usableSlots() int {
	sum := 0
	for d, l := range s.leases {
		sum += l.Slots(s.clock(d))
	}
	return sum
}

func (s *simulation) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{10, 50, 100, 200, 400, 1000}).Draw(t, "ms")
	paused := rapid.IntRange(0, 9).Draw(t, "allocator paused") == 9
	for range ms / 10 {
		s.now += 10 * time.Millisecond
		if !paused {
			s.allocator.Heartbeat(s.allocatorClock())
		}
	}
}

// exchange sends a request and applies its grant at once.
func (s *simulation) exchange(t *rapid.T) {
	s.sendRequest(t)
	m := s.messages[len(s.messages)-1]
	if m.allocatorTerm != s.allocatorTerm {
		return
	}
	g := s.allocator.Handle(m.request, s.allocatorClock())
	s.leases[m.daemon].Apply(g, m.requestedAt, s.clock(m.daemon))
	m.grant = &g
	s.messages = append(s.messages, m)
}

func (s *simulation) replaceAllocator(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "replace") == 5 {
		s.allocatorTerm++
		s.allocator = quota.NewAllocator(s.window, lease, s.allocatorClock())
	}
}

// Pauses of daemons are simulated by time that passes without their messages.
func TestSlotsInUseNeverExceedWindow(t *testing.T) {
	const steps = 200
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{window: rapid.IntRange(1, 4).Draw(t, "window")}
		for d := range rapid.IntRange(2, 4).Draw(t, "daemons") {
			s.leases = append(s.leases, quota.NewSlotLease(api.DaemonID(fmt.Sprint(d)), 0))
		}
		s.allocator = quota.NewAllocator(s.window, lease, s.allocatorClock())
		actions := []func(*rapid.T){
			s.exchange, s.exchange, s.exchange, s.sendRequest, s.sendRequest, s.handle, s.handle, s.apply, s.apply, s.advance, s.advance, s.replaceAllocator,
		}
		for range steps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			assert.Assert(t, s.usableSlots() <= s.window, "%d slots in use", s.usableSlots())
		}
	})
}

// cluster returns a simulation with no slots in use, in which a new allocator
// already knows all leases.
func cluster(window, daemons int) *simulation {
	s := &simulation{window: window}
	for d := range daemons {
		s.leases = append(s.leases, quota.NewSlotLease(api.DaemonID(fmt.Sprint(d)), 0))
	}
	s.allocator = quota.NewAllocator(window, lease, s.allocatorClock())
	for range 5 {
		s.round(func(int) int { return 0 })
	}
	return s
}

func (s *simulation) round(want func(d int) int) {
	s.now += lease / quota.RequestsPerLease
	for d, l := range s.leases {
		now := s.clock(d)
		for again := true; again; again = l.Shrunk() {
			g := s.allocator.Handle(l.NextRequest(want(d), now), s.allocatorClock())
			l.Apply(g, now, now)
		}
	}
}

func TestIdleDaemonsReleaseSlots(t *testing.T) {
	s := cluster(24, 12)
	all := func(int) int { return 24 }
	half := func(d int) int { return (d % 2) * 24 }
	s.round(all)
	s.round(all)
	assert.Equal(t, s.usableSlots(), 24)
	s.round(half)
	s.round(half)
	assert.Assert(t, s.usableSlots()*100 >= 24*85, "%d of 24", s.usableSlots())
	s.round(all)
	s.round(all)
	for d, l := range s.leases {
		assert.Equal(t, l.Slots(s.clock(d)), 2)
	}
}

// Shares are even also when they are computed periodically.
func TestManyDaemonsShareEvenly(t *testing.T) {
	s := cluster(150, 100)
	var served [100]int
	for range 40 {
		s.round(func(int) int { return 5 })
		for d, l := range s.leases {
			served[d] += l.Slots(s.clock(d))
		}
	}
	for d, n := range served {
		assert.Assert(t, n >= 30, "daemon %d had %d slot rounds, the mean is 60", d, n)
	}
	assert.Assert(t, s.usableSlots()*100 >= 150*85, "%d of 150", s.usableSlots())
}

func TestMoreDaemonsThanSlotsTakeTurns(t *testing.T) {
	s := cluster(3, 10)
	var served [10]int
	for range 80 {
		s.round(func(int) int { return 1 })
		for d, l := range s.leases {
			served[d] += l.Slots(s.clock(d))
		}
	}
	for d, n := range served {
		assert.Assert(t, n >= 12, "daemon %d had %d slot rounds of 240: %v", d, n, served)
	}
}

// Slots taken back stay counted while calls are in progress in them.
func TestBusySlotsAreNotReassigned(t *testing.T) {
	s := cluster(4, 2)
	s.round(func(d int) int { return 4 - 4*d })
	s.leases[0].SetInUse(4)
	for range 6 {
		s.round(func(int) int { return 4 })
		assert.Equal(t, s.leases[1].Slots(s.clock(1)), 0)
	}
	s.leases[0].SetInUse(2)
	s.round(func(int) int { return 4 })
	assert.Equal(t, s.leases[1].Slots(s.clock(1)), 2)
}

func TestReplacedAllocatorRenewsLeases(t *testing.T) {
	s := cluster(8, 4)
	full := func(int) int { return 8 }
	s.round(full)
	s.round(full)
	s.allocatorTerm++
	s.allocator = quota.NewAllocator(8, lease, s.allocatorClock())
	for range 8 {
		s.round(full)
		assert.Equal(t, s.usableSlots(), 8)
	}
}

func TestBucketNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		b := quota.NewBucket(rate, 5)
		now, taken := t0, 0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if b.Allow(now) {
				taken++
			}
		}
		assert.Assert(t, float64(taken) <= 5+rate*now.Sub(t0).Seconds()+1e-6)
	})
}

func TestBucketRefills(t *testing.T) {
	b := quota.NewBucket(10, 1)
	assert.Assert(t, b.Allow(t0) && !b.Allow(t0))
	assert.Assert(t, b.Allow(t0.Add(100*time.Millisecond)))
	b.SetRate(0, t0.Add(100*time.Millisecond))
	assert.Assert(t, !b.Allow(t0.Add(time.Hour)))
}

// advanceTenths advances time by tenths of a lease duration while the allocator
// runs.
func (s *simulation) advanceTenths(n int) {
	for range n {
		s.now += lease / 10
		s.allocator.Heartbeat(s.allocatorClock())
	}
}

// Guards against slots granted twice: a daemon sends a renewal to the next
// allocator early and its lease expires. The old allocator grants the slots to
// another daemon, and the new one, which does not know this, renews them.
func TestLateRenewalOfExpiredLeaseIsIgnored(t *testing.T) {
	s := cluster(4, 2)
	s.round(func(d int) int { return 4 - 4*d })
	s.advanceTenths(9)
	requestedAt := s.clock(0)
	early := s.leases[0].NextRequest(4, requestedAt)
	s.advanceTenths(2)
	now := s.clock(1)
	s.leases[1].Apply(s.allocator.Handle(s.leases[1].NextRequest(4, now), s.allocatorClock()), now, now)
	assert.Equal(t, s.leases[1].Slots(now), 4)
	s.allocatorTerm++
	s.allocator = quota.NewAllocator(s.window, lease, s.allocatorClock())
	s.leases[0].Apply(s.allocator.Handle(early, s.allocatorClock()), requestedAt, s.clock(0))
	assert.Equal(t, s.usableSlots(), 4)
}

func TestPausedAllocatorRestarts(t *testing.T) {
	s := cluster(4, 2)
	s.now += 2 * lease
	req := s.leases[0].NextRequest(4, s.clock(0))
	assert.Equal(t, s.allocator.Handle(req, s.allocatorClock()).Slots, 0)
}

func TestSplitWindowAssignsAllSlots(t *testing.T) {
	for window := range 40 {
		long, short := quota.SplitWindow(window, 0.2)
		assert.Equal(t, long+short, window)
		assert.Assert(t, window == 0 || long >= 1)
		assert.Assert(t, window < 5 || short >= window/5)
	}
}

// Calls outlast grants, the demand changes and single messages are lost, but each
// daemon exchanges messages at least once per lease duration.
func TestCallsNeverExceedWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := cluster(rapid.IntRange(1, 5).Draw(t, "window"), 4)
		var calls [4]int
		var lost [4]bool
		for range 60 {
			s.advanceTenths(1)
			for d, l := range s.leases {
				now := s.clock(d)
				calls[d] -= rapid.IntRange(0, calls[d]).Draw(t, "ended")
				queued := rapid.IntRange(0, 3).Draw(t, "queued")
				l.SetInUse(calls[d])
				req := l.NextRequest(calls[d]+queued, now)
				lost[d] = !lost[d] && rapid.IntRange(0, 3).Draw(t, "lost") == 0
				if !lost[d] {
					l.Apply(s.allocator.Handle(req, s.allocatorClock()), now, now)
				}
				calls[d] += max(0, min(queued, l.Slots(now)-calls[d]))
			}
			total := calls[0] + calls[1] + calls[2] + calls[3]
			assert.Assert(t, total <= s.window, "%d calls", total)
		}
	})
}

func BenchmarkHandle370Daemons(b *testing.B) {
	s := cluster(64, 370)
	b.ReportAllocs()
	for i := range b.N {
		l := s.leases[i%370]
		s.now += lease / quota.RequestsPerLease / 370
		s.allocator.Handle(l.NextRequest(2, s.clock(0)), s.allocatorClock())
	}
}

// A grant must expire one lease duration after its request, however late it
// arrives, because the allocator grants the slots to others soon after.
func TestGrantExpiresOneLeaseAfterRequest(t *testing.T) {
	s := cluster(4, 1)
	requestedAt := s.clock(0)
	g := s.allocator.Handle(s.leases[0].NextRequest(4, requestedAt), s.allocatorClock())
	s.advanceTenths(9)
	s.leases[0].Apply(g, requestedAt, s.clock(0))
	assert.Equal(t, s.usableSlots(), 4)
	s.advanceTenths(1)
	assert.Equal(t, s.usableSlots(), 0)
}
