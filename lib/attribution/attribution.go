// Package attribution decides which connections may carry a request, so that a response is
// attributed to the send that it belongs to. It does no I/O.
//
// A faulty upstream may send a copy of an earlier response where the next one is expected.
// Responses repeat the name of their request, which tells apart the requests of a connection,
// but not two sends of one request. A connection therefore carries a name once, and nothing
// after a response without a name.
package attribution

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxNames bounds the memory of a connection: 8 KB.
const maxNames = 1024

// ForeignError reports a response that names another request than the one that was sent.
type ForeignError struct{ Sent, Named string }

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("response to request %q belongs to request %q", e.Sent, e.Named)
}

// Connection is what a connection has carried. The zero value is a new connection. It is not
// safe for concurrent use.
type Connection struct {
	names []uint64 // hashes of the names of its requests
	spent bool     // copies of one of its responses could not be recognized
}

// MayCarry reports whether the connection may carry a request with this name; empty: none.
func (c *Connection) MayCarry(name string) bool {
	return !c.IsSpent() && (name == "" || !slices.Contains(c.names, xxhash.Sum64String(name)))
}

// IsSpent reports whether the connection may not carry any other request.
func (c *Connection) IsSpent() bool { return c.spent || len(c.names) >= maxNames }

// Exchanged takes the names in a request and in its response. Errors: *ForeignError if the
// response is not that request's.
func (c *Connection) Exchanged(sent, named string) error {
	if sent != "" {
		c.names = append(c.names, xxhash.Sum64String(sent))
	}
	c.spent = c.spent || named == "" || named != sent
	if named != "" && named != sent {
		return &ForeignError{Sent: sent, Named: named}
	}
	return nil
}
