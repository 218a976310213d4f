package statereplica

import (
	"encoding/json"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/recordcodec"
)

// stateMachine is implemented by the state machines of both streams.
type stateMachine interface {
	AppliedOffset() api.Offset
	Skip(offset api.Offset)
	Apply(offset api.Offset, timeMillis int64, r api.Record) ledger.Verdict
}

// restoreFunc builds a state machine from the state in a checkpoint.
type restoreFunc func(state []byte) (stateMachine, error)

func restoreConfig(state []byte) (stateMachine, error) {
	var img ledger.Image
	if err := json.Unmarshal(state, &img); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "configuration checkpoint: %w", err)
	}
	return ledger.ConfigFSMFromImage(img), nil
}

func restoreClaims(state []byte) (stateMachine, error) {
	var img ledger.ClaimsImage
	if err := json.Unmarshal(state, &img); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "claims checkpoint: %w", err)
	}
	return ledger.ClaimsFSMFromImage(img), nil
}

// streamState applies a stream's entries in offset order. It starts from the first
// offset or, if that has expired, from a checkpoint and the entries around it. Its
// state never goes backwards.
type streamState struct {
	fsm     stateMachine
	restore restoreFunc
	synced  bool             // no records are missing from the state
	pending []eventlog.Entry // read while not synced
	// onApply, if set, is called with every applied record and the revision of its
	// subject before and after it.
	onApply         func(e eventlog.Entry, r api.Record, before, after api.Revision, v ledger.Verdict)
	checkpointCount int // checkpoints read from the stream
}

// nextOffset returns the offset to read from.
func (s *streamState) nextOffset() api.Offset {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].Offset + 1
	}
	return s.fsm.AppliedOffset() + 1
}

// applyRead applies the entries of a read; oldest is the first retained offset.
func (s *streamState) applyRead(entries []eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	if s.fsm.AppliedOffset()+1 < oldest {
		s.synced = false // records expired before they were read
	} else if len(s.pending) == 0 {
		s.synced = true
	}
	var out []ledger.Verdict
	for _, e := range entries {
		out = append(out, s.applyOrKeep(e, oldest)...)
	}
	return out
}

// applyOffered applies entries from a peer, but only those that come next.
func (s *streamState) applyOffered(entries []eventlog.Entry) []ledger.Verdict {
	var out []ledger.Verdict
	for _, e := range entries {
		if s.synced && e.Offset == s.fsm.AppliedOffset()+1 {
			out = append(out, s.apply(e))
		}
	}
	return out
}

// installImage replaces the state by a peer's, if that is ahead.
func (s *streamState) installImage(state []byte) bool {
	restored, err := s.restore(state)
	if err != nil || restored.AppliedOffset() <= s.fsm.AppliedOffset() {
		return false
	}
	s.fsm, s.synced, s.pending = restored, true, nil
	return true
}

// applyOrKeep applies an entry, or keeps it while entries before it are missing.
func (s *streamState) applyOrKeep(e eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	applied := s.fsm.AppliedOffset()
	switch {
	case e.Offset <= applied:
		return nil
	case s.synced && e.Offset == applied+1:
		return []ledger.Verdict{s.apply(e)}
	}
	s.pending = append(s.pending, e)
	return s.tryRestore(e, oldest)
}

// tryRestore restores the state from a checkpoint after which the log retains all
// records. Such a checkpoint is ahead of the state, which ends before the gap.
func (s *streamState) tryRestore(e eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	rec, err := recordcodec.Decode(e.ID, e.Payload)
	if err != nil {
		return nil
	}
	c, ok := rec.Body.(api.Checkpoint)
	if !ok || c.AppliedOffset+1 < oldest {
		return nil
	}
	restored, err := s.restore(c.State)
	if err != nil || restored.AppliedOffset() != c.AppliedOffset {
		return nil
	}
	s.fsm, s.synced = restored, true
	pending := s.pending
	s.pending = nil
	var out []ledger.Verdict
	for _, p := range pending {
		if p.Offset == s.fsm.AppliedOffset()+1 {
			out = append(out, s.apply(p))
		}
	}
	return out
}

func (s *streamState) apply(e eventlog.Entry) ledger.Verdict {
	rec, err := recordcodec.Decode(e.ID, e.Payload)
	if err != nil {
		s.fsm.Skip(e.Offset)
		return ledger.Verdict{ID: e.ID, Offset: e.Offset, Err: err}
	}
	if _, ok := rec.Body.(api.Checkpoint); ok {
		s.checkpointCount++
	}
	before := s.revision(rec.Body)
	v := s.fsm.Apply(e.Offset, e.TimeMillis, rec)
	if s.onApply != nil {
		s.onApply(e, rec, before, s.revision(rec.Body), v)
	}
	return v
}

// revision returns the revision of a record's subject; zero if onApply is not set.
func (s *streamState) revision(body api.RecordBody) api.Revision {
	config, ok := s.fsm.(*ledger.ConfigFSM)
	if s.onApply == nil || !ok {
		return 0
	}
	return revisionOf(config.Snapshot(), body)
}
