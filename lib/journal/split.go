package journal

import "fmt"

// A record longer than the log allows is split into parts that are appended
// together. The first byte of each part is its kind.
const (
	partWhole byte = iota
	partFirst
	partMiddle
	partLast
)

// Split splits a record into parts of at most limit bytes each; limit must be at
// least 2.
func Split(record []byte, limit int) [][]byte {
	size := limit - 1
	if len(record) <= size {
		return [][]byte{append([]byte{partWhole}, record...)}
	}
	var out [][]byte
	for kind := partFirst; len(record) > 0; kind = partMiddle {
		n := min(size, len(record))
		if n == len(record) {
			kind = partLast
		}
		out = append(out, append([]byte{kind}, record[:n]...))
		record = record[n:]
	}
	return out
}

// PartError is returned for a part that does not continue the previous one.
type PartError struct{ Kind byte }

// Error implements error.
func (e *PartError) Error() string { return fmt.Sprintf("record part of kind %d out of order", e.Kind) }

// Joiner joins the parts of records.
type Joiner struct {
	open bool
	data []byte
}

// Open reports whether the last part belongs to a record that is not complete.
func (j *Joiner) Open() bool { return j.open }

// Add adds the next part. It returns the record if the part completes one, and nil
// otherwise. Errors: *PartError; the previous parts are dropped.
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
