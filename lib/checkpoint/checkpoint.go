// Package checkpoint splits a checkpoint into the records of a keyed topic, which keeps
// the newest record of each key for good, and joins them. The records of a checkpoint don't
// replace those of the one before: the head, which is written last, names the ones that
// count. The package does no I/O.
package checkpoint

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dotterelmount.example/lib/journal"
	"github.com/cespare/xxhash/v2"
)

const (
	headKey = "head"
	// maxParts bounds the parts of a checkpoint.
	maxParts = 4096
	// keyBytes is the space left for the key in a record.
	keyBytes = 16
	// recordFraming is the size of the lengths of a record and its key.
	recordFraming = 5
)

// slots are the prefixes of the keys of the parts, which checkpoints use by turns.
var slots = [...]string{"a", "b"}

// Head describes the newest checkpoint.
type Head struct {
	// Next is the offset of the first journal record that the checkpoint doesn't include.
	Next  journal.Offset `json:"next"`
	Slot  string         `json:"slot"`
	Parts int            `json:"parts"`
	Bytes int            `json:"bytes"`
	Hash  uint64         `json:"hash,string"` // XXH64 of the data
}

// MissingError is returned if the topic has no checkpoint.
type MissingError struct{}

// Error implements error.
func (e *MissingError) Error() string { return "there is no checkpoint" }

// DamagedError is returned for a checkpoint that can't be read. If the topic was read
// while a daemon wrote it, it can be read later.
type DamagedError struct{ Reason string }

// Error implements error.
func (e *DamagedError) Error() string { return "damaged checkpoint: " + e.Reason }

// TooLargeError is returned for a checkpoint that has too many parts.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a checkpoint of %d bytes has more than %d parts", e.Bytes, maxParts)
}

// Split returns the records of a checkpoint, each of at most limit bytes, the head last.
// before is the head of the checkpoint that it follows, nil if there is none; next is as
// in Head. Errors: *TooLargeError.
func Split(before *Head, next journal.Offset, data []byte, limit int) ([]journal.KeyedRecord, Head, error) {
	h := Head{Next: next, Slot: slots[0], Bytes: len(data), Hash: xxhash.Sum64(data)}
	if before != nil && before.Slot == slots[0] {
		h.Slot = slots[1]
	}
	size := max(1, limit-keyBytes)
	var out []journal.KeyedRecord
	for rest := data; len(rest) > 0; h.Parts++ {
		n := min(size, len(rest))
		out = append(out, journal.KeyedRecord{Key: partKey(h.Slot, h.Parts), Value: rest[:n]})
		rest = rest[n:]
	}
	if h.Parts > maxParts {
		return nil, h, &TooLargeError{Bytes: len(data)}
	}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, h, &DamagedError{Reason: err.Error()}
	}
	return append(out, journal.KeyedRecord{Key: headKey, Value: value}), h, nil
}

// Surplus returns records that delete parts left by an earlier, longer checkpoint in the
// slot of a head. records are those that the topic has.
func Surplus(records []journal.KeyedRecord, h Head) []journal.KeyedRecord {
	var out []journal.KeyedRecord
	for _, r := range records {
		slot, number, ok := strings.Cut(r.Key, "/")
		n, err := strconv.Atoi(number)
		if ok && err == nil && slot == h.Slot && n >= h.Parts && len(r.Value) > 0 {
			out = append(out, journal.KeyedRecord{Key: r.Key})
		}
	}
	return out
}

// Batch returns the number of the first records that fit into an append of limit bytes, at
// least one.
func Batch(records []journal.KeyedRecord, limit int) int {
	size := 0
	for n, r := range records {
		size += len(r.Key) + len(r.Value) + recordFraming
		if size > limit {
			return max(1, n)
		}
	}
	return len(records)
}

// Keys returns the keys that a topic has, from its records and newer ones, as records for
// Surplus, which needs no values.
func Keys(records, newer []journal.KeyedRecord) []journal.KeyedRecord {
	var out []journal.KeyedRecord
	known := make(map[string]bool)
	for _, r := range slices.Concat(records, newer) {
		if !known[r.Key] && len(r.Value) > 0 {
			known[r.Key] = true
			out = append(out, journal.KeyedRecord{Key: r.Key, Value: []byte{1}})
		}
	}
	return out
}

func partKey(slot string, n int) string { return slot + "/" + strconv.Itoa(n) }

// ReadHead returns the head among the newest records of the topic. Errors: *MissingError,
// *DamagedError.
func ReadHead(records []journal.KeyedRecord) (Head, error) {
	var h Head
	for _, r := range records {
		if r.Key != headKey || len(r.Value) == 0 {
			continue
		}
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return h, &DamagedError{Reason: "head: " + err.Error()}
		}
		if h.Parts < 0 || h.Parts > maxParts || h.Bytes < 0 {
			return h, &DamagedError{Reason: fmt.Sprintf("head names %d parts and %d bytes", h.Parts, h.Bytes)}
		}
		return h, nil
	}
	return h, &MissingError{}
}

// Join returns the data of the newest checkpoint from the newest records of the topic.
// Errors: *MissingError, *DamagedError.
func Join(records []journal.KeyedRecord) (Head, []byte, error) {
	h, err := ReadHead(records)
	if err != nil {
		return h, nil, err
	}
	parts := make(map[string][]byte, len(records))
	for _, r := range records {
		parts[r.Key] = r.Value
	}
	var data []byte
	for n := range h.Parts {
		data = append(data, parts[partKey(h.Slot, n)]...)
	}
	if len(data) != h.Bytes || xxhash.Sum64(data) != h.Hash {
		return h, nil, &DamagedError{Reason: fmt.Sprintf("%d parts with %d bytes don't match the head, which names %d bytes", h.Parts, len(data), h.Bytes)}
	}
	return h, data, nil
}
