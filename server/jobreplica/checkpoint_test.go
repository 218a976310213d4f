package jobreplica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/leases"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// keyedTopic is a keyed topic in memory.
type keyedTopic struct {
	mu     sync.Mutex
	values map[string][]byte
	end    journal.Offset
	err    error // of every call
}

func (k *keyedTopic) Newest(context.Context) ([]journal.KeyedRecord, journal.Offset, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []journal.KeyedRecord
	for key, v := range k.values {
		out = append(out, journal.KeyedRecord{Key: key, Value: v})
	}
	return out, k.end, k.err
}

func (k *keyedTopic) AppendAt(_ context.Context, end journal.Offset, records []journal.KeyedRecord) (journal.Offset, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err != nil {
		return 0, k.err
	}
	if end != k.end {
		return 0, &journal.EndError{Expected: end}
	}
	if k.values == nil {
		k.values = make(map[string][]byte)
	}
	for _, r := range records {
		k.end++
		if r.Value == nil {
			delete(k.values, r.Key)
			continue
		}
		k.values[r.Key] = append([]byte(nil), r.Value...)
	}
	return k.end, nil
}

// head returns the head of the newest checkpoint.
func (k *keyedTopic) head() (checkpoint.Head, error) {
	records, _, err := k.Newest(context.Background())
	if err != nil {
		return checkpoint.Head{}, err
	}
	return checkpoint.ReadHead(records)
}

// trimmedJournal is a journal whose first records can expire.
type trimmedJournal struct {
	mu      sync.Mutex
	first   journal.Offset
	records [][]byte // from first on
}

func (j *trimmedJournal) Append(context.Context, journal.Sequence, [][]byte) (journal.Offset, error) {
	return 0, nil
}

func (j *trimmedJournal) Read(_ context.Context, from journal.Offset, wait time.Duration) (journal.Page, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from < j.first {
		return journal.Page{}, &journal.TrimmedError{Oldest: j.first}
	}
	return journal.Page{Oldest: j.first, End: j.first + journal.Offset(len(j.records)), Records: j.records[from-j.first:]}, nil
}

func (j *trimmedJournal) Fetch(ctx context.Context, from journal.Offset, _ int) (journal.Page, error) {
	return j.Read(ctx, from, 0)
}

func (j *trimmedJournal) add(records ...batch.Record) {
	for _, r := range records {
		data, err := batchcodec.Encode(r)
		if err != nil {
			panic(err) // a bug in the test
		}
		j.mu.Lock()
		j.records = append(j.records, journal.Split(data, 1<<20)...)
		j.mu.Unlock()
	}
}

// expire deletes all records.
func (j *trimmedJournal) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.first += journal.Offset(len(j.records))
	j.records = nil
}

// daemon is a replica under test.
type daemon struct {
	*JobReplica
	mu      sync.Mutex
	runs    map[batch.ItemKey]batch.Run
	crashed int
}

func (d *daemon) runCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runs)
}

func (d *daemon) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

func startDaemon(t *testing.T, id api.DaemonID, j *trimmedJournal, k *keyedTopic, policy checkpoint.Policy) *daemon {
	t.Helper()
	d := &daemon{}
	ready := make(chan struct{})
	d.JobReplica = Start(duty.NewSystem(nil), j, k, Config{
		Daemon: id, Process: string(id) + "/1", RingSize: 64, ReadWait: 10 * time.Millisecond, ReadTimeout: time.Second, MinPageBytes: 128 << 10,
		MinReadInterval: time.Millisecond, ReadsPerSecond: 1 << 20, RetryInterval: time.Millisecond, JobRetention: time.Minute, MaxResultBytes: 1 << 20,
		Checkpoints: policy, LoadInterval: 20 * time.Millisecond, MaxRecordBytes: 200, MaxAppendBytes: 500,
		Roster: leases.Roster{MaxActive: 8, RenewInterval: time.Second, IdleInterval: time.Second, TTL: time.Minute}, Now: time.Now,
	}, Callbacks{
		RunsChanged: func(r map[batch.ItemKey]batch.Run, _ batch.Offset) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.runs = r
		},
		RewardsChanged: func([]batch.Reward) {},
		RequestCrashed: func(*batch.RequestCrashed) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.crashed++
		},
		RequestLimitNamed: func(*batch.RequestLimitNamed) {}, DemandReported: func(*batch.DemandReported) {}, UpstreamLeaving: func(*batch.UpstreamLeaving) {},
		Propose: func(r batch.Record) error {
			<-ready
			j.add(r)
			return nil
		},
	}, zap.NewNop())
	close(ready)
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
	return d
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

var often = checkpoint.Policy{Interval: time.Second, Silence: time.Hour}

func alive(d api.DaemonID) *batch.DaemonAlive {
	return &batch.DaemonAlive{Daemon: d, StartMillis: 1, RecordLevel: batch.RecordLevel, ImageLevel: batch.ImageLevel}
}

// Guards against a daemon that starts after records expired and takes all leases for
// itself: it knows the leases, the jobs and the crashes from the checkpoint.
func TestDaemonStartsFromCheckpoint(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	first := startDaemon(t, "d", j, k, often)
	j.add(alive("d"), leaseOf("u"), job("j", "a", "b"), &batch.RequestCrashed{ContentHash: 7, UpstreamsLost: 2}, &batch.DaemonLeft{Daemon: "gone"})
	waitFor(t, "a checkpoint", func() bool { h, err := k.head(); return err == nil && h.Next == 5 })
	j.expire()
	j.add(&batch.TextAdded{Job: "j", Item: "a", EventCount: 1, Versions: []api.WeightVersion{1}, Done: true})
	second := startDaemon(t, "e", j, k, often)
	waitFor(t, "the state", func() bool { return second.Snapshot().NextOffset == 6 })
	s := second.Snapshot()
	assert.Assert(t, !s.Partial && s.FollowedSince.IsZero())
	assert.Equal(t, len(s.Upstreams), 1)
	assert.Equal(t, s.Upstreams[0].Holder, api.DaemonID("d"))
	assert.Equal(t, s.Upstreams[0].LeaseOffset, batch.Offset(2))
	assert.Equal(t, second.crashCount(), 1)
	a, err := first.Results(t.Context(), access.Anyone(), "j", 0, 0)
	assert.NilError(t, err)
	b, err := second.Results(t.Context(), access.Anyone(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, a, b)
	assert.Equal(t, len(b.Results), 1)
}

// A daemon that knows no state says so: it holds no leases, runs nothing, and answers no
// question with "no".
func TestPartialStateAnswersNothing(t *testing.T) {
	for name, spoil := range map[string]func(*keyedTopic){
		"no checkpoint":         func(k *keyedTopic) { k.values = nil },
		"half of a checkpoint":  func(k *keyedTopic) { delete(k.values, "a/0"); delete(k.values, "b/0") },
		"of a later build":      func(k *keyedTopic) { spoilLevel(k) },
		"later records expired": func(*keyedTopic) {},
	} {
		t.Run(name, func(t *testing.T) {
			j, k := &trimmedJournal{}, &keyedTopic{}
			startDaemon(t, "d", j, k, often)
			j.add(alive("d"), leaseOf("u"), job("j", "a"))
			waitFor(t, "a checkpoint", func() bool { h, err := k.head(); return err == nil && h.Next == 3 })
			if name == "later records expired" {
				k.mu.Lock()
				k.err = &journal.RefusedError{Op: "append", Cause: &journal.EndError{}} // no more checkpoints
				k.mu.Unlock()
				j.add(&batch.DaemonLeft{Daemon: "d"})
			}
			j.expire()
			k.mu.Lock()
			k.err = nil
			spoil(k)
			values := k.values
			k.mu.Unlock()
			j.add(leaseOf("w"))
			spoilt := &keyedTopic{values: values, end: 100}
			d := startDaemon(t, "e", j, spoilt, checkpoint.Policy{Silence: time.Hour})
			waitFor(t, "the end of the journal", func() bool { return d.Snapshot().Partial && !d.LastFullRead().IsZero() && d.LastFullRead().Unix() > 0 })
			assert.Equal(t, len(d.Snapshot().Upstreams), 0)
			assert.Equal(t, d.runCount(), 0)
			var partial *PartialError
			_, err := d.Results(t.Context(), access.Anyone(), "j", 0, 0)
			assert.Assert(t, errors.As(err, &partial), "%v", err)
			assert.Assert(t, errors.As(d.CheckJob(t.Context(), access.Anyone(), "j"), &partial))
			_, _, err = d.StreamOrigin(t.Context(), "s", "r")
			assert.Assert(t, errors.As(err, &partial))
		})
	}
}

// spoilLevel makes the checkpoint one of a level that this build doesn't read.
func spoilLevel(k *keyedTopic) {
	h := checkpoint.Head{Next: 3}
	records, _, err := checkpoint.Split(nil, h.Next, []byte{batch.ImageLevel + 1, 0}, 200)
	if err != nil {
		panic(err) // a bug in the test
	}
	k.values = make(map[string][]byte)
	for _, r := range records {
		k.values[r.Key] = r.Value
	}
}

// A daemon that falls behind the journal's oldest record, as after a long freeze, takes
// over the state of the others instead of going on with a gap.
func TestDaemonBehindTheJournalTakesOverTheState(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	slow := &blockedJournal{trimmedJournal: j}
	d := &daemon{}
	cfg := Config{
		Daemon: "e", RingSize: 64, ReadWait: 10 * time.Millisecond, ReadTimeout: time.Second, MinPageBytes: 128 << 10, MinReadInterval: time.Millisecond,
		ReadsPerSecond: 1 << 20, RetryInterval: time.Millisecond, JobRetention: time.Minute, MaxResultBytes: 1 << 20, LoadInterval: 20 * time.Millisecond,
		MaxRecordBytes: 200, MaxAppendBytes: 500, Now: time.Now,
	}
	d.JobReplica = Start(duty.NewSystem(nil), slow, k, cfg, Callbacks{
		RunsChanged: func(r map[batch.ItemKey]batch.Run, _ batch.Offset) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.runs = r
		},
		RewardsChanged: func([]batch.Reward) {},
	}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
	j.add(alive("e"), &batch.LeaseAcquired{Upstream: "v", Service: "s", Daemon: "e", Slots: 4, Versions: map[api.ModelName]api.WeightVersion{"m": 1}}, job("j", "a"))
	waitFor(t, "a run", func() bool { return d.runCount() == 1 })
	slow.block(true)
	startDaemon(t, "d", j, k, often)
	j.add(alive("d"), &batch.DaemonLeft{Daemon: "e"}, leaseOf("u"))
	waitFor(t, "a checkpoint", func() bool { h, err := k.head(); return err == nil && h.Next == 6 })
	j.expire()
	j.add(&batch.JobEnded{ID: "j"})
	slow.block(false)
	waitFor(t, "the state", func() bool { return d.Snapshot().NextOffset == 7 && !d.Snapshot().Partial })
	assert.Equal(t, len(d.Snapshot().Upstreams), 2)
	assert.Equal(t, d.runCount(), 0)
}

// blockedJournal fails all reads while it is blocked.
type blockedJournal struct {
	*trimmedJournal
	lock    sync.Mutex
	blocked bool
}

func (b *blockedJournal) block(on bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.blocked = on
}

func (b *blockedJournal) Read(ctx context.Context, from journal.Offset, wait time.Duration) (journal.Page, error) {
	b.lock.Lock()
	blocked := b.blocked
	b.lock.Unlock()
	if blocked {
		return journal.Page{}, &journal.RefusedError{Op: "read", Cause: &journal.EndError{}}
	}
	return b.trimmedJournal.Read(ctx, from, wait)
}

func (b *blockedJournal) Fetch(ctx context.Context, from journal.Offset, _ int) (journal.Page, error) {
	return b.Read(ctx, from, 0)
}

// After all states were lost, as after a stop of all daemons for longer than the journal
// keeps its records, the daemons agree on a new one.
func TestDaemonsAgreeOnANewState(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	j.add(alive("old"))
	j.expire()
	j.add(job("j", "a", "b"), &batch.TextAdded{Job: "j", Item: "a", EventCount: 1, Versions: []api.WeightVersion{1}, Done: true})
	policy := checkpoint.Policy{Silence: 200 * time.Millisecond}
	var daemons []*daemon
	for n := range 3 {
		daemons = append(daemons, startDaemon(t, api.DaemonID(fmt.Sprint("d", n)), j, k, policy))
	}
	for _, d := range daemons {
		waitFor(t, "a state", func() bool { s := d.Snapshot(); return s.NextOffset > 0 && !s.Partial })
	}
	j.add(alive("d1"), leaseOf("u"))
	for _, d := range daemons {
		waitFor(t, "the lease", func() bool { return len(d.Snapshot().Upstreams) == 1 && !d.Snapshot().Partial })
		r, err := d.Results(t.Context(), access.Anyone(), "j", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Results), 1)
	}
}

// While a daemon that may have a state is alive, others wait for its checkpoint.
func TestNoNewStateBesideALiveDaemon(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	j.add(alive("old"))
	j.expire()
	d := startDaemon(t, "d", j, k, checkpoint.Policy{Silence: 1500 * time.Millisecond})
	for range 25 {
		j.add(alive("old"))
		duty.Sleep(t.Context(), 100*time.Millisecond)
	}
	assert.Assert(t, d.Snapshot().Partial)
	assert.Equal(t, d.lastReset.Load(), uint64(0))
}

// Guards against a daemon of an earlier build that goes on beside others though it skipped a
// record that changed their states. It takes the state from their next checkpoint. Kinds
// that never change states are skipped.
func TestRecordOfALaterBuildEndsTheState(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	d := startDaemon(t, "e", j, k, checkpoint.Policy{Silence: time.Hour})
	j.add(alive("e"), leaseOf("u"))
	j.addRaw(200)
	j.add(alive("e"))
	waitFor(t, "the skipped record", func() bool { return d.Snapshot().NextOffset == 4 && len(d.Snapshot().Upstreams) == 1 })
	j.addRaw(127)
	waitFor(t, "a partial state", func() bool { return d.Snapshot().Partial })
	s := batch.New()
	s.Apply(2, leaseOf("u"))
	s.Apply(5, leaseOf("w"))
	for _, next := range []journal.Offset{4, 5} {
		c := replay.Checkpoint{Next: next, Image: s.Image()}
		data, err := c.Encode()
		assert.NilError(t, err)
		records, _, err := checkpoint.Split(nil, next, data, 1000)
		assert.NilError(t, err)
		_, end, err := k.Newest(t.Context())
		assert.NilError(t, err)
		_, err = k.AppendAt(t.Context(), end, records)
		assert.NilError(t, err)
		if next == 4 {
			duty.Sleep(t.Context(), 200*time.Millisecond)
			assert.Assert(t, d.Snapshot().Partial, "this checkpoint is from before the record")
		}
	}
	waitFor(t, "the state", func() bool { return !d.Snapshot().Partial && len(d.Snapshot().Upstreams) == 2 })
}

// addRaw adds a record of a kind.
func (j *trimmedJournal) addRaw(kind byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, journal.Split([]byte{kind, 0x80}, 1<<20)...)
}

// Guards against a reset that is appended late, when a daemon has a state again.
func TestLateResetHasNoEffect(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	d := startDaemon(t, "e", j, k, checkpoint.Policy{Silence: time.Hour})
	j.add(alive("e"), leaseOf("u"), &batch.StateReset{Process: "late/1", After: 0}, alive("e"))
	waitFor(t, "the record", func() bool { return d.Snapshot().NextOffset == 4 })
	assert.Assert(t, !d.Snapshot().Partial)
	j.add(&batch.StateReset{Process: "f/1", After: 4})
	waitFor(t, "the reset", func() bool { return d.Snapshot().Partial })
}

// A daemon that can't read the checkpoints reads the journal from its first record.
func TestJournalIsReadWithoutCheckpoints(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{err: &journal.RefusedError{Op: "newest", Cause: &journal.EndError{}}}
	d := startDaemon(t, "e", j, k, often)
	j.add(alive("e"), leaseOf("u"))
	waitFor(t, "the lease", func() bool { return len(d.Snapshot().Upstreams) == 1 && !d.Snapshot().Partial })
}

// Nobody can renew while the journal can't be read, so that this time doesn't count as
// silence of those who may have a state.
func TestOutageIsNoSilence(t *testing.T) {
	j, k := &trimmedJournal{}, &keyedTopic{}
	j.add(alive("old"))
	j.expire()
	blocked := &blockedJournal{trimmedJournal: j}
	policy := checkpoint.Policy{Silence: 2 * time.Second}
	d := &daemon{}
	d.JobReplica = Start(duty.NewSystem(nil), blocked, k, Config{
		Daemon: "e", Process: "e/1", RingSize: 64, ReadWait: 10 * time.Millisecond, ReadTimeout: time.Second, MinPageBytes: 128 << 10, MinReadInterval: time.Millisecond,
		ReadsPerSecond: 1 << 20, RetryInterval: time.Millisecond, JobRetention: time.Minute, MaxResultBytes: 1 << 20, LoadInterval: 20 * time.Millisecond,
		MaxRecordBytes: 200, MaxAppendBytes: 500, Checkpoints: policy, Now: time.Now,
	}, Callbacks{
		RunsChanged: func(map[batch.ItemKey]batch.Run, batch.Offset) {},
		Propose:     func(r batch.Record) error { j.add(r); return nil },
	}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
	waitFor(t, "a partial state", func() bool { return d.Snapshot().Partial })
	blocked.block(true)
	duty.Sleep(t.Context(), 2500*time.Millisecond)
	blocked.block(false)
	duty.Sleep(t.Context(), 1200*time.Millisecond)
	assert.Equal(t, d.lastReset.Load(), uint64(0))
	waitFor(t, "a reset", func() bool { return d.lastReset.Load() > 0 })
}
