package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/drpcpool"
	"dotterelmount.example/front/forward/forwardpb"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/sockets"
	"storj.io/drpc/drpcconn"
)

const (
	dialTimeout    = 400 * time.Millisecond // a healthy daemon accepts within a round trip
	maxIdlePerAddr = 8                      // connections
	maxIdleConns   = 64                     // to all daemons
	maxIdleTime    = 10 * time.Second       // a daemon that is cut off needs them again at once
)

// Client implements opaque.Forwarder. It is safe for concurrent use.
type Client struct{ pool *drpcpool.Pool }

var _ opaque.Forwarder = (*Client)(nil)

// NewClient returns a Client without connections.
func NewClient() *Client {
	return &Client{drpcpool.New(drpcpool.Config{
		MaxIdlePerAddr: maxIdlePerAddr, MaxIdle: maxIdleConns, MaxIdleTime: maxIdleTime, Manager: managerOptions(),
		Dialer:   net.Dialer{Timeout: dialTimeout, Control: sockets.SetUserTimeout},
		Counters: counters, Traffic: traffic,
	})}
}

// Forward implements opaque.Forwarder.
func (c *Client) Forward(ctx context.Context, p *opaque.Peer, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
	counters.Add("calls", 1)
	conn, err := c.pool.TakeIdle(p.Address), error(nil)
	if conn == nil {
		if conn, err = c.pool.Dial(ctx, p.Address); err != nil {
			counters.Add("calls_failed", 1)
			return nil, "", &opaque.AttemptError{Execution: opaque.ExecutionNotSent, Cause: err}
		}
	}
	end, err := c.forward(ctx, conn, q, sink)
	c.pool.Release(p.Address, conn, err)
	if err != nil {
		counters.Add("calls_failed", 1)
		return nil, "", err
	}
	return result(end)
}

// forward makes one call and returns the end of the response. Errors:
// *opaque.AttemptError, those of sink.
func (c *Client) forward(ctx context.Context, conn *drpcconn.Conn, q *opaque.Request, sink opaque.StreamSink) (*forwardpb.End, error) {
	left := time.Until(q.Deadline)
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	stream, err := forwardpb.NewDRPCForwarderClient(conn).Forward(ctx, requestToProto(q, left))
	if err != nil {
		return nil, lostError(err)
	}
	for {
		part, err := stream.Recv()
		if err != nil {
			return nil, lostError(err)
		}
		switch part := part.GetPart().(type) {
		case *forwardpb.Part_End:
			// The connection is free for the next call once the stream has ended.
			if _, err := stream.Recv(); err != nil && !isEOF(err) {
				return nil, lostError(err)
			}
			return part.End, nil
		case *forwardpb.Part_Head:
			if err = checkStatus(part.Head.GetStatus()); err == nil {
				err = sink.Head(&opaque.Response{Status: int(part.Head.GetStatus()), Headers: headersFromProto(part.Head.GetHeaders()), Leaving: part.Head.GetLeaving()})
			}
		case *forwardpb.Part_Event:
			err = sink.Event(opaque.Event{Number: int(part.Event.GetNumber()), Data: part.Event.GetData()}, part.Event.GetSoftware())
		default:
			err = lostError(&FormatError{Detail: "empty part"})
		}
		if err != nil {
			return nil, errors.Join(err, stream.Close())
		}
	}
}

// lostError returns the error of a call whose response did not arrive: the peer may have
// run the request.
func lostError(err error) error {
	return &opaque.AttemptError{Execution: opaque.ExecutionUnknown, Cause: err}
}

// checkStatus checks the status of a response. Daemons of earlier builds pass on what upstreams
// send. Errors: *opaque.AttemptError.
func checkStatus(status uint32) error {
	if status < 200 || status > 599 {
		return lostError(&FormatError{Detail: fmt.Sprintf("status %d", status)})
	}
	return nil
}

// result returns what Forward returns for the end of a response.
func result(end *forwardpb.End) (*opaque.Response, api.UpstreamID, error) {
	upstream := api.UpstreamID(end.GetUpstream())
	switch {
	case end.GetOutcome() == forwardpb.Outcome_OUTCOME_NOT_RUN:
		return nil, upstream, &opaque.NotRunError{Reason: end.GetReason(), RetryAfter: duration(end.GetRetryAfterMillis()), Elsewhere: end.GetElsewhere()}
	case end.GetOutcome() != forwardpb.Outcome_OUTCOME_COMPLETE:
		return nil, upstream, &opaque.FailedError{Reason: end.GetReason(), DeadlineExceeded: end.GetDeadlineExceeded()}
	case end.GetStatus() == 0:
		return nil, upstream, nil
	}
	if err := checkStatus(end.GetStatus()); err != nil {
		return nil, upstream, err
	}
	return &opaque.Response{
		Status: int(end.GetStatus()), Headers: headersFromProto(end.GetHeaders()), Body: end.GetBody(), Signature: end.GetSignature(),
		Leaving: end.GetLeaving(),
	}, upstream, nil
}
