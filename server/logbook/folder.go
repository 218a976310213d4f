package logbook

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
	recordsFolded       = expvar.NewInt("log_records_folded")
	recordsRefused      = expvar.NewInt("log_records_refused")
	checkpointsProposed = expvar.NewInt("log_checkpoints_proposed")
	configOffset        = expvar.NewInt("config_offset_in_force")
)

// maxRecentBytes bounds the entries kept for peers that are behind.
const maxRecentBytes = 2 << 20

// openProposal waits for its record to come back in the fold.
type openProposal struct {
	Proposal
	doneCalled bool // Done was called; only Late is still owed
}

// lateVerdictWindow is how long after its deadline a record that may be in the log is
// still looked out for.
const lateVerdictWindow = 2 * time.Minute

// applier is the duty that owns both folds and the open proposals.
type applier struct {
	replica     *StateReplica
	streams     map[string]*streamState
	proposals   map[api.RecordID]*openProposal
	recentBytes int
	schedules   map[string]*checkpointSchedule
}

// checkpointSchedule says when a stream was last seen checkpointed and when this
// daemon would do it next. Both are local times: the log's clock may differ.
type checkpointSchedule struct {
	seen  int
	since time.Time
	due   time.Time
}

func newFolder(b *StateReplica) *applier {
	return &applier{
		replica: b,
		streams: map[string]*streamState{
			api.StreamConfig: {fold: ledger.NewConfigFSM(), restore: restoreConfig},
			api.StreamClaims: {fold: ledger.NewClaimsFSM(), restore: restoreClaims},
		},
		proposals: make(map[api.RecordID]*openProposal),
		schedules: map[string]*checkpointSchedule{
			api.StreamConfig: {since: b.cfg.Now()},
			api.StreamClaims: {since: b.cfg.Now()},
		},
	}
}

func (f *applier) config() *ledger.ConfigFSM {
	return f.streams[api.StreamConfig].fold.(*ledger.ConfigFSM)
}

func (f *applier) claims() *ledger.ClaimsFSM {
	return f.streams[api.StreamClaims].fold.(*ledger.ClaimsFSM)
}

// Handle processes one message.
func (f *applier) Handle(_ context.Context, m event) {
	switch m := m.(type) {
	case readMsg:
		f.read(m)
	case offerMsg:
		f.offer(m.entries)
	case installMsg:
		f.installImage(m.state)
	case imageMsg:
		m.done.Put(f.image())
	case proposeMsg:
		f.propose(m.proposal)
	case appendedMsg:
		f.appended(m)
	case claimMsg:
		state, found := f.claims().Get(m.key)
		m.done.Put(claimReply{state: state, found: found, synced: f.streams[api.StreamClaims].synced})
	}
}

// Tick ends expired proposals and proposes checkpoints that are due.
func (f *applier) Tick(context.Context) {
	now := f.replica.cfg.Now()
	for id, p := range f.proposals {
		f.expire(id, p, now)
	}
	for name, s := range f.streams {
		f.checkpoint(name, s, now)
	}
}

// Stopped ends the open proposals: their records may be in the log.
func (f *applier) Stopped() {
	for id := range f.proposals {
		f.finish(id, ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "the daemon stopped"))
	}
}

// Dropped ends the proposals still in the ring at the stop.
func (f *applier) Dropped(m event) {
	if m, ok := m.(proposeMsg); ok {
		m.proposal.Done(ledger.Verdict{}, api.Errorf(api.CodeLogUnavailable, "the daemon stopped"))
	}
}

func (f *applier) read(m readMsg) {
	reply := readReply{atEnd: true}
	for _, batch := range m.batches {
		s, ok := f.streams[batch.Stream]
		if !ok {
			continue
		}
		before := s.fold.AppliedOffset()
		f.resolveVerdicts(s.feed(batch.Entries, batch.Oldest))
		f.publishState(batch.Stream, before, batch.Entries)
		reply.next = append(reply.next, eventlog.Position{Stream: batch.Stream, Offset: s.next()})
		reply.atEnd = reply.atEnd && s.next() >= batch.Next
	}
	f.replica.synced.Store(f.streams[api.StreamConfig].synced)
	m.done.Put(reply)
}

func (f *applier) offer(entries []eventlog.Entry) {
	s := f.streams[api.StreamConfig]
	before := s.fold.AppliedOffset()
	f.resolveVerdicts(s.offer(entries))
	f.publishState(api.StreamConfig, before, entries)
}

// installImage takes over a peer's state, which may hold the verdicts on proposals
// whose records are passed over by it.
func (f *applier) installImage(state []byte) {
	s := f.streams[api.StreamConfig]
	before := s.fold.AppliedOffset()
	if !s.installImage(state) {
		return
	}
	f.replica.synced.Store(true)
	f.publishState(api.StreamConfig, before, nil)
	for id := range f.proposals {
		if v, ok := f.config().VerdictOf(id); ok {
			f.finish(id, v, nil)
		}
	}
}

func (f *applier) image() []byte {
	state, err := json.Marshal(f.config().Image())
	if err != nil {
		return nil
	}
	return state
}

// publishState publishes a new snapshot if the configuration moved on.
func (f *applier) publishState(stream string, before api.Offset, entries []eventlog.Entry) {
	if stream != api.StreamConfig {
		return
	}
	state := f.config().Snapshot()
	old := f.replica.state.Load()
	invariant.Check(state.AppliedOffset >= old.AppliedOffset && state.PlansRevision >= old.PlansRevision &&
		state.UsageRevision >= old.UsageRevision, "config-never-reverts",
		"through %d after %d, plans %d after %d, usage %d after %d", state.AppliedOffset, old.AppliedOffset,
		state.PlansRevision, old.PlansRevision, state.UsageRevision, old.UsageRevision)
	if state.AppliedOffset == before {
		return
	}
	f.extendRecent(before, entries)
	f.replica.state.Store(state)
	configOffset.Set(int64(state.AppliedOffset))
	for _, w := range f.replica.watchers {
		w(state)
	}
}

// extendRecent keeps the newest entries, contiguous, for peers that are behind.
func (f *applier) extendRecent(before api.Offset, entries []eventlog.Entry) {
	tail := append([]eventlog.Entry(nil), *f.replica.recentEntries.Load()...)
	through := f.config().AppliedOffset()
	for _, e := range entries {
		if e.Offset <= before || e.Offset > through {
			continue
		}
		if n := len(tail); n > 0 && tail[n-1].Offset+1 != e.Offset {
			tail, f.recentBytes = nil, 0
		}
		tail = append(tail, e)
		f.recentBytes += len(e.Payload)
	}
	for len(tail) > 1 && f.recentBytes > maxRecentBytes {
		f.recentBytes -= len(tail[0].Payload)
		tail = tail[1:]
	}
	f.replica.recentEntries.Store(&tail)
}

// expire tells a proposer at its deadline that the result is unknown.
func (f *applier) expire(id api.RecordID, p *openProposal, now time.Time) {
	if now.Before(p.Deadline.Add(f.replica.cfg.VerdictGrace)) {
		return
	}
	if !p.doneCalled {
		p.doneCalled = true
		p.Done(ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "record %s was not seen in the log in time", id))
	}
	if p.OnLateVerdict == nil || now.Sub(p.Deadline) > lateVerdictWindow {
		delete(f.proposals, id)
	}
}

func (f *applier) propose(p Proposal) {
	rec, err := f.replica.record(p)
	if err != nil {
		p.Done(ledger.Verdict{}, err)
		return
	}
	f.proposals[rec.ID] = &openProposal{Proposal: p}
	err = f.replica.appender.Append(p.Stream, rec, p.Deadline, func(err error) { f.postAppended(rec.ID, err) })
	if err != nil {
		f.finish(rec.ID, ledger.Verdict{ID: rec.ID}, api.Errorf(api.CodeLogUnavailable, "not appended: %w", err))
	}
}

// postAppended brings the appender's result back to this duty. When the ring stays
// full the proposal ends by its deadline as unknown.
func (f *applier) postAppended(id api.RecordID, err error) {
	if err != nil {
		_ = f.replica.applier.Post(appendedMsg{id: id, err: err})
	}
}

// appended ends a proposal that surely is not in the log. One that may be
// there goes on waiting for the fold until its deadline.
func (f *applier) appended(m appendedMsg) {
	if api.CodeOf(m.err) == api.CodeLogUnavailable {
		f.finish(m.id, ledger.Verdict{ID: m.id}, m.err)
	}
}

func (f *applier) resolveVerdicts(verdicts []ledger.Verdict) {
	for _, v := range verdicts {
		recordsFolded.Add(1)
		if v.Err != nil {
			recordsRefused.Add(1)
		}
		f.finish(v.ID, v, nil)
	}
}

func (f *applier) finish(id api.RecordID, v ledger.Verdict, err error) {
	p, ok := f.proposals[id]
	if !ok {
		return
	}
	delete(f.proposals, id)
	switch {
	case !p.doneCalled:
		p.Done(v, err)
	case err == nil && p.OnLateVerdict != nil:
		p.OnLateVerdict(v)
	}
}

// checkpointSpread spreads the daemons' checkpoints, so that the first one's
// is seen by the others before they propose theirs.
const checkpointSpread = 5 * time.Second

// checkpoint republishes a stream's state well before the records it rests on
// expire. Two daemons that do so at once do no harm.
func (f *applier) checkpoint(name string, s *streamState, now time.Time) {
	every := f.replica.cfg.CheckpointInterval
	p := f.schedules[name]
	if s.checkpoints != p.seen {
		p.seen, p.since, p.due = s.checkpoints, now, time.Time{}
	}
	if !s.synced || every <= 0 || s.fold.AppliedOffset() == 0 || now.Sub(p.since) < every {
		return
	}
	if p.due.IsZero() {
		p.due = now.Add(time.Duration(f.replica.cfg.Jitter() * float64(checkpointSpread)))
	}
	if now.Before(p.due) {
		return
	}
	p.due = now.Add(checkpointSpread)
	f.proposeCheckpoint(name, s)
}

func (f *applier) proposeCheckpoint(name string, s *streamState) {
	state := f.image()
	if name == api.StreamClaims {
		state, _ = json.Marshal(f.claims().Image()) // plain data always encodes
	}
	checkpointsProposed.Add(1)
	f.propose(Proposal{
		Stream: name, Actor: string(f.replica.cfg.Daemon),
		Body:     api.Checkpoint{AppliedOffset: s.fold.AppliedOffset(), State: state},
		Deadline: f.replica.cfg.Now().Add(f.replica.cfg.ProposeTimeout),
		Done:     func(ledger.Verdict, error) {},
	})
}
