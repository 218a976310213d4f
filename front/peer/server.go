package peer

import (
	"context"
	"net"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits of what one message or answer may hold.
const (
	maxMessageBytes = 8 << 20
	maxTailBytes    = 1 << 19
	maxTailEntries  = 256
)

// Server serves a Handler to other daemons. One duty accepts connections; drpc
// gives each connection and call its own goroutine, which decodes, posts and
// waits.
type Server struct {
	listener net.Listener
	duty     *duty.Duty[*drpcserver.Server]
}

// Listen opens addr (ip:port), so that the address is known before a daemon
// starts to serve. Errors: CodeInternal when the address can't be had.
func Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "listening for peers: %w", err)
	}
	return listener, nil
}

// Start serves h on the listener, which it owns from then on, until Shutdown.
// Errors: CodeInternal.
func Start(sys *duty.System, listener net.Listener, h Handler) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handler: h}); err != nil {
		_ = listener.Close()
		return nil, api.Errorf(api.CodeInternal, "registering the peer service: %w", err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	s := &Server{listener: listener}
	s.duty = duty.Start(sys, duty.Config{Name: "accept-peers", RingSize: 1}, duty.Handler[*drpcserver.Server](acceptor{listener}))
	_ = s.duty.Post(server) // a new duty's ring is empty
	return s, nil
}

// acceptor is the handler of the accepting duty.
type acceptor struct{ listener net.Listener }

// Handle serves until ctx ends and all calls in progress have.
func (a acceptor) Handle(ctx context.Context, server *drpcserver.Server) {
	// What Serve could report is the listener's failure, which peers see as
	// this daemon's silence.
	_ = server.Serve(ctx, traffic.Listener(a.listener))
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown closes the listener and all connections and waits for the calls in
// progress, which see their contexts end. Errors: ctx.Err().
func (s *Server) Shutdown(ctx context.Context) error { return s.duty.Stop(ctx) }

// service decodes calls for the handler.
type service struct{ handler Handler }

// Probe implements peerpb.DRPCPeerServer.
func (s *service) Probe(ctx context.Context, in *peerpb.Gossip) (*peerpb.Gossip, error) {
	m, err := messageFromProto(in)
	if err != nil {
		return nil, err
	}
	answer, err := s.handler.Probe(ctx, m)
	if err != nil {
		return nil, err
	}
	return messageToProto(&answer), nil
}

// IndirectProbe implements peerpb.DRPCPeerServer.
func (s *service) IndirectProbe(ctx context.Context, in *peerpb.IndirectProbeRequest) (*peerpb.IndirectProbeResponse, error) {
	reached, err := s.handler.IndirectProbe(ctx, in.GetTarget(), millis(in.GetTimeoutMillis()))
	if err != nil {
		return nil, err
	}
	return &peerpb.IndirectProbeResponse{Reached: reached}, nil
}

// Members implements peerpb.DRPCPeerServer.
func (s *service) Members(ctx context.Context, in *peerpb.MembersRequest) (*peerpb.MembersResponse, error) {
	page, err := s.handler.MembersPage(ctx, api.DaemonID(in.GetAfter()), int(in.GetLimit()))
	if err != nil {
		return nil, err
	}
	return &peerpb.MembersResponse{Members: membersToProto(page.Members), Next: string(page.NextID)}, nil
}

// Tail implements peerpb.DRPCPeerServer.
func (s *service) Tail(ctx context.Context, in *peerpb.TailRequest) (*peerpb.TailResponse, error) {
	limit := min(int(in.GetLimit()), maxTailEntries)
	entries, err := s.handler.Tail(ctx, api.Offset(in.GetFrom()), limit)
	if err != nil {
		return nil, err
	}
	return &peerpb.TailResponse{Entries: entriesToProto(truncateEntries(entries))}, nil
}

// Image implements peerpb.DRPCPeerServer.
func (s *service) Image(ctx context.Context, _ *peerpb.ImageRequest) (*peerpb.ImageResponse, error) {
	state, err := s.handler.Image(ctx)
	if err != nil {
		return nil, err
	}
	return &peerpb.ImageResponse{State: state}, nil
}

// truncateEntries returns as many of the first entries as fit a message, at least one.
func truncateEntries(entries []eventlog.Entry) []eventlog.Entry {
	size := 0
	for i := range entries {
		size += len(entries[i].Payload)
		if i > 0 && size > maxTailBytes {
			return entries[:i]
		}
	}
	return entries
}

// Shares implements peerpb.DRPCPeerServer.
func (s *service) Shares(ctx context.Context, in *peerpb.SharesRequest) (*peerpb.SharesResponse, error) {
	asks := asksFromProto(in)
	grants, err := s.handler.HandleLeaseRequests(ctx, asks)
	if err != nil {
		return nil, err
	}
	return grantsToProto(grants, asks), nil
}
