// Package upstream defines the interface to engines, which serve models, and plain
// services.
// Package httpupstream implements it over HTTP.
package upstream

import (
	"context"
	"fmt"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// Status is the load reported by an engine. It may be outdated.
type Status struct {
	Running        int
	Waiting        int
	LoadedVersions map[api.ModelName]api.WeightVersion
}

// LoadOrder tells an engine to load a weight version. Fence is a fencing token
// that only increases for a model; engines that check it reject an order with a
// lower one.
type LoadOrder struct {
	Model   api.ModelName
	Version api.WeightVersion
	Fence   api.Offset
}

// Finish describes the end of a complete generation.
type Finish struct {
	Reason string // "stop" or "length"
	Tokens int    // tokens of this call, excluding the resumed text
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Target identifies the upstream of a call.
type Target struct {
	ID      api.UpstreamID
	Address string // host:port
	// NewConnection requests a new connection instead of a pooled one.
	NewConnection bool
}

// Client calls upstreams. Methods block until the call or ctx ends. Errors:
// *CallError.
type Client interface {
	// Generate streams a generation. It calls delta for each chunk in order; an
	// error from delta ends the call.
	Generate(ctx context.Context, t Target, id api.RequestID, model api.ModelName, g *work.Generate,
		delta func(work.Chunk) error) (Finish, error)
	// CallPlain forwards a call to a plain service.
	CallPlain(ctx context.Context, t Target, id api.RequestID, p *work.Plain) (PlainResponse, error)
	// Status returns the engine's load report, which may be outdated.
	Status(ctx context.Context, t Target) (Status, error)
	// LoadedVersions returns the weight versions that the engine runs now.
	LoadedVersions(ctx context.Context, t Target) (map[api.ModelName]api.WeightVersion, error)
	// LoadWeights sends a load order and waits until the version is loaded.
	LoadWeights(ctx context.Context, t Target, o LoadOrder) error
}

// CallError is a failed call. Sent is true if a byte of the request may have
// reached the upstream; if it is false the request did not run.
type CallError struct {
	Upstream api.UpstreamID
	Sent     bool
	Code     api.Code
	Status   int // HTTP status; 0: none
	Cause    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.Code, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
