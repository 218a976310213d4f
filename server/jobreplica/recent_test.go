package jobreplica

import (
	"testing"
	"time"

	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

func TestRecentRecords(t *testing.T) {
	l, now := newRecentRecords(), time.Unix(1000, 0)
	crash := &batch.RequestCrashed{ContentHash: 1, UpstreamsLost: 1}
	limit := &batch.RequestLimitNamed{Upstream: "u", PerSecond: 2}
	demand := &batch.DemandReported{Daemon: "d"}
	for _, r := range []batch.Record{
		crash, crash, &batch.RequestLimitNamed{Upstream: "u", PerSecond: 1}, &batch.DemandReported{Daemon: "d"}, &batch.UpstreamLeaving{Upstream: "gone"},
		limit, demand, &batch.JobEnded{ID: "j"}, &batch.UpstreamRemoved{Upstream: "gone"},
	} {
		l.add(r, now)
	}
	assert.DeepEqual(t, l.list(now), []batch.Record{crash, crash, limit, demand})
	assert.DeepEqual(t, l.list(now.Add(recentDuration)), []batch.Record{limit})
	for range 3 * maxRecent {
		l.add(crash, now)
	}
	assert.Assert(t, len(l.newest) < 2*maxRecent)
	assert.Equal(t, len(l.list(now)), maxRecent)
}
