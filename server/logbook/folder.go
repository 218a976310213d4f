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
	recordsFolded    = expvar.NewInt("log_records_folded")
	recordsRefused   = expvar.NewInt("log_records_refused")
	checkpointsAsked = expvar.NewInt("log_checkpoints_proposed")
	configOffset     = expvar.NewInt("config_offset_in_force")
)

// maxTailBytes bounds the entries kept for peers that are behind.
const maxTailBytes = 2 << 20

// proposal waits for its record to come back in the fold.
type proposal struct {
	Proposal
	told bool // Done was called; only Late is still owed
}

// lateTime is how long after its deadline a record that may be in the log is
// still looked out for.
const lateTime = 2 * time.Minute

// folder is the duty that owns both folds and the open proposals.
type folder struct {
	book      *Book
	streams   map[string]*follower
	proposals map[api.RecordID]*proposal
	tailBytes int
	plans     map[string]*checkpointPlan
}

// checkpointPlan says when a stream was last seen checkpointed and when this
// daemon would do it next. Both are local times: the log's clock may differ.
type checkpointPlan struct {
	seen  int
	since time.Time
	due   time.Time
}

func newFolder(b *Book) *folder {
	return &folder{
		book: b,
		streams: map[string]*follower{
			api.StreamConfig: {fold: ledger.NewConfig(), restore: restoreConfig},
			api.StreamClaims: {fold: ledger.NewClaims(), restore: restoreClaims},
		},
		proposals: make(map[api.RecordID]*proposal),
		plans: map[string]*checkpointPlan{
			api.StreamConfig: {since: b.cfg.Now()},
			api.StreamClaims: {since: b.cfg.Now()},
		},
	}
}

func (f *folder) config() *ledger.Config { return f.streams[api.StreamConfig].fold.(*ledger.Config) }

func (f *folder) claims() *ledger.Claims { return f.streams[api.StreamClaims].fold.(*ledger.Claims) }

// Handle processes one message.
func (f *folder) Handle(_ context.Context, m event) {
	switch m := m.(type) {
	case readMsg:
		f.read(m)
	case offerMsg:
		f.offer(m.entries)
	case adoptMsg:
		f.adopt(m.state)
	case stateMsg:
		m.done.Put(f.image())
	case proposeMsg:
		f.propose(m.proposal)
	case appendedMsg:
		f.appended(m)
	case claimMsg:
		state, found := f.claims().Get(m.key)
		m.done.Put(claimReply{state: state, found: found, known: f.streams[api.StreamClaims].known})
	}
}

// Tick ends expired proposals and proposes checkpoints that are due.
func (f *folder) Tick(context.Context) {
	now := f.book.cfg.Now()
	for id, p := range f.proposals {
		f.expire(id, p, now)
	}
	for name, s := range f.streams {
		f.checkpoint(name, s, now)
	}
}

// Stopped ends the open proposals: their records may be in the log.
func (f *folder) Stopped() {
	for id := range f.proposals {
		f.finish(id, ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "the daemon stopped"))
	}
}

// Dropped ends the proposals still in the ring at the stop.
func (f *folder) Dropped(m event) {
	if m, ok := m.(proposeMsg); ok {
		m.proposal.Done(ledger.Verdict{}, api.Errorf(api.CodeLogUnavailable, "the daemon stopped"))
	}
}

func (f *folder) read(m readMsg) {
	reply := readReply{atEnd: true}
	for _, batch := range m.batches {
		s, ok := f.streams[batch.Stream]
		if !ok {
			continue
		}
		before := s.fold.Through()
		f.settle(s.feed(batch.Entries, batch.Oldest))
		f.changed(batch.Stream, before, batch.Entries)
		reply.next = append(reply.next, eventlog.Position{Stream: batch.Stream, From: s.next()})
		reply.atEnd = reply.atEnd && s.next() >= batch.Next
	}
	f.book.known.Store(f.streams[api.StreamConfig].known)
	m.done.Put(reply)
}

func (f *folder) offer(entries []eventlog.Entry) {
	s := f.streams[api.StreamConfig]
	before := s.fold.Through()
	f.settle(s.offer(entries))
	f.changed(api.StreamConfig, before, entries)
}

// adopt takes over a peer's state, which may hold the verdicts on proposals
// whose records are passed over by it.
func (f *folder) adopt(state []byte) {
	s := f.streams[api.StreamConfig]
	before := s.fold.Through()
	if !s.adopt(state) {
		return
	}
	f.book.known.Store(true)
	f.changed(api.StreamConfig, before, nil)
	for id := range f.proposals {
		if v, ok := f.config().VerdictOf(id); ok {
			f.finish(id, v, nil)
		}
	}
}

func (f *folder) image() []byte {
	state, err := json.Marshal(f.config().Image())
	if err != nil {
		return nil
	}
	return state
}

// changed publishes a new snapshot if the configuration moved on.
func (f *folder) changed(stream string, before api.Offset, entries []eventlog.Entry) {
	if stream != api.StreamConfig {
		return
	}
	state := f.config().Snapshot()
	old := f.book.state.Load()
	invariant.Check(state.Through >= old.Through && state.PlansRevision >= old.PlansRevision &&
		state.UsageRevision >= old.UsageRevision, "config-never-reverts",
		"through %d after %d, plans %d after %d, usage %d after %d", state.Through, old.Through,
		state.PlansRevision, old.PlansRevision, state.UsageRevision, old.UsageRevision)
	if state.Through == before {
		return
	}
	f.extendTail(before, entries)
	f.book.state.Store(state)
	configOffset.Set(int64(state.Through))
	for _, w := range f.book.watchers {
		w(state)
	}
}

// extendTail keeps the newest entries, contiguous, for peers that are behind.
func (f *folder) extendTail(before api.Offset, entries []eventlog.Entry) {
	tail := append([]eventlog.Entry(nil), *f.book.tail.Load()...)
	through := f.config().Through()
	for _, e := range entries {
		if e.Offset <= before || e.Offset > through {
			continue
		}
		if n := len(tail); n > 0 && tail[n-1].Offset+1 != e.Offset {
			tail, f.tailBytes = nil, 0
		}
		tail = append(tail, e)
		f.tailBytes += len(e.Payload)
	}
	for len(tail) > 1 && f.tailBytes > maxTailBytes {
		f.tailBytes -= len(tail[0].Payload)
		tail = tail[1:]
	}
	f.book.tail.Store(&tail)
}

// expire tells a proposer at its deadline that the result is unknown.
func (f *folder) expire(id api.RecordID, p *proposal, now time.Time) {
	if now.Before(p.Deadline.Add(f.book.cfg.VerdictGrace)) {
		return
	}
	if !p.told {
		p.told = true
		p.Done(ledger.Verdict{ID: id}, api.Errorf(api.CodeUnknownResult, "record %s was not seen in the log in time", id))
	}
	if p.Late == nil || now.Sub(p.Deadline) > lateTime {
		delete(f.proposals, id)
	}
}

func (f *folder) propose(p Proposal) {
	rec, err := f.book.record(p)
	if err != nil {
		p.Done(ledger.Verdict{}, err)
		return
	}
	f.proposals[rec.ID] = &proposal{Proposal: p}
	err = f.book.app.Append(p.Stream, rec, p.Deadline, func(err error) { f.post(rec.ID, err) })
	if err != nil {
		f.finish(rec.ID, ledger.Verdict{ID: rec.ID}, api.Errorf(api.CodeLogUnavailable, "not appended: %w", err))
	}
}

// post brings the appender's result back to this duty. When the ring stays
// full the proposal ends by its deadline as unknown.
func (f *folder) post(id api.RecordID, err error) {
	if err != nil {
		_ = f.book.folder.Post(appendedMsg{id: id, err: err})
	}
}

// appended ends a proposal that surely is not in the log. One that may be
// there goes on waiting for the fold until its deadline.
func (f *folder) appended(m appendedMsg) {
	if api.CodeOf(m.err) == api.CodeLogUnavailable {
		f.finish(m.id, ledger.Verdict{ID: m.id}, m.err)
	}
}

func (f *folder) settle(verdicts []ledger.Verdict) {
	for _, v := range verdicts {
		recordsFolded.Add(1)
		if v.Err != nil {
			recordsRefused.Add(1)
		}
		f.finish(v.ID, v, nil)
	}
}

func (f *folder) finish(id api.RecordID, v ledger.Verdict, err error) {
	p, ok := f.proposals[id]
	if !ok {
		return
	}
	delete(f.proposals, id)
	switch {
	case !p.told:
		p.Done(v, err)
	case err == nil && p.Late != nil:
		p.Late(v)
	}
}

// maxCheckpointDelay spreads the daemons' checkpoints, so that the first one's
// is seen by the others before they propose theirs.
const maxCheckpointDelay = 5 * time.Second

// checkpoint republishes a stream's state well before the records it rests on
// expire. Two daemons that do so at once do no harm.
func (f *folder) checkpoint(name string, s *follower, now time.Time) {
	every := f.book.cfg.CheckpointEvery
	p := f.plans[name]
	if s.checkpoints != p.seen {
		p.seen, p.since, p.due = s.checkpoints, now, time.Time{}
	}
	if !s.known || every <= 0 || s.fold.Through() == 0 || now.Sub(p.since) < every {
		return
	}
	if p.due.IsZero() {
		p.due = now.Add(time.Duration(f.book.cfg.Jitter() * float64(maxCheckpointDelay)))
	}
	if now.Before(p.due) {
		return
	}
	p.due = now.Add(maxCheckpointDelay)
	f.proposeCheckpoint(name, s)
}

func (f *folder) proposeCheckpoint(name string, s *follower) {
	state := f.image()
	if name == api.StreamClaims {
		state, _ = json.Marshal(f.claims().Image()) // plain data always encodes
	}
	checkpointsAsked.Add(1)
	f.propose(Proposal{
		Stream: name, Actor: string(f.book.cfg.Daemon),
		Body:     api.Checkpoint{Through: s.fold.Through(), State: state},
		Deadline: f.book.cfg.Now().Add(f.book.cfg.ProposeTimeout),
		Done:     func(ledger.Verdict, error) {},
	})
}
