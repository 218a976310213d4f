package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/worker"
)

// An attempt is faster elsewhere if its remaining time at its upstream's speed
// clearly exceeds a full run at the median speed.
func TestFasterElsewhere(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := routing.NewObserver()
	for _, id := range []api.UpstreamID{"a", "b", "c"} {
		o.Done(id, 10*time.Millisecond, true, now)
	}
	o.Stalled("a", 50*time.Millisecond, now)
	for _, c := range []struct {
		slow   bool
		tokens int64
		want   bool
	}{
		{true, 0, true},   // 20 tokens at 50 ms against 20 at 10 ms
		{true, 13, true},  // 7 tokens at 50 ms are 350 ms, against 200 ms
		{true, 15, false}, // 250 ms
		{false, 0, false},
	} {
		a := &attempt{
			task:     &worker.Task{},
			flight:   &flight{job: &work.Job{CostTokens: 20}},
			upstream: &upstreamState{info: api.Upstream{ID: "a"}, observer: o, slow: c.slow},
		}
		a.task.Tokens.Store(c.tokens)
		assert.Equal(t, a.fasterElsewhere(now), c.want, "%+v", c)
	}
}
