// Package jobreplica keeps a daemon's replica of the journal of batch jobs: one duty reads
// it, another applies the records and answers queries. The replica is a daemon's
// only source of information on jobs and leases.
package jobreplica

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/checkpoint"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/upgrade"
	"go.uber.org/zap"
)

var recordsApplied = expvar.NewInt("batch_records_applied")

// Config configures a JobReplica.
type Config struct {
	Daemon          api.DaemonID
	RingSize        int           // of the duty that applies records
	ReadWait        time.Duration // long-poll time
	ReadTimeout     time.Duration // of a read, in addition to ReadWait
	MinReadInterval time.Duration // between the starts of two reads
	// ReadsPerSecond bounds the reads of all daemons together: with more daemons,
	// each waits longer between two reads.
	ReadsPerSecond int
	// Roster tells whether this daemon may hold leases. While it may not, it reads at
	// IdleReadInterval: it only serves callers, who wait longer for results than that.
	Roster           leases.Roster
	IdleReadInterval time.Duration
	RetryInterval    time.Duration // after a failed read
	// MinPageBytes is the minimum size of a page, at least that of the largest record.
	MinPageBytes int
	// JobRetention is how long after its submission a finished job is kept.
	JobRetention time.Duration
	// MaxResultBytes bounds the text returned by one call of Results.
	MaxResultBytes int
	// Checkpoints decides when this daemon writes checkpoints.
	Checkpoints checkpoint.Policy
	// Process identifies this process in records.
	Process string
	// MaxRecordBytes and MaxAppendBytes bound the records of a checkpoint and one append
	// of them.
	MaxRecordBytes, MaxAppendBytes int
	// LoadInterval is the time between two attempts to read a checkpoint while the state
	// is partial.
	LoadInterval time.Duration
	// Alternatives makes RunsChanged name where items would be placed if they were moved.
	Alternatives bool
	Now          func() time.Time
}

// Callbacks are called on the duty that applies records and must not block.
type Callbacks struct {
	// RunsChanged is called whenever the items that this daemon should run may have
	// changed. applied is the offset after the last applied record.
	RunsChanged func(runs map[batch.ItemKey]batch.Run, applied batch.Offset)
	// RewardsChanged is called whenever the outstanding reward calls may have changed.
	RewardsChanged func(outstanding []batch.Reward)
	// RequestCrashed is called for requests during which upstreams were lost.
	RequestCrashed func(*batch.RequestCrashed)
	// RequestLimitNamed is called for limits that upstreams name, DemandReported for the
	// demands of daemons that share them.
	RequestLimitNamed func(*batch.RequestLimitNamed)
	DemandReported    func(*batch.DemandReported)
	// UpstreamLeaving is called for upstreams that have said that they leave.
	UpstreamLeaving func(*batch.UpstreamLeaving)
	// Propose appends a record without waiting.
	Propose func(r batch.Record) error
}

// Snapshot is an immutable view of the daemons and upstreams.
type Snapshot struct {
	NextOffset batch.Offset // offset after the last applied record
	Upstreams  []batch.Upstream
	// LastRenewals is when this process applied each daemon's last renewal. After an
	// outage of the journal it is no earlier than the first successful read.
	LastRenewals map[api.DaemonID]time.Time
	// StartMillis is the last start of each daemon, in Unix milliseconds.
	StartMillis map[api.DaemonID]int64
	// Capacity is the processor capacity of each daemon's host, in thousandths of a
	// core; 0: not reported.
	Capacity map[api.DaemonID]int
	// Daemons are the daemons that have not left, as of their last renewals.
	Daemons map[api.DaemonID]batch.Daemon
	// FollowedSince is since when the journal was followed without a gap; zero: since its
	// first record, or with the state of those who did.
	FollowedSince time.Time
	// Rules are the rules of placement in force.
	Rules int
	// Partial is true if records were lost that no checkpoint includes. The state is then
	// not known: there are no upstreams.
	Partial bool
}

// Members returns the daemons and upstreams as input for leases.Roster.
func (s *Snapshot) Members() leases.Members {
	m := leases.Members{LastRenewals: s.LastRenewals, Capacity: s.Capacity, Upstreams: s.Upstreams, CutOff: make(map[api.DaemonID]bool)}
	for id := range s.Daemons {
		if s.Daemons[id].CutOff {
			m.CutOff[id] = true
		}
	}
	return m
}

// LevelInForce returns the level of records that all live daemons read, as of the last read
// that reached the journal's end; 0 before the first one.
func (s *Snapshot) LevelInForce(c upgrade.Config, lastFullRead time.Time) int {
	if s.NextOffset == 0 {
		return 0
	}
	return c.LevelInForce(batch.RecordLevel, upgrade.Input{Daemons: s.Daemons, LastRenewals: s.LastRenewals, FollowedSince: s.FollowedSince, Now: lastFullRead})
}

// StaleError reports that the journal could not be read to its end in time. Since is
// the start of the last read that reached the end; zero if there was none.
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
	applier           *duty.Duty[any]
	reader            *duty.Duty[struct{}]
	state             *batch.State
	decoder           replay.Decoder
	appliedOffset     batch.Offset
	lastFullRead      time.Time     // start of the last read that reached the end
	followedSince     time.Time     // as in Snapshot
	partial           bool          // as in Snapshot
	lastReset         atomic.Uint64 // offset of the first record after the last one that ended all states here; 0: none
	resetAt           time.Time     // when one was last applied or proposed
	checkpoints       *checkpointWriter
	checkpointedAt    time.Time // when this daemon last took a checkpoint, or its start
	checkedAt         time.Time // when it last checked whether to
	recent            recentRecords
	jobAges           ages[batch.JobID]
	streamAges        ages[api.RequestID]
	lastRenewals      map[api.DaemonID]time.Time
	lastRenewal       batch.Offset // of any daemon
	unpublished       changes      // since the last snapshot
	rewardsPublished  bool         // the last published list of reward calls was not empty
	daemonCount       atomic.Int64
	jobBytes          atomic.Int64
	idle              atomic.Bool // this daemon may not hold leases
	pending           []*query
	lastFullReadNanos atomic.Int64 // lastFullRead in Unix nanoseconds, for other threads
	snapshot          atomic.Pointer[Snapshot]
}

// changes records what the applied records may have changed.
type changes struct {
	any       bool
	runs      bool // a record that may concern runs was applied
	upstreams bool
}

// readResult is the result of one read.
type readResult struct {
	firstOffset journal.Offset
	page        journal.Page
	startedAt   time.Time // of the read
	resumed     bool      // first result after failed reads
}

// Journal is the journal of batch jobs.
type Journal interface {
	journal.Journal
	journal.Fetcher
}

// maxPageBytes is the maximum size of the pages in which a reader that is behind reads
// the journal.
const maxPageBytes = 1 << 20

// Start starts the duties. stored is where checkpoints are kept.
func Start(sys *duty.System, j Journal, stored journal.Keyed, cfg Config, callbacks Callbacks, log *zap.Logger) *JobReplica {
	jr := &JobReplica{cfg: cfg, callbacks: callbacks, log: log, state: batch.New(), lastRenewals: make(map[api.DaemonID]time.Time)}
	jr.snapshot.Store(&Snapshot{})
	jr.checkpointedAt = cfg.Now()
	jr.recent = newRecentRecords()
	jr.jobAges, jr.streamAges = make(ages[batch.JobID]), make(ages[api.RequestID])
	jr.checkpoints = startCheckpointWriter(sys, stored, cfg, log)
	const (
		tick     = 100 * time.Millisecond // resolution of query deadlines
		idleTick = time.Second            // between searches for old jobs
	)
	jr.applier = duty.Start(sys, duty.Config{Name: "book", RingSize: cfg.RingSize, Tick: tick, IdleTick: idleTick}, duty.Handler[any](jr))
	r := &reader{replica: jr, journal: j, stored: stored, loadDue: true, behind: true, pageSize: journal.NewPageSize(cfg.MinPageBytes, maxPageBytes, cfg.ReadTimeout)}
	jr.reader = duty.Start(sys, duty.Config{Name: "journal-reader", RingSize: 1}, duty.Handler[struct{}](r))
	r.scheduleNext = func() { _ = jr.reader.Post(struct{}{}) } // never full: only the reader posts
	r.scheduleNext()
	return jr
}

// Snapshot returns the newest snapshot.
func (j *JobReplica) Snapshot() *Snapshot { return j.snapshot.Load() }

// JobBytes returns about how much memory the jobs take, as of the newest snapshot.
func (j *JobReplica) JobBytes() int64 { return j.jobBytes.Load() }

// LastFullRead returns the start of the last read that reached the journal's end.
func (j *JobReplica) LastFullRead() time.Time { return time.Unix(0, j.lastFullReadNanos.Load()) }

// Handle implements duty.Handler.
func (j *JobReplica) Handle(_ context.Context, m any) {
	switch m := m.(type) {
	case *readResult:
		j.apply(m)
	case *loaded:
		j.load(m)
	case *recordsLost:
		j.loseRecords(m.at)
	case *query:
		j.handleQuery(m)
	}
}

// Tick ends expired queries and forgets old finished jobs.
func (j *JobReplica) Tick(context.Context) {
	j.answerPending()
	j.forgetFinished()
}

// Idle implements duty.Idler.
func (j *JobReplica) Idle() bool { return len(j.pending) == 0 }

// apply applies the records of a read.
func (j *JobReplica) apply(res *readResult) {
	if res.resumed {
		for d := range j.lastRenewals {
			j.lastRenewals[d] = res.startedAt
		}
		if j.partial {
			j.followedSince = res.startedAt // nobody could renew meanwhile
		}
	}
	for i, part := range res.page.Records {
		r, at, err := j.decoder.Add(res.firstOffset+journal.Offset(i), part)
		if err != nil {
			j.log.Warn("journal record ignored", zap.Uint64("offset", uint64(at)), zap.Error(err))
			j.checkKind(at, err)
		}
		if r == nil {
			continue
		}
		switch r := r.(type) {
		case *batch.DaemonAlive:
			j.lastRenewals[r.Daemon], j.lastRenewal = j.cfg.Now(), at
		case *batch.StateReset:
			j.applyReset(at, r)
		}
		j.recent.add(r, j.cfg.Now())
		j.report(r)
		changed := j.state.Apply(at, r)
		if changed {
			j.noteAge(r)
		}
		j.noteChanges(r, changed)
		if !j.lastFullRead.IsZero() {
			j.logRecord(at, r, changed)
		}
		recordsApplied.Add(1)
	}
	j.appliedOffset = batch.Offset(res.firstOffset) + batch.Offset(len(res.page.Records))
	if journal.Offset(j.appliedOffset) >= res.page.End {
		if j.lastFullRead.IsZero() {
			j.log.Info("journal read to its end", zap.Uint64("applied", uint64(j.appliedOffset)))
		}
		j.lastFullRead = res.startedAt
		j.lastFullReadNanos.Store(res.startedAt.UnixNano())
		// Intermediate states of the history are not published: a starting daemon
		// must not run items that have ended.
		if j.unpublished.any {
			j.publish()
			j.unpublished = changes{}
		}
		j.keepState()
	}
	j.answerPending()
}

// report passes on a record that doesn't change the state.
func (j *JobReplica) report(r batch.Record) {
	switch r := r.(type) {
	case *batch.RequestCrashed:
		j.callbacks.RequestCrashed(r)
	case *batch.RequestLimitNamed:
		j.callbacks.RequestLimitNamed(r)
	case *batch.DemandReported:
		j.callbacks.DemandReported(r)
	case *batch.UpstreamLeaving:
		j.callbacks.UpstreamLeaving(r)
	}
}

// noteChanges records what may have changed. Records without effect count too, as the
// runner may wait for them.
func (j *JobReplica) noteChanges(r batch.Record, changed bool) {
	mayConcernRuns := true
	switch r.(type) {
	case *batch.DaemonAlive, *batch.DemandReported, *batch.StreamBegan, *batch.UpstreamLeaving:
		mayConcernRuns = false
	}
	j.unpublished.any = j.unpublished.any || changed || mayConcernRuns
	j.unpublished.runs = j.unpublished.runs || mayConcernRuns
	j.unpublished.upstreams = j.unpublished.upstreams || changed && batch.ChangesUpstreams(r)
}

// publish stores a new snapshot and reports the runs if they may have changed.
func (j *JobReplica) publish() {
	daemons := j.state.Daemons()
	s := &Snapshot{
		NextOffset: j.appliedOffset, Upstreams: j.snapshot.Load().Upstreams,
		LastRenewals: make(map[api.DaemonID]time.Time, len(daemons)), StartMillis: make(map[api.DaemonID]int64, len(daemons)),
		Capacity: make(map[api.DaemonID]int, len(daemons)), Daemons: daemons, FollowedSince: j.followedSince, Partial: j.partial, Rules: j.state.Rules(),
	}
	switch {
	case j.partial:
		s.Upstreams = nil
	case j.unpublished.upstreams:
		s.Upstreams = j.state.Upstreams()
	}
	for id, d := range daemons {
		s.LastRenewals[id], s.StartMillis[id], s.Capacity[id] = j.lastRenewals[id], d.StartMillis, d.Capacity
	}
	j.daemonCount.Store(int64(len(daemons)))
	j.jobBytes.Store(int64(j.state.JobBytes()))
	j.idle.Store(!j.cfg.Roster.Live(s.Members(), j.cfg.Now())[j.cfg.Daemon])
	j.snapshot.Store(s)
	if !j.unpublished.runs || j.partial {
		return
	}
	runs := j.state.Runs(j.cfg.Daemon)
	if j.cfg.Alternatives {
		j.state.SetAlternatives(runs)
	}
	j.callbacks.RunsChanged(runs, j.appliedOffset)
	if rewards := j.state.Rewards(); len(rewards) > 0 || j.rewardsPublished {
		j.rewardsPublished = len(rewards) > 0
		j.callbacks.RewardsChanged(rewards)
	}
}

// readInterval returns the minimum time between the starts of two reads.
func (j *JobReplica) readInterval() time.Duration {
	interval := time.Duration(j.daemonCount.Load()) * time.Second / time.Duration(j.cfg.ReadsPerSecond)
	if j.idle.Load() {
		interval = max(interval, j.cfg.IdleReadInterval)
	}
	return max(j.cfg.MinReadInterval, interval)
}

// Stop ends the duties. Errors: ctx.Err().
func (j *JobReplica) Stop(ctx context.Context) error {
	return errors.Join(duty.StopAll(ctx, j.applier, []*duty.Duty[struct{}]{j.reader}), j.checkpoints.duty.Stop(ctx))
}

// query is a query of the state that waits until it is answered or has expired.
type query struct {
	ctx       context.Context
	startedAt time.Time
	deadline  time.Time
	// answer reports whether the query is answered. upToDate: the journal was read to
	// its end since the query started. expired: the query cannot wait any longer.
	answer func(s *batch.State, upToDate, expired bool) bool
	done   *ring.Slot[struct{}]
	err    error // set before done
}

func (j *JobReplica) handleQuery(q *query) {
	if !j.tryAnswer(q) {
		j.pending = append(j.pending, q)
	}
}

func (j *JobReplica) tryAnswer(q *query) bool {
	now := j.cfg.Now()
	expired := !now.Before(q.deadline) || q.ctx.Err() != nil
	if j.partial {
		q.err = &PartialError{Since: j.followedSince}
		q.done.Put(struct{}{})
		return true
	}
	if q.answer(j.state, !j.lastFullRead.Before(q.startedAt), expired) || expired {
		q.done.Put(struct{}{})
		return true
	}
	return false
}

// answerPending tries to answer the pending queries.
func (j *JobReplica) answerPending() {
	kept := j.pending[:0]
	for _, q := range j.pending {
		if !j.tryAnswer(q) {
			kept = append(kept, q)
		}
	}
	clear(j.pending[len(kept):])
	j.pending = kept
}

func (j *JobReplica) query(ctx context.Context, wait time.Duration, answer func(s *batch.State, upToDate, expired bool) bool) error {
	now := j.cfg.Now()
	q := &query{ctx: ctx, startedAt: now, deadline: now.Add(wait), answer: answer, done: ring.NewSlot[struct{}]()}
	if err := j.applier.Post(q); err != nil {
		return err
	}
	if _, err := q.done.Wait(ctx); err != nil {
		return err
	}
	return q.err
}
