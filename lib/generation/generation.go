// Package generation is the narrow interface to model servers that run the
// items of batch jobs and take new weights.
package generation

import (
	"context"
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
)

// Event is a piece of an item's text.
type Event struct {
	Number  int // from 1, without gaps
	Data    string
	Version api.WeightVersion // that made it
}

// Stream yields the events of a run.
type Stream interface {
	// Next returns the next event. Errors: io.EOF after the last one of a whole
	// text, *Error.
	Next() (Event, error)
	// Close gives the run up, unless it is over.
	Close()
}

// Cause says why a run or an order failed.
type Cause uint8

// The causes.
const (
	CauseConnection    Cause = iota // the connection broke or could not be opened
	CauseBusy                       // the upstream takes no run at present
	CauseWrongUpstream              // another upstream answered at the address
	CauseFailed                     // the upstream failed to run it
	CauseInvalidItem                // the item can never be run
	CauseMalformed                  // what came is no answer to the request
)

// String returns the cause as logged.
func (c Cause) String() string {
	return [...]string{"broken", "busy", "misdirected", "failed", "impossible", "garbled"}[c]
}

// Error is a failed run or order.
type Error struct {
	Upstream api.UpstreamID
	Cause    Cause
	Status   int // of the upstream's answer; 0: none
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s %s (status %d): %v", e.Upstream, e.Cause, e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Outcome tells how a run went, as far as it says something of its upstream.
type Outcome struct {
	Upstream api.UpstreamID
	Failed   bool // in a way that is the upstream's, and not the item's
	Stalled  bool // no event came in time
	Slow     bool // far slower than its peers; nothing else is told then
}

// Report is what an upstream says of itself.
type Report struct {
	Versions map[api.ModelName]api.WeightVersion
	Busy     bool   // it carries out an order
	Orders   uint64 // accepted since its start
}

// LoadMode says what a change of weights does to runs in progress.
type LoadMode uint8

// The modes of a change of weights.
const (
	LoadModeContinue LoadMode = iota // they go on under the new version
	LoadModeWait                     // they end first
)

// LoadOrder tells an upstream to load a version.
type LoadOrder struct {
	Model        api.ModelName
	Version      api.WeightVersion
	Mode         LoadMode
	Holder       api.DaemonID
	Fence        batch.Offset
	OrdersBefore uint64 // accepted before; it is not carried out if there were others
}

// OrderResult is an upstream's answer to an order.
type OrderResult uint8

// The answers to an order.
const (
	OrderStarted  OrderResult = iota // it is being carried out
	OrderUnneeded                    // it held already
	OrderConflict                    // other orders came before
	OrderFenced                      // a newer holder has ordered
)

// String returns the answer as logged.
func (r OrderResult) String() string {
	return [...]string{"started", "holds", "conflict", "fenced"}[r]
}

// Engine talks to model servers. All methods may be called from any thread.
type Engine interface {
	// Start begins a run after the events that it has already, with the body of
	// its item. The stream ends with ctx. Errors: *Error.
	Start(ctx context.Context, u *directory.Upstream, r *batch.Run, body []byte) (Stream, error)
	// Report asks an upstream for its state. Errors: *Error.
	Report(ctx context.Context, u *directory.Upstream) (Report, error)
	// LoadWeights tells an upstream to change its weights. Errors: *Error, after
	// which the order may be carried out, also later.
	LoadWeights(ctx context.Context, u *directory.Upstream, o LoadOrder) (OrderResult, error)
}
