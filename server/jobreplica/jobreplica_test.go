package jobreplica

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/leases"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// pagedJournal returns a few records per read, as with a long history.
type pagedJournal struct {
	mu       sync.Mutex
	records  [][]byte
	pageSize int
	visible  int // number of records that reads return; 0: all
}

// showAll lets reads return all records.
func (j *pagedJournal) showAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.visible = 0
}

func (j *pagedJournal) Append(context.Context, journal.Sequence, [][]byte) (journal.Offset, error) {
	return 0, nil
}

func (j *pagedJournal) Read(ctx context.Context, from journal.Offset, wait time.Duration) (journal.Page, error) {
	page := j.page(from)
	if len(page.Records) == 0 {
		// A call to a store takes time; without it, empty pages fill the replica's ring.
		duty.Sleep(ctx, time.Millisecond)
	}
	return page, nil
}

func (j *pagedJournal) page(from journal.Offset) journal.Page {
	j.mu.Lock()
	defer j.mu.Unlock()
	end := journal.Offset(len(j.records))
	to := min(end, from+journal.Offset(j.pageSize))
	if j.visible > 0 {
		to = min(to, journal.Offset(j.visible))
	}
	return journal.Page{End: end, Records: j.records[from:to]}
}

func (j *pagedJournal) Fetch(ctx context.Context, from journal.Offset, _ int) (journal.Page, error) {
	return j.Read(ctx, from, 0)
}

func (j *pagedJournal) add(t *testing.T, records ...batch.Record) {
	t.Helper()
	for _, r := range records {
		data, err := batchcodec.Encode(r)
		assert.NilError(t, err)
		j.mu.Lock()
		j.records = append(j.records, journal.Split(data, 1<<20)...)
		j.mu.Unlock()
	}
}

func job(id batch.JobID, items ...batch.ItemID) *batch.JobAccepted {
	j := batch.Job{ID: id, Service: "s", Model: "m", MaxAttempts: 3, SubmittedMillis: time.Now().UnixMilli()}
	for _, i := range items {
		j.Items = append(j.Items, batch.Item{ID: i})
	}
	return &batch.JobAccepted{Job: j}
}

func start(t *testing.T, j Journal, runs func(map[batch.ItemKey]batch.Run)) *JobReplica {
	t.Helper()
	replica := Start(duty.NewSystem(nil), j, &keyedTopic{}, Config{
		Daemon: "d", RingSize: 64, ReadWait: 10 * time.Millisecond, ReadTimeout: time.Second, MinPageBytes: 128 << 10, MinReadInterval: time.Millisecond, ReadsPerSecond: 1 << 20,
		RetryInterval: time.Millisecond, JobRetention: time.Minute, MaxResultBytes: 1 << 20, Now: time.Now,
	}, Callbacks{
		RunsChanged:    func(r map[batch.ItemKey]batch.Run, _ batch.Offset) { runs(r) },
		RequestCrashed: func(*batch.RequestCrashed) {},
	}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, replica.Stop(context.Background())) })
	return replica
}

func leaseOf(u api.UpstreamID) *batch.LeaseAcquired {
	return &batch.LeaseAcquired{Upstream: u, Service: "s", Daemon: "d", Slots: 4, Versions: map[api.ModelName]api.WeightVersion{"m": 1}}
}

// A starting daemon reads a history in which every item was to be run at some time.
// It must not run the items that have ended.
func TestHistoryIsNotRunAgain(t *testing.T) {
	j := &pagedJournal{pageSize: 1}
	j.add(t, &batch.DaemonAlive{Daemon: "d", StartMillis: 1}, leaseOf("u"), job("old", "a", "b"),
		&batch.TextAdded{Job: "old", Item: "a", EventCount: 1, Done: true},
		&batch.JobEnded{ID: "old"}, job("new", "c"))
	var mu sync.Mutex
	seen := make(map[batch.ItemKey]bool)
	start(t, j, func(runs map[batch.ItemKey]batch.Run) {
		mu.Lock()
		defer mu.Unlock()
		for k := range runs {
			seen[k] = true
		}
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if seen[batch.ItemKey{Job: "new", Item: "c"}] {
			return poll.Success()
		}
		return poll.Continue("the new item is not to be run yet")
	}, poll.WithDelay(time.Millisecond))
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(seen), 1, "%v", seen)
}

func TestAbsenceIsReportedOnlyAtEndOfJournal(t *testing.T) {
	j := &pagedJournal{pageSize: 8}
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	_, err := replica.Results(t.Context(), access.Anyone(), "none", 0, 0)
	assert.ErrorType(t, err, &batch.UnknownJobError{})
	j.add(t, job("late", "a"))
	r, err := replica.Results(t.Context(), access.Anyone(), "late", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, r.Total, 1)
	_, err = replica.ItemBody(t.Context(), access.Anyone(), "late", "z")
	assert.ErrorType(t, err, &batch.UnknownItemError{})
}

func TestResultsReturnsWhenResultArrives(t *testing.T) {
	j := &pagedJournal{pageSize: 8}
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	j.add(t, job("j", "a"))
	startedAt := time.Now()
	timer := time.AfterFunc(100*time.Millisecond, func() {
		j.add(t, &batch.TextAdded{Job: "j", Item: "a", EventCount: 1, Done: true})
	})
	defer timer.Stop()
	r, err := replica.Results(t.Context(), access.Anyone(), "j", 0, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Results), 1)
	assert.Assert(t, time.Since(startedAt) < 3*time.Second)
}

// With many daemons most records are renewals, which must not trigger RunsChanged.
// Records without effect must: the runner may be waiting for them.
func TestRenewalsDoNotTriggerRunsChanged(t *testing.T) {
	j := &pagedJournal{pageSize: 1}
	j.add(t, &batch.DaemonAlive{Daemon: "d", StartMillis: 1}, leaseOf("u"))
	var calls atomic.Int64
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) { calls.Add(1) })
	wait := func(applied batch.Offset) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if replica.Snapshot().NextOffset >= applied {
				return poll.Success()
			}
			return poll.Continue("applied %d", replica.Snapshot().NextOffset)
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		// The snapshot is published before the callbacks; a query is answered after them.
		_, err := replica.OpenItems(t.Context())
		assert.NilError(t, err)
	}
	wait(2)
	before := calls.Load()
	j.add(t, &batch.DaemonAlive{Daemon: "d", StartMillis: 1})
	wait(3)
	assert.Equal(t, calls.Load(), before)
	assert.Equal(t, len(replica.Snapshot().Upstreams), 1)
	j.add(t, &batch.ItemFailed{Job: "none", Item: "none"})
	wait(4)
	assert.Equal(t, calls.Load(), before+1)
}

func TestReadIntervalGrowsWithNumberOfDaemons(t *testing.T) {
	replica := &JobReplica{cfg: Config{MinReadInterval: 15 * time.Millisecond, ReadsPerSecond: 800}}
	for daemons, want := range map[int64]time.Duration{0: 15, 12: 15, 80: 100, 370: 462} {
		replica.daemonCount.Store(daemons)
		assert.Equal(t, replica.readInterval().Truncate(time.Millisecond), want*time.Millisecond, "%d daemons", daemons)
	}
}

// A daemon that may not hold leases reads less often; it reads as the others from the
// moment at which it may.
func TestIdleDaemonReadsLessOften(t *testing.T) {
	roster := leases.Roster{MaxActive: 1, RenewInterval: time.Second, IdleInterval: time.Second, TTL: time.Hour}
	replica := &JobReplica{
		cfg:       Config{Daemon: "small", MinReadInterval: 15 * time.Millisecond, ReadsPerSecond: 800, Roster: roster, IdleReadInterval: 200 * time.Millisecond, Now: time.Now},
		callbacks: Callbacks{RunsChanged: func(map[batch.ItemKey]batch.Run, batch.Offset) {}}, log: zap.NewNop(), state: batch.New(), lastRenewals: make(map[api.DaemonID]time.Time),
	}
	replica.snapshot.Store(&Snapshot{})
	publish := func(at batch.Offset, r batch.Record) {
		if alive, ok := r.(*batch.DaemonAlive); ok {
			replica.lastRenewals[alive.Daemon] = time.Now()
		}
		replica.state.Apply(at, r)
		replica.publish()
	}
	publish(1, &batch.DaemonAlive{Daemon: "small", StartMillis: 1, Capacity: 192})
	assert.Equal(t, replica.readInterval(), 15*time.Millisecond)
	publish(2, &batch.DaemonAlive{Daemon: "large", StartMillis: 1, Capacity: 800})
	assert.Equal(t, replica.readInterval(), 200*time.Millisecond)
	publish(3, &batch.DaemonLeft{Daemon: "large"})
	assert.Equal(t, replica.readInterval(), 15*time.Millisecond)
}

// A restarted daemon knows a job before it has read all of its results; another one
// may have returned more of them.
func TestNoResultIsReportedOnlyAtEndOfJournal(t *testing.T) {
	j := &pagedJournal{pageSize: 1, visible: 2}
	j.add(t, job("j", "a", "b"), &batch.ItemExpired{Job: "j", Item: "a"}, &batch.ItemExpired{Job: "j", Item: "b"})
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	var stale *StaleError
	_, err := replica.Results(t.Context(), access.Anyone(), "j", 1, 0)
	assert.Assert(t, errors.As(err, &stale), "%v", err)
	j.showAll()
	r, err := replica.Results(t.Context(), access.Anyone(), "j", 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Results), 1)
}

// slowJournal delivers pages up to a size in time and fails for larger ones, as a store
// whose bandwidth many readers share. Its records have 16 KiB.
type slowJournal struct {
	pagedJournal
	maxBytes int
	failed   atomic.Int32
}

const slowRecordBytes = 16 << 10

// Read requests a page of the store's usual size, as platform/store does.
func (j *slowJournal) Read(ctx context.Context, from journal.Offset, _ time.Duration) (journal.Page, error) {
	return j.Fetch(ctx, from, maxPageBytes)
}

func (j *slowJournal) Fetch(ctx context.Context, from journal.Offset, bytes int) (journal.Page, error) {
	page, err := j.pagedJournal.Read(ctx, from, 0)
	if err != nil {
		return page, err
	}
	page.Records = page.Records[:min(len(page.Records), bytes/slowRecordBytes)]
	if len(page.Records)*slowRecordBytes > j.maxBytes {
		j.failed.Add(1)
		return journal.Page{}, &journal.AmbiguousError{Op: "read", Cause: context.DeadlineExceeded}
	}
	return page, nil
}

// A daemon that starts with all the others gets pages of half the usual size in time
// only. It must read the history all the same.
func TestHistoryIsReadInSmallerPagesAfterFailures(t *testing.T) {
	const records = 500
	j := &slowJournal{pagedJournal: pagedJournal{pageSize: records}, maxBytes: maxPageBytes / 2}
	for n := range records {
		j.add(t, &batch.JobAccepted{Job: batch.Job{ID: batch.JobID(fmt.Sprint("j", n)), Host: strings.Repeat("h", slowRecordBytes)}})
	}
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if replica.Snapshot().NextOffset == records {
			return poll.Success()
		}
		return poll.Continue("at %d, %d reads failed", replica.Snapshot().NextOffset, j.failed.Load())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, j.failed.Load() > 0, "no read was too large")
}

// Guards against results that the duty changes while their caller, who has left, reads them.
// The race detector finds it.
func TestResultsOfCallersWhoLeaveAreNotShared(t *testing.T) {
	j := &pagedJournal{pageSize: 1}
	j.add(t, &batch.DaemonAlive{Daemon: "d", StartMillis: 1}, job("j", "a"))
	replica := start(t, j, func(map[batch.ItemKey]batch.Run) {})
	for n := range 300 {
		j.add(t, &batch.TextAdded{Job: "j", Item: "a", RunStart: n, FirstEvent: n, EventCount: 1, Versions: []api.WeightVersion{1}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%7)*300*time.Microsecond)
		got, err := replica.Results(ctx, access.Anyone(), "j", 0, time.Second)
		assert.Assert(t, err != nil || got.Total == 1)
		_, _, err = replica.StreamOrigin(ctx, "s", "r")
		assert.Assert(t, err != nil)
		cancel()
	}
}
