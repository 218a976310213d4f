package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// An item that is moved is placed where its alternative said.
func TestAlternativeIsWhereAMovedItemIsPlaced(t *testing.T) {
	moves := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s, at := New(), Offset(0)
		apply := func(r Record) { at++; s.Apply(at, r) }
		upstreams := 2 + rng.IntN(5)
		for u := range upstreams {
			apply(&LeaseAcquired{
				Upstream: api.UpstreamID(fmt.Sprint("u", u)), Service: "s", Daemon: "d", Slots: 1 + rng.IntN(4), Models: []api.ModelName{"m"},
				Software: fmt.Sprint("v", rng.IntN(2)), Versions: map[api.ModelName]api.WeightVersion{"m": api.WeightVersion(1 + rng.IntN(2))},
			})
		}
		j := Job{ID: "j", Service: "s", Model: "m", MinVersion: 1, TargetMillis: 1000}
		for i := range 1 + rng.IntN(10) {
			j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint("i", i)), Group: fmt.Sprint(i / 3), OutputHint: 1 + rng.IntN(5)})
		}
		apply(&JobAccepted{Job: j})
		runs := s.Runs("d")
		s.SetAlternatives(runs)
		for _, i := range j.Items {
			r, ok := runs[ItemKey{"j", i.ID}]
			if !ok || r.Alternative == nil {
				continue
			}
			moves++
			assert.Assert(t, r.Alternative.Upstream != r.Upstream)
			assert.Assert(t, r.Alternative.FreeSlots > 0)
			apply(&ItemMoved{Job: "j", Item: i.ID, FromUpstream: r.Upstream})
			after := s.Runs("d")
			assert.Equal(t, after[ItemKey{"j", i.ID}].Upstream, r.Alternative.Upstream, "seed %d", seed)
			s.SetAlternatives(after)
			assert.Assert(t, after[ItemKey{"j", i.ID}].Alternative == nil, "it was moved before")
			break // the move changes the others' alternatives
		}
	}
	assert.Assert(t, moves > 50, "%d moves", moves)
}

func TestNoAlternativeWithoutADueTime(t *testing.T) {
	s := New()
	for n, u := range []api.UpstreamID{"u", "v"} {
		s.Apply(Offset(n+1), &LeaseAcquired{Upstream: u, Service: "s", Daemon: "d", Slots: 1, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 1}})
	}
	s.Apply(3, &JobAccepted{Job: Job{ID: "j", Service: "s", Model: "m", Items: []Item{{ID: "i"}}}})
	runs := s.Runs("d")
	s.SetAlternatives(runs)
	assert.Equal(t, len(runs), 1)
	for _, r := range runs {
		assert.Assert(t, r.Alternative == nil)
	}
}
