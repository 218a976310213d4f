// Package generation defines the interface to engines, the upstreams that serve
// models. They run the items of batch jobs and load new weights.
package generation

import (
	"context"
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
)

// Event is a part of an item's text.
type Event struct {
	Number  int // consecutive, starting at 1
	Data    string
	Version api.WeightVersion // weights that generated it
}

// Stream yields the events of a run.
type Stream interface {
	// Next returns the next event. Errors: io.EOF at the end of a complete text,
	// *Error.
	Next() (Event, error)
	// Close aborts the run unless it has ended.
	Close()
}

// Cause is the reason why a run or a load order failed.
type Cause uint8

// Causes.
const (
	CauseConnection    Cause = iota // the connection was lost or could not be opened
	CauseBusy                       // the upstream accepts no runs at the moment
	CauseWrongUpstream              // a different upstream responded at the address
	CauseFailed                     // the upstream failed the run
	CauseInvalidItem                // the item can never run
	CauseMalformed                  // the response does not match the request
)

// String returns the cause's name in logs, which is stable and may differ from the
// constant's.
func (c Cause) String() string {
	return [...]string{"broken", "busy", "misdirected", "failed", "impossible", "garbled"}[c]
}

// Error is a failed run or load order.
type Error struct {
	Upstream api.UpstreamID
	Cause    Cause
	Status   int // HTTP status of the response; 0: none
	// ConnectionLost is set if the connection ended after the request was sent.
	ConnectionLost bool
	Err            error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s %s (status %d): %v", e.Upstream, e.Cause, e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// RunOutcome is the part of a run's result that concerns its upstream.
type RunOutcome struct {
	Upstream api.UpstreamID
	Failed   bool // because of the upstream, not the item
	Stalled  bool // no event arrived in time
	Slow     bool // much slower than its peers; the other flags are not set
}

// Report is the state reported by an upstream.
type Report struct {
	Versions map[api.ModelName]api.WeightVersion
	Busy     bool   // it is executing a load order
	Orders   uint64 // number of load orders accepted since its start
	// StartMillis is the start of its process, in Unix milliseconds; 0: not reported.
	StartMillis int64
}

// CheckIncarnation returns an error if the report is that of another process of the upstream
// than the one listed. Errors: *IncarnationError.
func (r *Report) CheckIncarnation(u *directory.Upstream) error {
	if r.StartMillis == 0 || u.StartMillis == 0 || r.StartMillis == u.StartMillis {
		return nil
	}
	return &IncarnationError{Listed: u.StartMillis, Reported: r.StartMillis}
}

// IncarnationError reports that an upstream has restarted under its ID since it was listed:
// its software may be another version. The times are in Unix milliseconds.
type IncarnationError struct{ Listed, Reported int64 }

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("the upstream restarted: started at %d, listed with %d", e.Reported, e.Listed)
}

// LoadMode says how a change of weights affects runs in progress.
type LoadMode uint8

// Load modes.
const (
	LoadModeContinue LoadMode = iota // runs continue with the new version
	LoadModeWait                     // runs end before the change
)

// String returns the mode's name in logs.
func (m LoadMode) String() string { return [...]string{"continue", "wait"}[m] }

// LoadOrder tells an upstream to load a weight version.
type LoadOrder struct {
	Model        api.ModelName
	Version      api.WeightVersion
	Mode         LoadMode
	Holder       api.DaemonID
	Fence        batch.Offset
	OrdersBefore uint64 // number of orders accepted before; if it differs, the upstream rejects the order
}

// OrderResult is an upstream's response to a load order.
type OrderResult uint8

// Order results.
const (
	OrderStarted  OrderResult = iota // the upstream is loading the version
	OrderUnneeded                    // the version is already loaded
	OrderConflict                    // the upstream has accepted other orders before
	OrderFenced                      // a newer lease holder has sent an order
)

// String returns the result's name in logs, which is stable and may differ from the
// constant's.
func (r OrderResult) String() string {
	return [...]string{"started", "holds", "conflict", "fenced"}[r]
}

// Client is a client of all engines. It is safe for concurrent use.
type Client interface {
	// Start starts a run after the events that it already has, with the body of
	// its item. The stream ends with ctx. Errors: *Error.
	Start(ctx context.Context, u *directory.Upstream, r *batch.Run, body []byte) (Stream, error)
	// Report returns the state of an upstream. Errors: *Error.
	Report(ctx context.Context, u *directory.Upstream) (Report, error)
	// LoadWeights sends a load order to an upstream. Errors: *Error; the order may
	// still be executed, also later.
	LoadWeights(ctx context.Context, u *directory.Upstream, o LoadOrder) (OrderResult, error)
}
