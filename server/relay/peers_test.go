package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/reach"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// peerGroup is an opaque.Forwarder that runs the respond function of each peer.
type peerGroup struct {
	respond map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error)
	calls   atomic.Int32
}

func (g *peerGroup) Forward(_ context.Context, p *opaque.Peer, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
	g.calls.Add(1)
	resp, err := g.respond[p.ID](q, sink)
	return resp, "u", err
}

// startWithPeers starts a relay whose links are in a state. Its own attempts fail without
// having been sent.
func startWithPeers(t *testing.T, links reach.State, g *peerGroup) (*Relay, *scriptedExchanger) {
	t.Helper()
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, attemptError(opaque.ExecutionNotSent)
	}}
	peers := Peers{Links: func() reach.State { return links }, Forwarder: g, MaxTries: 3, List: func() []opaque.Peer {
		var out []opaque.Peer
		for id := range g.respond {
			out = append(out, opaque.Peer{ID: id})
		}
		return out
	}}
	return startWith(t, s, peers, threeUpstreams...), s
}

func answer(resp *opaque.Response, err error) func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error) {
	return func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error) { return resp, err }
}

func TestCutOffDaemonForwardsAtOnce(t *testing.T) {
	g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){"p": answer(&opaque.Response{Status: 200}, nil)}}
	r, s := startWithPeers(t, reach.CutOff, g)
	resp, upstream, err := r.Forward(t.Context(), newRequest(routes.KindOnce))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
	assert.Equal(t, upstream, api.UpstreamID("u"))
	assert.Equal(t, len(s.tried()), 0)
}

func TestFailedRequestIsForwardedWhileACutOffIsSuspected(t *testing.T) {
	g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){"p": answer(&opaque.Response{Status: 200}, nil)}}
	r, s := startWithPeers(t, reach.Suspected, g)
	_, _, err := r.Forward(t.Context(), newRequest(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, len(s.tried()), 1)
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){"p": answer(&opaque.Response{Status: 200}, nil)}}
	r, _ := startWithPeers(t, reach.CutOff, g)
	q := newRequest(routes.KindIdempotent)
	q.Forwarded = true
	_, _, err := r.ServeForwarded(t.Context(), q, nil)
	var notRun *opaque.NotRunError
	assert.Assert(t, errors.As(err, &notRun) && notRun.Elsewhere, "%v", err)
	assert.Equal(t, g.calls.Load(), int32(0))
}

// What a peer says of the execution of a request decides whether another one may run it.
func TestForwardedRequestRunsOnlyAsOftenAsItMay(t *testing.T) {
	elsewhere := &opaque.NotRunError{Reason: "cut off", Elsewhere: true}
	limited := &opaque.NotRunError{Reason: "limit", RetryAfter: time.Minute}
	lost := attemptError(opaque.ExecutionUnknown)
	for name, c := range map[string]struct {
		kind   routes.Kind
		err    error
		calls  int32
		notRun bool
	}{
		"no peer reaches an upstream":    {routes.KindOnce, elsewhere, 3, true},
		"no peer can be reached":         {routes.KindOnce, attemptError(opaque.ExecutionNotSent), 3, true},
		"refused for a limit of all":     {routes.KindIdempotent, limited, 1, true},
		"lost, may run once":             {routes.KindOnce, lost, 1, false},
		"lost, may be repeated":          {routes.KindIdempotent, lost, 3, false},
		"no response, may run once":      {routes.KindOnce, nil, 1, false},
		"no response, may be repeated":   {routes.KindIdempotent, nil, 3, false},
		"failed at the peer's upstreams": {routes.KindIdempotent, &opaque.FailedError{Reason: "failed"}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){}}
			for _, id := range []api.DaemonID{"p1", "p2", "p3", "p4"} {
				g.respond[id] = answer(nil, c.err)
			}
			r, s := startWithPeers(t, reach.CutOff, g)
			_, _, err := r.Forward(t.Context(), newRequest(c.kind))
			var notRun *opaque.NotRunError
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.As(err, &notRun), c.notRun, "%v", err)
			assert.Equal(t, g.calls.Load(), c.calls)
			assert.Equal(t, len(s.tried()), 0)
			if c.err == error(limited) {
				assert.Equal(t, notRun.RetryAfter, time.Minute)
			}
		})
	}
}

func TestForwardedStreamGoesOnAtAnotherPeer(t *testing.T) {
	var resumed []int
	respond := func(q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, error) {
		resumed = append(resumed, q.LastEvent)
		if q.LastEvent > 0 && q.Software != "v1" {
			return nil, &opaque.FailedError{Reason: "resumed without the software that began the stream"}
		}
		if err := sink.Head(&opaque.Response{Status: 200}); err != nil {
			return nil, err
		}
		for n := q.LastEvent + 1; n <= 4; n++ {
			if err := sink.Event(opaque.Event{Number: n, Data: []byte{byte('0' + n)}}, "v1"); err != nil {
				return nil, err
			}
			if n == 2 && q.LastEvent == 0 {
				return nil, attemptError(opaque.ExecutionUnknown)
			}
		}
		return nil, nil
	}
	g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){"p1": respond, "p2": respond}}
	r, _ := startWithPeers(t, reach.CutOff, g)
	q := newRequest(routes.KindStream)
	q.Route.Resumable = true
	heads, text := 0, ""
	_, _, err := r.Stream(t.Context(), q, func(*opaque.Response) error { heads++; return nil }, func(data []byte) error { text += string(data); return nil })
	assert.NilError(t, err)
	assert.Equal(t, text, "1234")
	assert.Equal(t, heads, 1)
	assert.DeepEqual(t, resumed, []int{0, 2})
}

// A daemon that reaches neither servers nor peers refuses requests without trying them all again.
func TestUnreachablePeersAreNotTriedByEachRequest(t *testing.T) {
	g := &peerGroup{respond: map[api.DaemonID]func(*opaque.Request, opaque.StreamSink) (*opaque.Response, error){}}
	for _, id := range []api.DaemonID{"p1", "p2"} {
		g.respond[id] = answer(nil, attemptError(opaque.ExecutionNotSent))
	}
	r, _ := startWithPeers(t, reach.CutOff, g)
	for range 10 {
		_, _, err := r.Forward(t.Context(), newRequest(routes.KindIdempotent))
		var notRun *opaque.NotRunError
		assert.Assert(t, errors.As(err, &notRun), "%v", err)
	}
	assert.Equal(t, g.calls.Load(), int32(2*peerFailureLimit))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, _, _ = r.Forward(t.Context(), newRequest(routes.KindIdempotent))
		if g.calls.Load() <= 2*peerFailureLimit {
			return poll.Continue("not tried again")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}
