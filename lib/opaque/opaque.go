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

// HeaderField is one header line. Names keep the case and lines the order in which
// they came.
type HeaderField struct{ Name, Value string }

// Request is a client's request as it came.
type Request struct {
	ID         api.RequestID
	Method     string
	RequestURI string // path and query, undecoded
	Host       string
	Headers    []HeaderField // without those that concern one connection only
	Body       []byte
	Route      *routes.Route
	Service    string
	Arrived    time.Time
	Deadline   time.Time // the client's; never later than the route's timeout allows
	// ConfigVersion is the version of the configuration that chose the route.
	ConfigVersion uint64
}

// Response is an upstream's answer as it came, whole.
type Response struct {
	Status  int
	Headers []HeaderField
	Body    []byte
}

// Execution is what is known of a request that failed at an upstream.
type Execution uint8

// The fates of a failed attempt.
const (
	ExecutionNotSent Execution = iota // no byte reached the upstream
	ExecutionNotRun                   // the upstream said that it did not run it
	ExecutionUnknown                  // it may have run
)

// String returns the fate as logged.
func (f Execution) String() string {
	return [...]string{"not-sent", "not-run", "unknown"}[f]
}

// AttemptError is a failed attempt at an upstream.
type AttemptError struct {
	Upstream  api.UpstreamID
	Execution Execution
	// WrongUpstream is set when another upstream answered at the address.
	WrongUpstream bool
	// Busy is set when the upstream said that it is full.
	Busy bool
	// ConnectionLost is set when the connection ended before an answer came.
	ConnectionLost bool
	Cause          error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Upstream, e.Execution, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Exchanger carries one attempt to an upstream. A whole answer of the
// upstream's own, also a failure, is an Answer. Errors: *AttemptError.
type Exchanger interface {
	Exchange(ctx context.Context, u *directory.Upstream, q *Request) (*Response, error)
	// Open begins a stream after the event with number last, 0 for its start.
	// An upstream's own failure is an Answer without a Source.
	Open(ctx context.Context, u *directory.Upstream, q *Request, last int) (*Response, EventStream, error)
}

// Event is one event of a stream, as its bytes came.
type Event struct {
	Number int
	Data   []byte
}

// EventStream yields the pieces of a stream in order.
type EventStream interface {
	// Next returns the next piece. Errors: io.EOF after the last one of a whole
	// stream, *AttemptError.
	Next() (Event, error)
	// Close gives the stream up, unless it is over.
	Close()
}

// NotRunError ends a request that has not run and will not.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// FailedError ends a request that may have run.
type FailedError struct {
	Reason           string
	DeadlineExceeded bool // its time is over
}

// Error implements error.
func (e *FailedError) Error() string { return "failed: " + e.Reason }
