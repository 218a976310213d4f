// Package statereplica keeps a daemon's replica of the platform's configuration and
// claims streams. One duty reads the log, another applies the records. The verdict
// on a proposal comes from applying its record, never from the append.
//
// A crash loses nothing: the log holds all accepted records, and a new daemon
// reaches the same state by applying them.
package statereplica

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/recordcodec"
	"dotterelmount.example/lib/ring"
)

// Appender queues a record for the log. done is called exactly once unless
// Append itself fails: nil means appended at least once, CodeLogUnavailable never,
// CodeUnknownResult that it may have been.
type Appender interface {
	Append(stream string, r eventlog.Record, deadline time.Time, done func(error)) error
}

// Config configures a StateReplica.
type Config struct {
	Daemon         api.DaemonID
	RingSize       int           // of the duty that applies records
	ReadWait       time.Duration // long-poll time
	ReadLimit      int           // entries of one stream in one read
	RetryInterval  time.Duration // after a failed read
	ProposeTimeout time.Duration // maximum time from a proposal to its deadline
	// VerdictGrace is how long after its deadline a proposal waits for the
	// appender's result.
	VerdictGrace       time.Duration
	CheckpointInterval time.Duration // well below the log's retention; zero or less: none
	NewID              func() api.RecordID
	Now                func() time.Time
	Jitter             func() float64 // in [0, 1); spreads the daemons' checkpoints
}

// StateReplica is the handle of the duties.
type StateReplica struct {
	cfg      Config
	appender Appender
	applier  *duty.Duty[event]
	reader   *duty.Duty[pollMsg]

	state         atomic.Pointer[ledger.State]
	recentEntries atomic.Pointer[[]eventlog.Entry]
	synced        atomic.Bool
	lastContact   atomic.Pointer[time.Time] // start of the last read that reached the end
	watchers      []func(*ledger.State)
}

// Proposal is a record proposed for a stream of the log.
type Proposal struct {
	ID       api.RecordID // set when a proposal is repeated; empty: a new ID
	Stream   string
	Body     api.RecordBody
	Actor    string
	Deadline time.Time // no append starts after it; at most Config.ProposeTimeout away
	// Done is called exactly once: with the verdict, with CodeLogUnavailable when
	// the record is not in the log, or with CodeUnknownResult.
	Done func(ledger.Verdict, error)
	// OnLateVerdict, if set, is called when the record is read from the log after
	// Done was called with CodeUnknownResult.
	OnLateVerdict func(ledger.Verdict)
}

// event is a message to the duty that applies records.
type event interface{ isEvent() }

type (
	readMsg struct {
		batches []eventlog.Batch
		done    *ring.Slot[readReply]
	}
	readReply struct {
		positions []eventlog.Position // of the next read
		atEnd     bool                // the batches reached the end of all streams
	}
	offerMsg    struct{ entries []eventlog.Entry }
	installMsg  struct{ state []byte }
	imageMsg    struct{ done *ring.Slot[[]byte] }
	proposeMsg  struct{ proposal Proposal }
	appendedMsg struct {
		id  api.RecordID
		err error
	}
	claimMsg struct {
		key  ledger.ClaimKey
		done *ring.Slot[claimReply]
	}
	claimReply struct {
		state  ledger.ClaimState
		found  bool
		synced bool // no claims are missing
	}
)

func (readMsg) isEvent()     {}
func (offerMsg) isEvent()    {}
func (installMsg) isEvent()  {}
func (imageMsg) isEvent()    {}
func (proposeMsg) isEvent()  {}
func (appendedMsg) isEvent() {}
func (claimMsg) isEvent()    {}

// applierTick is the interval between checks for expired proposals and due
// checkpoints.
const applierTick = 100 * time.Millisecond

// Start starts the duties. watchers are called after each change of the
// configuration, on the applying duty's thread, and must not block.
func Start(sys *duty.System, log eventlog.Log, app Appender, cfg Config, watchers ...func(*ledger.State)) *StateReplica {
	sr := &StateReplica{cfg: cfg, appender: app, watchers: watchers}
	a := newApplier(sr)
	sr.state.Store(a.config().Snapshot())
	sr.recentEntries.Store(&[]eventlog.Entry{})
	sr.applier = duty.Start(sys, duty.Config{Name: "ledger", RingSize: cfg.RingSize, Tick: applierTick}, duty.Handler[event](a))
	r := &reader{replica: sr, log: log}
	sr.reader = duty.Start(sys, duty.Config{Name: "log-reader", RingSize: 1}, duty.Handler[pollMsg](r))
	_ = sr.reader.Post(pollMsg{})
	return sr
}

// State returns the current configuration of this daemon; it is never nil.
func (s *StateReplica) State() *ledger.State { return s.state.Load() }

// Synced reports whether the configuration is known from the first record on, or
// from a checkpoint or image.
func (s *StateReplica) Synced() bool { return s.synced.Load() }

// LastLogContact returns the start of the last read that reached the end of the
// log; zero if there was none.
func (s *StateReplica) LastLogContact() time.Time {
	if t := s.lastContact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// AppliedOffset returns the offset of the last applied configuration record.
func (s *StateReplica) AppliedOffset() api.Offset { return s.State().AppliedOffset }

// Tail returns up to limit recent configuration entries, starting at offset from. It
// returns none if the entry at from is no longer kept.
func (s *StateReplica) Tail(from api.Offset, limit int) []eventlog.Entry {
	recent := *s.recentEntries.Load()
	if len(recent) == 0 || from < recent[0].Offset {
		return nil
	}
	start := min(int(from-recent[0].Offset), len(recent))
	return recent[start:min(start+limit, len(recent))]
}

// Offer queues configuration entries received from a peer.
func (s *StateReplica) Offer(entries []eventlog.Entry) {
	_ = s.applier.Post(offerMsg{entries: entries}) // if the ring is full, a peer or the log provides them again
}

// Image returns the encoded configuration, for peers that cannot reach the log.
// Errors: CodeNotReady, CodeDeadlineExceeded.
func (s *StateReplica) Image(ctx context.Context) ([]byte, error) {
	if !s.Synced() {
		return nil, api.Errorf(api.CodeNotReady, "the configuration has not been read yet")
	}
	slot := ring.NewSlot[[]byte]()
	if err := s.applier.PostWait(ctx, imageMsg{done: slot}); err != nil {
		return nil, api.Errorf(api.CodeNotReady, "configuration image not created: %w", err)
	}
	state, err := slot.Wait(ctx)
	if err != nil {
		return nil, api.Errorf(api.CodeDeadlineExceeded, "configuration image not created: %w", err)
	}
	return state, nil
}

// InstallImage queues a peer's Image; one that is not ahead is ignored.
func (s *StateReplica) InstallImage(state []byte) {
	_ = s.applier.Post(installMsg{state: state}) // if the ring is full, the peer provides it again
}

// Propose appends a record and waits for its verdict. Errors:
// CodeLogUnavailable when the record is not in the log, CodeUnknownResult when
// it may be.
func (s *StateReplica) Propose(ctx context.Context, stream string, body api.RecordBody, actor string) (ledger.Verdict, error) {
	type reply struct {
		verdict ledger.Verdict
		err     error
	}
	slot := ring.NewSlot[reply]()
	deadline := s.cfg.Now().Add(s.cfg.ProposeTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok {
		remaining := ctxDeadline.Sub(s.cfg.Now())
		deadline = ctxDeadline.Add(-min(s.cfg.VerdictGrace, remaining/2))
	}
	err := s.ProposeAsync(Proposal{
		Stream: stream, Body: body, Actor: actor, Deadline: deadline,
		Done: func(v ledger.Verdict, err error) { slot.Put(reply{v, err}) },
	})
	if err != nil {
		return ledger.Verdict{}, err
	}
	r, err := slot.Wait(ctx)
	if err != nil {
		return ledger.Verdict{}, api.Errorf(api.CodeUnknownResult, "no verdict before the deadline: %w", err)
	}
	return r.verdict, r.err
}

// ProposeAsync is Propose without waiting. The callbacks run on another duty's
// thread and must not block. Errors: CodeLogUnavailable when the ring is full or
// closed; no callback is called then.
func (s *StateReplica) ProposeAsync(p Proposal) error {
	if latest := s.cfg.Now().Add(s.cfg.ProposeTimeout); p.Deadline.After(latest) {
		p.Deadline = latest
	}
	if err := s.applier.Post(proposeMsg{proposal: p}); err != nil {
		return api.Errorf(api.CodeLogUnavailable, "not proposed: %w", err)
	}
	return nil
}

// LookupClaim returns the claim on a once-only request's key, if any.
// Errors: CodeNotReady, CodeDeadlineExceeded.
func (s *StateReplica) LookupClaim(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error) {
	slot := ring.NewSlot[claimReply]()
	if err := s.applier.PostWait(ctx, claimMsg{key: k, done: slot}); err != nil {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeNotReady, "claim not looked up: %w", err)
	}
	r, err := slot.Wait(ctx)
	if err != nil {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeDeadlineExceeded, "claim not looked up: %w", err)
	}
	if !r.synced {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeNotReady, "the claims have not been read yet")
	}
	return r.state, r.found, nil
}

// DutyStats returns the statistics of each duty's ring.
func (s *StateReplica) DutyStats() []duty.Stats {
	return []duty.Stats{s.applier.Stats(), s.reader.Stats()}
}

// Stop ends the duties. Errors: ctx.Err().
func (s *StateReplica) Stop(ctx context.Context) error {
	if err := s.reader.Stop(ctx); err != nil {
		return err
	}
	return s.applier.Stop(ctx)
}

// record encodes a proposal as a log record.
func (s *StateReplica) record(p Proposal) (eventlog.Record, error) {
	r := api.Record{
		ID: p.ID, Actor: p.Actor, AppendedBy: s.cfg.Daemon,
		CreatedMillis: api.UnixMillis(s.cfg.Now()), Body: p.Body,
	}
	if r.ID == "" {
		r.ID = s.cfg.NewID()
	}
	payload, err := recordcodec.Encode(r)
	if err != nil {
		return eventlog.Record{}, err
	}
	return eventlog.Record{ID: r.ID, Payload: payload}, nil
}
