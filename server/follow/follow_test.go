package follow

import (
	"context"
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

// scriptedFeed returns prepared pages.
type scriptedFeed struct{ pages []directory.Page }

func (f *scriptedFeed) Load(context.Context) ([]directory.Change, directory.Cursor, error) {
	return nil, 0, nil
}

func (f *scriptedFeed) Next(context.Context, directory.Cursor, time.Duration) (directory.Page, error) {
	page := f.pages[0]
	f.pages = f.pages[1:]
	return page, nil
}

// A view is as recent as the beginning of the last read that reached the end of the feed.
func TestViewIsAsOfLastReadToTheEnd(t *testing.T) {
	now := time.Unix(100, 0)
	w := newWatcher(Config{Now: func() time.Time { return now }}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: w, feed: FeedConfig{HasConfig: true, Feed: &scriptedFeed{pages: []directory.Page{{AtEnd: false}, {AtEnd: true}}}}}
	for _, want := range []time.Time{time.Unix(100, 0), time.Unix(100, 0), time.Unix(102, 0)} { // of a load and two pages
		res, err := r.read(t.Context())
		assert.NilError(t, err)
		w.Handle(t.Context(), res)
		assert.Assert(t, w.View().ConfigAsOf.Equal(want), "%v", w.View().ConfigAsOf)
		assert.Assert(t, w.View().UpstreamsAsOf.IsZero())
		now = now.Add(time.Second)
	}
}

func TestTimeLeftCountsFromTheRead(t *testing.T) {
	now := time.Unix(100, 0)
	w := newWatcher(Config{Now: func() time.Time { return now }}, zap.NewNop(), func(*directory.View) {})
	r := &reader{watcher: w, loaded: true, feed: FeedConfig{ListsUpstreams: true, Feed: &scriptedFeed{pages: []directory.Page{{AtEnd: true, Changes: []directory.Change{
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Draining: true, LeavesIn: 2 * time.Second}},
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "v", Draining: true}},
	}}}}}}
	res, err := r.read(t.Context())
	assert.NilError(t, err)
	w.Handle(t.Context(), res)
	assert.Equal(t, w.View().Upstreams["u"].LeavesAt, now.Add(2*time.Second))
	assert.Assert(t, w.View().Upstreams["v"].LeavesAt.IsZero())
}
