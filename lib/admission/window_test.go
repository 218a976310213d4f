package admission_test

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type call struct {
	lane  api.Lane
	short bool
}

// TestWindowStaysWithinLimits starts only admitted calls, with random latencies,
// failures and limits.
func TestWindowStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := admission.NewWindow(admission.WindowConfig{Limit: 10, Floor: 2, ShortReserve: 0.2})
		now, limit := t0, 10
		var running []call
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				c := call{lane: api.Lane(rapid.IntRange(0, 2).Draw(t, "lane")), short: rapid.Bool().Draw(t, "short")}
				if !w.Admits(c.lane, c.short) {
					return
				}
				w.Start(c.lane, c.short)
				running = append(running, c)
				long := 0
				for _, r := range running {
					if r.lane == api.LaneRollout || !r.short {
						long++
					}
				}
				assert.Assert(t, len(running) <= w.Limit())
				assert.Assert(t, c.short && c.lane != api.LaneRollout || long <= max(1, w.Limit()*8/10))
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				latency := time.Duration(rapid.IntRange(0, 90).Draw(t, "latency")) * time.Millisecond
				w.Done(running[0].lane, running[0].short, latency, rapid.Bool().Draw(t, "ok"), now)
				running = running[1:]
			},
			"limit": func(t *rapid.T) {
				limit = rapid.IntRange(0, 12).Draw(t, "limit")
				w.SetLimit(limit)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, w.InFlight(), len(running))
				assert.Assert(t, w.Limit() <= limit && w.Limit() >= min(2, limit))
			},
		})
	})
}

func TestWindowShrinksWhenSlowAndGrowsBack(t *testing.T) {
	w := admission.NewWindow(admission.WindowConfig{Limit: 20, Floor: 1})
	now := t0
	run := func(calls int, latency time.Duration) {
		for range calls {
			now = now.Add(20 * time.Millisecond)
			for w.Admits(api.LaneInteractive, true) {
				w.Start(api.LaneInteractive, true)
			}
			w.Done(api.LaneInteractive, true, latency, true, now)
		}
	}
	run(50, 10*time.Millisecond)
	assert.Equal(t, w.Limit(), 20)
	run(100, 50*time.Millisecond)
	assert.Assert(t, w.Limit() <= 5, "limit %d", w.Limit())
	run(400, 10*time.Millisecond)
	assert.Equal(t, w.Limit(), 20)
	run(4000, 30*time.Millisecond)
	assert.Assert(t, w.Limit() >= 18, "permanently slower: limit %d", w.Limit())
}

func TestSetLimitKeepsAdaptedFraction(t *testing.T) {
	w := admission.NewWindow(admission.WindowConfig{Limit: 10})
	for n := range 1000 {
		w.SetLimit(1 + n%17)
	}
	w.SetLimit(10)
	assert.Equal(t, w.Limit(), 10)
}

func TestSetSharesReservesSlotsForShortWork(t *testing.T) {
	w := admission.NewWindow(admission.WindowConfig{})
	w.SetShares(1, 1)
	assert.Assert(t, w.Admits(api.LaneRollout, false))
	w.Start(api.LaneRollout, false)
	assert.Assert(t, !w.Admits(api.LaneInteractive, false))
	assert.Assert(t, w.Admits(api.LaneInteractive, true))
	w.Start(api.LaneInteractive, true)
	assert.Assert(t, !w.Admits(api.LaneInteractive, true))
	w.SetShares(0, 2)
	w.Done(api.LaneRollout, false, 0, true, t0)
	assert.Assert(t, !w.Admits(api.LaneRollout, true))
	assert.Assert(t, w.Admits(api.LaneInteractive, true))
}
