// Package attribution decides which connections may carry a request, so that a response is
// attributed to the send that it belongs to. It does no I/O.
//
// A faulty upstream may send a copy of an earlier response where the next one is expected.
// Responses repeat the name of their request, which tells apart the requests of a connection,
// but not two sends of one request. A connection therefore carries a name once. Responses
// without a name can't be told apart at all, so that a connection has at most one of them for
// requests to which that matters.
package attribution

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxNames bounds the memory of a connection: 8 KB.
const maxNames = 1024

// ForeignError reports a response that can't be attributed to the request that was sent. Named
// is the request that it names; empty: none.
type ForeignError struct{ Sent, Named string }

// Error implements error.
func (e *ForeignError) Error() string {
	if e.Named == "" {
		return fmt.Sprintf("response to request %q names no request", e.Sent)
	}
	return fmt.Sprintf("response to request %q belongs to request %q", e.Sent, e.Named)
}

// Request is what has to be known of a request.
type Request struct {
	Name string // that its response repeats; empty: none
	// Safe is set for a request without a name if the response to an earlier one on its
	// connection does no harm, as for a read of state.
	Safe bool
}

// Connection is what a connection has carried. The zero value is a new connection. It is not
// safe for concurrent use.
type Connection struct {
	names   []uint64 // hashes of the names of its requests
	unnamed bool     // it has carried a response without a name
	spent   bool     // copies of one of its responses could not be recognized
}

// MayCarry reports whether the connection may carry a request.
func (c *Connection) MayCarry(r Request) bool {
	if r.Name == "" {
		return !c.IsSpent() && (r.Safe || !c.unnamed)
	}
	return !c.IsSpent() && !slices.Contains(c.names, xxhash.Sum64String(r.Name))
}

// IsSpent reports whether the connection may not carry any other request.
func (c *Connection) IsSpent() bool { return c.spent || len(c.names) >= maxNames }

// Exchanged takes a request and the name in its response. Errors: *ForeignError if the response
// may be another request's.
func (c *Connection) Exchanged(r Request, named string) error {
	if r.Name != "" {
		c.names = append(c.names, xxhash.Sum64String(r.Name))
	}
	foreign := named != r.Name
	if named == "" {
		foreign = c.unnamed && !(r.Name == "" && r.Safe)
		c.unnamed = true
	}
	c.spent = c.spent || foreign || named != r.Name
	if foreign {
		return &ForeignError{Sent: r.Name, Named: named}
	}
	return nil
}
