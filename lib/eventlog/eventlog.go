// Package eventlog is the narrow interface to the platform's append-only log.
// Nothing is assumed of the log beyond order by offset within a stream: no
// conditional append, no exactly-once append. Records carry ids so that a
// reader can ignore the repeats that lost answers lead to.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
)

// Record is what a caller appends.
type Record struct {
	ID      api.RecordID `json:"id"`
	Payload []byte       `json:"payload"`
}

// Entry is a record with its place in the stream.
type Entry struct {
	Offset api.Offset `json:"offset"`
	// TimeMillis is the log's own wall clock at the append, in milliseconds
	// since the Unix epoch; it never decreases within a stream.
	TimeMillis int64 `json:"time_millis"`
	Record
}

// Position is the next offset wanted of a stream, at least 1.
type Position struct {
	Stream string     `json:"stream"`
	Offset api.Offset `json:"from"`
}

// Batch is what a read found in one stream.
type Batch struct {
	Stream  string  `json:"stream"`
	Entries []Entry `json:"entries"`
	// Oldest is the first offset still retained; Next is the offset that the
	// next append will get. A stream never appended to has 1 and 1.
	Oldest api.Offset `json:"oldest"`
	Next   api.Offset `json:"next"`
}

// Log appends and reads. All methods may be called from any thread.
type Log interface {
	// Append adds the records in order, next to each other, to the stream and
	// returns the offset of the first. Errors: *UnavailableError when nothing
	// was appended, *AmbiguousError when the records may have been appended.
	Append(ctx context.Context, stream string, records []Record) (api.Offset, error)
	// Read returns up to limit entries of each position's stream, waiting up
	// to wait for at least one entry in any of them. It returns one batch a
	// position, in order. When From is below a stream's Oldest the entries
	// start at Oldest. Errors: *UnavailableError.
	Read(ctx context.Context, positions []Position, limit int, wait time.Duration) ([]Batch, error)
}

// UnavailableError reports a call that had no effect on the log.
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

// AmbiguousError reports an append that may or may not have taken effect.
type AmbiguousError struct{ Cause error }

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("log append may have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }
