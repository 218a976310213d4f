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

// message is an ask on its way to a keeper, or the grant on its way back.
type message struct {
	daemon  int
	keeper  int // number of the keeper asked
	ask     quota.LeaseRequest
	askedAt time.Time
	grant   *quota.Grant
}

// world is a set of daemons with clocks of their own, one keeper at a time,
// and messages that are delayed, reordered, repeated and lost.
type world struct {
	window   int
	now      time.Duration
	holdings []*quota.SlotLease
	keeper   *quota.Allocator
	number   int
	messages []message
}

func (w *world) clock(daemon int) time.Time { return t0.Add(w.now + time.Duration(daemon)*time.Hour) }

func (w *world) keeperClock() time.Time { return w.clock(100 + w.number) }

func (w *world) takeMessage(t *rapid.T, grants bool) (message, bool) {
	var at []int
	for i, m := range w.messages {
		if (m.grant != nil) == grants && m.keeper <= w.number {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return message{}, false
	}
	i := rapid.SampledFrom(at).Draw(t, "message")
	m := w.messages[i]
	if !rapid.Bool().Draw(t, "repeat") {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	return m, true
}

func (w *world) ask(t *rapid.T) {
	d := rapid.IntRange(0, len(w.holdings)-1).Draw(t, "daemon")
	now := w.clock(d)
	a := w.holdings[d].NextRequest(rapid.IntRange(0, w.window+1).Draw(t, "want"), now)
	// Some daemons learn of the next keeper before it starts.
	to := w.number + rapid.IntRange(0, 1).Draw(t, "early")
	w.messages = append(w.messages, message{daemon: d, keeper: to, ask: a, askedAt: now})
}

func (w *world) handle(t *rapid.T) {
	m, ok := w.takeMessage(t, false)
	if !ok || m.keeper != w.number {
		return // the daemon asked is no longer the keeper
	}
	g := w.keeper.Handle(m.ask, w.keeperClock())
	m.grant = &g
	w.messages = append(w.messages, m)
}

func (w *world) apply(t *rapid.T) {
	if m, ok := w.takeMessage(t, true); ok {
		w.holdings[m.daemon].Apply(*m.grant, m.askedAt, w.clock(m.daemon))
	}
}

func (w *world) used() int {
	sum := 0
	for d, h := range w.holdings {
		sum += h.Slots(w.clock(d))
	}
	return sum
}

func (w *world) pass(t *rapid.T) {
	ms := rapid.SampledFrom([]int{10, 50, 100, 200, 400, 1000}).Draw(t, "ms")
	paused := rapid.IntRange(0, 9).Draw(t, "keeper paused") == 9
	for range ms / 10 {
		w.now += 10 * time.Millisecond
		if !paused {
			w.keeper.Heartbeat(w.keeperClock())
		}
	}
}

// exchange is an ask that is answered at once.
func (w *world) exchange(t *rapid.T) {
	w.ask(t)
	m := w.messages[len(w.messages)-1]
	if m.keeper != w.number {
		return
	}
	g := w.keeper.Handle(m.ask, w.keeperClock())
	w.holdings[m.daemon].Apply(g, m.askedAt, w.clock(m.daemon))
	m.grant = &g
	w.messages = append(w.messages, m)
}

func (w *world) replace(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "replace") == 5 {
		w.number++
		w.keeper = quota.NewAllocator(w.window, lease, w.keeperClock())
	}
}

// TestSlotsInUseNeverPassTheWindow: a pause of a daemon is time that passes
// without messages of it.
func TestSlotsInUseNeverPassTheWindow(t *testing.T) {
	const steps = 200
	rapid.Check(t, func(t *rapid.T) {
		w := &world{window: rapid.IntRange(1, 4).Draw(t, "window")}
		for d := range rapid.IntRange(2, 4).Draw(t, "daemons") {
			w.holdings = append(w.holdings, quota.NewSlotLease(api.DaemonID(fmt.Sprint(d)), 0))
		}
		w.keeper = quota.NewAllocator(w.window, lease, w.keeperClock())
		actions := []func(*rapid.T){
			w.exchange, w.exchange, w.exchange, w.ask, w.ask, w.handle, w.handle, w.apply, w.apply, w.pass, w.pass, w.replace,
		}
		for range steps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")](t)
			assert.Assert(t, w.used() <= w.window, "%d slots in use", w.used())
		}
	})
}

// cluster runs rounds in which all daemons ask and are answered at once.
func cluster(window, daemons int) *world {
	w := &world{window: window}
	for d := range daemons {
		w.holdings = append(w.holdings, quota.NewSlotLease(api.DaemonID(fmt.Sprint(d)), 0))
	}
	w.keeper = quota.NewAllocator(window, lease, w.keeperClock())
	for range 5 {
		w.round(func(int) int { return 0 })
	}
	return w
}

func (w *world) round(want func(d int) int) {
	w.now += lease / quota.RequestsPerLease
	for d, h := range w.holdings {
		now := w.clock(d)
		for again := true; again; again = h.Shrunk() {
			g := w.keeper.Handle(h.NextRequest(want(d), now), w.keeperClock())
			h.Apply(g, now, now)
		}
	}
}

func TestIdleDaemonsLeaveTheWindowToOthers(t *testing.T) {
	w := cluster(24, 12)
	all := func(int) int { return 24 }
	half := func(d int) int { return (d % 2) * 24 }
	w.round(all)
	w.round(all)
	assert.Equal(t, w.used(), 24)
	w.round(half)
	w.round(half)
	assert.Assert(t, w.used()*100 >= 24*85, "%d of 24", w.used())
	w.round(all)
	w.round(all)
	for d, h := range w.holdings {
		assert.Equal(t, h.Slots(w.clock(d)), 2)
	}
}

// TestManyDaemonsShareEvenly: shares that are computed once in a while serve as well.
func TestManyDaemonsShareEvenly(t *testing.T) {
	w := cluster(150, 100)
	var served [100]int
	for range 40 {
		w.round(func(int) int { return 5 })
		for d, h := range w.holdings {
			served[d] += h.Slots(w.clock(d))
		}
	}
	for d, n := range served {
		assert.Assert(t, n >= 30, "daemon %d had %d slot rounds, the mean is 60", d, n)
	}
	assert.Assert(t, w.used()*100 >= 150*85, "%d of 150", w.used())
}

func TestMoreDaemonsThanSlotsTakeTurns(t *testing.T) {
	w := cluster(3, 10)
	var served [10]int
	for range 80 {
		w.round(func(int) int { return 1 })
		for d, h := range w.holdings {
			served[d] += h.Slots(w.clock(d))
		}
	}
	for d, n := range served {
		assert.Assert(t, n >= 12, "daemon %d had %d slot rounds of 240: %v", d, n, served)
	}
}

// TestBusySlotsAreNotHandedOn: slots taken back stay counted while calls run in them.
func TestBusySlotsAreNotHandedOn(t *testing.T) {
	w := cluster(4, 2)
	w.round(func(d int) int { return 4 - 4*d })
	w.holdings[0].SetInUse(4)
	for range 6 {
		w.round(func(int) int { return 4 })
		assert.Equal(t, w.holdings[1].Slots(w.clock(1)), 0)
	}
	w.holdings[0].SetInUse(2)
	w.round(func(int) int { return 4 })
	assert.Equal(t, w.holdings[1].Slots(w.clock(1)), 2)
}

func TestReplacedKeeperKeepsHoldingsInForce(t *testing.T) {
	w := cluster(8, 4)
	full := func(int) int { return 8 }
	w.round(full)
	w.round(full)
	w.number++
	w.keeper = quota.NewAllocator(8, lease, w.keeperClock())
	for range 8 {
		w.round(full)
		assert.Equal(t, w.used(), 8)
	}
}

func TestBucketKeepsItsRate(t *testing.T) {
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

// passTenths lets tenths of a lease pass with a keeper that isn't paused.
func (w *world) passTenths(n int) {
	for range n {
		w.now += lease / 10
		w.keeper.Heartbeat(w.keeperClock())
	}
}

// TestLateRenewalOfLapsedSlotsIsIgnored: a daemon asks the next keeper early,
// its lease lapses, the old keeper hands the slots on, and the new keeper,
// which cannot know, renews them.
func TestLateRenewalOfLapsedSlotsIsIgnored(t *testing.T) {
	w := cluster(4, 2)
	w.round(func(d int) int { return 4 - 4*d })
	w.passTenths(9)
	askedAt := w.clock(0)
	early := w.holdings[0].NextRequest(4, askedAt)
	w.passTenths(2)
	now := w.clock(1)
	w.holdings[1].Apply(w.keeper.Handle(w.holdings[1].NextRequest(4, now), w.keeperClock()), now, now)
	assert.Equal(t, w.holdings[1].Slots(now), 4)
	w.number++
	w.keeper = quota.NewAllocator(w.window, lease, w.keeperClock())
	w.holdings[0].Apply(w.keeper.Handle(early, w.keeperClock()), askedAt, w.clock(0))
	assert.Equal(t, w.used(), 4)
}

func TestPausedKeeperStartsOver(t *testing.T) {
	w := cluster(4, 2)
	w.now += 2 * lease
	a := w.holdings[0].NextRequest(4, w.clock(0))
	assert.Equal(t, w.keeper.Handle(a, w.keeperClock()).Slots, 0)
}

func TestSplitWindowLosesNoSlot(t *testing.T) {
	for window := range 40 {
		long, short := quota.SplitWindow(window, 0.2)
		assert.Equal(t, long+short, window)
		assert.Assert(t, window == 0 || long >= 1)
		assert.Assert(t, window < 5 || short >= window/5)
	}
}

// TestCallsInProgressNeverPassTheWindow: calls outlast grants, demand changes
// and single messages are lost, but no daemon is silent for a lease.
func TestCallsInProgressNeverPassTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := cluster(rapid.IntRange(1, 5).Draw(t, "window"), 4)
		var calls [4]int
		var lost [4]bool
		for range 60 {
			w.passTenths(1)
			for d, h := range w.holdings {
				now := w.clock(d)
				calls[d] -= rapid.IntRange(0, calls[d]).Draw(t, "ended")
				queued := rapid.IntRange(0, 3).Draw(t, "queued")
				h.SetInUse(calls[d])
				a := h.NextRequest(calls[d]+queued, now)
				lost[d] = !lost[d] && rapid.IntRange(0, 3).Draw(t, "lost") == 0
				if !lost[d] {
					h.Apply(w.keeper.Handle(a, w.keeperClock()), now, now)
				}
				calls[d] += max(0, min(queued, h.Slots(now)-calls[d]))
			}
			total := calls[0] + calls[1] + calls[2] + calls[3]
			assert.Assert(t, total <= w.window, "%d calls", total)
		}
	})
}

func BenchmarkHandle370Daemons(b *testing.B) {
	w := cluster(64, 370)
	b.ReportAllocs()
	for i := range b.N {
		h := w.holdings[i%370]
		w.now += lease / quota.RequestsPerLease / 370
		w.keeper.Handle(h.NextRequest(2, w.clock(0)), w.keeperClock())
	}
}

// TestGrantLapsesALeaseAfterItsAsk, however late it arrives: the keeper hands
// the slots on soon after.
func TestGrantLapsesALeaseAfterItsAsk(t *testing.T) {
	w := cluster(4, 1)
	askedAt := w.clock(0)
	g := w.keeper.Handle(w.holdings[0].NextRequest(4, askedAt), w.keeperClock())
	w.passTenths(9)
	w.holdings[0].Apply(g, askedAt, w.clock(0))
	assert.Equal(t, w.used(), 4)
	w.passTenths(1)
	assert.Equal(t, w.used(), 0)
}
