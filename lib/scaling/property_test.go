package scaling

import (
	"slices"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever becomes of orders and upstreams, each order is within the bounds, one at most goes
// to a place at once, and nothing is given back that is needed, or in quick succession.
func TestOrdersKeepTheBoundsWhateverHappens(t *testing.T) {
	places := []Place{{"a", false}, {"b", false}, {"c", false}, {"a", true}, {"b", true}, {"c", true}}
	rapid.Check(t, func(t *rapid.T) {
		p, now, reduced := NewPlanner(testConfig), time.Unix(1000, 0), time.Time{}
		in := &Input{Service: "s", Models: []api.ModelName{"m", "n"}, Autoscale: testAutoscale()}
		in.Autoscale.Min, in.Autoscale.Max = rapid.IntRange(0, 3).Draw(t, "min"), rapid.IntRange(3, 20).Draw(t, "max")
		start := rapid.IntRange(0, 12).Draw(t, "start")
		for n := range 3 * start {
			in.Upstreams = append(in.Upstreams, Upstream{Place: places[n%3], Slots: testSlots, Interval: testInterval, Model: in.Models[n%2]})
		}
		for range rapid.IntRange(1, 40).Draw(t, "ticks") {
			now = now.Add(time.Duration(rapid.IntRange(200, 3000).Draw(t, "ms")) * time.Millisecond)
			in.Jobs = nil
			for n := range rapid.IntRange(0, 8).Draw(t, "jobs") {
				in.Jobs = append(in.Jobs, batch.Workload{
					Model: in.Models[n%2], Target: testTarget, Age: time.Duration(n) * 2500 * time.Millisecond,
					Events: float64(rapid.IntRange(0, 9000).Draw(t, "events")), Remaining: float64(rapid.IntRange(0, 500).Draw(t, "remaining")),
				})
			}
			orders, need := p.Plan(now, in)
			seen := make(map[Place]bool)
			for _, o := range orders {
				place := PlaceOf(o.UpstreamOrder)
				assert.Assert(t, !seen[place] && slices.Contains(places, place), "%+v", orders)
				seen[place] = true
				assert.Assert(t, o.Count >= 0 && o.Count <= max(in.Autoscale.Max, start), "%+v", o)
				if o.Count < o.Present && !o.Repeat {
					assert.Assert(t, need.Settled && !need.Late, "%+v with %+v", o, need)
					assert.Assert(t, reduced.Equal(now) || now.Sub(reduced) >= testConfig.ReduceInterval, "%+v", o)
					reduced = now
				}
				switch rapid.SampledFrom([]string{"done", "lost", "refused", "accepted"}).Draw(t, "outcome") {
				case "done":
					p.Accepted(o.UpstreamOrder)
					setCount(in, place, o.Count)
				case "refused":
					p.Refused(now, o.UpstreamOrder)
				case "accepted":
					p.Accepted(o.UpstreamOrder)
				}
			}
			if !reduced.Equal(now) {
				place := rapid.SampledFrom(places).Draw(t, "place")
				setCount(in, place, rapid.IntRange(0, in.Autoscale.Max).Draw(t, "count"))
			}
		}
	})
}

// setCount lists as many upstreams at a place.
func setCount(in *Input, place Place, n int) {
	in.Upstreams = slices.DeleteFunc(in.Upstreams, func(u Upstream) bool {
		if u.Place == place {
			n--
		}
		return u.Place == place && n < 0
	})
	for ; n > 0; n-- {
		in.Upstreams = append(in.Upstreams, Upstream{Place: place, Slots: testSlots, Interval: testInterval, Model: in.Models[n%2]})
	}
}
