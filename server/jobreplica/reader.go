package jobreplica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"go.uber.org/zap"
)

// OutdatedError reports a checkpoint after which records expired, or states were reset.
type OutdatedError struct {
	Next   journal.Offset // of the checkpoint
	Needed journal.Offset // least offset of a usable one
}

// Error implements error.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("the checkpoint ends before offset %d; the records that count begin at offset %d", e.Next, e.Needed)
}

// loaded is a state that was read from a checkpoint.
type loaded struct {
	state      *batch.State
	checkpoint *replay.Checkpoint
}

// recordsLost reports that records expired before they were read.
type recordsLost struct{ at time.Time }

// reader is the handler of the duty that reads the journal.
type reader struct {
	replica      *JobReplica
	journal      Journal
	stored       journal.Keyed
	scheduleNext func()
	nextOffset   journal.Offset
	failing      bool
	loadDue      bool           // a checkpoint is to be read before the journal
	loadedAt     time.Time      // of the last attempt
	unused       string         // why the last checkpoint was not used, if so
	lost         bool           // records expired that the state doesn't include
	stateNext    journal.Offset // of the checkpoint that the state was read from
	oldest       journal.Offset // as of the last page
	behind       bool           // not at the journal's end as of the last read
	pageSize     *journal.PageSize
}

// Handle makes one read.
func (r *reader) Handle(ctx context.Context, _ struct{}) {
	defer r.scheduleNext()
	cfg := r.replica.cfg
	if r.loadDue || r.partial() && cfg.Now().Sub(r.loadedAt) >= cfg.LoadInterval {
		r.load(ctx)
		return
	}
	startedAt := cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, cfg.ReadWait+cfg.ReadTimeout)
	page, err := r.read(callCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		r.loseRecords(ctx, trimmed.Oldest)
		return
	}
	r.adaptPage(page, err, cfg.Now().Sub(startedAt))
	if err != nil {
		r.handleFailure(ctx, err)
		return
	}
	res := &readResult{firstOffset: r.nextOffset, page: page, startedAt: startedAt, resumed: r.failing}
	r.oldest = page.Oldest
	if r.failing {
		r.failing = false
		r.replica.log.Info("journal readable again", zap.Uint64("from", uint64(r.nextOffset)))
	}
	r.nextOffset += journal.Offset(len(page.Records))
	if err := r.replica.applier.PostWait(ctx, res); err != nil {
		return // stopping
	}
	if r.nextOffset >= page.End {
		duty.Sleep(ctx, r.replica.readInterval()-cfg.Now().Sub(startedAt))
	}
}

// partial reports whether a checkpoint is needed: records were lost, or the state was read
// before the last reset.
func (r *reader) partial() bool { return r.lost || r.stateNext < r.replica.resetNext() }

// read reads the next page: one of limited size while the reader is behind, otherwise
// what arrives next.
func (r *reader) read(ctx context.Context) (journal.Page, error) {
	if r.behind {
		return r.journal.Fetch(ctx, r.nextOffset, r.pageSize.Bytes())
	}
	return r.journal.Read(ctx, r.nextOffset, r.replica.cfg.ReadWait)
}

// adaptPage notes the result of a read for the size of the next one.
func (r *reader) adaptPage(page journal.Page, err error, took time.Duration) {
	if err != nil {
		r.pageSize.Failed()
		r.behind = true
		return
	}
	bytes := 0
	for _, record := range page.Records {
		bytes += len(record)
	}
	switch {
	case r.behind && bytes == 0:
		r.pageSize.Succeeded(bytes, 0) // the next record may be larger than the page
	case r.behind:
		r.pageSize.Succeeded(bytes, took)
	}
	r.behind = r.nextOffset+journal.Offset(len(page.Records)) < page.End
}

func (r *reader) handleFailure(ctx context.Context, err error) {
	if !r.failing {
		r.failing = true
		r.replica.log.Warn("journal read failed", zap.Uint64("from", uint64(r.nextOffset)), zap.Error(err))
	}
	duty.Sleep(ctx, r.replica.cfg.RetryInterval)
}

// loseRecords goes on at the oldest record, because those before it expired unread. A
// checkpoint may include them.
func (r *reader) loseRecords(ctx context.Context, oldest journal.Offset) {
	r.replica.log.Warn("journal records expired before they were read", zap.Uint64("from", uint64(r.nextOffset)), zap.Uint64("first", uint64(oldest)))
	r.nextOffset, r.oldest, r.lost = oldest, oldest, true
	r.loadDue = r.replica.cfg.Now().Sub(r.loadedAt) >= r.replica.cfg.LoadInterval
	// Fails only when stopping.
	_ = r.replica.applier.PostWait(ctx, &recordsLost{at: r.replica.cfg.Now()})
}

// load reads the newest checkpoint. Without a usable one, the journal is read from where
// it was read to before: a daemon that starts reads it from the first record.
func (r *reader) load(ctx context.Context) {
	cfg, log := r.replica.cfg, r.replica.log
	callCtx, cancel := context.WithTimeout(ctx, cfg.ReadWait+cfg.ReadTimeout)
	records, _, err := r.stored.Newest(callCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	r.loadDue, r.loadedAt = false, cfg.Now()
	if err != nil {
		log.Warn("checkpoint not read", zap.Error(err))
		return
	}
	found, state, err := replay.LoadCheckpoint(records)
	var missing *checkpoint.MissingError
	if errors.As(err, &missing) {
		return
	}
	if oldest := max(r.oldest, r.replica.resetNext()); err == nil && found.Next < oldest {
		err = &OutdatedError{Next: found.Next, Needed: oldest}
	}
	if err != nil {
		if err.Error() != r.unused {
			log.Warn("checkpoint not used", zap.Error(err))
		}
		r.unused = err.Error()
		return
	}
	next := found.Next
	r.unused = ""
	log.Info("state read from a checkpoint", zap.Uint64("next", uint64(next)), zap.Int("jobs", len(found.Image.Jobs)),
		zap.Int("upstreams", len(found.Image.Upstreams)))
	r.nextOffset, r.stateNext, r.lost, r.behind = next, next, false, true
	// Fails only when stopping.
	_ = r.replica.applier.PostWait(ctx, &loaded{state: state, checkpoint: found})
}
