// Package upstream is the interface to model engines and plain services. The
// HTTP adapter is in package httpupstream below it.
package upstream

import (
	"context"
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// Status is what an engine says of itself; it lags behind reality.
type Status struct {
	Running        int
	Waiting        int
	LoadedVersions map[api.ModelName]api.WeightVersion
}

// LoadOrder tells an engine to load a weight version. Fence only grows for a
// model; engines that check it refuse an order with a lower one.
type LoadOrder struct {
	Model   api.ModelName
	Version api.WeightVersion
	Fence   api.Offset
}

// Finish ends a generation that came whole.
type Finish struct {
	Reason string // "stop" or "length"
	Tokens int    // tokens of this call, without the resumed ones
}

// PlainResponse is a plain service's whole answer.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Target says where and how to call.
type Target struct {
	ID      api.UpstreamID
	Address string // host:port
	// NewConnection asks for a new connection in place of a pooled one.
	NewConnection bool
}

// Client calls upstreams. Methods block the calling thread until the call
// ended or ctx did, and return *CallError.
type Client interface {
	// Generate streams a generation; delta is called for each piece in order
	// and ends the call when it returns an error.
	Generate(ctx context.Context, t Target, id api.RequestID, model api.ModelName, g *work.Generate,
		delta func(work.Chunk) error) (Finish, error)
	// CallPlain forwards one call.
	CallPlain(ctx context.Context, t Target, id api.RequestID, p *work.Plain) (PlainResponse, error)
	// Status reads the engine's load report, which may lag.
	Status(ctx context.Context, t Target) (Status, error)
	// LoadedVersions reads back which versions the engine truly runs now.
	LoadedVersions(ctx context.Context, t Target) (map[api.ModelName]api.WeightVersion, error)
	// LoadWeights orders a weight version and waits until it is loaded.
	LoadWeights(ctx context.Context, t Target, o LoadOrder) error
}

// CallError is a failed call. Sent is true when a byte of the request may have
// reached the upstream; without it the request certainly did not run.
type CallError struct {
	Upstream api.UpstreamID
	Sent     bool
	Code     api.Code
	Status   int // HTTP status if one came
	Cause    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.Code, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
