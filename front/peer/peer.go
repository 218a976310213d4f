// Package peer implements the protocol between daemons: drpc over TCP. Handler
// makes the decisions; the encoding of messages is not visible outside this
// package.
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

// counters holds the counters bytes_in, bytes_out, calls, calls_failed, dials and
// dropped (discarded connections).
var counters = expvar.NewMap("peer")

var traffic = netcount.New(counters)

// Handler handles the calls of other daemons. Its methods are called concurrently
// on the server's goroutines and return when ctx is done.
type Handler interface {
	GossipHandler
	SharesHandler
}

// GossipHandler handles membership and configuration replication.
type GossipHandler interface {
	// Probe handles a gossip message and returns the reply.
	Probe(ctx context.Context, m membership.Message) (membership.Message, error)
	// IndirectProbe reports whether the daemon at the target address replies to
	// a probe within the timeout.
	IndirectProbe(ctx context.Context, target string, timeout time.Duration) (bool, error)
	// MembersPage returns at most limit members with ids after the given one.
	MembersPage(ctx context.Context, after api.DaemonID, limit int) (membership.Page, error)
	// Tail returns at most limit records of the configuration stream from an
	// offset on; none if that offset is not available.
	Tail(ctx context.Context, from api.Offset, limit int) ([]eventlog.Entry, error)
	// Image returns the encoded state of the configuration stream.
	Image(ctx context.Context) ([]byte, error)
	// ReportStrike takes a strike that is not in the log yet. It may be called
	// several times for one strike.
	ReportStrike(ctx context.Context, s api.Strike) error
}

// SharesHandler handles lease requests for shares of windows and limits.
type SharesHandler interface {
	// HandleLeaseRequests leases slots of the resources that this daemon allocates.
	// It returns no grants for other resources.
	HandleLeaseRequests(ctx context.Context, requests []quota.ResourceRequest) ([]quota.ResourceGrant, error)
}
