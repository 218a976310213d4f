// Package eventlog defines the interface to the platform's append-only log. It
// assumes only that the records of a stream are ordered by offset; it needs neither
// conditional nor exactly-once appends. Records have IDs so that readers can ignore
// the duplicates of appends that were repeated because the response was lost.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
)

// Record is a record to append.
type Record struct {
	ID      api.RecordID `json:"id"`
	Payload []byte       `json:"payload"`
}

// Entry is a record with its position in the stream.
type Entry struct {
	Offset api.Offset `json:"offset"`
	// TimeMillis is the log's wall clock at the time of the append, in
	// milliseconds since the Unix epoch. It does not decrease within a stream.
	TimeMillis int64 `json:"time_millis"`
	Record
}

// Position is a stream and the offset, at least 1, at which to start reading.
type Position struct {
	Stream string     `json:"stream"`
	Offset api.Offset `json:"from"`
}

// Batch is the result of a read of one stream.
type Batch struct {
	Stream  string  `json:"stream"`
	Entries []Entry `json:"entries"`
	// Oldest is the first retained offset; Next is the offset of the next
	// append. Both are 1 for a stream without any appends.
	Oldest api.Offset `json:"oldest"`
	Next   api.Offset `json:"next"`
}

// Log is a set of append-only streams. It is safe for concurrent use.
type Log interface {
	// Append appends the records to the stream at consecutive offsets, and returns
	// the offset of the first. Errors: *UnavailableError if nothing was appended,
	// *AmbiguousError if the records may have been appended.
	Append(ctx context.Context, stream string, records []Record) (api.Offset, error)
	// Read returns one batch per position, in order, with up to limit entries
	// each. It waits up to wait until one of the streams has an entry. If the
	// offset of a position is below the stream's Oldest, the entries start at
	// Oldest. Errors: *UnavailableError.
	Read(ctx context.Context, positions []Position, limit int, wait time.Duration) ([]Batch, error)
}

// UnavailableError is returned by a call that had no effect on the log.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log %s unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError is returned by an append that may or may not have taken effect.
type AmbiguousError struct{ Cause error }

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("log append may have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }
