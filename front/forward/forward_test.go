package forward

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/forward/forwardpb"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/server/intake"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// handler is a Handler that runs a function.
type handler func(context.Context, *opaque.Request, opaque.StreamSink) (*opaque.Response, api.UpstreamID, error)

func (h handler) ServeForwarded(ctx context.Context, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
	return h(ctx, q, sink)
}

func serve(t *testing.T, h handler) (*Server, *opaque.Peer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := Start(duty.NewSystem(nil), l, h)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, &opaque.Peer{ID: "p", Address: l.Addr().String()}
}

func newRequest() *opaque.Request {
	return &opaque.Request{
		ID: "r", Method: "POST", RequestURI: "/a%2Fb?c", Host: "h", Headers: []opaque.HeaderField{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"}},
		Body: []byte("body"), Service: "s", Deadline: time.Now().Add(2 * time.Second), LastEvent: 3, Software: "v1", ConfigVersion: 7,
		Customer: "c", Priority: 2,
		Route: &routes.Route{Name: "n", Kind: routes.KindStream, Resumable: true, MaxAttempts: 2, LatencyTarget: 150 * time.Millisecond},
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan *opaque.Request, 1)
	_, p := serve(t, func(_ context.Context, q *opaque.Request, _ opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
		got <- q
		return &opaque.Response{Status: 404, Headers: q.Headers, Body: []byte("x"), Signature: "sig", Leaving: true}, "u", nil
	})
	want := newRequest()
	want.Key = access.NewKey("k")
	resp, upstream, err := NewClient().Forward(t.Context(), p, want, nil)
	assert.NilError(t, err)
	assert.Equal(t, upstream, api.UpstreamID("u"))
	assert.DeepEqual(t, resp, &opaque.Response{Status: 404, Headers: want.Headers, Body: []byte("x"), Signature: "sig", Leaving: true})
	q := <-got
	assert.Assert(t, q.Key.IsZero(), "the key stays with the daemon that checked it")
	want.Key = access.Key{}
	assert.Assert(t, time.Until(q.Deadline) <= 2*time.Second)
	assert.Assert(t, q.Forwarded)
	q.Deadline, q.Arrived, q.Forwarded, q.Route.WeightedServices = want.Deadline, want.Arrived, false, nil
	assert.DeepEqual(t, q, want)
}

func TestErrorsKeepWhatTheySayOfTheExecution(t *testing.T) {
	for _, want := range []error{
		&opaque.NotRunError{Reason: "limit", RetryAfter: 250 * time.Millisecond},
		&opaque.NotRunError{Reason: "cut off", Elsewhere: true},
		&opaque.FailedError{Reason: "late", DeadlineExceeded: true},
	} {
		_, p := serve(t, func(context.Context, *opaque.Request, opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
			return nil, "", want
		})
		_, _, err := NewClient().Forward(t.Context(), p, newRequest(), nil)
		var notRun *opaque.NotRunError
		if errors.As(want, &notRun) {
			assert.DeepEqual(t, err, want)
			continue
		}
		var failed *opaque.FailedError
		assert.Assert(t, errors.As(err, &failed) && failed.DeadlineExceeded, "%v", err)
	}
}

func TestLostConnectionIsUnknownExecution(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	time.AfterFunc(0, func() {
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
		}
	})
	_, _, err = NewClient().Forward(t.Context(), &opaque.Peer{Address: l.Addr().String()}, newRequest(), nil)
	var lost *opaque.AttemptError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, lost.Execution, opaque.ExecutionUnknown)
	assert.NilError(t, l.Close())
	_, _, err = NewClient().Forward(t.Context(), &opaque.Peer{Address: l.Addr().String()}, newRequest(), nil)
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, lost.Execution, opaque.ExecutionNotSent)
}

func TestCancelledCallEndsTheRequestAtThePeer(t *testing.T) {
	ended := make(chan struct{})
	_, p := serve(t, func(ctx context.Context, _ *opaque.Request, _ opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
		<-ctx.Done()
		close(ended)
		return nil, "", ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := NewClient().Forward(ctx, p, newRequest(), nil)
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the request goes on")
	}
}

func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	begun := make(chan struct{})
	s, p := serve(t, func(_ context.Context, _ *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
		close(begun)
		<-time.After(200 * time.Millisecond)
		return &opaque.Response{Status: 200}, "u", nil
	})
	stopped := make(chan error, 1)
	time.AfterFunc(0, func() {
		<-begun
		stopped <- s.Shutdown(context.Background())
	})
	resp, _, err := NewClient().Forward(t.Context(), p, newRequest(), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
	assert.NilError(t, <-stopped)
}

// A status of 0, as a daemon of an earlier build could take from an upstream, is no response.
func TestStatusZeroIsNoResponse(t *testing.T) {
	_, p := serve(t, func(context.Context, *opaque.Request, opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
		return &opaque.Response{Status: 0, Body: []byte("body")}, "u", nil
	})
	resp, _, err := NewClient().Forward(t.Context(), p, newRequest(), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp == nil)
}

// A status that is none of HTTP must not reach the caller, neither of a response nor of a stream.
func TestInvalidStatusOfPeerIsNoResponse(t *testing.T) {
	for _, status := range []int{0, 1, 99, 100, 199, 600, 999} {
		_, p := serve(t, func(_ context.Context, _ *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
			return nil, "u", sink.Head(&opaque.Response{Status: status})
		})
		heads := &headCounter{}
		_, _, err := NewClient().Forward(t.Context(), p, newRequest(), heads)
		var lost *opaque.AttemptError
		assert.Assert(t, errors.As(err, &lost) && lost.Execution == opaque.ExecutionUnknown, "head %d: %v", status, err)
		assert.Equal(t, heads.n, 0, "status %d", status)
		if status == 0 {
			continue // TestStatusZeroIsNoResponse
		}
		_, p = serve(t, func(context.Context, *opaque.Request, opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
			return &opaque.Response{Status: status}, "u", nil
		})
		resp, _, err := NewClient().Forward(t.Context(), p, newRequest(), nil)
		assert.Assert(t, errors.As(err, &lost) && lost.Execution == opaque.ExecutionUnknown, "response %d: %v", status, err)
		assert.Assert(t, resp == nil)
	}
}

// headCounter is a sink that counts heads.
type headCounter struct{ n int }

func (c *headCounter) Head(*opaque.Response) error      { c.n++; return nil }
func (c *headCounter) Event(opaque.Event, string) error { return nil }

// At the limit of connections, one with a call in progress makes no room for others.
func TestConnectionOfACallMakesNoRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gate := intake.New(intake.Config{Memory: 4 << 30, Descriptors: 1, Now: time.Now}, zap.NewNop())
	begun, others := make(chan struct{}, 1), make(chan struct{})
	s, err := Start(duty.NewSystem(nil), gate.Peers(l), handler(func(ctx context.Context, _ *opaque.Request, _ opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
		begun <- struct{}{}
		select {
		case <-others:
		case <-ctx.Done():
		}
		return &opaque.Response{Status: 200}, "u", nil
	}))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	time.AfterFunc(0, func() {
		defer close(others)
		<-begun
		var conns []net.Conn
		for range gate.Plan().PeerConns {
			c, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			conns = append(conns, c)
		}
		_ = conns[0].SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conns[0].Read(make([]byte, 1)) // the last one was accepted, and this one closed
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, _, err := NewClient().Forward(ctx, &opaque.Peer{Address: l.Addr().String()}, newRequest(), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
}

// FuzzRequest checks that any bytes are rejected or decode to a request that is unchanged by
// encoding and decoding.
func FuzzRequest(f *testing.F) {
	seed, err := proto.Marshal(requestToProto(newRequest(), time.Second))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var p forwardpb.Request
		if proto.Unmarshal(data, &p) != nil {
			return
		}
		now := time.Unix(1000, 0)
		q, err := requestFromProto(&p, now)
		if err != nil {
			return
		}
		again, err := requestFromProto(requestToProto(q, q.Deadline.Sub(now)), now)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, q)
	})
}
