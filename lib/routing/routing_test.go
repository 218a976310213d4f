package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routing"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1_700_000_000, 0)

func drawCandidates(t *rapid.T) []routing.Candidate {
	n := rapid.IntRange(0, 12).Draw(t, "n")
	cs := make([]routing.Candidate, n)
	for i := range cs {
		cs[i] = routing.Candidate{
			ID:        api.UpstreamID(fmt.Sprintf("u%d", i)),
			FreeSlots: rapid.IntRange(-1, 4).Draw(t, "free"),
			InFlight:  rapid.IntRange(0, 20).Draw(t, "in flight"),
			Latency:   time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond,
			Slow:      rapid.Bool().Draw(t, "slow"),
		}
	}
	return cs
}

func TestWindowedPoliciesRespectWindowsAndAvoidSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := routing.New(rapid.SampledFrom([]string{"affinity", "two-choice"}).Draw(t, "policy"))
		assert.NilError(t, err)
		cs := drawCandidates(t)
		rnd := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "rnd") }
		id, ok := p.Pick(routing.Request{Prefix: rapid.Uint64().Draw(t, "prefix")}, cs, rnd)
		allSlow := !slices.ContainsFunc(cs, func(c routing.Candidate) bool { return !c.Slow })
		usable := func(c routing.Candidate) bool { return c.FreeSlots > 0 && (allSlow || !c.Slow) }
		assert.Equal(t, ok, slices.ContainsFunc(cs, usable))
		if ok {
			i := slices.IndexFunc(cs, func(c routing.Candidate) bool { return c.ID == id })
			assert.Assert(t, usable(cs[i]))
		}
	})
}

func TestAffinityKeepsPrefixUntilOverloaded(t *testing.T) {
	p, err := routing.New(routing.PolicyAffinity)
	assert.NilError(t, err)
	cs := []routing.Candidate{{ID: "a", FreeSlots: 9}, {ID: "b", FreeSlots: 9}, {ID: "c", FreeSlots: 9}}
	first, _ := p.Pick(routing.Request{Prefix: 7}, cs, func(int) int { return 0 })
	for i := range cs {
		if cs[i].ID == first {
			cs[i].InFlight = 2 // mean+1 is 1.67; the bound 2.08
		}
	}
	again, _ := p.Pick(routing.Request{Prefix: 7}, cs, func(int) int { return 0 })
	assert.Equal(t, again, first)
	for i := range cs {
		cs[i].InFlight *= 3
	}
	moved, _ := p.Pick(routing.Request{Prefix: 7}, cs, func(int) int { return 0 })
	assert.Assert(t, moved != first)
}

func TestRendezvousIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,70}`), 1, 20, rapid.ID[string]).Draw(t, "ids")
		key := rapid.Uint64().Draw(t, "key")
		order := routing.Rendezvous(key, ids)
		shuffled := rapid.Permutation(ids).Draw(t, "shuffled")
		assert.DeepEqual(t, routing.Rendezvous(key, shuffled), order)
		assert.Equal(t, routing.First(key, shuffled), order[0])
		for i, id := range order {
			assert.Equal(t, routing.Rank(key, shuffled, id), i)
		}
		removed := rapid.IntRange(0, len(order)-1).Draw(t, "removed")
		rest := slices.Delete(slices.Clone(order), removed, removed+1)
		assert.DeepEqual(t, routing.Rendezvous(key, rest), rest)
	})
}

func TestSlowUpstreamIsProbedUntilItRecovers(t *testing.T) {
	o := routing.NewObserver()
	now := t0
	for range 4 {
		now = now.Add(50 * time.Millisecond)
		o.Done("a", 10*time.Millisecond, true, now)
		o.Done("b", 11*time.Millisecond, true, now)
		o.Progress("c", 55*time.Millisecond, now)
	}
	assert.Assert(t, o.Slow("c", now) && !o.Slow("a", now))
	now = now.Add(600 * time.Millisecond)
	assert.Assert(t, !o.Slow("c", now), "one probe")
	assert.Assert(t, o.Slow("c", now), "second request in the same probe")
	o.Done("c", 52*time.Millisecond, true, now)
	assert.Assert(t, o.Slow("c", now.Add(30*time.Millisecond)), "still slow")
	now = now.Add(600 * time.Millisecond)
	assert.Assert(t, !o.Slow("c", now))
	o.Done("c", 10*time.Millisecond, true, now)
	assert.Assert(t, !o.Slow("c", now.Add(30*time.Millisecond)), "recovered")
}

func TestFailingUpstreamIsAvoidedAndProbed(t *testing.T) {
	o := routing.NewObserver()
	o.Done("a", 0, false, t0)
	assert.Assert(t, !o.Slow("a", t0))
	o.Done("a", 0, false, t0)
	assert.Assert(t, o.Slow("a", t0))
	// Probes without an observation grow until there is one.
	allowances := []int{}
	for probe := range 4 {
		now := t0.Add(time.Duration(probe+1) * time.Second)
		n := 0
		for !o.Slow("a", now) {
			n++
		}
		allowances = append(allowances, n)
	}
	assert.DeepEqual(t, allowances, []int{1, 2, 4, 8})
	o.Done("a", time.Millisecond, true, t0.Add(5*time.Second))
	assert.Assert(t, !o.Slow("a", t0.Add(5*time.Second)))
}

func TestProbeWithoutLatencyEndsAvoidance(t *testing.T) {
	o := routing.NewObserver()
	o.Done("a", 0, false, t0)
	o.Done("a", 0, false, t0)
	assert.Assert(t, o.Slow("a", t0))
	now := t0.Add(time.Second)
	assert.Assert(t, !o.Slow("a", now))
	o.Done("a", 0, true, now)
	for range 2 {
		assert.Assert(t, !o.Slow("a", now))
	}
}

func TestUpstreamWithObservationsIsNotProbed(t *testing.T) {
	o := routing.NewObserver()
	for i := range 100 {
		now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
		o.Done("a", 10*time.Millisecond, true, now)
		o.Progress("b", 60*time.Millisecond, now)
		assert.Assert(t, i == 0 || o.Slow("b", now))
	}
}

func TestLongStallMarksUpstreamSlow(t *testing.T) {
	o := routing.NewObserver()
	for _, id := range []api.UpstreamID{"a", "b", "c"} {
		o.Done(id, 10*time.Millisecond, true, t0)
	}
	o.Stalled("a", 20*time.Millisecond, t0)
	assert.Equal(t, o.Latency("a"), 10*time.Millisecond)
	assert.Assert(t, !o.Slow("a", t0))
	o.Stalled("a", 30*time.Millisecond, t0)
	assert.Equal(t, o.Latency("a"), 30*time.Millisecond)
	assert.Assert(t, o.Slow("a", t0))
	for range 5 {
		o.Progress("a", 10*time.Millisecond, t0)
	}
	assert.Assert(t, !o.Slow("a", t0))
}

func BenchmarkAffinity650(b *testing.B) {
	p, _ := routing.New(routing.PolicyAffinity)
	cs := make([]routing.Candidate, 650)
	for i := range cs {
		cs[i] = routing.Candidate{ID: api.UpstreamID(fmt.Sprintf("upstream-%d", i)), FreeSlots: 8}
	}
	b.ReportAllocs()
	for i := range b.N {
		p.Pick(routing.Request{Prefix: uint64(i + 1)}, cs, func(int) int { return 0 })
	}
}
