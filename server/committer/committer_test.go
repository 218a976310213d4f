package committer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeJournal stores records, each sequence number once, and injects faults.
type fakeJournal struct {
	mu         sync.Mutex
	records    []string
	offsets    map[uint64]int // offset of the first record of each sequence number
	lastNumber uint64
	fault      func(number uint64, try int) (refuse, lose bool) // lose drops the response
	calls      map[uint64]int                                   // of each sequence number
}

func (f *fakeJournal) Append(_ context.Context, seq journal.Sequence, records [][]byte) (journal.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[seq.Number]++
	refuse, lose := f.fault(seq.Number, f.calls[seq.Number])
	if refuse {
		return 0, &journal.RefusedError{Op: "append"}
	}
	at, done := f.offsets[seq.Number]
	if !done {
		if seq.Number != f.lastNumber+1 {
			return 0, &journal.RefusedError{Op: "append out of sequence"}
		}
		at, f.lastNumber = len(f.records), seq.Number
		f.offsets[seq.Number] = at
		for _, r := range records {
			f.records = append(f.records, string(r[1:]))
		}
	}
	if lose {
		return 0, &journal.AmbiguousError{Op: "append"}
	}
	return journal.Offset(at), nil
}

func (f *fakeJournal) Read(context.Context, journal.Offset, time.Duration) (journal.Page, error) {
	return journal.Page{}, nil
}

func (f *fakeJournal) content() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.records...)
}

func setup(t *testing.T, fault func(number uint64, try int) (refuse, lose bool)) (*fakeJournal, *Committer) {
	t.Helper()
	f := &fakeJournal{offsets: make(map[uint64]int), calls: make(map[uint64]int), fault: fault}
	c := Start(duty.NewSystem(nil), f, Config{
		Producer: "p", RingSize: 64, MaxRecordBytes: 1 << 10, MaxAppendBytes: 1 << 12, CallTimeout: time.Second,
		RetryInterval: 5 * time.Millisecond, FailFastAfter: 40 * time.Millisecond, Now: time.Now,
	}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, c.Stop(context.Background())) })
	return f, c
}

func TestAppendRepeatedAfterLostResponseHasOneEffect(t *testing.T) {
	f, c := setup(t, func(_ uint64, try int) (bool, bool) { return false, try < 4 })
	at, err := c.Commit(t.Context(), []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, at, RecordRange{FirstOffset: 0, Parts: 1})
	assert.DeepEqual(t, f.content(), []string{"a"})
}

// After a lost response, a refusal of the repeated call does not mean that the
// first call had no effect.
func TestRefusalAfterLostResponseIsNotFinal(t *testing.T) {
	f, c := setup(t, func(_ uint64, try int) (bool, bool) { return try == 2, try == 1 })
	_, err := c.Commit(t.Context(), []byte("a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.content(), []string{"a"})
}

func TestRefusedRecordIsNotAppendedLater(t *testing.T) {
	refusing := true
	f, c := setup(t, func(uint64, int) (bool, bool) { return refusing, false })
	_, err := c.Commit(t.Context(), []byte("a"))
	var refused *journal.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	f.mu.Lock()
	refusing = false
	f.mu.Unlock()
	_, err = c.Commit(t.Context(), []byte("b"))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.content(), []string{"b"})
}

// When a caller's context ends before its record is sent, the record is refused
// and never sent.
func TestWithdrawnRecordIsNeverSent(t *testing.T) {
	loseResponses := true
	f, c := setup(t, func(uint64, int) (bool, bool) { return false, loseResponses })
	assert.NilError(t, c.Post([]byte("first"), 0)) // occupies the appender
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Commit(ctx, []byte("withdrawn"))
	var refused *journal.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	f.mu.Lock()
	loseResponses = false
	f.mu.Unlock()
	_, err = c.CommitWithRetry(t.Context(), []byte("last"))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.content(), []string{"first", "last"})
}

func TestPostedRecordsSurviveJournalOutage(t *testing.T) {
	refusing := true
	f, c := setup(t, func(uint64, int) (bool, bool) { return refusing, false })
	assert.NilError(t, c.Post([]byte("kept"), 0))
	assert.NilError(t, c.Post([]byte("dropped"), 10*time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Failing() {
			return poll.Success()
		}
		return poll.Continue("journal is not reported as failing yet")
	}, poll.WithDelay(time.Millisecond))
	startedAt := time.Now()
	_, err := c.Commit(t.Context(), []byte("rejected"))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(startedAt) < 20*time.Millisecond, "rejected at once while the journal is failing")
	f.mu.Lock()
	refusing = false
	f.mu.Unlock()
	_, err = c.CommitWithRetry(t.Context(), []byte("end"))
	assert.NilError(t, err)
	assert.DeepEqual(t, f.content(), []string{"kept", "end"})
}

func TestRecordAboveAppendLimitIsRejected(t *testing.T) {
	_, c := setup(t, func(uint64, int) (bool, bool) { return false, false })
	_, err := c.Commit(t.Context(), make([]byte, 1<<13))
	var large *TooLargeError
	assert.Assert(t, errors.As(err, &large))
}

// CommitAll must post a single message: a step of 4,096 samples has as many bodies,
// and the ring holds fewer messages.
func TestCommitAllUsesOneMessage(t *testing.T) {
	f, c := setup(t, func(uint64, int) (bool, bool) { return false, false })
	records := make([][]byte, 5000)
	for i := range records {
		records[i] = []byte(fmt.Sprint(i))
	}
	ranges, err := c.CommitAll(t.Context(), records)
	assert.NilError(t, err)
	assert.Equal(t, len(ranges), len(records))
	content := f.content()
	for i, p := range ranges {
		assert.Equal(t, content[p.FirstOffset], string(records[i]))
	}
}

// Guards against a daemon that refuses all batch jobs for good after an outage in which one
// was refused: nothing else may be written to that journal.
func TestCommitProbesAJournalThatFailed(t *testing.T) {
	var out atomic.Bool
	out.Store(true)
	f, c := setup(t, func(uint64, int) (bool, bool) { return out.Load(), false })
	_, err := c.Commit(t.Context(), []byte("a"))
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Failing() {
			return poll.Success()
		}
		return poll.Continue("not failing yet")
	})
	for range 20 {
		_, err := c.Commit(t.Context(), []byte("b"))
		assert.Assert(t, err != nil)
	}
	f.mu.Lock()
	calls := 0
	for _, n := range f.calls {
		calls += n
	}
	f.mu.Unlock()
	assert.Assert(t, calls <= 3, "%d calls: records are not refused at once", calls)
	out.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Commit(t.Context(), []byte("c")); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Assert(t, !c.Failing())
}
