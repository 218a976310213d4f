package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/server/intake"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// echo is a peer.Handler whose results are made of its arguments.
type echo struct{}

func (echo) Probe(_ context.Context, m membership.Message) (membership.Message, error) { return m, nil }

func (echo) IndirectProbe(_ context.Context, target string, timeout time.Duration) (bool, error) {
	return target == "10.1.0.2:7000" && timeout == time.Second, nil
}

func (echo) MembersPage(_ context.Context, after api.DaemonID, limit int) (membership.Page, error) {
	return membership.Page{Members: make([]membership.Member, 0, limit), NextID: after}, nil
}

func (echo) Tail(_ context.Context, from api.Offset, limit int) ([]eventlog.Entry, error) {
	entries := make([]eventlog.Entry, limit)
	for i := range entries {
		entries[i] = eventlog.Entry{
			Offset: from + api.Offset(i), TimeMillis: 7,
			Record: eventlog.Record{ID: "r", Payload: make([]byte, 100_000)},
		}
	}
	return entries, nil
}

func (echo) Image(context.Context) ([]byte, error) { return make([]byte, 2_000_000), nil }

func (echo) ReportStrike(_ context.Context, s api.Strike) error {
	if s != (api.Strike{Fingerprint: 1 << 63, Upstream: "u", Alone: true, AtMillis: 1 << 41}) {
		return api.Errorf(api.CodeInvalid, "got %v", s)
	}
	return nil
}

func (echo) HandleLeaseRequests(_ context.Context, requests []quota.ResourceRequest) ([]quota.ResourceGrant, error) {
	var grants []quota.ResourceGrant
	for _, r := range requests[1:] { // the first is for a resource allocated elsewhere
		g := quota.Grant{Seq: r.Request.Seq, Slots: r.Request.Wanted - r.Request.Held + 10*r.Request.InUse, TTL: 2 * time.Second, RenewOnly: r.Request.Daemon == "d"}
		grants = append(grants, quota.ResourceGrant{Resource: r.Resource, Grant: g})
	}
	return grants, nil
}

func startServer(t *testing.T) (*peer.Server, *peer.Client, context.Context) {
	t.Helper()
	listener, err := peer.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server, err := peer.Start(duty.NewSystem(nil), listener, echo{})
	assert.NilError(t, err)
	client := peer.NewClient()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(t, server.Shutdown(context.Background()))
	})
	return server, client, ctx
}

func newMessage() membership.Message {
	m := membership.Member{
		ID: "entry-1", PeerAddress: "10.1.0.1:7000", CallerAddress: "10.1.0.1:8080", DataCentre: "sapporo-a",
		Incarnation: 1 << 41, Status: membership.Suspect, Stopping: true, AppliedOffset: 99,
	}
	return membership.Message{
		Sender: m, RecipientID: "entry-2", Digest: 1 << 63, Updates: []membership.Member{m},
		Offsets: []membership.OffsetUpdate{{ID: "entry-3", Incarnation: 4, AppliedOffset: 5}},
	}
}

func TestCallsCarryAllFields(t *testing.T) {
	server, client, ctx := startServer(t)
	reply, err := client.Probe(ctx, server.Addr(), newMessage())
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, newMessage())
	reached, err := client.IndirectProbe(ctx, server.Addr(), "10.1.0.2:7000", time.Second)
	assert.NilError(t, err)
	assert.Assert(t, reached)
	page, err := client.Members(ctx, server.Addr(), "entry-7", 3)
	assert.NilError(t, err)
	assert.Equal(t, page.NextID, api.DaemonID("entry-7"))
	assert.NilError(t, client.ReportStrike(ctx, server.Addr(), api.Strike{Fingerprint: 1 << 63, Upstream: "u", Alone: true, AtMillis: 1 << 41}))
	plan := quota.Resource{Kind: quota.KindPlan, Name: "p"}
	requests := []quota.ResourceRequest{
		{Resource: quota.Resource{Kind: quota.KindShort, Name: "u"}, Request: quota.LeaseRequest{Daemon: "d", Seq: 7}},
		{Resource: plan, Request: quota.LeaseRequest{Daemon: "d", Seq: 1 << 41, Held: 2, InUse: 3, Wanted: 5}},
	}
	grants, err := client.RequestLeases(ctx, server.Addr(), requests)
	assert.NilError(t, err)
	assert.DeepEqual(t, grants, []quota.ResourceGrant{
		{Resource: plan, Grant: quota.Grant{Seq: 1 << 41, Slots: 33, TTL: 2 * time.Second, RenewOnly: true}},
	})
}

// waiting is a peer.Handler whose IndirectProbe runs wait.
type waiting struct {
	echo
	wait func()
}

func (h waiting) IndirectProbe(context.Context, string, time.Duration) (bool, error) {
	h.wait()
	return true, nil
}

// At the limit of connections, one with a call in progress makes no room for others.
func TestConnectionOfACallMakesNoRoom(t *testing.T) {
	listener, err := peer.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	bounds := intake.New(intake.Config{Memory: 4 << 30, Descriptors: 1, Now: time.Now}, zap.NewNop())
	server, err := peer.Start(duty.NewSystem(nil), bounds.Peers(listener), waiting{wait: func() {
		var conns []net.Conn
		for range bounds.Plan().PeerConns {
			c, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			conns = append(conns, c)
		}
		_ = conns[0].SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conns[0].Read(make([]byte, 1)) // the last one was accepted, and this one closed
	}})
	assert.NilError(t, err)
	client := peer.NewClient()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	reached, err := client.IndirectProbe(ctx, server.Addr(), "", 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, reached)
	client.Close()
	assert.NilError(t, server.Shutdown(ctx))
}

func TestTailFitsOneMessage(t *testing.T) {
	server, client, ctx := startServer(t)
	image, err := client.Image(ctx, server.Addr())
	assert.NilError(t, err)
	assert.Equal(t, len(image), 2_000_000)
	entries, err := client.Tail(ctx, server.Addr(), 4, 50)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 5)
	assert.Equal(t, entries[4].Offset, api.Offset(8))
	assert.Equal(t, entries[4].TimeMillis, int64(7))
}

func TestMalformedMemberIsRejected(t *testing.T) {
	server, client, ctx := startServer(t)
	m := newMessage()
	m.Sender.Status = 9
	_, err := client.Probe(ctx, server.Addr(), m)
	assert.Equal(t, api.CodeOf(err), api.CodeNotReady)
}

// A proxy between client and server silently drops the data of its connections,
// like a firewall that lost their state: the client must open a new one after a
// timeout.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server, client, ctx := startServer(t)
	var silentUpTo, accepted atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			serverConn, err := net.Dial("tcp", server.Addr())
			if err != nil {
				return
			}
			number := accepted.Add(1)
			forward := func(to, from net.Conn) {
				_, _ = io.Copy(gate{to, number, &silentUpTo}, from)
				_ = to.Close()
			}
			go forward(clientConn, serverConn)
			go forward(serverConn, clientConn)
		}
	}()
	addr := listener.Addr().String()
	_, err = client.Probe(ctx, addr, newMessage())
	assert.NilError(t, err)
	silentUpTo.Store(accepted.Load())
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = client.Probe(short, addr, newMessage())
	assert.Equal(t, api.CodeOf(err), api.CodeNotReady)
	_, err = client.Probe(ctx, addr, newMessage())
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int64(2))
}

// gate is a connection that discards written data once it is silent.
type gate struct {
	net.Conn
	number     int64
	silentUpTo *atomic.Int64
}

func (g gate) Write(p []byte) (int, error) {
	if g.number <= g.silentUpTo.Load() {
		return len(p), nil
	}
	return g.Conn.Write(p)
}
