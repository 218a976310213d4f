// Package peer encodes the protocol between daemons: drpc over TCP. Decisions
// are made behind Handler; nothing outside this package sees the messages'
// encoding.
package peer

import (
	"context"
	"expvar"
	"net"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/quota"
)

// counters of this process: bytes_in, bytes_out, calls, calls_failed, dials,
// dropped (connections given up after a failure).
var counters = expvar.NewMap("peer")

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
}

// SharesHandler is the part of Handler that shares out windows and limits.
type SharesHandler interface {
	// HandleAsk leases slots of the resources that this daemon keeps; asks for
	// others get no answer.
	HandleAsk(ctx context.Context, asks []quota.ResourceAsk) ([]quota.ResourceGrant, error)
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	counters.Add("bytes_in", int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	counters.Add("bytes_out", int64(n))
	return n, err
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c}, nil
}
