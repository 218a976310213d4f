package runner

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/ratelimit"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// An item that waits counts as demand for each upstream that it is placed on, and again
// after each move: without demand its daemon has no share of the limit.
func TestItemWaitingForRequestLimitCountsAsDemandWhereItIsPlaced(t *testing.T) {
	limits, now := ratelimit.NewBuckets(), time.Now()
	limits.SetRates(map[api.UpstreamID]float64{"u": 0, "v": 0}, now)
	var moves []batch.Record
	r := &Runner{
		cfg: Config{RetryDelay: 100 * time.Millisecond, MaxLimitWait: 2 * time.Second}, log: zap.NewNop(),
		deps:    Deps{Limits: limits, Propose: func(m batch.Record) error { moves = append(moves, m); return nil }},
		limited: make(map[batch.ItemKey]limitWait), retryAt: make(map[batch.ItemKey]time.Time),
	}
	key := batch.ItemKey{Job: "j", Item: "i"}
	ask := func(u api.UpstreamID, after time.Duration) int {
		assert.Assert(t, !r.admit(key, batch.Run{Upstream: u}, now.Add(after)))
		return limits.TakeWanted()[u]
	}
	assert.Equal(t, ask("u", 0), 1)
	assert.Equal(t, ask("u", time.Second), 0, "counted already")
	assert.Equal(t, len(moves), 0)
	assert.Equal(t, ask("u", 2*time.Second), 0)
	assert.Equal(t, len(moves), 1, "it waited long")
	assert.Equal(t, ask("u", 3*time.Second), 1)
	assert.Equal(t, ask("v", 3*time.Second), 1, "placed elsewhere")
	limits.SetRates(map[api.UpstreamID]float64{}, now)
	assert.Assert(t, r.admit(key, batch.Run{Upstream: "v"}, now.Add(4*time.Second)))
}
