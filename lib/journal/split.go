package journal

import "fmt"

// A record longer than the log allows is split into parts that are appended
// together. One byte before each part tells its place.
const (
	partWhole byte = iota
	partFirst
	partMiddle
	partLast
)

// Split returns a record's parts of at most limit bytes each; limit is 2 at least.
func Split(record []byte, limit int) [][]byte {
	room := limit - 1
	if len(record) <= room {
		return [][]byte{append([]byte{partWhole}, record...)}
	}
	var out [][]byte
	for kind := partFirst; len(record) > 0; kind = partMiddle {
		n := min(room, len(record))
		if n == len(record) {
			kind = partLast
		}
		out = append(out, append([]byte{kind}, record[:n]...))
		record = record[n:]
	}
	return out
}

// PartError reports a part that does not continue what came before.
type PartError struct{ Kind byte }

// Error implements error.
func (e *PartError) Error() string { return fmt.Sprintf("record part %d out of place", e.Kind) }

// Joiner puts parts together again.
type Joiner struct {
	open bool
	data []byte
}

// Add takes the next part and returns the record that it ends, or nil.
// Errors: *PartError, after which the parts so far are dropped.
func (j *Joiner) Add(part []byte) ([]byte, error) {
	if len(part) == 0 {
		return nil, &PartError{}
	}
	kind, data := part[0], part[1:]
	if j.open == (kind == partWhole || kind == partFirst) || kind > partLast {
		j.open, j.data = false, nil
		if kind == partMiddle || kind == partLast || kind > partLast {
			return nil, &PartError{Kind: kind}
		}
	}
	switch kind {
	case partWhole:
		return data, nil
	case partFirst:
		j.open, j.data = true, append([]byte(nil), data...)
		return nil, nil
	case partMiddle:
		j.data = append(j.data, data...)
		return nil, nil
	default:
		out := append(j.data, data...)
		j.open, j.data = false, nil
		return out, nil
	}
}
