package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/forward/forwardpb"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/intake"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Handler runs the requests of other daemons.
type Handler interface {
	// ServeForwarded runs a request on the upstreams that this daemon reaches. A streamed
	// response goes to sink. Errors: *opaque.NotRunError, *opaque.FailedError.
	ServeForwarded(ctx context.Context, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error)
}

// Server serves a Handler to other daemons. One duty accepts connections; drpc runs each
// call on its own goroutine, which decodes the request and waits for the handler.
type Server struct {
	handler  Handler
	duty     *duty.Duty[*drpcserver.Server]
	mu       sync.Mutex
	calls    int // in progress
	stopping bool
	drained  *ring.Slot[struct{}] // filled when the last call has ended after stopping began
}

// Start serves h on the listener until Shutdown and takes ownership of the listener.
// Errors: CodeInternal.
func Start(sys *duty.System, listener net.Listener, h Handler) (*Server, error) {
	s := &Server{handler: h, drained: ring.NewSlot[struct{}]()}
	mux := drpcmux.New()
	if err := forwardpb.DRPCRegisterForwarder(mux, s); err != nil {
		_ = listener.Close()
		return nil, api.Errorf(api.CodeInternal, "registering the forwarding service: %w", err)
	}
	server := drpcserver.NewWithOptions(calls{mux}, drpcserver.Options{Manager: managerOptions()})
	s.duty = duty.Start(sys, duty.Config{Name: "accept-peers", RingSize: 1}, duty.Handler[*drpcserver.Server](acceptor{listener}))
	_ = s.duty.Post(server) // can't fail, because a new duty's ring is empty
	return s, nil
}

// acceptor is the handler of the duty that accepts connections.
type acceptor struct{ listener net.Listener }

// Handle serves until ctx is done and all calls in progress have ended.
func (a acceptor) Handle(ctx context.Context, server *drpcserver.Server) {
	// Serve fails only if the listener does; other daemons then use other peers.
	_ = server.Serve(ctx, intake.Wrap(a.listener, traffic.Conn))
}

// Shutdown refuses new requests, waits for those in progress and stops the server. Errors:
// ctx.Err().
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.calls == 0 {
		s.drained.Put(struct{}{})
	}
	s.mu.Unlock()
	_, err := s.drained.Wait(ctx)
	return errors.Join(err, s.duty.Stop(ctx))
}

// begin counts a call, and reports whether it may begin.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.calls++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.stopping && s.calls == 0 {
		s.drained.Put(struct{}{})
	}
}

// Forward implements forwardpb.DRPCForwarderServer.
func (s *Server) Forward(p *forwardpb.Request, stream forwardpb.DRPCForwarder_ForwardStream) error {
	counters.Add("served", 1)
	q, err := requestFromProto(p, time.Now())
	if err != nil {
		return err
	}
	if !s.begin() {
		return sendEnd(stream, notRunEnd(&opaque.NotRunError{Reason: "stopping", Elsewhere: true}))
	}
	defer s.end()
	ctx, cancel := context.WithDeadline(stream.Context(), q.Deadline)
	defer cancel()
	resp, upstream, err := s.handler.ServeForwarded(ctx, q, sink{stream})
	return sendEnd(stream, endOf(resp, upstream, err))
}

// sendEnd completes the response, which Shutdown waits for.
func sendEnd(stream forwardpb.DRPCForwarder_ForwardStream, end *forwardpb.End) error {
	return errors.Join(stream.Send(&forwardpb.Part{Part: &forwardpb.Part_End{End: end}}), stream.CloseSend())
}

func notRunEnd(e *opaque.NotRunError) *forwardpb.End {
	return &forwardpb.End{Outcome: forwardpb.Outcome_OUTCOME_NOT_RUN, Reason: e.Reason, RetryAfterMillis: millis(e.RetryAfter), Elsewhere: e.Elsewhere}
}

func endOf(resp *opaque.Response, upstream api.UpstreamID, err error) *forwardpb.End {
	var notRun *opaque.NotRunError
	var failed *opaque.FailedError
	end := &forwardpb.End{}
	switch {
	case errors.As(err, &notRun):
		end = notRunEnd(notRun)
	case err != nil:
		end.Outcome, end.Reason = forwardpb.Outcome_OUTCOME_FAILED, err.Error()
		end.DeadlineExceeded = errors.As(err, &failed) && failed.DeadlineExceeded
	case resp != nil:
		end.Status, end.Headers, end.Body, end.Signature = uint32(resp.Status), headersToProto(resp.Headers), resp.Body, resp.Signature
		end.Leaving = resp.Leaving
	}
	end.Upstream = string(upstream)
	return end
}

// sink implements opaque.StreamSink on a response to another daemon.
type sink struct {
	stream forwardpb.DRPCForwarder_ForwardStream
}

// Head implements opaque.StreamSink.
func (s sink) Head(head *opaque.Response) error {
	return s.stream.Send(&forwardpb.Part{Part: &forwardpb.Part_Head{Head: &forwardpb.Head{Status: uint32(head.Status), Headers: headersToProto(head.Headers), Leaving: head.Leaving}}})
}

// Event implements opaque.StreamSink.
func (s sink) Event(e opaque.Event, software string) error {
	return s.stream.Send(&forwardpb.Part{Part: &forwardpb.Part_Event{Event: &forwardpb.Event{Number: uint32(e.Number), Data: e.Data, Software: software}}})
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
