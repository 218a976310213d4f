package jobreplica

import (
	"testing"
	"time"

	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

// Guards against jobs that are forgotten, and items that are given up, early because the
// clock of the host that accepted them is behind, or this one's jumped ahead.
func TestClocksOfHostsDontAgeJobs(t *testing.T) {
	j := &pagedJournal{pageSize: 1}
	j.add(t, &batch.DaemonAlive{Daemon: "d", StartMillis: 1})
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	waitFor(t, "the end of the journal", func() bool { return replica.Snapshot().NextOffset > 0 })
	ended, open := job("ended", "a"), job("open", "b")
	for _, r := range []*batch.JobAccepted{ended, open} {
		r.Job.SubmittedMillis = time.Now().Add(-time.Hour).UnixMilli()
		r.Job.TimeoutMillis = time.Minute.Milliseconds()
	}
	j.add(t, ended, open, &batch.JobEnded{ID: "ended"})
	for range 15 { // ticks
		got, err := replica.Results(t.Context(), access.Anyone(), "ended", 0, 0)
		assert.NilError(t, err)
		assert.Assert(t, got.Ended)
		items, err := replica.OpenItems(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(items), 1)
		assert.Assert(t, items[0].Age.Milliseconds() < items[0].TimeoutMillis, "%v", items[0].Age)
		<-time.After(100 * time.Millisecond)
	}
}

func TestAges(t *testing.T) {
	a, now := make(ages[string]), time.Unix(1000, 0)
	a.add("live", 1, false, now)
	a.add("history", now.Add(-time.Minute).UnixMilli(), true, now)
	a.add("future", now.Add(time.Minute).UnixMilli(), true, now)
	later := now.Add(time.Second)
	assert.Equal(t, a.of("live", later), time.Second)
	assert.Equal(t, a.of("history", later), 61*time.Second)
	assert.Equal(t, a.of("future", later), time.Second)
	assert.Equal(t, a.of("unknown", later), time.Duration(0))
}
