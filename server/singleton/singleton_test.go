package singleton

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/boottime"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/leases"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const metering decision.Duty = "metering"

// memoryTopic is a keyed topic in memory.
type memoryTopic struct {
	mu      sync.Mutex
	values  map[string][]byte
	end     journal.Offset
	calls   int
	refuses bool
	// onAppend is called before an append; may be nil.
	onAppend func(value []byte)
}

func (m *memoryTopic) Newest(context.Context) ([]journal.KeyedRecord, journal.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.refuses {
		return nil, 0, &journal.RefusedError{Op: "newest", Cause: context.Canceled}
	}
	var out []journal.KeyedRecord
	for k, v := range m.values {
		out = append(out, journal.KeyedRecord{Key: k, Value: v})
	}
	return out, m.end, nil
}

func (m *memoryTopic) AppendAt(_ context.Context, end journal.Offset, records []journal.KeyedRecord) (journal.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.onAppend != nil {
		m.onAppend(records[0].Value)
	}
	switch {
	case m.refuses:
		return 0, &journal.RefusedError{Op: "append", Cause: context.Canceled}
	case end != m.end:
		return 0, &journal.EndError{Expected: end}
	}
	for _, r := range records {
		m.values[r.Key] = r.Value
		m.end++
	}
	return m.end, nil
}

func (m *memoryTopic) setRefuses(refuses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuses = refuses
}

func (m *memoryTopic) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// fakePlatform records the fences of calls and returns an outcome.
type fakePlatform struct {
	mu     sync.Mutex
	fences []uint64
	err    error
	// deadline is that of the last call.
	deadline time.Time
}

func (p *fakePlatform) ReportUsage(ctx context.Context, t decision.Term, _ usage.Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fences = append(p.fences, t.Fence)
	p.deadline, _ = ctx.Deadline()
	return p.err
}

func (p *fakePlatform) Order(context.Context, decision.Term, decision.UpstreamOrder) error {
	return nil
}

// start starts a daemon of several that are all live.
func start(t *testing.T, topic *memoryTopic, all []api.DaemonID, self api.DaemonID) *Keepers {
	t.Helper()
	snapshot := &jobreplica.Snapshot{LastRenewals: make(map[api.DaemonID]time.Time)}
	for _, id := range all {
		snapshot.LastRenewals[id] = time.Now().Add(time.Hour)
	}
	return startWith(t, topic, snapshot, 0, self)
}

// startWith starts a daemon with what the journal says, and the level that candidates have.
func startWith(t *testing.T, topic *memoryTopic, snapshot *jobreplica.Snapshot, level int, self api.DaemonID) *Keepers {
	t.Helper()
	sys := duty.NewSystem(nil)
	s := Start(sys, Config{
		Keeper: decision.Config{
			Self: self, Process: string(self) + "/1", Lease: 600 * time.Millisecond, FencesChecked: true, LateCalls: time.Second,
			RankDelay: 50 * time.Millisecond, RetryInterval: 20 * time.Millisecond, FailureLimit: 3, Absence: time.Minute, MaxAbsence: time.Minute,
		},
		Duties: []decision.Duty{metering}, Candidates: 2, Tick: 10 * time.Millisecond, IdleTick: 20 * time.Millisecond,
		CallTimeout: time.Second, LeaveTimeout: time.Second, RankInterval: 10 * time.Millisecond, MinImageLevel: level,
		Roster: leases.Roster{MaxActive: 10, TTL: time.Minute}, MaxReadAge: time.Minute, Now: time.Now, Boot: boottime.Now,
	}, Deps{
		Topic:        func(decision.Duty) journal.Keyed { return topic },
		Snapshot:     func() *jobreplica.Snapshot { return snapshot },
		LastFullRead: time.Now, Wanted: func(decision.Duty) bool { return true }, Time: func() (time.Time, bool) { return time.Now(), true }, OnStamp: func(time.Time, time.Duration, time.Duration) {},
		Plausible: func(time.Time) bool { return true },
	}, zap.NewNop())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, s.Stop(ctx))
	})
	return s
}

// await waits until one of the daemons holds the duty under a fence above another.
func await(t *testing.T, above uint64, daemons ...*Keepers) (*Keepers, decision.Term) {
	t.Helper()
	var holder *Keepers
	var term decision.Term
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range daemons {
			if now, ok := d.Current(metering); ok && now.Fence > above {
				holder, term = d, now
				return poll.Success()
			}
		}
		return poll.Continue("no holder")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	return holder, term
}

func TestTakeoverAndCalls(t *testing.T) {
	topic := &memoryTopic{values: make(map[string][]byte)}
	ids := []api.DaemonID{"a", "b"}
	a, b := start(t, topic, ids, "a"), start(t, topic, ids, "b")
	holder, term := await(t, 0, a, b)
	other := a
	if holder == a {
		other = b
	}
	platform := &fakePlatform{}
	assert.NilError(t, holder.Calls(platform).ReportUsage(t.Context(), term, usage.Report{}))
	assert.Assert(t, !platform.deadline.IsZero() && time.Until(platform.deadline) < 600*time.Millisecond, "a call must end with its term, within a lease")
	err := other.Calls(platform).ReportUsage(t.Context(), term, usage.Report{})
	var ended *TermEndedError
	assert.Assert(t, errors.As(err, &ended), "%v", err)

	// The holder is stopped, and the other takes over.
	holder.Leave(t.Context())
	_, ok := holder.Current(metering)
	assert.Assert(t, !ok)
	_, next := await(t, term.Fence, other)

	// The platform refuses the fence: the term is given up at once, and a higher one acquired.
	platform.err = &decision.CallError{Outcome: decision.OutcomeFenced, Cause: context.Canceled}
	assert.Assert(t, other.Calls(platform).ReportUsage(t.Context(), next, usage.Report{}) != nil)
	now, ok := other.Current(metering)
	assert.Assert(t, !ok || now.Fence > next.Fence)
	_, third := await(t, next.Fence, other)
	assert.DeepEqual(t, platform.fences, []uint64{term.Fence, next.Fence})

	// The store refuses all calls: the term runs out, and goes on when the store is back.
	topic.setRefuses(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := other.Current(metering); ok {
			return poll.Continue("still held")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	topic.setRefuses(false)
	_, again := await(t, third.Fence-1, other)
	assert.Equal(t, again.Fence, third.Fence)
}

// Daemons that are no candidates call nothing.
func TestOnlyCandidatesReadTheRecord(t *testing.T) {
	topic := &memoryTopic{values: make(map[string][]byte)}
	var ids []api.DaemonID
	for i := range 5 {
		ids = append(ids, api.DaemonID(fmt.Sprint("d", i)))
	}
	live := make(map[api.DaemonID]int)
	for _, id := range ids {
		live[id] = 0
	}
	candidates := decision.Candidates(metering, live, 2)
	other := ids[0]
	for _, id := range ids {
		if id != candidates[0] && id != candidates[1] {
			other = id
		}
	}
	idle := start(t, topic, ids, other)
	first := start(t, topic, ids, candidates[0])
	await(t, 0, first)
	_, ok := idle.Current(metering)
	assert.Assert(t, !ok)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, first.Stop(ctx))
	before := topic.callCount()
	duty.Sleep(ctx, 300*time.Millisecond) // half a lease: ten ticks of the daemon that is no candidate
	assert.Equal(t, topic.callCount(), before)
}

// Daemons of a build that doesn't know duties are no candidates, whatever their capacity.
func TestEarlierBuildsAreNoCandidates(t *testing.T) {
	live := time.Now().Add(time.Hour)
	snapshot := &jobreplica.Snapshot{
		LastRenewals: map[api.DaemonID]time.Time{"old1": live, "old2": live, "new": live},
		Capacity:     map[api.DaemonID]int{"old1": 4000, "old2": 4000, "new": 100},
		Daemons:      map[api.DaemonID]batch.Daemon{"old1": {ImageLevel: 1}, "old2": {}, "new": {ImageLevel: 2}},
	}
	topic := &memoryTopic{values: make(map[string][]byte)}
	await(t, 0, startWith(t, topic, snapshot, 2, "new"))
}

// No call can be made once the release of a term is sent: it may take effect at any time.
func TestTermEndsBeforeItsReleaseIsSent(t *testing.T) {
	topic := &memoryTopic{values: make(map[string][]byte)}
	holder := start(t, topic, []api.DaemonID{"a"}, "a")
	await(t, 0, holder)
	var releases, held atomic.Int32
	topic.mu.Lock()
	topic.onAppend = func(value []byte) {
		record, _, err := decodeRecord(value)
		if err != nil || !record.Released {
			return
		}
		releases.Add(1)
		if _, ok := holder.Current(metering); ok {
			held.Add(1)
		}
	}
	topic.mu.Unlock()
	holder.Leave(t.Context())
	assert.Equal(t, releases.Load(), int32(1))
	assert.Equal(t, held.Load(), int32(0))
}
