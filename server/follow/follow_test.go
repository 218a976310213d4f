package follow

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// An entry that is removed some time after the feed was lost is held back only
// until entries that lapsed in the outage would be back, and not for as long
// again: its upstream is leaving.
func TestDoubtEndsAFixedTimeAfterTheOutage(t *testing.T) {
	const doubt = 2 * time.Second
	lost := time.Unix(100, 0)
	now := lost
	f := newFollower(Config{RemovalGrace: doubt, Now: func() time.Time { return now }}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: f, failedAt: lost}
	listed := func() bool { return f.View().Upstreams["u"] != nil }
	f.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: api.UpstreamID("u")}}}})

	now = lost.Add(1500 * time.Millisecond)
	f.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamUnlisted{ID: "u"}}, holdUntil: r.holdUntil()})
	assert.Assert(t, listed(), "in doubt")
	now = lost.Add(doubt + 100*time.Millisecond)
	f.Tick(t.Context())
	assert.Assert(t, !listed())
}

func TestRemovalCountsAtOnceWithoutAnOutage(t *testing.T) {
	f := newFollower(Config{RemovalGrace: 2 * time.Second, Now: time.Now}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: f}
	f.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u"}}}})
	f.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamUnlisted{ID: "u"}}, holdUntil: r.holdUntil()})
	assert.Equal(t, len(f.View().Upstreams), 0)
}
