package rewards

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

var limits = Config{SlotShare: 0.75, MinConcurrent: 2, RetryDelay: 100 * time.Millisecond, MaxRetryDelay: time.Second}

func TestConcurrencyLeavesSlotsToCallers(t *testing.T) {
	assert.Equal(t, limits.Concurrency(18, 3), 4)
	assert.Equal(t, limits.Concurrency(18, 10), 2)
	assert.Equal(t, limits.Concurrency(42, 74), 2)
	assert.Equal(t, limits.Concurrency(0, 0), 2)
}

func TestDelayGrowsToItsMaximum(t *testing.T) {
	assert.Equal(t, limits.Delay(1), 100*time.Millisecond)
	assert.Equal(t, limits.Delay(3), 400*time.Millisecond)
	assert.Equal(t, limits.Delay(1000), time.Second)
}

func candidate(item string, daemon api.DaemonID, service string) Candidate {
	return Candidate{Reward: batch.Reward{ItemKey: batch.ItemKey{Job: "j", Item: batch.ItemID(item)}, Daemon: daemon}, Service: service}
}

func TestNextStartsOldestOwnCallsWithinLimits(t *testing.T) {
	in := Input{
		Self: "d1", Live: map[api.DaemonID]bool{"d1": true, "d2": true}, Free: map[string]int{"s": 2, "full": 0},
		Candidates: []Candidate{
			candidate("a", "d1", "s"), candidate("b", "d2", "s"), candidate("c", "d1", "full"), candidate("d", "d1", "s"), candidate("e", "d1", "s"),
		},
	}
	var items []batch.ItemID
	for _, c := range Next(in) {
		items = append(items, c.Item)
	}
	assert.DeepEqual(t, items, []batch.ItemID{"a", "d"})
}

// Each call of a daemon that died is made by exactly one of the others.
func TestCallsOfDeadDaemonAreTakenOverOnce(t *testing.T) {
	live := map[api.DaemonID]bool{"d1": true, "d2": true, "d3": true}
	for n := range 50 {
		r := candidate(fmt.Sprint("i", n), "dead", "s").Reward
		owners := 0
		for d := range live {
			if Responsible(d, live, &r) {
				owners++
			}
		}
		assert.Equal(t, owners, 1)
	}
}

// scorerLoad is a simulation of a plain service with slots that serves in the order of
// arrival, in milliseconds.
type scorerLoad struct{ freeAt []int }

func (s *scorerLoad) serve(arrival, work int) (end int) {
	i := slices.Index(s.freeAt, slices.Min(s.freeAt))
	end = max(arrival, s.freeAt[i]) + work
	s.freeAt[i] = end
	return end
}

// Plays the load of a step's end: 10 daemons, 3 upstreams with 6 slots, 124 texts that
// are complete within 300 ms, calls of 80 ms. Callers' lookups of 21 ms arrive every
// 20 ms and must be served within their target of 150 ms; the rewards must be there
// within two seconds.
func TestBurstOfRewardsLeavesLookupsInTime(t *testing.T) {
	const daemons, texts, work, lookupWork = 10, 124, 80, 21
	load := &scorerLoad{freeAt: make([]int, 18)}
	live := make(map[api.DaemonID]bool)
	for d := range daemons {
		live[api.DaemonID(fmt.Sprint("d", d))] = true
	}
	var outstanding []Candidate
	running := make(map[api.DaemonID][]int) // ends of the calls in progress
	started := make(map[batch.ItemID]bool)
	lastReward, slowestLookup := 0, 0
	for now := range 3000 {
		for len(outstanding) < texts && len(outstanding)*300/texts <= now {
			n := len(outstanding)
			outstanding = append(outstanding, candidate(fmt.Sprint("i", n), api.DaemonID(fmt.Sprint("d", n%daemons)), "s"))
		}
		if now%20 == 0 {
			slowestLookup = max(slowestLookup, load.serve(now, lookupWork)-now)
		}
		for d := range daemons {
			self := api.DaemonID(fmt.Sprint("d", d))
			running[self] = slices.DeleteFunc(running[self], func(end int) bool { return end <= now })
			due := slices.DeleteFunc(slices.Clone(outstanding), func(c Candidate) bool { return started[c.Item] })
			free := limits.Concurrency(len(load.freeAt), daemons) - len(running[self])
			for _, c := range Next(Input{Self: self, Live: live, Candidates: due, Free: map[string]int{"s": free}}) {
				started[c.Item] = true
				end := load.serve(now, work)
				running[self] = append(running[self], end)
				lastReward = max(lastReward, end)
			}
		}
	}
	assert.Equal(t, len(started), texts)
	assert.Assert(t, slowestLookup <= 150, "a lookup took %d ms", slowestLookup)
	assert.Assert(t, lastReward <= 2000, "the last reward came after %d ms", lastReward)
}
