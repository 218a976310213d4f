package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mb = 1 << 20

var start = time.Unix(1000, 0)

func newBudget() (*Budget, *Edge) {
	b := NewBudget(Plan{Bytes: 10 * mb, Answers: 5 * mb, Reserve: mb, Alone: 16 * mb})
	return b, b.NewEdge(100)
}

func open(t *testing.T, b *Budget, e *Edge) *Account {
	t.Helper()
	a, victim := b.Open(e, nil, start)
	assert.Assert(t, a != nil && victim == nil)
	b.Enter(a, Reading, start)
	return a
}

// The smallest host takes a body of the largest legal size in any form, and a batch job of
// that size with its decoded bodies.
func TestPlanOfTheSmallestHost(t *testing.T) {
	p := NewPlan(112*mb, 8200)
	const body = 32 * mb
	assert.Assert(t, p.Alone >= body+body*3/4, "%d", p.Alone)
	assert.Assert(t, p.Conns >= 1000 && p.SideConns == maxSideConns && p.PeerConns == maxPeerConns, "%+v", p)
	assert.Assert(t, p.Bytes+p.Reserve+p.Buffered < p.HeapBytes)
	few := NewPlan(112*mb, 256)
	assert.Assert(t, few.Conns+2*few.SideConns+few.PeerConns <= 256*3/4, "%+v", few)
}

// Many large bodies that all make progress: those over the budget are refused.
func TestClaimRefusesOverTheBudget(t *testing.T) {
	b, e := newBudget()
	first, second := open(t, b, e), open(t, b, e)
	_, ok := b.Claim(first, 8*mb, start)
	assert.Assert(t, ok)
	victims, ok := b.Claim(second, 8*mb, start)
	assert.Assert(t, !ok && len(victims) == 0)
	assert.Equal(t, b.Used(), int64(8*mb))
	b.Release(first)
	_, ok = b.Claim(second, 8*mb, start)
	assert.Assert(t, ok)
}

// Bodies that stop short of their end make room for others, the longest stalled first.
func TestClaimClosesTheLongestStalled(t *testing.T) {
	b, e := newBudget()
	old, young, running, next := open(t, b, e), open(t, b, e), open(t, b, e), open(t, b, e)
	for _, a := range []*Account{old, young, running} {
		_, ok := b.Claim(a, 3*mb, start)
		assert.Assert(t, ok)
	}
	b.Enter(running, Running, start)
	b.Moved(young, 1, start.Add(time.Millisecond))
	victims, ok := b.Claim(next, 3*mb, start.Add(StallTime/2))
	assert.Assert(t, !ok && len(victims) == 0, "none has stalled yet")
	now := start.Add(2 * StallTime)
	victims, ok = b.Claim(next, 3*mb, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, indexes(victims, old, young, running), []int{0})
	b.Moved(next, 1, now)
	victims, ok = b.Claim(open(t, b, e), 6*mb, now)
	assert.Assert(t, !ok, "a running request and one with progress hold the rest")
	assert.DeepEqual(t, indexes(victims, old, young, running), []int{}) // the stalled one would not be enough
	assert.Equal(t, b.Used(), int64(9*mb))
	victims, ok = b.Claim(open(t, b, e), 4*mb, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, indexes(victims, old, young, running), []int{1})
	assert.Equal(t, b.Used(), int64(10*mb))
	_, ok = b.Claim(old, 1, now)
	assert.Assert(t, !ok, "a closed connection claims nothing")
}

func indexes(found []*Account, all ...*Account) []int {
	out := []int{}
	for _, f := range found {
		for i, a := range all {
			if a == f {
				out = append(out, i)
			}
		}
	}
	return out
}

// Small requests have a reserve that large ones can't use up.
func TestSmallRequestsKeepAReserve(t *testing.T) {
	b, e := newBudget()
	_, ok := b.Claim(open(t, b, e), 10*mb, start)
	assert.Assert(t, ok)
	_, ok = b.Claim(open(t, b, e), smallBytes+1, start)
	assert.Assert(t, !ok)
	for range mb / smallBytes {
		_, ok = b.Claim(open(t, b, e), smallBytes, start)
		assert.Assert(t, ok)
	}
	_, ok = b.Claim(open(t, b, e), smallBytes, start)
	assert.Assert(t, !ok)
}

// Answers that callers don't read leave room for requests, and make room for other answers.
func TestAnswersUseAPart(t *testing.T) {
	b, e := newBudget()
	first, second, request := open(t, b, e), open(t, b, e), open(t, b, e)
	b.Enter(first, Writing, start)
	b.Enter(second, Writing, start)
	_, ok := b.Claim(first, 4*mb, start)
	assert.Assert(t, ok)
	_, ok = b.Claim(second, 2*mb, start)
	assert.Assert(t, !ok)
	_, ok = b.Claim(request, 6*mb, start)
	assert.Assert(t, ok)
	now := start.Add(StallTime)
	b.Enter(second, Writing, now)
	victims, ok := b.Claim(second, 2*mb, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, indexes(victims, first, request), []int{0})
	b.Release(second)
	assert.Equal(t, b.Used(), int64(6*mb))
	b.Release(request)
	b.Enter(second, Writing, now)
	_, ok = b.Claim(second, 8*mb, now)
	assert.Assert(t, ok, "a single answer")
}

// A single request may use more while only small ones are beside it.
func TestSingleRequestUsesMore(t *testing.T) {
	b, e := newBudget()
	small, large := open(t, b, e), open(t, b, e)
	_, ok := b.Claim(small, smallBytes, start)
	assert.Assert(t, ok)
	_, ok = b.Claim(large, 15*mb, start)
	assert.Assert(t, ok)
	assert.Assert(t, b.NeverFits(16*mb+1) && !b.NeverFits(16*mb))
	b.Release(large)
	_, ok = b.Claim(large, 2*mb, start)
	assert.Assert(t, ok)
	_, ok = b.Claim(open(t, b, e), 15*mb, start)
	assert.Assert(t, !ok)
}

// At the limit of connections, the one that waits longest makes room, never one with a
// request.
func TestOpenClosesTheLongestWaiting(t *testing.T) {
	b := NewBudget(Plan{Bytes: mb})
	e := b.NewEdge(2)
	busy, _ := b.Open(e, nil, start)
	b.Enter(busy, Running, start)
	idle, _ := b.Open(e, nil, start.Add(time.Second))
	next, victim := b.Open(e, nil, start.Add(2*time.Second))
	assert.Assert(t, next != nil && victim == idle)
	b.Enter(next, Reading, start.Add(3*time.Second))
	none, victim := b.Open(e, nil, start.Add(3*time.Second))
	assert.Assert(t, none == nil && victim == nil)
	b.Enter(next, Running, start)
	b.Enter(busy, Reading, start)
	last, victim := b.Open(e, nil, start.Add(StallTime))
	assert.Assert(t, victim == busy, "its body has stalled")
	b.Enter(last, Running, start)
	b.Close(next)
	b.Close(next)
	again, victim := b.Open(e, nil, start)
	assert.Assert(t, again != nil && victim == nil)
}

func TestSweepClosesSlowBodiesAndAnswers(t *testing.T) {
	b, e := newBudget()
	stopped, slow, fast, running := open(t, b, e), open(t, b, e), open(t, b, e), open(t, b, e)
	b.Enter(running, Running, start)
	now := start.Add(3 * MaxStall)
	b.Moved(slow, int(MinRate*MaxStall.Seconds()), now)
	b.Moved(fast, int(2*MinRate*MaxStall.Seconds())+1, now)
	assert.DeepEqual(t, indexes(b.Sweep(now), stopped, slow, fast, running), []int{0, 1})
	assert.Equal(t, len(b.Sweep(now)), 0)
}

// A claim that wouldn't fit without the stalled ones either closes none of them.
func TestClaimThatNeverFitsClosesNobody(t *testing.T) {
	b, e := newBudget()
	running, old, next := open(t, b, e), open(t, b, e), open(t, b, e)
	for a, n := range map[*Account]int64{running: 7 * mb, old: 2 * mb} {
		_, ok := b.Claim(a, n, start)
		assert.Assert(t, ok)
	}
	now := start.Add(2 * StallTime)
	b.Moved(running, 1, now)
	victims, ok := b.Claim(next, 6*mb, now)
	assert.Assert(t, !ok && len(victims) == 0)
	victims, ok = b.Claim(next, 3*mb, now)
	assert.Assert(t, ok && len(victims) == 1 && victims[0] == old)
}

// A body that comes byte by byte for longer than any caller waits makes room for others.
func TestSlowBodyMakesRoom(t *testing.T) {
	b, e := newBudget()
	slow, next := open(t, b, e), open(t, b, e)
	_, ok := b.Claim(slow, 9*mb, start)
	assert.Assert(t, ok)
	now := start.Add(MaxStall)
	b.Moved(slow, 1<<20, now)
	b.Enter(next, Reading, now)
	assert.Equal(t, len(b.Sweep(now)), 0, "nobody needs its room")
	victims, ok := b.Claim(next, 5*mb, now)
	assert.Assert(t, ok && len(victims) == 1 && victims[0] == slow)
}
