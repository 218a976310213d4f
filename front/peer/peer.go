// Package peer encodes the protocol between daemons: drpc over TCP. Decisions
// are made behind Handler; nothing outside this package sees the messages'
// encoding.
package peer

import (
	"context"
	"expvar"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/netcount"
	"dotterelmount.example/lib/quota"
)

// counters of this process: bytes_in, bytes_out, calls, calls_failed, dials,
// dropped (connections given up after a failure).
var counters = expvar.NewMap("peer")

var traffic = netcount.New(counters)

// Handler is what a daemon serves to its peers. Its methods are called on the
// server's own goroutines, many at a time, and end when ctx does.
type Handler interface {
	GossipHandler
	SharesHandler
}

// GossipHandler is the part of Handler that keeps daemons in touch.
type GossipHandler interface {
	// Probe takes in a gossip message and returns the answer.
	Probe(ctx context.Context, m membership.Message) (membership.Message, error)
	// IndirectProbe reports whether the daemon at the target address answers
	// a probe within the timeout.
	IndirectProbe(ctx context.Context, target string, timeout time.Duration) (bool, error)
	// MembersPage returns a page of the member list after a name.
	MembersPage(ctx context.Context, after api.DaemonID, limit int) (membership.Page, error)
	// Tail returns up to limit records of the configuration stream from an
	// offset on; none when that offset is not held.
	Tail(ctx context.Context, from api.Offset, limit int) ([]eventlog.Entry, error)
	// Image returns the state of the configuration stream.
	Image(ctx context.Context) ([]byte, error)
}

// SharesHandler is the part of Handler that shares out windows and limits.
type SharesHandler interface {
	// HandleLeaseRequests leases slots of the resources that this daemon keeps; asks for
	// others get no answer.
	HandleLeaseRequests(ctx context.Context, asks []quota.ResourceRequest) ([]quota.ResourceGrant, error)
}
