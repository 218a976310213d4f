// Package committer appends records to a journal in the order given, each
// once: one duty gathers what comes while an append is under way, another
// carries the append and repeats it under its number until its fate is known.
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
	appends         = expvar.NewInt("journal_appends")
	appendsFailed   = expvar.NewInt("journal_appends_failed")
	recordsAppended = expvar.NewInt("journal_records")
)

// Config of a Committer.
type Config struct {
	Name           string // of the journal, for the duties
	Producer       string // unique to this run of the process
	RingSize       int
	MaxRecordBytes int           // most of one record in the log
	MaxAppendBytes int           // most of one append
	CallTimeout    time.Duration // of one call
	RetryInterval  time.Duration // between two calls of an append
	// FailFastAfter is how long the journal may fail before new records are refused
	// at once.
	FailFastAfter time.Duration
	Now           func() time.Time
}

// StoppedError reports a record that was still waiting at the stop.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "stopping" }

// TooLargeError reports a record that no append can hold.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string { return "record exceeds what one append may hold" }

// entry is a record on its way.
type entry struct {
	ctx   context.Context // ends when nobody waits any more; nil: nobody does
	parts [][]byte
	bytes int
	reply *ring.Slot[outcome]
	// claimed is set before the entry's first call. Who withdraws the entry sets
	// it too: the one who finds it unset decides.
	claimed atomic.Bool
	sendBy  time.Time // dropped if not sent before; zero: never
	// retryRefused entries are appended however long the journal refuses them.
	retryRefused bool
	// onAppended is told the place on the committer's duty; may be nil.
	onAppended func(RecordRange)
}

// RecordRange says where a record is.
type RecordRange struct {
	FirstOffset journal.Offset // of its parts
	Parts       int
}

// LastOffset returns the offset of the last part.
func (p RecordRange) LastOffset() journal.Offset { return p.FirstOffset + journal.Offset(p.Parts) - 1 }

type outcome struct {
	location RecordRange
	err      error
}

// Committer is the handle of the duties.
type Committer struct {
	cfg          Config
	log          *zap.Logger
	journal      journal.Journal
	queue        *duty.Duty[any]
	appender     *duty.Duty[*call]
	waiting      []*entry
	appending    bool
	lastRefused  bool // the last append was
	number       uint64
	failingSince atomic.Int64 // Unix nanoseconds; 0: the last call succeeded
}

// call is one append under its number.
type call struct {
	seq     journal.Sequence
	entries []*entry
	pause   time.Duration // before the first call
	first   journal.Offset
	err     error
}

// Start spawns the duties.
func Start(sys *duty.System, j journal.Journal, cfg Config, log *zap.Logger) *Committer {
	c := &Committer{cfg: cfg, log: log.With(zap.String("topic", cfg.Name)), journal: j}
	c.queue = duty.Start(sys, duty.Config{Name: "committer-" + cfg.Name, RingSize: cfg.RingSize}, duty.Handler[any](c))
	c.appender = duty.Start(sys, duty.Config{Name: "append-" + cfg.Name, RingSize: 1}, duty.Handler[*call]((*appendHandler)(c)))
	return c
}

// Failing reports whether the journal has failed for longer than the patience.
func (c *Committer) Failing() bool {
	since := c.failingSince.Load()
	return since != 0 && c.cfg.Now().UnixNano()-since > int64(c.cfg.FailFastAfter)
}

// Commit appends a record and waits for its fate. It returns the record's place.
// Errors: *journal.RefusedError when the record is not in the journal and never
// will be, *journal.AmbiguousError when it may be, *TooLargeError.
func (c *Committer) Commit(ctx context.Context, record []byte) (RecordRange, error) {
	places, err := c.CommitAll(ctx, [][]byte{record})
	if err != nil {
		return RecordRange{}, err
	}
	return places[0], nil
}

// CommitWithRetry appends a record however long the journal refuses it, and waits for
// its place. Errors: as for Commit, at the end of ctx or at the stop.
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

// CommitAll appends records and waits for the fate of all. When it fails some
// of them may be in the journal. Errors: as for Commit, of the first that failed.
func (c *Committer) CommitAll(ctx context.Context, records [][]byte) ([]RecordRange, error) {
	entries := make([]*entry, len(records))
	for i, r := range records {
		e, err := c.newEntry(r)
		if err != nil {
			return nil, err
		}
		entries[i] = e
	}
	if c.Failing() {
		return nil, &journal.RefusedError{Op: "append", Cause: &failingError{}}
	}
	if err := c.post(ctx, entries...); err != nil {
		return nil, err
	}
	places := make([]RecordRange, len(entries))
	for i, e := range entries {
		var err error
		if places[i], err = c.awaitOutcome(ctx, e); err != nil {
			return nil, err
		}
	}
	return places, nil
}

// post hands entries over whose fate the caller waits for, in one message, so
// that a large job needs no more room in the ring than a small one. Errors:
// *journal.RefusedError.
func (c *Committer) post(ctx context.Context, entries ...*entry) error {
	for _, e := range entries {
		e.ctx, e.reply = ctx, ring.NewSlot[outcome]()
	}
	if err := c.queue.Post(entries); err != nil {
		return &journal.RefusedError{Op: "append", Cause: err}
	}
	return nil
}

// awaitOutcome waits until it is known what became of an entry.
func (c *Committer) awaitOutcome(ctx context.Context, e *entry) (RecordRange, error) {
	o, err := e.reply.Wait(ctx)
	if err != nil && e.claimed.CompareAndSwap(false, true) {
		return RecordRange{}, &journal.RefusedError{Op: "append", Cause: err}
	}
	if err != nil {
		return RecordRange{}, &journal.AmbiguousError{Op: "append", Cause: err}
	}
	return o.location, o.err
}

// failingError says why a record was not even tried.
type failingError struct{}

// Error implements error.
func (*failingError) Error() string { return "the journal has not answered for a while" }

// PostWithCallback appends a record without waiting, however long the journal refuses
// it, and tells its place on the committer's duty. Errors: as for Post.
func (c *Committer) PostWithCallback(record []byte, then func(RecordRange)) error {
	e, err := c.newEntry(record)
	if err != nil {
		return err
	}
	e.onAppended = then
	return c.queue.Post(e)
}

// Post appends a record without waiting, however long the journal refuses it
// or, with a limit above zero, unless its append has not begun within it.
// Errors: *duty.FullError, *TooLargeError.
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
	const frame = 4 // bytes of length before each part
	e := &entry{parts: journal.Split(record, c.cfg.MaxRecordBytes)}
	for _, p := range e.parts {
		e.bytes += len(p) + frame
	}
	if e.bytes > c.cfg.MaxAppendBytes {
		return nil, &TooLargeError{Bytes: e.bytes}
	}
	return e, nil
}

// Handle takes a record or an append's end.
func (c *Committer) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *entry:
		c.waiting = append(c.waiting, m)
	case []*entry:
		c.waiting = append(c.waiting, m...)
	case *call:
		c.finishAppend(m)
	}
	c.startAppend(ctx)
}

// startAppend starts an append of what waits.
func (c *Committer) startAppend(ctx context.Context) {
	if c.appending {
		return
	}
	entries := c.takeBatch()
	if len(entries) == 0 {
		return
	}
	c.number++
	c.appending = true
	k := &call{seq: journal.Sequence{Producer: c.cfg.Producer, Number: c.number}, entries: entries}
	if c.lastRefused {
		k.pause = c.cfg.RetryInterval
	}
	if err := c.appender.PostWait(ctx, k); err != nil {
		k.err = &journal.RefusedError{Op: "append", Cause: err}
		c.finishAppend(k)
	}
}

// takeBatch takes entries that fit one append and whose callers still wait.
func (c *Committer) takeBatch() []*entry {
	var out []*entry
	size, n := 0, 0
	for ; n < len(c.waiting); n++ {
		e := c.waiting[n]
		if size+e.bytes > c.cfg.MaxAppendBytes {
			break
		}
		if !e.sendBy.IsZero() && c.cfg.Now().After(e.sendBy) {
			continue
		}
		if e.ctx != nil && !e.claimed.CompareAndSwap(false, true) {
			continue // withdrawn
		}
		size += e.bytes
		out = append(out, e)
	}
	c.waiting = append(c.waiting[:0], c.waiting[n:]...)
	return out
}

// finishAppend tells those who wait. A refused append was not carried out: what
// nobody waits for is tried again.
func (c *Committer) finishAppend(k *call) {
	if k.err != nil {
		c.number-- // the log carries out each number once, in order
	}
	c.appending, c.lastRefused = false, k.err != nil
	var again []*entry
	at := k.first
	for _, e := range k.entries {
		place := RecordRange{FirstOffset: at, Parts: len(e.parts)}
		at += journal.Offset(len(e.parts))
		if k.err == nil && e.onAppended != nil {
			e.onAppended(place)
		}
		switch {
		case k.err != nil && (e.retryRefused || e.reply == nil):
			e.claimed.Store(false)
			again = append(again, e)
		case e.reply != nil:
			e.reply.Put(outcome{location: place, err: k.err})
		}
	}
	c.waiting = append(again, c.waiting...)
}

// Dropped answers records that still waited at the stop.
func (c *Committer) Dropped(m any) {
	entries, ok := m.([]*entry)
	if !ok {
		return // nobody waits for it
	}
	for _, e := range entries {
		e.reply.Put(outcome{err: &journal.RefusedError{Op: "append", Cause: &StoppedError{}}})
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (c *Committer) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, c.queue, []*duty.Duty[*call]{c.appender})
}

// appendHandler is the duty that carries one append at a time.
type appendHandler Committer

// Handle repeats an append until its fate is known.
func (a *appendHandler) Handle(ctx context.Context, k *call) {
	c := (*Committer)(a)
	defer func() { _ = c.queue.PostWait(ctx, k) }() // fails at the stop only
	var records [][]byte
	for _, e := range k.entries {
		records = append(records, e.parts...)
	}
	duty.Sleep(ctx, k.pause)
	for unknown := false; ctx.Err() == nil; duty.Sleep(ctx, c.cfg.RetryInterval) {
		k.first, k.err = a.tryAppend(ctx, k.seq, records)
		if k.err == nil {
			appends.Add(1)
			recordsAppended.Add(int64(len(records)))
			return
		}
		var refused *journal.RefusedError
		if errors.As(k.err, &refused) && !unknown {
			return
		}
		unknown = true
	}
}

// tryAppend makes one call and notes whether the journal works.
func (a *appendHandler) tryAppend(ctx context.Context, seq journal.Sequence, records [][]byte) (journal.Offset, error) {
	call, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	first, err := a.journal.Append(call, seq, records)
	if err == nil {
		if a.failingSince.Swap(0) != 0 {
			a.log.Info("journal regained", zap.Uint64("append", seq.Number), zap.Uint64("offset", uint64(first)))
		}
		return first, nil
	}
	appendsFailed.Add(1)
	if a.failingSince.CompareAndSwap(0, a.cfg.Now().UnixNano()) {
		a.log.Warn("journal lost", zap.Uint64("append", seq.Number), zap.Int("records", len(records)), zap.Error(err))
	}
	return 0, err
}
