package samples

import "dotterelmount.example/api"

// LoggedRecord is a record with its offset. The body of a record that could not
// be decoded is nil.
type LoggedRecord struct {
	Offset api.Offset
	Record
}

// Replica maintains a Stream from the records that the log retains. If records
// that it needs have expired, it scans for a complete checkpoint and continues
// from there. Without one it applies the retained records; the stream's report
// then has the gap and the steps known to be missing.
type Replica struct {
	decode      func([]byte) (Image, error)
	stream      *Stream
	next        api.Offset
	gapEnd      api.Offset // oldest retained offset at the last gap
	scanning    bool
	partial     bool
	synced      bool
	gaps        int
	checkpoints int // complete checkpoints seen
	parts       map[string]*assembly
}

// maxAssemblies bounds the incomplete checkpoints in memory.
const maxAssemblies = 32

// assembly is an incomplete checkpoint.
type assembly struct {
	states [][]byte
	seen   []bool
	left   int
}

// NewReplica returns an empty replica. decode decodes the image of a checkpoint.
func NewReplica(decode func([]byte) (Image, error)) *Replica {
	return &Replica{decode: decode, stream: NewStream(), next: 1, parts: make(map[string]*assembly)}
}

// Stream returns the current state. Feed may replace it.
func (r *Replica) Stream() *Stream { return r.stream }

// NextOffset returns the offset to read from.
func (r *Replica) NextOffset() api.Offset { return r.next }

// Synced reports whether the replica reached the end of the stream since the
// last gap.
func (r *Replica) Synced() bool { return r.synced }

// Gaps returns how often needed records had expired, the first read included.
func (r *Replica) Gaps() int { return r.gaps }

// Checkpoints returns the number of complete checkpoints seen.
func (r *Replica) Checkpoints() int { return r.checkpoints }

// Feed takes the result of a read: the oldest retained offset, the offset of
// the next append, and records in order. It returns the verdicts of the records
// it applied. The next read starts at NextOffset, which may be before the last
// record.
func (r *Replica) Feed(oldest, end api.Offset, records []LoggedRecord) []Verdict {
	if oldest > r.next {
		r.startScan(oldest)
	}
	var verdicts []Verdict
	for i := range records {
		e := &records[i]
		if e.Offset < r.next {
			continue
		}
		r.next = e.Offset + 1
		if c, ok := e.Body.(Checkpoint); ok && r.restore(&c) {
			return verdicts
		}
		if !r.scanning {
			verdicts = append(verdicts, r.stream.Apply(e.Offset, e.Record))
		}
	}
	if r.scanning && r.next >= end {
		r.applyRemaining()
	}
	r.synced = r.synced || (!r.scanning && r.next >= end)
	return verdicts
}

// startScan resets the state and starts the scan for a checkpoint.
func (r *Replica) startScan(oldest api.Offset) {
	r.gaps++
	r.stream = NewStream()
	r.next, r.gapEnd = oldest, oldest
	r.scanning, r.partial, r.synced = true, false, false
	clear(r.parts)
}

// applyRemaining ends the scan without a checkpoint and restarts at the oldest
// retained record.
func (r *Replica) applyRemaining() {
	r.scanning, r.partial = false, true
	r.stream = NewStream()
	r.stream.appliedOffset, r.stream.gap = r.gapEnd-1, r.gapEnd-1
	r.next = r.gapEnd
	clear(r.parts)
}

// restore replaces the state if the part completes a checkpoint, and reports
// whether it did. A replica without a gap keeps its state.
func (r *Replica) restore(c *Checkpoint) bool {
	state, done := r.assemble(c)
	if !done || (!r.scanning && !r.partial) || c.AppliedOffset+1 < r.gapEnd {
		return false
	}
	img, err := r.decode(state)
	if err != nil || img.AppliedOffset != c.AppliedOffset {
		return false
	}
	stream, err := StreamFromImage(&img)
	if err != nil {
		return false
	}
	r.stream = stream
	r.next = c.AppliedOffset + 1
	r.scanning, r.partial, r.synced = false, false, false
	return true
}

func (r *Replica) assemble(c *Checkpoint) (state []byte, done bool) {
	if c.Parts < 1 || c.Parts > MaxCheckpointParts || c.Part < 0 || c.Part >= c.Parts {
		return nil, false
	}
	a := r.parts[c.Key]
	if a == nil {
		if len(r.parts) >= maxAssemblies {
			clear(r.parts) // the writers failed; a later checkpoint will be complete
		}
		a = &assembly{states: make([][]byte, c.Parts), seen: make([]bool, c.Parts), left: c.Parts}
		r.parts[c.Key] = a
	}
	if c.Part >= len(a.seen) || a.seen[c.Part] {
		return nil, false
	}
	a.seen[c.Part] = true
	a.left--
	if r.scanning || r.partial {
		a.states[c.Part] = c.State
	}
	if a.left > 0 {
		return nil, false
	}
	r.checkpoints++
	delete(r.parts, c.Key)
	for _, part := range a.states {
		state = append(state, part...)
	}
	return state, true
}

// MaxCheckpointParts is the largest number of parts of a checkpoint.
const MaxCheckpointParts = 256

// SplitCheckpoint splits an encoded image, taken after the record at offset
// applied, into checkpoint parts of at most size bytes. Errors: CodeTooLarge if
// it needs more than MaxCheckpointParts.
func SplitCheckpoint(key string, applied api.Offset, state []byte, size int) ([]Checkpoint, error) {
	n := (len(state) + size - 1) / size
	if n > MaxCheckpointParts {
		return nil, api.Errorf(api.CodeTooLarge, "checkpoint of %d bytes; allowed: %d", len(state), MaxCheckpointParts*size)
	}
	parts := make([]Checkpoint, 0, n)
	for i := range n {
		part := state[i*size : min(len(state), (i+1)*size)]
		parts = append(parts, Checkpoint{Key: key, AppliedOffset: applied, Part: i, Parts: n, State: part})
	}
	return parts, nil
}
