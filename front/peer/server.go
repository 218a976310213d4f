package peer

import (
	"context"
	"net"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/server/intake"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits of one message or response.
const (
	maxMessageBytes = 8 << 20
	maxTailBytes    = 1 << 19 // of payloads
	maxTailEntries  = 256
)

// Server serves a Handler to other daemons. One duty accepts connections; drpc
// runs each connection and call on its own goroutine, which decodes the call,
// posts it to a duty and waits.
type Server struct {
	listener net.Listener
	duty     *duty.Duty[*drpcserver.Server]
}

// Listen listens on addr (ip:port). It is separate from Start so that the address
// is known before the daemon serves. Errors: CodeInternal.
func Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, api.Errorf(api.CodeInternal, "listening for peers: %w", err)
	}
	return listener, nil
}

// Start serves h on the listener until Shutdown and takes ownership of the
// listener. Errors: CodeInternal.
func Start(sys *duty.System, listener net.Listener, h Handler) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handler: h}); err != nil {
		_ = listener.Close()
		return nil, api.Errorf(api.CodeInternal, "registering the peer service: %w", err)
	}
	server := drpcserver.NewWithOptions(calls{mux}, drpcserver.Options{Manager: managerOptions()})
	s := &Server{listener: listener}
	s.duty = duty.Start(sys, duty.Config{Name: "accept-peers", RingSize: 1}, duty.Handler[*drpcserver.Server](acceptor{listener}))
	_ = s.duty.Post(server) // can't fail, because a new duty's ring is empty
	return s, nil
}

// acceptor is the handler of the duty that accepts connections.
type acceptor struct{ listener net.Listener }

// Handle serves until ctx is done and all calls in progress have ended.
func (a acceptor) Handle(ctx context.Context, server *drpcserver.Server) {
	// Serve fails only if the listener does; peers then see this daemon as
	// unreachable.
	_ = server.Serve(ctx, intake.Wrap(a.listener, traffic.Conn))
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Addr returns the address (ip:port) on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown closes the listener and all connections, cancels the calls in progress
// and waits for them. Errors: ctx.Err().
func (s *Server) Shutdown(ctx context.Context) error { return s.duty.Stop(ctx) }

// service implements peerpb.DRPCPeerServer on a Handler.
type service struct{ handler Handler }

// Probe implements peerpb.DRPCPeerServer.
func (s *service) Probe(ctx context.Context, req *peerpb.Gossip) (*peerpb.Gossip, error) {
	m, err := messageFromProto(req)
	if err != nil {
		return nil, err
	}
	reply, err := s.handler.Probe(ctx, m)
	if err != nil {
		return nil, err
	}
	return messageToProto(&reply), nil
}

// IndirectProbe implements peerpb.DRPCPeerServer.
func (s *service) IndirectProbe(ctx context.Context, req *peerpb.IndirectProbeRequest) (*peerpb.IndirectProbeResponse, error) {
	reached, err := s.handler.IndirectProbe(ctx, req.GetTarget(), millis(req.GetTimeoutMillis()))
	if err != nil {
		return nil, err
	}
	return &peerpb.IndirectProbeResponse{Reached: reached}, nil
}

// Members implements peerpb.DRPCPeerServer.
func (s *service) Members(ctx context.Context, req *peerpb.MembersRequest) (*peerpb.MembersResponse, error) {
	page, err := s.handler.MembersPage(ctx, api.DaemonID(req.GetAfter()), int(req.GetLimit()))
	if err != nil {
		return nil, err
	}
	return &peerpb.MembersResponse{Members: membersToProto(page.Members), Next: string(page.NextID)}, nil
}

// Tail implements peerpb.DRPCPeerServer.
func (s *service) Tail(ctx context.Context, req *peerpb.TailRequest) (*peerpb.TailResponse, error) {
	limit := min(int(req.GetLimit()), maxTailEntries)
	entries, err := s.handler.Tail(ctx, api.Offset(req.GetFrom()), limit)
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

// ReportStrike implements peerpb.DRPCPeerServer.
func (s *service) ReportStrike(ctx context.Context, req *peerpb.Strike) (*peerpb.StrikeResponse, error) {
	strike := api.Strike{
		Fingerprint: api.Fingerprint(req.GetFingerprint()), Upstream: api.UpstreamID(req.GetUpstream()), Alone: req.GetAlone(), AtMillis: req.GetAtMillis(),
	}
	return &peerpb.StrikeResponse{}, s.handler.ReportStrike(ctx, strike)
}

// truncateEntries returns the first entries up to maxTailBytes, at least one.
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
func (s *service) Shares(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesResponse, error) {
	requests := leaseRequestsFromProto(req)
	grants, err := s.handler.HandleLeaseRequests(ctx, requests)
	if err != nil {
		return nil, err
	}
	return grantsToProto(grants, requests), nil
}
