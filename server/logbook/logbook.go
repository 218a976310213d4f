// Package logbook keeps a daemon's copy of the platform's configuration and
// claims streams. A duty reads the log, another folds what was read; whoever
// proposes a change learns the verdict from the fold, never from the append.
//
// After a crash nothing is lost: the log holds all that was accepted, and a
// new daemon folds the same records to the same state.
package logbook

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
// Append itself fails: nil means appended at least once, CodeLogUnavailable
// surely never, CodeUnknownResult that it may have been.
type Appender interface {
	Append(stream string, r eventlog.Record, deadline time.Time, done func(error)) error
}

// Config of a Book.
type Config struct {
	Daemon         api.DaemonID
	RingSize       int           // entries of the fold's ring
	ReadWait       time.Duration // long-poll time
	ReadLimit      int           // entries a stream and read
	RetryInterval  time.Duration // pause after a failed read
	ProposeTimeout time.Duration // longest life of a proposal
	// VerdictGrace is how long after its deadline a proposal may still learn
	// from the appender that it surely is not in the log.
	VerdictGrace       time.Duration
	CheckpointInterval time.Duration // well below the log's retention
	NewID              func() api.RecordID
	Now                func() time.Time
	Jitter             func() float64 // in [0,1), spreads checkpoints over daemons
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
	lastContact   atomic.Pointer[time.Time] // when the log was asked that last had nothing newer
	watchers      []func(*ledger.State)
}

// Proposal asks for a record in the log.
type Proposal struct {
	ID       api.RecordID // of a proposal that is made again; empty: a new one
	Stream   string
	Body     api.RecordBody
	Actor    string
	Deadline time.Time // no append starts after it; at most Config.ProposeTimeout away
	// Done is called exactly once with the verdict, or with CodeLogUnavailable
	// when the record surely is not in the log, or with CodeUnknownResult.
	Done func(ledger.Verdict, error)
	// Late, if set, is called with the verdict when the record shows up in the
	// log after Done said that it was unknown.
	OnLateVerdict func(ledger.Verdict)
}

// event is a message to the folding duty.
type event interface{ isEvent() }

type (
	readMsg struct {
		batches []eventlog.Batch
		done    *ring.Slot[readReply]
	}
	readReply struct {
		next  []eventlog.Position // where to read on
		atEnd bool                // nothing was left to be read
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
		synced bool // the claims stream was read from its beginning or a checkpoint
	}
)

func (readMsg) isEvent()     {}
func (offerMsg) isEvent()    {}
func (installMsg) isEvent()  {}
func (imageMsg) isEvent()    {}
func (proposeMsg) isEvent()  {}
func (appendedMsg) isEvent() {}
func (claimMsg) isEvent()    {}

// applierTick is how often expired proposals and due checkpoints are looked for.
const applierTick = 100 * time.Millisecond

// Start spawns the duties. watchers are called on the folding duty's thread
// after each change of the configuration and must only post.
func Start(sys *duty.System, log eventlog.Log, app Appender, cfg Config, watchers ...func(*ledger.State)) *StateReplica {
	b := &StateReplica{cfg: cfg, appender: app, watchers: watchers}
	f := newFolder(b)
	b.state.Store(f.config().Snapshot())
	b.recentEntries.Store(&[]eventlog.Entry{})
	b.applier = duty.Start(sys, duty.Config{Name: "ledger", RingSize: cfg.RingSize, Tick: applierTick}, duty.Handler[event](f))
	r := &reader{replica: b, log: log}
	b.reader = duty.Start(sys, duty.Config{Name: "log-reader", RingSize: 1}, duty.Handler[pollMsg](r))
	_ = b.reader.Post(pollMsg{})
	return b
}

// State returns the configuration in force here; it is never nil.
func (b *StateReplica) State() *ledger.State { return b.state.Load() }

// Synced reports whether the state in force was learned, from the first record
// or from a checkpoint.
func (b *StateReplica) Synced() bool { return b.synced.Load() }

// LastLogContact returns when the log was last asked whose answer left nothing to
// be read; zero if it never was.
func (b *StateReplica) LastLogContact() time.Time {
	if t := b.lastContact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// AppliedOffset returns the configuration offset in force here.
func (b *StateReplica) AppliedOffset() api.Offset { return b.State().AppliedOffset }

// Tail returns up to limit of the most recent configuration entries from the
// given offset on, or none when it no longer has that one.
func (b *StateReplica) Tail(from api.Offset, limit int) []eventlog.Entry {
	tail := *b.recentEntries.Load()
	if len(tail) == 0 || from < tail[0].Offset {
		return nil
	}
	start := min(int(from-tail[0].Offset), len(tail))
	return tail[start:min(start+limit, len(tail))]
}

// Offer hands over configuration entries learned from a peer.
func (b *StateReplica) Offer(entries []eventlog.Entry) {
	_ = b.applier.Post(offerMsg{entries: entries}) // a full ring: the peer or the log tells again
}

// Image returns the encoded state of the configuration, from which a peer that
// cannot reach the log may start. Errors: CodeNotReady, CodeDeadlineExceeded.
func (b *StateReplica) Image(ctx context.Context) ([]byte, error) {
	if !b.Synced() {
		return nil, api.Errorf(api.CodeNotReady, "the configuration was not read yet")
	}
	slot := ring.NewSlot[[]byte]()
	if err := b.applier.PostWait(ctx, imageMsg{done: slot}); err != nil {
		return nil, api.Errorf(api.CodeNotReady, "image not made: %w", err)
	}
	state, err := slot.Wait(ctx)
	if err != nil {
		return nil, api.Errorf(api.CodeDeadlineExceeded, "image not made: %w", err)
	}
	return state, nil
}

// InstallImage hands over a peer's Image; one that is not ahead is ignored.
func (b *StateReplica) InstallImage(state []byte) {
	_ = b.applier.Post(installMsg{state: state}) // a full ring: the peer tells again
}

// Propose appends a record and waits for its verdict. Errors:
// CodeLogUnavailable when it surely is not in the log, CodeUnknownResult when
// it may be.
func (b *StateReplica) Propose(ctx context.Context, stream string, body api.RecordBody, actor string) (ledger.Verdict, error) {
	type reply struct {
		verdict ledger.Verdict
		err     error
	}
	slot := ring.NewSlot[reply]()
	deadline := b.cfg.Now().Add(b.cfg.ProposeTimeout)
	if last, ok := ctx.Deadline(); ok {
		left := last.Sub(b.cfg.Now())
		deadline = last.Add(-min(b.cfg.VerdictGrace, left/2))
	}
	err := b.ProposeAsync(Proposal{
		Stream: stream, Body: body, Actor: actor, Deadline: deadline,
		Done: func(v ledger.Verdict, err error) { slot.Put(reply{v, err}) },
	})
	if err != nil {
		return ledger.Verdict{}, err
	}
	r, err := slot.Wait(ctx)
	if err != nil {
		return ledger.Verdict{}, api.Errorf(api.CodeUnknownResult, "no verdict in time: %w", err)
	}
	return r.verdict, r.err
}

// ProposeAsync is Propose for duties: the callbacks come on another duty's
// thread and must only post. Errors: CodeLogUnavailable when the ring is full
// or closed; neither callback comes then.
func (b *StateReplica) ProposeAsync(p Proposal) error {
	if last := b.cfg.Now().Add(b.cfg.ProposeTimeout); p.Deadline.After(last) {
		p.Deadline = last
	}
	if err := b.applier.Post(proposeMsg{proposal: p}); err != nil {
		return api.Errorf(api.CodeLogUnavailable, "not proposed: %w", err)
	}
	return nil
}

// LookupClaim returns what the log says of a once-only request's key.
// Errors: CodeNotReady, CodeDeadlineExceeded.
func (b *StateReplica) LookupClaim(ctx context.Context, k ledger.ClaimKey) (ledger.ClaimState, bool, error) {
	slot := ring.NewSlot[claimReply]()
	if err := b.applier.PostWait(ctx, claimMsg{key: k, done: slot}); err != nil {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeNotReady, "claim not read: %w", err)
	}
	r, err := slot.Wait(ctx)
	if err != nil {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeDeadlineExceeded, "claim not read: %w", err)
	}
	if !r.synced {
		return ledger.ClaimState{}, false, api.Errorf(api.CodeNotReady, "the claims were not read yet")
	}
	return r.state, r.found, nil
}

// DutyStats returns the name, depth, capacity and rejections of each duty.
func (b *StateReplica) DutyStats() []duty.Stats {
	return []duty.Stats{b.applier.Stats(), b.reader.Stats()}
}

// Stop ends the duties. Errors: ctx.Err().
func (b *StateReplica) Stop(ctx context.Context) error {
	if err := b.reader.Stop(ctx); err != nil {
		return err
	}
	return b.applier.Stop(ctx)
}

// record builds the log's form of a proposal.
func (b *StateReplica) record(p Proposal) (eventlog.Record, error) {
	r := api.Record{
		ID: p.ID, Actor: p.Actor, AppendedBy: b.cfg.Daemon,
		CreatedMillis: api.UnixMillis(b.cfg.Now()), Body: p.Body,
	}
	if r.ID == "" {
		r.ID = b.cfg.NewID()
	}
	payload, err := recordcodec.Encode(r)
	if err != nil {
		return eventlog.Record{}, err
	}
	return eventlog.Record{ID: r.ID, Payload: payload}, nil
}
