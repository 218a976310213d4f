package logbook

import (
	"encoding/json"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/recordcodec"
)

// fold is what both streams' folds have in common.
type fold interface {
	AppliedOffset() api.Offset
	Skip(offset api.Offset)
	Apply(offset api.Offset, timeMillis int64, r api.Record) ledger.Verdict
}

// restore builds a fold from the state of a checkpoint.
type restore func(state []byte) (fold, error)

func restoreConfig(state []byte) (fold, error) {
	var img ledger.Image
	if err := json.Unmarshal(state, &img); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "configuration checkpoint: %w", err)
	}
	return ledger.ConfigFSMFromImage(img), nil
}

func restoreClaims(state []byte) (fold, error) {
	var img ledger.ClaimsImage
	if err := json.Unmarshal(state, &img); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "claims checkpoint: %w", err)
	}
	return ledger.ClaimsFSMFromImage(img), nil
}

// streamState applies a stream's entries to its fold in offset order. It starts
// from the first offset, or, where the log no longer has that one, from a
// checkpoint and the entries around it. Its fold never goes backwards.
type streamState struct {
	fold    fold
	restore restore
	synced  bool // the fold holds the state of the stream, not just a part
	pending []eventlog.Entry
	// trace, if set, sees every record that is applied, with a revision lookup
	// before and after it.
	trace func(e eventlog.Entry, r api.Record, from, to api.Revision, v ledger.Verdict)
	// checkpoints counts the checkpoints seen in the stream.
	checkpoints int
}

// next returns the offset to read from.
func (f *streamState) next() api.Offset {
	if n := len(f.pending); n > 0 {
		return f.pending[n-1].Offset + 1
	}
	return f.fold.AppliedOffset() + 1
}

// feed takes a read's entries; oldest is the first offset the log retains.
func (f *streamState) feed(entries []eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	if f.fold.AppliedOffset()+1 < oldest {
		f.synced = false // records expired before they were read
	} else if len(f.pending) == 0 {
		f.synced = true
	}
	var out []ledger.Verdict
	for _, e := range entries {
		out = append(out, f.handleEntry(e, oldest)...)
	}
	return out
}

// offer takes entries learned from a peer; only the very next ones count.
func (f *streamState) offer(entries []eventlog.Entry) []ledger.Verdict {
	var out []ledger.Verdict
	for _, e := range entries {
		if f.synced && e.Offset == f.fold.AppliedOffset()+1 {
			out = append(out, f.apply(e))
		}
	}
	return out
}

// installImage replaces the fold by a peer's, if that one is ahead.
func (f *streamState) installImage(state []byte) bool {
	restored, err := f.restore(state)
	if err != nil || restored.AppliedOffset() <= f.fold.AppliedOffset() {
		return false
	}
	f.fold, f.synced, f.pending = restored, true, nil
	return true
}

func (f *streamState) handleEntry(e eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	through := f.fold.AppliedOffset()
	switch {
	case e.Offset <= through:
		return nil
	case f.synced && e.Offset == through+1:
		return []ledger.Verdict{f.apply(e)}
	}
	f.pending = append(f.pending, e)
	return f.tryRestore(e, oldest)
}

// tryRestore starts over from a checkpoint that reaches back no further than
// what the log still has. It is ahead of the fold, which is behind the gap.
func (f *streamState) tryRestore(e eventlog.Entry, oldest api.Offset) []ledger.Verdict {
	rec, err := recordcodec.Decode(e.ID, e.Payload)
	if err != nil {
		return nil
	}
	c, ok := rec.Body.(api.Checkpoint)
	if !ok || c.AppliedOffset+1 < oldest {
		return nil
	}
	restored, err := f.restore(c.State)
	if err != nil || restored.AppliedOffset() != c.AppliedOffset {
		return nil
	}
	f.fold, f.synced = restored, true
	pending := f.pending
	f.pending = nil
	var out []ledger.Verdict
	for _, p := range pending {
		if p.Offset == f.fold.AppliedOffset()+1 {
			out = append(out, f.apply(p))
		}
	}
	return out
}

func (f *streamState) apply(e eventlog.Entry) ledger.Verdict {
	rec, err := recordcodec.Decode(e.ID, e.Payload)
	if err != nil {
		f.fold.Skip(e.Offset)
		return ledger.Verdict{ID: e.ID, Offset: e.Offset, Err: err}
	}
	if _, ok := rec.Body.(api.Checkpoint); ok {
		f.checkpoints++
	}
	from := f.revision(rec.Body)
	v := f.fold.Apply(e.Offset, e.TimeMillis, rec)
	if f.trace != nil {
		f.trace(e, rec, from, f.revision(rec.Body), v)
	}
	return v
}

// revision returns the revision of the thing that a record is about; only a
// trace needs it.
func (f *streamState) revision(body api.RecordBody) api.Revision {
	config, ok := f.fold.(*ledger.ConfigFSM)
	if f.trace == nil || !ok {
		return 0
	}
	return revisionOf(config.Snapshot(), body)
}
