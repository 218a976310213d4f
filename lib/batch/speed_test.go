package batch

import (
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

// newUnevenFixture has four upstreams with two slots, of which u2 and u3 are a third slower.
func newUnevenFixture() *fixture {
	f := newFixture(4, 2)
	for n, micros := range []int64{49000, 50000, 64000, 66000} {
		f.add(&EventIntervalMeasured{Upstream: api.UpstreamID(fmt.Sprint("u", n)), Daemon: "d1", Micros: micros})
	}
	return f
}

// unevenJob has eight items, of which the first four are long.
func unevenJob(id JobID) Job {
	j := Job{ID: id, Service: "s", Model: "m", MaxAttempts: 3}
	for n := range 8 {
		hint := 10
		if n < 4 {
			hint = 140
		}
		j.Items = append(j.Items, Item{ID: ItemID(fmt.Sprint(id, n)), Group: fmt.Sprint(n), OutputHint: hint})
	}
	return j
}

// longOnSlower returns the number of long items on the slower upstreams.
func (f *fixture) longOnSlower() int {
	n := 0
	for _, u := range []api.UpstreamID{"u2", "u3"} {
		for _, i := range f.placed[u] {
			if i.item().OutputHint > 100 {
				n++
			}
		}
	}
	return n
}

// Guards against steps that are late because their longest texts run on the slower upstreams.
func TestLongestItemsRunOnFasterUpstreams(t *testing.T) {
	f := newUnevenFixture()
	f.add(&JobAccepted{Job: unevenJob("before")})
	assert.Equal(t, f.longOnSlower(), 2, "the rules aren't in force yet")
	f.add(&JobEnded{ID: "before"})
	f.add(&RulesRaised{Rules: RulesBySpeed})
	f.add(&JobAccepted{Job: unevenJob("after")})
	assert.Equal(t, f.longOnSlower(), 0)
	for n := range 4 {
		assert.Equal(t, len(f.placed[api.UpstreamID(fmt.Sprint("u", n))]), 2, "the others fill the slower ones")
	}
}

func TestRulesAreNotLowered(t *testing.T) {
	f := newUnevenFixture()
	assert.Assert(t, f.Apply(1000, &RulesRaised{Rules: RulesBySpeed}))
	assert.Assert(t, !f.Apply(1001, &RulesRaised{Rules: RulesBySlots}))
	assert.Equal(t, f.Rules(), RulesBySpeed)
}

// An upstream whose speed isn't known takes items like the fastest, so that it gets measured.
func TestUnmeasuredUpstreamIsNotSlower(t *testing.T) {
	f := newFixture(2, 2)
	f.add(&RulesRaised{Rules: RulesBySpeed})
	f.add(&EventIntervalMeasured{Upstream: "u0", Daemon: "d1", Micros: 50000})
	assert.Assert(t, !f.isSlower(f.upstreams["u1"]))
	f.add(&EventIntervalMeasured{Upstream: "u1", Daemon: "d1", Micros: 60000})
	assert.Assert(t, f.isSlower(f.upstreams["u1"]))
	f.add(&UpstreamRemoved{Upstream: "u0", Daemon: "d1"})
	assert.Assert(t, !f.isSlower(f.upstreams["u1"]), "it is the fastest now")
}
