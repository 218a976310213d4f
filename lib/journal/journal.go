// Package journal defines the interface to one partition of an append-only log
// with idempotent appends: they carry sequence numbers, so that repeating an append
// has no effect.
package journal

import (
	"context"
	"fmt"
	"time"
)

// Offset is the position of a record in the partition, starting at 0.
type Offset uint64

// Sequence identifies an append. The log applies each number of a producer once, in
// order.
type Sequence struct {
	Producer string // unique to a process run
	Number   uint64
}

// Page is the result of a read.
type Page struct {
	Oldest  Offset // offset of the oldest retained record
	End     Offset // offset of the next record to be appended
	Records [][]byte
}

// Journal appends and reads records. It is safe for concurrent use.
type Journal interface {
	// Append appends the records at consecutive offsets and returns the offset of
	// the first. Errors: *RefusedError, *AmbiguousError.
	Append(ctx context.Context, seq Sequence, records [][]byte) (Offset, error)
	// Read returns the records starting at an offset, and waits up to wait until
	// there is one. Errors: *TrimmedError, *RefusedError, *AmbiguousError.
	Read(ctx context.Context, from Offset, wait time.Duration) (Page, error)
}

// Fetcher reads single records. It is safe for concurrent use.
type Fetcher interface {
	// Fetch returns the record at an offset and the following ones up to a size
	// in bytes. Errors: as Journal.Read.
	Fetch(ctx context.Context, from Offset, bytes int) (Page, error)
}

// KeyedRecord is a record of a keyed topic. A nil Value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Keyed is a partition that keeps the newest record of each key for good. It is safe for
// concurrent use.
type Keyed interface {
	// Newest returns the newest record of every key, and the partition's end before the
	// first was read. The records are not a consistent snapshot. Errors: as Journal.Read.
	Newest(ctx context.Context) ([]KeyedRecord, Offset, error)
	// AppendAt appends the records together if the partition ends at an offset, and
	// returns its new end. Errors: *EndError, *RefusedError, *AmbiguousError.
	AppendAt(ctx context.Context, end Offset, records []KeyedRecord) (Offset, error)
}

// KeyedWriter is a Keyed that also takes records under no condition. It is safe for concurrent
// use.
type KeyedWriter interface {
	Keyed
	// Put appends the records together. After an *AmbiguousError it may be repeated, if the
	// records take no effect twice: the first call may still be executed later. Errors:
	// *RefusedError, *AmbiguousError.
	Put(ctx context.Context, records []KeyedRecord) error
}

// EndError is returned by an append under the condition that the partition ends at an
// offset, which it doesn't. It had no effect.
type EndError struct{ Expected Offset }

// Error implements error.
func (e *EndError) Error() string {
	return fmt.Sprintf("the partition doesn't end at offset %d", e.Expected)
}

// RefusedError is returned by a call that has had no effect and will have none.
type RefusedError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("journal %s refused: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// AmbiguousError is returned by a call without a response. The call may have taken
// effect or may do so later.
type AmbiguousError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("journal %s: no response: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// TrimmedError is returned by a read below the oldest retained record.
type TrimmedError struct{ Oldest Offset }

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer retained", e.Oldest)
}
