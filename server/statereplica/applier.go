package statereplica

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/ledger"
)

var (
	recordsApplied      = expvar.NewInt("log_records_folded")
	recordsRefused      = expvar.NewInt("log_records_refused")
	checkpointsProposed = expvar.NewInt("log_checkpoints_proposed")
	configOffset        = expvar.NewInt("config_offset_in_force")
)

// maxRecentBytes bounds the entries kept for peers that are behind.
const maxRecentBytes = 2 << 20

// openProposal is a proposal whose record has not been read from the log yet.
type openProposal struct {
	Proposal
	doneCalled bool // only OnLateVerdict may still be called
}

// lateVerdictTimeout is how long after its deadline a proposal with OnLateVerdict
// still waits for its record.
const lateVerdictTimeout = 2 * time.Minute

// applier is the duty that owns the state of both streams and the open proposals.
type applier struct {
	replica     *StateReplica
	streams     map[string]*streamState
	proposals   map[api.RecordID]*openProposal
	recentBytes int // payloads of StateReplica.recentEntries
	schedules   map[string]*checkpointSchedule
}

// checkpointSchedule holds when a stream's last checkpoint was read and when the
// next is proposed, in local time: the log's clock may differ.
type checkpointSchedule struct {
	checkpointCount int
	lastCheckpoint  time.Time
	due             time.Time // zero: not scheduled
}

func newApplier(s *StateReplica) *applier {
	return &applier{
		replica: s,
		streams: map[string]*streamState{
			api.StreamConfig: {fsm: ledger.NewConfigFSM(), restore: restoreConfig},
			api.StreamClaims: {fsm: ledger.NewClaimsFSM(), restore: restoreClaims},
		},
		proposals: make(map[api.RecordID]*openProposal),
		schedules: map[string]*checkpointSchedule{
			api.StreamConfig: {lastCheckpoint: s.cfg.Now()},
			api.StreamClaims: {lastCheckpoint: s.cfg.Now()},
		},
	}
}

func (a *applier) config() *ledger.ConfigFSM {
	return a.streams[api.StreamConfig].fsm.(*ledger.ConfigFSM)
}

func (a *applier) claims() *ledger.ClaimsFSM {
	return a.streams[api.StreamClaims].fsm.(*ledger.ClaimsFSM)
}

// Handle implements duty.Handler.
func (a *applier) Handle(_ context.Context, m event) {
	switch m := m.(type) {
	case readMsg:
		a.handleRead(m)
	case offerMsg:
		a.handleOffer(m.entries)
	case installMsg:
		a.installImage(m.state)
	case imageMsg:
		m.done.Put(a.image())
	case proposeMsg:
		a.propose(m.proposal)
	case appendedMsg:
		a.handleAppended(m)
	case claimMsg:
		state, found := a.claims().Get(m.key)
		m.done.Put(claimReply{state: state, found: found, synced: a.streams[api.StreamClaims].synced})
	}
}

// Tick ends expired proposals and proposes checkpoints that are due.
func (a *applier) Tick(context.Context) {
	now := a.replica.cfg.Now()
	for id, p := range a.proposals {
		a.expire(id, p, now)
	}
	for name, s := range a.streams {
		a.checkpointIfDue(name, s, now)
	}
}

// Stopped ends the open proposals: their records may be in the log.
func (a *applier) Stopped() {
	for id := range a.proposals {
		a.finish(id, ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "the daemon stopped"))
	}
}

// Dropped ends a proposal still in the ring at Stop.
func (a *applier) Dropped(m event) {
	if m, ok := m.(proposeMsg); ok {
		m.proposal.Done(ledger.Verdict{}, api.Errorf(api.CodeLogUnavailable, "the daemon stopped"))
	}
}

func (a *applier) handleRead(m readMsg) {
	reply := readReply{atEnd: true}
	for _, batch := range m.batches {
		s, ok := a.streams[batch.Stream]
		if !ok {
			continue
		}
		before := s.fsm.AppliedOffset()
		verdicts := s.applyRead(batch.Entries, batch.Oldest)
		a.publishState(batch.Stream, before, batch.Entries)
		a.resolveVerdicts(verdicts)
		reply.positions = append(reply.positions, eventlog.Position{Stream: batch.Stream, Offset: s.nextOffset()})
		reply.atEnd = reply.atEnd && s.nextOffset() >= batch.Next
	}
	a.replica.synced.Store(a.streams[api.StreamConfig].synced)
	m.done.Put(reply)
}

func (a *applier) handleOffer(entries []eventlog.Entry) {
	s := a.streams[api.StreamConfig]
	before := s.fsm.AppliedOffset()
	verdicts := s.applyOffered(entries)
	a.publishState(api.StreamConfig, before, entries)
	a.resolveVerdicts(verdicts)
}

// installImage installs a peer's image. It may skip records of open proposals, whose
// verdicts it contains.
func (a *applier) installImage(state []byte) {
	s := a.streams[api.StreamConfig]
	before := s.fsm.AppliedOffset()
	if !s.installImage(state) {
		return
	}
	a.replica.synced.Store(true)
	a.publishState(api.StreamConfig, before, nil)
	for id := range a.proposals {
		if v, ok := a.config().VerdictOf(id); ok {
			a.finish(id, v, nil)
		}
	}
}

func (a *applier) image() []byte {
	state, err := json.Marshal(a.config().Image())
	if err != nil {
		return nil
	}
	return state
}

// publishState publishes the configuration if it has advanced.
func (a *applier) publishState(stream string, before api.Offset, entries []eventlog.Entry) {
	if stream != api.StreamConfig {
		return
	}
	state := a.config().Snapshot()
	previous := a.replica.state.Load()
	invariant.Check(state.AppliedOffset >= previous.AppliedOffset && state.PlansRevision >= previous.PlansRevision &&
		state.UsageRevision >= previous.UsageRevision, "config-never-reverts",
		"offset %d after %d, plans %d after %d, usage %d after %d", state.AppliedOffset, previous.AppliedOffset,
		state.PlansRevision, previous.PlansRevision, state.UsageRevision, previous.UsageRevision)
	if state.AppliedOffset == before {
		return
	}
	a.extendRecent(before, entries)
	a.replica.state.Store(state)
	configOffset.Set(int64(state.AppliedOffset))
	for _, w := range a.replica.watchers {
		w(state)
	}
}

// extendRecent keeps the newest entries, contiguous, for peers that are behind.
func (a *applier) extendRecent(before api.Offset, entries []eventlog.Entry) {
	recent := append([]eventlog.Entry(nil), *a.replica.recentEntries.Load()...)
	applied := a.config().AppliedOffset()
	for _, e := range entries {
		if e.Offset <= before || e.Offset > applied {
			continue
		}
		if n := len(recent); n > 0 && recent[n-1].Offset+1 != e.Offset {
			recent, a.recentBytes = nil, 0
		}
		recent = append(recent, e)
		a.recentBytes += len(e.Payload)
	}
	for len(recent) > 1 && a.recentBytes > maxRecentBytes {
		a.recentBytes -= len(recent[0].Payload)
		recent = recent[1:]
	}
	a.replica.recentEntries.Store(&recent)
}

// expire ends a proposal with CodeUnknownResult after its deadline and VerdictGrace.
func (a *applier) expire(id api.RecordID, p *openProposal, now time.Time) {
	if now.Before(p.Deadline.Add(a.replica.cfg.VerdictGrace)) {
		return
	}
	if !p.doneCalled {
		p.doneCalled = true
		p.Done(ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "record %s was not read from the log before its deadline", id))
	}
	if p.OnLateVerdict == nil || now.Sub(p.Deadline) > lateVerdictTimeout {
		delete(a.proposals, id)
	}
}

func (a *applier) propose(p Proposal) {
	rec, err := a.replica.record(p)
	if err != nil {
		p.Done(ledger.Verdict{}, err)
		return
	}
	a.proposals[rec.ID] = &openProposal{Proposal: p}
	err = a.replica.appender.Append(p.Stream, rec, p.Deadline, func(err error) { a.postAppended(rec.ID, err) })
	if err != nil {
		a.finish(rec.ID, ledger.Verdict{ID: rec.ID}, api.Errorf(api.CodeLogUnavailable, "not appended: %w", err))
	}
}

// postAppended posts a failed append to this duty. If the ring is full, the proposal
// ends as unknown after its deadline.
func (a *applier) postAppended(id api.RecordID, err error) {
	if err != nil {
		_ = a.replica.applier.Post(appendedMsg{id: id, err: err})
	}
}

// handleAppended ends a proposal whose record is not in the log. One that may be
// there waits until its deadline.
func (a *applier) handleAppended(m appendedMsg) {
	if api.CodeOf(m.err) == api.CodeLogUnavailable {
		a.finish(m.id, ledger.Verdict{ID: m.id}, m.err)
	}
}

func (a *applier) resolveVerdicts(verdicts []ledger.Verdict) {
	for _, v := range verdicts {
		recordsApplied.Add(1)
		if v.Err != nil {
			recordsRefused.Add(1)
		}
		a.finish(v.ID, v, nil)
	}
}

func (a *applier) finish(id api.RecordID, v ledger.Verdict, err error) {
	p, ok := a.proposals[id]
	if !ok {
		return
	}
	delete(a.proposals, id)
	switch {
	case !p.doneCalled:
		p.Done(v, err)
	case err == nil && p.OnLateVerdict != nil:
		p.OnLateVerdict(v)
	}
}

// checkpointSpread is the time over which daemons spread their checkpoints, so that
// the others read the first one's in time.
const checkpointSpread = 5 * time.Second

// checkpointIfDue proposes a checkpoint well before the records it replaces expire.
// Concurrent checkpoints of two daemons are safe.
func (a *applier) checkpointIfDue(name string, s *streamState, now time.Time) {
	interval := a.replica.cfg.CheckpointInterval
	schedule := a.schedules[name]
	if s.checkpointCount != schedule.checkpointCount {
		schedule.checkpointCount, schedule.lastCheckpoint, schedule.due = s.checkpointCount, now, time.Time{}
	}
	if !s.synced || interval <= 0 || s.fsm.AppliedOffset() == 0 || now.Sub(schedule.lastCheckpoint) < interval {
		return
	}
	if schedule.due.IsZero() {
		schedule.due = now.Add(time.Duration(a.replica.cfg.Jitter() * float64(checkpointSpread)))
	}
	if now.Before(schedule.due) {
		return
	}
	schedule.due = now.Add(checkpointSpread)
	a.proposeCheckpoint(name, s)
}

func (a *applier) proposeCheckpoint(name string, s *streamState) {
	state := a.image()
	if name == api.StreamClaims {
		state, _ = json.Marshal(a.claims().Image()) // cannot fail for this type
	}
	checkpointsProposed.Add(1)
	a.propose(Proposal{
		Stream: name, Actor: string(a.replica.cfg.Daemon),
		Body:     api.Checkpoint{AppliedOffset: s.fsm.AppliedOffset(), State: state},
		Deadline: a.replica.cfg.Now().Add(a.replica.cfg.ProposeTimeout),
		Done:     func(ledger.Verdict, error) {},
	})
}
