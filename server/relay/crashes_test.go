package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/reach"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against an innocent request that is refused because a cut-off ended its connections.
func TestConnectionsLostByACutOffAreNoCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		links   reach.State
		refused bool
		reports int32
	}{
		"cut off":   {reach.CutOff, false, 0},
		"reachable": {reach.Reachable, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var links atomic.Uint32
			var reports atomic.Int32
			s := &scriptedExchanger{respond: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
				if n <= 3 {
					return nil, attemptError(opaque.ExecutionUnknown)
				}
				return &opaque.Response{Status: 200}, nil
			}}
			peers := Peers{Links: func() reach.State { return reach.State(links.Load()) }, List: func() []opaque.Peer { return nil }}
			r := startWithCrashes(t, s, peers, func(uint64, []quarantine.Loss) { reports.Add(1) }, threeUpstreams...)
			_, _, err := r.Forward(t.Context(), newRequest(routes.KindIdempotent))
			assert.Assert(t, err != nil)
			links.Store(uint32(reach.Suspected))
			<-time.After(3 * r.cfg.CrashConfirmation)
			assert.Equal(t, reports.Load(), int32(0), "reported before it is known whether the links failed")
			links.Store(uint32(c.links))
			<-time.After(3 * r.cfg.CrashConfirmation)
			links.Store(uint32(reach.Reachable))
			_, _, err = r.Forward(t.Context(), newRequest(routes.KindIdempotent))
			var notRun *opaque.NotRunError
			assert.Equal(t, errors.As(err, &notRun), c.refused, "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := reports.Load(); got != c.reports {
					return poll.Continue("%d reports", got)
				}
				return poll.Success()
			}, poll.WithTimeout(time.Second))
		})
	}
}

// A request that is lost with the upstreams which another request crashes runs on, at every
// daemon; the other one is refused.
func TestBystanderOfCrashesReportedByPeersRuns(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r := start(t, s, threeUpstreams...)
	bystander, killer := newRequest(routes.KindIdempotent), newRequest(routes.KindIdempotent)
	bystander.RequestURI, killer.RequestURI = "/page", "/other"
	var crashes []quarantine.Loss
	for n := range quarantine.RefusalStrikes + 1 {
		crashes = append(crashes, quarantine.Loss{Upstream: "a", At: time.Now().Add(-5 * time.Second * time.Duration(n))})
	}
	r.AddCrashes(fingerprint(bystander), crashes[1:])
	r.AddCrashes(fingerprint(killer), crashes)
	var refused *opaque.NotRunError
	_, _, err := r.Forward(t.Context(), killer)
	assert.Assert(t, errors.As(err, &refused) && refused.RetryAfter > time.Second, "%v", err)
	_, _, err = r.Forward(t.Context(), bystander)
	assert.NilError(t, err)
	assert.Equal(t, len(s.tried()), 1)
}

// The same content of another customer is another request.
func TestCrashesCountPerCustomer(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r := start(t, s, threeUpstreams...)
	q, other := newRequest(routes.KindIdempotent), newRequest(routes.KindIdempotent)
	q.Customer, other.Customer = "c1", "c2"
	r.AddCrashes(fingerprint(q), losses(quarantine.RefusalStrikes))
	_, _, err := r.Forward(t.Context(), q)
	assert.Assert(t, err != nil)
	_, _, err = r.Forward(t.Context(), other)
	assert.NilError(t, err)
}
