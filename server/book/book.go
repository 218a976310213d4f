// Package book follows the journal of batch jobs: one duty reads it, one folds
// it and answers queries. All that a daemon knows of jobs and leases it knows
// from the fold.
package book

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/ring"
	"go.uber.org/zap"
)

var recordsApplied = expvar.NewInt("batch_records_applied")

// Config of a Book.
type Config struct {
	Daemon          api.DaemonID
	RingSize        int
	ReadWait        time.Duration // longest wait of one read
	ReadTimeout     time.Duration // of a read beyond its wait
	MinReadInterval time.Duration // shortest time between two reads
	// ReadsPerSecond is what all daemons together may read the journal; the more
	// of them there are, the longer each waits between two reads.
	ReadsPerSecond int
	RetryInterval  time.Duration // after a failed read
	// JobRetention is how long after its submission a job that is over is known.
	JobRetention time.Duration
	// MaxResultBytes bounds the text in one answer.
	MaxResultBytes int
	Now            func() time.Time
}

// Callbacks are told, on the folding duty, what the journal brings.
type Callbacks struct {
	// RunsChanged is told what this daemon is to run whenever that may have changed, and
	// the offset up to which records were applied.
	RunsChanged func(runs map[batch.ItemKey]batch.Run, applied batch.Offset)
	// RequestCrashed is told of the requests under which upstreams were lost.
	RequestCrashed func(*batch.RequestCrashed)
}

// Snapshot is what the fold says of daemons and upstreams. It is immutable.
type Snapshot struct {
	AppliedOffset batch.Offset
	Upstreams     []batch.Upstream
	// LastRenewals is when this process saw a daemon's last renewal. Time in which the
	// journal could not be read doesn't count.
	LastRenewals map[api.DaemonID]time.Time
	// StartMillis is the newest start of each daemon, in Unix milliseconds.
	StartMillis map[api.DaemonID]int64
}

// StaleError reports that the journal could not be read up to its end in time.
type StaleError struct{ Since time.Time }

// Error implements error.
func (e *StaleError) Error() string {
	return "the journal was last read to its end at " + e.Since.Format(time.RFC3339Nano)
}

// JobReplica is the handle of the duties.
type JobReplica struct {
	cfg               Config
	callbacks         Callbacks
	log               *zap.Logger
	fold              *duty.Duty[any]
	reader            *duty.Duty[struct{}]
	state             *batch.State
	decoder           replay.Decoder
	applied           batch.Offset
	lastFullRead      time.Time // start of the last read that reached the end
	lastRenewals      map[api.DaemonID]time.Time
	changed           changes // since the last publication
	daemons           atomic.Int64
	waiting           []*query
	lastFullReadNanos atomic.Int64 // current, in Unix nanoseconds, for other threads
	snapshot          atomic.Pointer[Snapshot]
}

// changes says what records changed.
type changes struct {
	any       bool
	runs      bool // records other than renewals came
	upstreams bool
}

// readResult is what one read found.
type readResult struct {
	from  journal.Offset
	page  journal.Page
	began time.Time
	// resumed is set after reads that failed.
	resumed bool
}

// Start spawns the duties.
func Start(sys *duty.System, j journal.Journal, cfg Config, tell Callbacks, log *zap.Logger) *JobReplica {
	b := &JobReplica{cfg: cfg, callbacks: tell, log: log, state: batch.New(), lastRenewals: make(map[api.DaemonID]time.Time)}
	b.snapshot.Store(&Snapshot{})
	const tick = 100 * time.Millisecond // resolution of the waits of queries
	b.fold = duty.Start(sys, duty.Config{Name: "book", RingSize: cfg.RingSize, Tick: tick}, duty.Handler[any](b))
	r := &reader{replica: b, journal: j}
	b.reader = duty.Start(sys, duty.Config{Name: "journal-reader", RingSize: 1}, duty.Handler[struct{}](r))
	r.scheduleNext = func() { _ = b.reader.Post(struct{}{}) } // only the reader itself posts: there is room
	r.scheduleNext()
	return b
}

// Snapshot returns the newest snapshot.
func (b *JobReplica) Snapshot() *Snapshot { return b.snapshot.Load() }

// LastFullRead returns when the last read that reached the journal's end began.
func (b *JobReplica) LastFullRead() time.Time { return time.Unix(0, b.lastFullReadNanos.Load()) }

// Handle applies a page or takes a query.
func (b *JobReplica) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case *readResult:
		b.apply(m)
	case *query:
		b.handleQuery(m)
	}
}

// Tick ends queries whose time is over and forgets old jobs.
func (b *JobReplica) Tick(context.Context) {
	b.answerWaiting()
	b.state.ForgetFinished(b.cfg.Now().Add(-b.cfg.JobRetention).UnixMilli())
}

// apply folds a page's records.
func (b *JobReplica) apply(p *readResult) {
	if p.resumed {
		for d := range b.lastRenewals {
			b.lastRenewals[d] = p.began
		}
	}
	for i, part := range p.page.Records {
		r, at, err := b.decoder.Add(p.from+journal.Offset(i), part)
		if err != nil {
			b.log.Warn("journal record ignored", zap.Uint64("offset", uint64(at)), zap.Error(err))
		}
		if r == nil {
			continue
		}
		switch r := r.(type) {
		case *batch.DaemonAlive:
			b.lastRenewals[r.Daemon] = b.cfg.Now()
		case *batch.RequestCrashed:
			b.callbacks.RequestCrashed(r)
		}
		done := b.state.Apply(at, r)
		b.noteChanges(r, done)
		if !b.lastFullRead.IsZero() {
			b.logRecord(at, r, done)
		}
		recordsApplied.Add(1)
	}
	b.applied = batch.Offset(p.from) + batch.Offset(len(p.page.Records))
	if journal.Offset(b.applied) >= p.page.End {
		if b.lastFullRead.IsZero() {
			b.log.Info("journal read to its end", zap.Uint64("applied", uint64(b.applied)))
		}
		b.lastFullRead = p.began
		b.lastFullReadNanos.Store(p.began.UnixNano())
		// What was true at some point of a history is published only if it still
		// is at its end.
		if b.changed.any {
			b.publish()
			b.changed = changes{}
		}
	}
	b.answerWaiting()
}

// noteChanges keeps what a record changed for the next publication. Also a record
// without effect is news to the runner that waits for it.
func (b *JobReplica) noteChanges(r batch.Record, done bool) {
	_, renewal := r.(*batch.DaemonAlive)
	b.changed.any = b.changed.any || done || !renewal
	b.changed.runs = b.changed.runs || !renewal
	b.changed.upstreams = b.changed.upstreams || done && batch.ChangesUpstreams(r)
}

// publish makes a snapshot and tells what is to be run, as far as it may have changed.
func (b *JobReplica) publish() {
	daemons := b.state.Daemons()
	s := &Snapshot{
		AppliedOffset: b.applied, Upstreams: b.snapshot.Load().Upstreams,
		LastRenewals: make(map[api.DaemonID]time.Time, len(daemons)), StartMillis: make(map[api.DaemonID]int64, len(daemons)),
	}
	if b.changed.upstreams {
		s.Upstreams = b.state.Upstreams()
	}
	for id, d := range daemons {
		s.LastRenewals[id], s.StartMillis[id] = b.lastRenewals[id], d.StartMillis
	}
	b.daemons.Store(int64(len(daemons)))
	b.snapshot.Store(s)
	if !b.changed.runs {
		return
	}
	b.callbacks.RunsChanged(b.state.Runs(b.cfg.Daemon), b.applied)
}

// readInterval returns the shortest time between two reads.
func (b *JobReplica) readInterval() time.Duration {
	share := time.Duration(b.daemons.Load()) * time.Second / time.Duration(b.cfg.ReadsPerSecond)
	return max(b.cfg.MinReadInterval, share)
}

// logRecord logs a record that changed what the process believes.
func (b *JobReplica) logRecord(at batch.Offset, r batch.Record, done bool) {
	offset, effect := zap.Uint64("offset", uint64(at)), zap.Bool("effect", done)
	switch r := r.(type) {
	case *batch.JobAccepted:
		b.log.Info("job accepted", zap.String("job", string(r.Job.ID)), zap.String("model", string(r.Job.Model)),
			zap.Uint64("min_version", uint64(r.Job.MinVersion)), zap.Int("items", len(r.Job.Items)), offset, effect)
	case *batch.JobEnded:
		b.log.Info("job ended", zap.String("job", string(r.ID)), offset, effect)
	case *batch.LeaseAcquired:
		b.log.Info("lease taken", zap.String("upstream", string(r.Upstream)), zap.String("daemon", string(r.Daemon)),
			zap.Uint64("previous", uint64(r.PreviousLease)), offset, effect)
	case *batch.UpstreamRemoved:
		b.log.Info("upstream forgotten", zap.String("upstream", string(r.Upstream)), zap.String("daemon", string(r.Daemon)), offset, effect)
	case *batch.UpstreamChanged:
		b.log.Info("upstream changed", zap.String("upstream", string(r.Upstream)), zap.Stringer("condition", r.Condition),
			zap.Any("versions", r.Versions), offset, effect)
	case *batch.RequestCrashed:
		b.log.Info("upstreams lost under a request", zap.Uint64("content", r.ContentHash), zap.Int("lost", r.UpstreamsLost),
			zap.String("process", r.Process), offset)
	case *batch.DaemonLeft:
		b.log.Info("daemon left", zap.String("daemon", string(r.Daemon)), offset, effect)
	case *batch.ItemFailed:
		b.log.Info("item failed", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)),
			zap.Int("status", r.Status), zap.Bool("final", r.Final), offset, effect)
	case *batch.ItemExpired:
		b.log.Info("item given up", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)), offset, effect)
	case *batch.TextAdded:
		if !done {
			b.log.Info("text not taken", zap.String("job", string(r.Job)), zap.String("item", string(r.Item)),
				zap.Int("from", r.FirstEvent), zap.Int("events", r.EventCount), offset)
		}
	}
}

// Stop ends the duties. Errors: ctx.Err().
func (b *JobReplica) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, b.fold, []*duty.Duty[struct{}]{b.reader})
}

// reader is the duty that waits for records.
type reader struct {
	replica      *JobReplica
	journal      journal.Journal
	scheduleNext func()
	from         journal.Offset
	failing      bool
}

// Handle makes one read.
func (r *reader) Handle(ctx context.Context, _ struct{}) {
	defer r.scheduleNext()
	cfg := r.replica.cfg
	began := cfg.Now()
	call, cancel := context.WithTimeout(ctx, cfg.ReadWait+cfg.ReadTimeout)
	found, err := r.journal.Read(call, r.from, cfg.ReadWait)
	cancel()
	if ctx.Err() != nil {
		return
	}
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		r.replica.log.Warn("journal records are gone", zap.Uint64("from", uint64(r.from)), zap.Uint64("first", uint64(trimmed.Oldest)))
		r.from = trimmed.Oldest
		return
	}
	if err != nil {
		r.failed(ctx, err)
		return
	}
	p := &readResult{from: r.from, page: found, began: began, resumed: r.failing}
	if r.failing {
		r.failing = false
		r.replica.log.Info("journal readable again", zap.Uint64("from", uint64(r.from)))
	}
	r.from += journal.Offset(len(found.Records))
	if err := r.replica.fold.PostWait(ctx, p); err != nil {
		return // stopping
	}
	if r.from >= found.End {
		duty.Sleep(ctx, r.replica.readInterval()-cfg.Now().Sub(began))
	}
}

func (r *reader) failed(ctx context.Context, err error) {
	if !r.failing {
		r.failing = true
		r.replica.log.Warn("journal unreadable", zap.Uint64("from", uint64(r.from)), zap.Error(err))
	}
	duty.Sleep(ctx, r.replica.cfg.RetryInterval)
}

// query asks the fold; it waits until ready or its time is over.
type query struct {
	ctx   context.Context
	asked time.Time
	until time.Time
	// answer returns whether the query is answered. final is set when it must not
	// wait any longer.
	answer func(s *batch.State, fresh, final bool) bool
	reply  *ring.Slot[struct{}]
}

func (b *JobReplica) handleQuery(q *query) {
	if !b.tryAnswer(q) {
		b.waiting = append(b.waiting, q)
	}
}

func (b *JobReplica) tryAnswer(q *query) bool {
	now := b.cfg.Now()
	final := !now.Before(q.until) || q.ctx.Err() != nil
	if q.answer(b.state, !b.lastFullRead.Before(q.asked), final) || final {
		q.reply.Put(struct{}{})
		return true
	}
	return false
}

// answerWaiting tries what waits.
func (b *JobReplica) answerWaiting() {
	left := b.waiting[:0]
	for _, q := range b.waiting {
		if !b.tryAnswer(q) {
			left = append(left, q)
		}
	}
	clear(b.waiting[len(left):])
	b.waiting = left
}

func (b *JobReplica) query(ctx context.Context, wait time.Duration, ask func(s *batch.State, fresh, final bool) bool) error {
	now := b.cfg.Now()
	q := &query{ctx: ctx, asked: now, until: now.Add(wait), answer: ask, reply: ring.NewSlot[struct{}]()}
	if err := b.fold.Post(q); err != nil {
		return err
	}
	_, err := q.reply.Wait(ctx)
	return err
}
