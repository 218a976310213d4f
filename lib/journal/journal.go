// Package journal is the narrow interface to one partition of an append-only
// log whose appends carry sequence numbers, so that an append can be repeated
// without taking effect twice.
package journal

import (
	"context"
	"fmt"
	"time"
)

// Offset numbers a record of the partition, from 0, without gaps.
type Offset uint64

// Sequence makes an append repeatable: the log carries out each number of a
// producer once, in order.
type Sequence struct {
	Producer string // unique to one run of a process
	Number   uint64
}

// Page is what a read found.
type Page struct {
	Oldest  Offset // oldest record retained
	End     Offset // offset that the next record will get
	Records [][]byte
}

// Journal appends and reads. All methods may be called from any thread.
type Journal interface {
	// Append adds the records next to each other and returns the offset of the
	// first. Errors: *RefusedError, *UnknownError.
	Append(ctx context.Context, seq Sequence, records [][]byte) (Offset, error)
	// Read returns records from an offset on, waiting up to wait for one.
	// Errors: *TrimmedError, *RefusedError, *UnknownError.
	Read(ctx context.Context, from Offset, wait time.Duration) (Page, error)
}

// Fetcher reads single records where others are not wanted. All methods may be
// called from any thread.
type Fetcher interface {
	// Fetch returns the record at an offset and those after it, up to some
	// bytes. Errors: as for Journal.Read.
	Fetch(ctx context.Context, from Offset, bytes int) (Page, error)
}

// RefusedError reports a call that had no effect and will have none.
type RefusedError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("journal %s refused: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// AmbiguousError reports a call without an answer: it may have taken effect, or
// may do so later.
type AmbiguousError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("journal %s: no answer: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// TrimmedError reports a read below the oldest record retained.
type TrimmedError struct{ Oldest Offset }

// Error implements error.
func (e *TrimmedError) Error() string { return fmt.Sprintf("records before %d are gone", e.Oldest) }
