package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/quota"
	"storj.io/drpc/drpcconn"
)

// Limits of the pool.
const (
	maxIdlePerAddr = 2
	maxIdleConns   = 16               // connections kept open without a call, to all addresses
	maxIdleTime    = 30 * time.Second // of an idle connection; a network may lose track of a longer one
)

// Client calls other daemons over pooled connections. A connection that fails
// or outlasts a call's deadline is closed, and the next call opens a new one.
// All methods may be called from any thread; they block until the answer or
// the end of ctx, which must have a deadline.
type Client struct {
	mu     sync.Mutex
	idle   []idleConn // oldest first
	closed bool
}

// idleConn is an open connection without a call.
type idleConn struct {
	addr      string
	conn      *drpcconn.Conn
	idleSince time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{} }

// Close closes the idle connections; calls in progress end by themselves.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, i := range idle {
		_ = i.conn.Close()
	}
}

// Probe sends a gossip message and returns the answer.
// Errors: CodeNotReady when addr gave none, CodeInvalid for a malformed one.
func (c *Client) Probe(ctx context.Context, addr string, m membership.Message) (membership.Message, error) {
	var answer *peerpb.Gossip
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.Probe(ctx, messageToProto(&m))
		return err
	})
	if err != nil {
		return membership.Message{}, err
	}
	return messageFromProto(answer)
}

// IndirectProbe asks the daemon at addr to probe target and reports whether it
// answered. Errors: CodeNotReady.
func (c *Client) IndirectProbe(ctx context.Context, addr, target string, timeout time.Duration) (bool, error) {
	in := &peerpb.IndirectProbeRequest{Target: target, TimeoutMillis: uint32(timeout.Milliseconds())}
	var answer *peerpb.IndirectProbeResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.IndirectProbe(ctx, in)
		return err
	})
	return answer.GetReached(), err
}

// Members fetches a page of the member list. Errors: CodeNotReady, CodeInvalid.
func (c *Client) Members(ctx context.Context, addr string, after api.DaemonID, limit int) (membership.Page, error) {
	in := &peerpb.MembersRequest{After: string(after), Limit: uint32(max(0, limit))}
	var answer *peerpb.MembersResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.Members(ctx, in)
		return err
	})
	if err != nil {
		return membership.Page{}, err
	}
	members, err := membersFromProto(answer.GetMembers())
	return membership.Page{Members: members, NextID: api.DaemonID(answer.GetNext())}, err
}

// Tail fetches records of the configuration stream. Errors: CodeNotReady.
func (c *Client) Tail(ctx context.Context, addr string, from api.Offset, limit int) ([]eventlog.Entry, error) {
	in := &peerpb.TailRequest{From: uint64(from), Limit: uint32(max(0, limit))}
	var answer *peerpb.TailResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.Tail(ctx, in)
		return err
	})
	return entriesFromProto(answer.GetEntries()), err
}

// Image fetches the state of the configuration stream. Errors: CodeNotReady.
func (c *Client) Image(ctx context.Context, addr string) ([]byte, error) {
	var answer *peerpb.ImageResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.Image(ctx, &peerpb.ImageRequest{})
		return err
	})
	return answer.GetState(), err
}

// Ask asks for slots of resources that the daemon at addr keeps; all asks must
// be of one daemon. Resources that it does not keep are missing in the answer.
// Errors: CodeNotReady.
func (c *Client) Ask(ctx context.Context, addr string, asks []quota.ResourceRequest) ([]quota.ResourceGrant, error) {
	in := asksToProto(asks)
	var answer *peerpb.SharesResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		answer, err = p.Shares(ctx, in)
		return err
	})
	return grantsFromProto(answer, asks), err
}

// call runs one call on a connection of its own for that time. All calls may
// be repeated, so one that fails on an idle connection is tried once more on a
// new one while ctx lasts.
func (c *Client) call(ctx context.Context, addr string, do func(peerpb.DRPCPeerClient) error) error {
	counters.Add("calls", 1)
	conn, err := c.takeIdle(addr), error(nil)
	if conn != nil {
		err = c.callOn(addr, conn, do)
	}
	if conn == nil || err != nil && ctx.Err() == nil {
		err = c.callNew(ctx, addr, do)
	}
	if err != nil {
		counters.Add("calls_failed", 1)
		return api.Errorf(api.CodeNotReady, "peer %s: %w", addr, err)
	}
	return nil
}

func (c *Client) callOn(addr string, conn *drpcconn.Conn, do func(peerpb.DRPCPeerClient) error) error {
	err := do(peerpb.NewDRPCPeerClient(conn))
	c.release(addr, conn, err)
	return err
}

func (c *Client) callNew(ctx context.Context, addr string, do func(peerpb.DRPCPeerClient) error) error {
	counters.Add("dials", 1)
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	conn := drpcconn.NewWithOptions(traffic.Conn(raw), drpcconn.Options{Manager: managerOptions()})
	return c.callOn(addr, conn, do)
}

// takeIdle returns an open idle connection to addr, nil if there is none.
func (c *Client) takeIdle(addr string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		candidate := c.idle[i]
		if candidate.addr != addr {
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		if !isClosed(candidate.conn) && time.Since(candidate.idleSince) < maxIdleTime {
			return candidate.conn
		}
		discard(candidate.conn)
	}
	return nil
}

// release puts a connection back, unless its call failed in any way: the peer may
// be gone, or something on the way may have lost track of the connection.
func (c *Client) release(addr string, conn *drpcconn.Conn, err error) {
	if err != nil || isClosed(conn) {
		discard(conn)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		discard(conn)
		return
	}
	c.idle = append(c.idle, idleConn{addr: addr, conn: conn, idleSince: time.Now()})
	c.trim(addr)
}

// trim closes the oldest idle connections beyond the limits.
func (c *Client) trim(addr string) {
	same := 0
	for _, i := range c.idle {
		if i.addr == addr {
			same++
		}
	}
	for i := 0; i < len(c.idle); i++ {
		old := time.Since(c.idle[i].idleSince) >= maxIdleTime
		crowded := same > maxIdlePerAddr && c.idle[i].addr == addr
		if !old && !crowded && len(c.idle) <= maxIdleConns {
			continue
		}
		if c.idle[i].addr == addr {
			same--
		}
		discard(c.idle[i].conn)
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		i--
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func discard(conn *drpcconn.Conn) {
	counters.Add("dropped", 1)
	_ = conn.Close()
}
