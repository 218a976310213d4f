package samples

import "dotterelmount.example/api"

// LoggedRecord is a record with its offset. A record that could not be decoded has
// no body.
type LoggedRecord struct {
	Offset api.Offset
	Record
}

// Replica folds a stream from where the log still begins. If records that it
// needs have expired it looks for a complete checkpoint, and folds on from
// there. Without one it folds what is left: the stream's report then says from
// where, and which steps are known to be missing.
type Replica struct {
	decode   func([]byte) (Image, error)
	stream   *Stream
	next     api.Offset
	front    api.Offset // oldest offset at the last gap
	scanning bool
	partial  bool
	synced   bool
	gaps     int
	complete int // checkpoints seen
	parts    map[string]*assembly
}

// maxAssemblies bounds the incomplete checkpoints that are remembered.
const maxAssemblies = 32

// assembly is a checkpoint whose parts are coming in.
type assembly struct {
	states [][]byte
	seen   []bool
	left   int
}

// NewReplica returns a replica that knows no record. decode is the inverse of
// the encoding of images in checkpoints.
func NewReplica(decode func([]byte) (Image, error)) *Replica {
	return &Replica{decode: decode, stream: NewStream(), next: 1, parts: make(map[string]*assembly)}
}

// Stream returns the folded state; a later Feed may replace it.
func (r *Replica) Stream() *Stream { return r.stream }

// NextOffset returns the offset to read from.
func (r *Replica) NextOffset() api.Offset { return r.next }

// Synced reports whether the end of the stream was seen since the last gap.
func (r *Replica) Synced() bool { return r.synced }

// Gaps counts how often needed records had expired, also at the first read.
func (r *Replica) Gaps() int { return r.gaps }

// Checkpoints counts the complete checkpoints seen.
func (r *Replica) Checkpoints() int { return r.complete }

// Feed takes what a read found: the oldest retained offset, the offset that
// the next append gets, and records in order. It returns the verdicts of those
// that it folded. Reading goes on at Next, which may lie before the last record.
func (r *Replica) Feed(oldest, end api.Offset, records []LoggedRecord) []Verdict {
	if oldest > r.next {
		r.gap(oldest)
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
		r.foldRest()
	}
	r.synced = r.synced || (!r.scanning && r.next >= end)
	return verdicts
}

// gap begins the search for a checkpoint.
func (r *Replica) gap(oldest api.Offset) {
	r.gaps++
	r.stream = NewStream()
	r.next, r.front = oldest, oldest
	r.scanning, r.partial, r.synced = true, false, false
	clear(r.parts)
}

// foldRest gives the search up: the records that are left are all there is.
func (r *Replica) foldRest() {
	r.scanning, r.partial = false, true
	r.stream = NewStream()
	r.stream.through, r.stream.gap = r.front-1, r.front-1
	r.next = r.front
	clear(r.parts)
}

// restore reports whether the state was taken from a checkpoint that this part
// completes. A replica that folded all records needs none.
func (r *Replica) restore(c *Checkpoint) bool {
	state, done := r.assemble(c)
	if !done || (!r.scanning && !r.partial) || c.AppliedOffset+1 < r.front {
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
			clear(r.parts) // their writers died; the next checkpoint counts
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
	r.complete++
	delete(r.parts, c.Key)
	for _, part := range a.states {
		state = append(state, part...)
	}
	return state, true
}

// MaxCheckpointParts bounds the parts of a checkpoint.
const MaxCheckpointParts = 256

// SplitCheckpoint makes the records of a checkpoint: parts of an encoded image of the
// state through an offset, each of at most size bytes.
// Errors: CodeTooLarge when there would be more than MaxParts.
func SplitCheckpoint(key string, through api.Offset, state []byte, size int) ([]Checkpoint, error) {
	n := (len(state) + size - 1) / size
	if n > MaxCheckpointParts {
		return nil, api.Errorf(api.CodeTooLarge, "checkpoint of %d bytes; allowed: %d", len(state), MaxCheckpointParts*size)
	}
	parts := make([]Checkpoint, 0, n)
	for i := range n {
		part := state[i*size : min(len(state), (i+1)*size)]
		parts = append(parts, Checkpoint{Key: key, AppliedOffset: through, Part: i, Parts: n, State: part})
	}
	return parts, nil
}
