// Package opaque describes requests that are passed on byte for byte, and the
// rules by which they are tried on upstreams. It holds no sockets.
package opaque

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
)

// Field is one header line. Names keep the case and lines the order in which
// they came.
type Field struct{ Name, Value string }

// Request is a client's request as it came.
type Request struct {
	ID       api.RequestID
	Method   string
	Target   string // path and query, undecoded
	Host     string
	Fields   []Field // without those that concern one connection only
	Body     []byte
	Route    *routes.Route
	Service  string
	Arrived  time.Time
	Deadline time.Time // the client's; never later than the route's timeout allows
	// ConfigVersion is the version of the configuration that chose the route.
	ConfigVersion uint64
}

// Answer is an upstream's answer as it came, whole.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Fate is what is known of a request that failed at an upstream.
type Fate uint8

// The fates of a failed attempt.
const (
	FateNotSent Fate = iota // no byte reached the upstream
	FateNotRun              // the upstream said that it did not run it
	FateUnknown             // it may have run
)

// String returns the fate as logged.
func (f Fate) String() string {
	return [...]string{"not-sent", "not-run", "unknown"}[f]
}

// AttemptError is a failed attempt at an upstream.
type AttemptError struct {
	Upstream api.UpstreamID
	Fate     Fate
	// Misdirected is set when another upstream answered at the address.
	Misdirected bool
	// Busy is set when the upstream said that it is full.
	Busy bool
	// Broken is set when the connection ended before an answer came.
	Broken bool
	Cause  error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Upstream, e.Fate, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Exchanger carries one attempt to an upstream. A whole answer of the
// upstream's own, also a failure, is an Answer. Errors: *AttemptError.
type Exchanger interface {
	Exchange(ctx context.Context, u *directory.Upstream, q *Request) (*Answer, error)
	// Open begins a stream after the event with number last, 0 for its start.
	// An upstream's own failure is an Answer without a Source.
	Open(ctx context.Context, u *directory.Upstream, q *Request, last int) (*Answer, Source, error)
}

// Piece is one event of a stream, as its bytes came.
type Piece struct {
	Number int
	Data   []byte
}

// Source yields the pieces of a stream in order.
type Source interface {
	// Next returns the next piece. Errors: io.EOF after the last one of a whole
	// stream, *AttemptError.
	Next() (Piece, error)
	// Close gives the stream up, unless it is over.
	Close()
}

// RefusedError ends a request that has not run and will not.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Error implements error.
func (e *RefusedError) Error() string { return "not run: " + e.Reason }

// FailedError ends a request that may have run.
type FailedError struct {
	Reason  string
	Expired bool // its time is over
}

// Error implements error.
func (e *FailedError) Error() string { return "failed: " + e.Reason }
