package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func demandsOf(rates ...float64) map[api.DaemonID]Demand {
	out := make(map[api.DaemonID]Demand)
	for i, rate := range rates {
		out[api.DaemonID(fmt.Sprint("d", i))] = Demand{PerSecond: rate, At: start}
	}
	return out
}

func TestSharesSumUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := demandsOf(rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 300).Draw(t, "demands")...)
		limit := rapid.Float64Range(0.25, 200).Draw(t, "limit")
		holder := api.DaemonID(rapid.SampledFrom([]string{"", "d0", "absent"}).Draw(t, "holder"))
		sum, users := 0.0, 0
		for self := range demands {
			share := Share(ShareInput{Self: self, Upstream: "u", Limit: limit, Holder: holder, Demands: demands, Daemons: len(demands), Fresh: true})
			sum += share
			if share > 0 {
				users++
			}
			assert.Assert(t, self != holder || share > 0, "the holder has no share")
		}
		assert.Assert(t, sum > 0.999*limit && sum < 1.001*limit, "shares of %f sum up to %f", limit, sum)
		assert.Assert(t, users <= max(1, int(limit)), "%d daemons may send at once", users)
	})
}

func TestShareWithoutKnowledgeOfOthers(t *testing.T) {
	in := ShareInput{Self: "d0", Upstream: "u", Limit: 8, Demands: demandsOf(9, 1), Daemons: 4, Fresh: true}
	assert.Equal(t, Share(in), 7.2)
	in.Fresh = false
	assert.Equal(t, Share(in), 2.0, "others may have taken over the share")
	in.Self, in.Fresh = "new", true
	assert.Equal(t, Share(in), 0.0, "the others use the whole limit")
	in.Demands = nil
	assert.Equal(t, Share(in), 2.0)
}

func TestDemandsExpireUnlessLogIsUnreadable(t *testing.T) {
	d := make(Demands)
	d.Set("d", map[api.UpstreamID]float64{"u": 1, "v": 2}, start)
	d.Expire(start) // not read since
	assert.Equal(t, len(d), 2)
	d.Set("d", map[api.UpstreamID]float64{"v": 2}, start.Add(2*time.Second))
	d.Expire(start.Add(4 * time.Second))
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d["v"]["d"].PerSecond, 2.0)
}

// Plays ten seconds of requests at far more than the limit from several daemons with their
// shares: within any 4 s they send at most 1.5 times the limit and 5 more.
func TestDaemonsTogetherKeepLimitUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.25, 30).Draw(t, "limit")
		demands := demandsOf(rapid.SliceOfN(rapid.Float64Range(0.1, 50), 1, 20).Draw(t, "demands")...)
		var buckets []*Buckets
		for self := range demands {
			b := NewBuckets()
			in := ShareInput{Self: self, Upstream: "u", Limit: limit, Demands: demands, Daemons: len(demands), Fresh: true}
			b.SetRates(map[api.UpstreamID]float64{"u": Share(in)}, start)
			buckets = append(buckets, b)
		}
		idle := time.Duration(rapid.IntRange(0, 5000).Draw(t, "idle ms")) * time.Millisecond
		var sent []time.Time
		for now := start.Add(idle); now.Before(start.Add(idle + 10*time.Second)); now = now.Add(20 * time.Millisecond) {
			for _, b := range buckets {
				for b.Take("u", now) == 0 {
					sent = append(sent, now)
				}
			}
		}
		const window = 4 * time.Second
		for i, first := 0, 0; i < len(sent); i++ {
			for sent[i].Sub(sent[first]) >= window {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= 1.5*window.Seconds()*limit+5)
		}
		assert.Assert(t, float64(len(sent)) >= 10*limit*0.9-float64(len(buckets)), "%d requests sent", len(sent))
	})
}

func TestBucketHoldsTokensOfOneSecond(t *testing.T) {
	b := NewBuckets()
	b.SetRates(map[api.UpstreamID]float64{"u": 2}, start)
	now := start.Add(10 * time.Second)
	assert.Equal(t, b.Take("u", now), time.Duration(0))
	assert.Equal(t, b.Take("u", now), time.Duration(0))
	assert.Equal(t, b.Take("u", now), 500*time.Millisecond)
	assert.Equal(t, b.Take("u", now.Add(500*time.Millisecond)), time.Duration(0))
	assert.Equal(t, b.Take("other", now), time.Duration(0), "an upstream without a limit")
	b.SetRates(map[api.UpstreamID]float64{"u": 0}, now)
	assert.Equal(t, b.Wait("u", now.Add(time.Second)), Never)
}

func TestLimitIsLiftedOnlySomeTimeAfterItWasNamed(t *testing.T) {
	n := NewNamed()
	assert.Assert(t, n.Set("u", 3, start))
	assert.Assert(t, !n.Set("u", 3, start))
	assert.Assert(t, !n.Lift("u", start.Add(clearDelay/2)), "responses may be read out of order")
	assert.Assert(t, n.Lift("u", start.Add(clearDelay)))
	assert.Assert(t, n.Set("u", 0, start))
	limit, ok := n.Limit("u")
	assert.Assert(t, ok && limit > 0, "a limit of zero must still allow the request that shows its end")
}
