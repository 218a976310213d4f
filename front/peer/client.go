package peer

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/drpcpool"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/quota"
	"storj.io/drpc/drpcconn"
)

// Limits of the connection pool.
const (
	maxIdlePerAddr = 2
	maxIdleConns   = 16               // idle connections to all addresses
	maxIdleTime    = 30 * time.Second // firewalls may drop the state of longer idle connections
)

// Client calls other daemons over pooled connections. After a failed call, also
// one past its deadline, the connection is closed and the next call opens a new
// one. Client is safe for concurrent use. Its methods block until the response
// or until ctx, which must have a deadline, is done.
type Client struct{ pool *drpcpool.Pool }

// NewClient returns a Client without connections.
func NewClient() *Client {
	return &Client{drpcpool.New(drpcpool.Config{
		MaxIdlePerAddr: maxIdlePerAddr, MaxIdle: maxIdleConns, MaxIdleTime: maxIdleTime, Manager: managerOptions(), Counters: counters, Traffic: traffic,
	})}
}

// Close closes the idle connections. It does not cancel calls in progress.
func (c *Client) Close() { c.pool.Close() }

// Probe sends a gossip message and returns the reply. Errors: CodeNotReady if
// there was none, CodeInvalid for a malformed one.
func (c *Client) Probe(ctx context.Context, addr string, m membership.Message) (membership.Message, error) {
	var resp *peerpb.Gossip
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.Probe(ctx, messageToProto(&m))
		return err
	})
	if err != nil {
		return membership.Message{}, err
	}
	return messageFromProto(resp)
}

// IndirectProbe asks the daemon at addr to probe target and reports whether target
// replied. Errors: CodeNotReady.
func (c *Client) IndirectProbe(ctx context.Context, addr, target string, timeout time.Duration) (bool, error) {
	req := &peerpb.IndirectProbeRequest{Target: target, TimeoutMillis: uint32(timeout.Milliseconds())}
	var resp *peerpb.IndirectProbeResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.IndirectProbe(ctx, req)
		return err
	})
	return resp.GetReached(), err
}

// Members fetches at most limit members with ids after the given one. Errors:
// CodeNotReady, CodeInvalid.
func (c *Client) Members(ctx context.Context, addr string, after api.DaemonID, limit int) (membership.Page, error) {
	req := &peerpb.MembersRequest{After: string(after), Limit: uint32(max(0, limit))}
	var resp *peerpb.MembersResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.Members(ctx, req)
		return err
	})
	if err != nil {
		return membership.Page{}, err
	}
	members, err := membersFromProto(resp.GetMembers())
	return membership.Page{Members: members, NextID: api.DaemonID(resp.GetNext())}, err
}

// Tail fetches at most limit records of the configuration stream from an offset
// on. Errors: CodeNotReady.
func (c *Client) Tail(ctx context.Context, addr string, from api.Offset, limit int) ([]eventlog.Entry, error) {
	req := &peerpb.TailRequest{From: uint64(from), Limit: uint32(max(0, limit))}
	var resp *peerpb.TailResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.Tail(ctx, req)
		return err
	})
	return entriesFromProto(resp.GetEntries()), err
}

// Image fetches the encoded state of the configuration stream. Errors:
// CodeNotReady.
func (c *Client) Image(ctx context.Context, addr string) ([]byte, error) {
	var resp *peerpb.ImageResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.Image(ctx, &peerpb.ImageRequest{})
		return err
	})
	return resp.GetState(), err
}

// ReportStrike reports a strike to the daemon at addr. Errors: CodeNotReady.
func (c *Client) ReportStrike(ctx context.Context, addr string, s api.Strike) error {
	req := &peerpb.Strike{Fingerprint: uint64(s.Fingerprint), Upstream: string(s.Upstream), Alone: s.Alone, AtMillis: s.AtMillis}
	return c.call(ctx, addr, func(p peerpb.DRPCPeerClient) error {
		_, err := p.ReportStrike(ctx, req)
		return err
	})
}

// RequestLeases requests slots of resources that the daemon at addr allocates. All
// requests must be from one daemon. There are no grants for resources that the
// callee does not allocate. Errors: CodeNotReady.
func (c *Client) RequestLeases(ctx context.Context, addr string, requests []quota.ResourceRequest) ([]quota.ResourceGrant, error) {
	req := leaseRequestsToProto(requests)
	var resp *peerpb.SharesResponse
	err := c.call(ctx, addr, func(p peerpb.DRPCPeerClient) (err error) {
		resp, err = p.Shares(ctx, req)
		return err
	})
	return grantsFromProto(resp, requests), err
}

// call runs one call with exclusive use of a connection. All calls are idempotent,
// so one that fails on a pooled connection is retried once on a new one unless
// ctx is done.
func (c *Client) call(ctx context.Context, addr string, fn func(peerpb.DRPCPeerClient) error) error {
	counters.Add("calls", 1)
	conn, err := c.pool.TakeIdle(addr), error(nil)
	if conn != nil {
		err = c.callOn(addr, conn, fn)
	}
	if conn == nil || err != nil && ctx.Err() == nil {
		err = c.callNew(ctx, addr, fn)
	}
	if err != nil {
		counters.Add("calls_failed", 1)
		return api.Errorf(api.CodeNotReady, "peer %s: %w", addr, err)
	}
	return nil
}

func (c *Client) callOn(addr string, conn *drpcconn.Conn, fn func(peerpb.DRPCPeerClient) error) error {
	err := fn(peerpb.NewDRPCPeerClient(conn))
	c.pool.Release(addr, conn, err)
	return err
}

func (c *Client) callNew(ctx context.Context, addr string, fn func(peerpb.DRPCPeerClient) error) error {
	conn, err := c.pool.Dial(ctx, addr)
	if err != nil {
		return err
	}
	return c.callOn(addr, conn, fn)
}
