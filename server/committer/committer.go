// Package committer appends records to a journal in order, each exactly once. One
// duty queues the records that arrive during an append; another makes the append
// call and repeats it with the same sequence number until the result is known.
package committer

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/ring"
	"go.uber.org/zap"
)

var (
	appendsSucceeded = expvar.NewInt("journal_appends")
	appendsFailed    = expvar.NewInt("journal_appends_failed")
	recordsAppended  = expvar.NewInt("journal_records")
)

// Config configures a Committer.
type Config struct {
	Name           string        // of the journal, in logs and in the names of the duties
	Producer       string        // unique to this start of the process
	RingSize       int           // messages in the ring of the duty that queues records
	MaxRecordBytes int           // larger records are split into parts
	MaxAppendBytes int           // of all parts in one append, with framing
	CallTimeout    time.Duration // of one append call
	RetryInterval  time.Duration // between two calls
	// FailFastAfter is how long the journal may fail before Commit and CommitAll
	// reject records at once.
	FailFastAfter time.Duration
	Now           func() time.Time
}

// StoppedError reports a record that was still in the ring at Stop.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "stopping" }

// TooLargeError reports a record that exceeds Config.MaxAppendBytes.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string { return "record exceeds the size limit of an append" }

// entry is a record that is queued or being appended.
type entry struct {
	ctx   context.Context // the waiting caller's; nil if no caller waits
	parts [][]byte
	size  int
	done  *ring.Slot[outcome]
	// claimed is set before the entry's first call or when its caller withdraws it,
	// whichever is first.
	claimed atomic.Bool
	sendBy  time.Time // dropped if its append has not started by then; zero: never dropped
	// retryRefused entries are repeated while the journal refuses them, as are those
	// without a waiting caller.
	retryRefused bool
	// onAppended is called after the append, on the duty that queues records; may be nil.
	onAppended func(RecordRange)
}

// RecordRange is the range of offsets of a record's parts.
type RecordRange struct {
	FirstOffset journal.Offset
	Parts       int
}

// LastOffset returns the offset of the last part.
func (r RecordRange) LastOffset() journal.Offset { return r.FirstOffset + journal.Offset(r.Parts) - 1 }

type outcome struct {
	records RecordRange
	err     error
}

// Committer is the handle of the duties.
type Committer struct {
	cfg          Config
	log          *zap.Logger
	journal      journal.Journal
	queue        *duty.Duty[any]
	appender     *duty.Duty[*appendCall]
	pending      []*entry
	appending    bool
	lastRefused  bool         // the journal refused the last append
	lastNumber   uint64       // of the last append not refused
	failingSince atomic.Int64 // Unix nanoseconds; 0: the last call succeeded
	lastCall     atomic.Int64 // end of the last call, or when a record was let through; Unix nanoseconds
	calling      atomic.Bool  // a call is in progress
}

// appendCall is one append with its sequence number.
type appendCall struct {
	seq         journal.Sequence
	entries     []*entry
	delay       time.Duration // before the first call
	firstOffset journal.Offset
	err         error
}

// Start starts the duties.
func Start(sys *duty.System, j journal.Journal, cfg Config, log *zap.Logger) *Committer {
	c := &Committer{cfg: cfg, log: log.With(zap.String("topic", cfg.Name)), journal: j}
	c.queue = duty.Start(sys, duty.Config{Name: "committer-" + cfg.Name, RingSize: cfg.RingSize}, duty.Handler[any](c))
	c.appender = duty.Start(sys, duty.Config{Name: "append-" + cfg.Name, RingSize: 1}, duty.Handler[*appendCall]((*appendHandler)(c)))
	return c
}

// Failing reports whether the journal has failed for longer than FailFastAfter.
func (c *Committer) Failing() bool {
	since := c.failingSince.Load()
	return since != 0 && c.cfg.Now().UnixNano()-since > int64(c.cfg.FailFastAfter)
}

// rejectsAtOnce reports whether a record is rejected because the journal is failing. If no
// call was made for FailFastAfter, one record is let through: only a call shows that the
// journal is available again.
func (c *Committer) rejectsAtOnce() bool {
	if !c.Failing() {
		return false
	}
	now, last := c.cfg.Now().UnixNano(), c.lastCall.Load()
	return c.calling.Load() || now-last < int64(c.cfg.FailFastAfter) || !c.lastCall.CompareAndSwap(last, now)
}

// Commit appends a record, waits for the result and returns the record's offsets.
// Errors: *journal.RefusedError when the record is not in the journal and never
// will be, *journal.AmbiguousError when it may be, *TooLargeError.
func (c *Committer) Commit(ctx context.Context, record []byte) (RecordRange, error) {
	ranges, err := c.CommitAll(ctx, [][]byte{record})
	if err != nil {
		return RecordRange{}, err
	}
	return ranges[0], nil
}

// CommitWithRetry is Commit with retries while the journal refuses the record.
// Errors: those of Commit, but *journal.RefusedError only if the ring is full, at the
// end of ctx or at Stop.
func (c *Committer) CommitWithRetry(ctx context.Context, record []byte) (RecordRange, error) {
	e, err := c.newEntry(record)
	if err != nil {
		return RecordRange{}, err
	}
	e.retryRefused = true
	if err := c.post(ctx, e); err != nil {
		return RecordRange{}, err
	}
	return c.awaitOutcome(ctx, e)
}

// CommitAll appends records and waits for all results. On an error some records may
// be in the journal. Errors: those of Commit, of the first record that failed.
func (c *Committer) CommitAll(ctx context.Context, records [][]byte) ([]RecordRange, error) {
	entries := make([]*entry, len(records))
	for i, r := range records {
		e, err := c.newEntry(r)
		if err != nil {
			return nil, err
		}
		entries[i] = e
	}
	if c.rejectsAtOnce() {
		return nil, &journal.RefusedError{Op: "append", Cause: &failingError{}}
	}
	if err := c.post(ctx, entries...); err != nil {
		return nil, err
	}
	ranges := make([]RecordRange, len(entries))
	for i, e := range entries {
		var err error
		if ranges[i], err = c.awaitOutcome(ctx, e); err != nil {
			return nil, err
		}
	}
	return ranges, nil
}

// post queues entries in one message, so that a large job takes no more space in the
// ring than a small one. Errors: *journal.RefusedError.
func (c *Committer) post(ctx context.Context, entries ...*entry) error {
	for _, e := range entries {
		e.ctx, e.done = ctx, ring.NewSlot[outcome]()
	}
	if err := c.queue.Post(entries); err != nil {
		return &journal.RefusedError{Op: "append", Cause: err}
	}
	return nil
}

// awaitOutcome waits for an entry's result. When ctx ends, it withdraws an entry
// whose append has not started.
func (c *Committer) awaitOutcome(ctx context.Context, e *entry) (RecordRange, error) {
	o, err := e.done.Wait(ctx)
	if err != nil && e.claimed.CompareAndSwap(false, true) {
		return RecordRange{}, &journal.RefusedError{Op: "append", Cause: err}
	}
	if err != nil {
		return RecordRange{}, &journal.AmbiguousError{Op: "append", Cause: err}
	}
	return o.records, o.err
}

// failingError is the cause of rejecting a record while the journal is failing.
type failingError struct{}

// Error implements error.
func (*failingError) Error() string { return "the journal is failing" }

// PostWithCallback appends a record without waiting, with retries while the journal
// refuses it. onAppended is called on the duty that queues records. Errors: those of
// Post.
func (c *Committer) PostWithCallback(record []byte, onAppended func(RecordRange)) error {
	e, err := c.newEntry(record)
	if err != nil {
		return err
	}
	e.onAppended = onAppended
	return c.queue.Post(e)
}

// Post appends a record without waiting, with retries while the journal refuses it.
// If within is above zero, the record is dropped unless its append starts within
// that time. Errors: *duty.FullError, *ring.ClosedError, *TooLargeError.
func (c *Committer) Post(record []byte, within time.Duration) error {
	e, err := c.newEntry(record)
	if err != nil {
		return err
	}
	if within > 0 {
		e.sendBy = c.cfg.Now().Add(within)
	}
	return c.queue.Post(e)
}

func (c *Committer) newEntry(record []byte) (*entry, error) {
	const framingBytes = 4 // length prefix of each part
	e := &entry{parts: journal.Split(record, c.cfg.MaxRecordBytes)}
	for _, p := range e.parts {
		e.size += len(p) + framingBytes
	}
	if e.size > c.cfg.MaxAppendBytes {
		return nil, &TooLargeError{Bytes: e.size}
	}
	return e, nil
}

// Handle implements duty.Handler.
func (c *Committer) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *entry:
		c.pending = append(c.pending, m)
	case []*entry:
		c.pending = append(c.pending, m...)
	case *appendCall:
		c.finishAppend(m)
	}
	c.startAppend(ctx)
}

// startAppend starts the next append unless one is in progress.
func (c *Committer) startAppend(ctx context.Context) {
	if c.appending {
		return
	}
	entries := c.takeBatch()
	if len(entries) == 0 {
		return
	}
	c.lastNumber++
	c.appending = true
	ac := &appendCall{seq: journal.Sequence{Producer: c.cfg.Producer, Number: c.lastNumber}, entries: entries}
	if c.lastRefused {
		ac.delay = c.cfg.RetryInterval
	}
	if err := c.appender.PostWait(ctx, ac); err != nil {
		ac.err = &journal.RefusedError{Op: "append", Cause: err}
		c.finishAppend(ac)
	}
}

// takeBatch removes pending entries that fit into one append, and drops those
// withdrawn or past their sendBy.
func (c *Committer) takeBatch() []*entry {
	var out []*entry
	size, n := 0, 0
	for ; n < len(c.pending); n++ {
		e := c.pending[n]
		if size+e.size > c.cfg.MaxAppendBytes {
			break
		}
		if !e.sendBy.IsZero() && c.cfg.Now().After(e.sendBy) {
			continue
		}
		if e.ctx != nil && !e.claimed.CompareAndSwap(false, true) {
			continue // withdrawn
		}
		size += e.size
		out = append(out, e)
	}
	c.pending = append(c.pending[:0], c.pending[n:]...)
	return out
}

// finishAppend reports the result to waiting callers. Entries of a refused append,
// which had no effect, are queued again if they are to be retried.
func (c *Committer) finishAppend(ac *appendCall) {
	if ac.err != nil {
		c.lastNumber-- // the journal accepts numbers only in order, each once
	}
	c.appending, c.lastRefused = false, ac.err != nil
	var retry []*entry
	offset := ac.firstOffset
	for _, e := range ac.entries {
		records := RecordRange{FirstOffset: offset, Parts: len(e.parts)}
		offset += journal.Offset(len(e.parts))
		if ac.err == nil && e.onAppended != nil {
			e.onAppended(records)
		}
		switch {
		case ac.err != nil && (e.retryRefused || e.done == nil):
			e.claimed.Store(false)
			retry = append(retry, e)
		case e.done != nil:
			e.done.Put(outcome{records: records, err: ac.err})
		}
	}
	c.pending = append(retry, c.pending...)
}

// Dropped fails records that were still in the ring when the duty stopped.
func (c *Committer) Dropped(m any) {
	entries, ok := m.([]*entry)
	if !ok {
		return // no caller waits for it
	}
	for _, e := range entries {
		e.done.Put(outcome{err: &journal.RefusedError{Op: "append", Cause: &StoppedError{}}})
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (c *Committer) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, c.queue, []*duty.Duty[*appendCall]{c.appender})
}

// appendHandler is the handler of the duty that makes one append at a time.
type appendHandler Committer

// Handle repeats an append until its result is known. After an ambiguous call a
// refusal is not definite: that call may have succeeded.
func (a *appendHandler) Handle(ctx context.Context, ac *appendCall) {
	c := (*Committer)(a)
	defer func() { _ = c.queue.PostWait(ctx, ac) }() // fails only at Stop
	var records [][]byte
	for _, e := range ac.entries {
		records = append(records, e.parts...)
	}
	duty.Sleep(ctx, ac.delay)
	for ambiguous := false; ctx.Err() == nil; duty.Sleep(ctx, c.cfg.RetryInterval) {
		ac.firstOffset, ac.err = a.tryAppend(ctx, ac.seq, records)
		if ac.err == nil {
			appendsSucceeded.Add(1)
			recordsAppended.Add(int64(len(records)))
			return
		}
		var refused *journal.RefusedError
		if errors.As(ac.err, &refused) && !ambiguous {
			return
		}
		ambiguous = true
	}
}

// tryAppend makes one append call and updates failingSince.
func (a *appendHandler) tryAppend(ctx context.Context, seq journal.Sequence, records [][]byte) (journal.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	a.calling.Store(true)
	first, err := a.journal.Append(callCtx, seq, records)
	a.lastCall.Store(a.cfg.Now().UnixNano())
	a.calling.Store(false)
	if err == nil {
		if a.failingSince.Swap(0) != 0 {
			a.log.Info("journal available again", zap.Uint64("append", seq.Number), zap.Uint64("offset", uint64(first)))
		}
		return first, nil
	}
	appendsFailed.Add(1)
	if a.failingSince.CompareAndSwap(0, a.cfg.Now().UnixNano()) {
		a.log.Warn("journal append failed", zap.Uint64("append", seq.Number), zap.Int("records", len(records)), zap.Error(err))
	}
	return 0, err
}
