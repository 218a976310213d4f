package follow

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// The grace period of a removal starts at the outage, not at the removal: an upstream
// removed later is leaving and must not be used for a full period more.
func TestRemovalGraceStartsAtOutage(t *testing.T) {
	const grace = 2 * time.Second
	failedAt := time.Unix(100, 0)
	now := failedAt
	w := newWatcher(Config{RemovalGrace: grace, Now: func() time.Time { return now }}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: w, lastFailure: failedAt}
	listed := func() bool { return w.View().Upstreams["u"] != nil }
	w.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: api.UpstreamID("u")}}}})

	now = failedAt.Add(1500 * time.Millisecond)
	w.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamUnlisted{ID: "u"}}, holdUntil: r.holdUntil()})
	assert.Assert(t, listed(), "removal is held back")
	now = failedAt.Add(grace + 100*time.Millisecond)
	w.Tick(t.Context())
	assert.Assert(t, !listed())
}

func TestRemovalAppliesAtOnceWithoutOutage(t *testing.T) {
	w := newWatcher(Config{RemovalGrace: 2 * time.Second, Now: time.Now}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: w}
	w.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamListed{Upstream: directory.Upstream{ID: "u"}}}})
	w.Handle(t.Context(), readResult{changes: []directory.Change{directory.UpstreamUnlisted{ID: "u"}}, holdUntil: r.holdUntil()})
	assert.Equal(t, len(w.View().Upstreams), 0)
}
