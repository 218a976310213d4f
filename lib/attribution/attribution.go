// Package attribution decides which connections may carry a request, so that a response is
// attributed to the send that it belongs to. It does no I/O.
//
// A faulty upstream may send a copy of an earlier response where the next one is expected.
// The name of the request, which its response repeats, tells apart the requests of a
// connection, but not two sends of one request.
package attribution

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Connection is what a connection has carried. The zero value is a new connection. It is not
// safe for concurrent use.
type Connection struct {
	names []uint64 // hashes of the names of its requests
}

// HasCarried reports whether the connection has carried a request with this name. It may
// report so of another name.
func (c *Connection) HasCarried(name string) bool {
	return slices.Contains(c.names, xxhash.Sum64String(name))
}

// Sent notes that the connection carries a request with this name.
func (c *Connection) Sent(name string) { c.names = append(c.names, xxhash.Sum64String(name)) }
