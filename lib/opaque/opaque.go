// Package opaque defines requests that are forwarded byte for byte, and the rules
// for selecting upstreams and timeouts of their attempts. It does no I/O.
package opaque

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
)

// HeaderField is a header line. Names keep their case, and lines keep their order.
type HeaderField struct{ Name, Value string }

// Request is a client's request as received.
type Request struct {
	ID         api.RequestID
	Method     string
	RequestURI string // path and query, not decoded
	Host       string
	Headers    []HeaderField // without hop-by-hop headers
	Body       []byte
	Route      *routes.Route
	Service    string
	// Key is the caller's key; zero: it needs none, or another daemon has checked it. It is
	// not among Headers. Customer is whose key it is; empty: none.
	Key      access.Key
	Customer string
	Priority int // of the customer or the route; 0 is the most urgent
	Arrived  time.Time
	Deadline time.Time // of the client, limited by the route's timeout
	// Owed is set if the request belongs to an accepted job: it is repeated until it is
	// done, and crashes of upstreams are not attributed to it.
	Owed bool
	// LastEvent is the number of the event after which the client resumes a stream;
	// 0: it requests the whole stream. Resumes is the request that brought the stream's
	// first event; empty: the client names none.
	LastEvent int
	Resumes   api.RequestID
	// ConfigVersion is the version of the configuration that selected the route.
	ConfigVersion uint64
	// Forwarded is set if another daemon sent the request because it can't reach the
	// upstreams. It is not forwarded again.
	Forwarded bool
	// Software restricts a stream to upstreams with this version of the software; empty:
	// any.
	Software string
}

// StreamOrigin is where a stream began. Only upstreams of the same service with the same
// software can continue it.
type StreamOrigin struct{ Service, Software string }

// Response is a complete response of an upstream as received.
type Response struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// Signature is the upstream's proof that it made the response; empty for the head
	// of a stream.
	Signature string
	// Leaving is set if the upstream says that it leaves.
	Leaving bool
}

// Execution says whether a failed request was executed by the upstream.
type Execution uint8

// Executions of a failed attempt.
const (
	ExecutionNotSent Execution = iota // no byte reached the upstream
	ExecutionNotRun                   // the upstream stated that it did not run it
	ExecutionUnknown                  // it may have run
)

// String returns the name used in logs.
func (e Execution) String() string {
	return [...]string{"not-sent", "not-run", "unknown"}[e]
}

// AttemptError is a failed attempt at an upstream.
type AttemptError struct {
	Upstream  api.UpstreamID
	Execution Execution
	// WrongUpstream is true if a different upstream responded at the address.
	WrongUpstream bool
	// Busy is true if the upstream responded that it is at capacity.
	Busy bool
	// ConnectionLost is true if the connection ended before a response arrived.
	ConnectionLost bool
	Cause          error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("upstream %s, %s: %v", e.Upstream, e.Execution, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Exchanger executes one attempt at an upstream.
type Exchanger interface {
	// Exchange returns the complete response of the upstream, which may be an
	// error response. Errors: *AttemptError.
	Exchange(ctx context.Context, u *directory.Upstream, q *Request) (*Response, error)
	// OpenStream opens a stream after the event with number last; 0 starts where the
	// request asks for. The EventStream is nil if the upstream returns an error response.
	// Errors: *AttemptError.
	OpenStream(ctx context.Context, u *directory.Upstream, q *Request, last int) (*Response, EventStream, error)
	// CheckIncarnation fails if the upstream can't confirm that its process is the one
	// listed. Errors: *AttemptError.
	CheckIncarnation(ctx context.Context, u *directory.Upstream) error
}

// Event is an event of a stream, with its bytes as received.
type Event struct {
	Number int
	Data   []byte
}

// EventStream yields the events of a stream in order.
type EventStream interface {
	// Next returns the next event. Comments after the last event are returned as another one
	// with its number. Errors: io.EOF at the end of a complete stream,
	// *AttemptError.
	Next() (Event, error)
	// Close aborts the stream unless it has ended.
	Close()
}

// NotRunError ends a request that has not run and will not run.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration // delay after which the client may retry
	// Elsewhere is set if another daemon may be able to run the request now.
	Elsewhere bool
	// KeyInvalid is set if the caller's key isn't valid any more.
	KeyInvalid bool
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// FailedError ends a request that may have run.
type FailedError struct {
	Reason           string
	DeadlineExceeded bool // the deadline has passed
}

// Error implements error.
func (e *FailedError) Error() string { return "failed: " + e.Reason }
