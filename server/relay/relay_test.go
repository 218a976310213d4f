package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/ratelimit"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// scriptedExchanger is an opaque.Exchanger that runs the respond function and
// records the upstream of each attempt.
type scriptedExchanger struct {
	mu      sync.Mutex
	sent    []api.UpstreamID
	respond func(n int, ctx context.Context, u *directory.Upstream) (*opaque.Response, error)
}

func (s *scriptedExchanger) Exchange(ctx context.Context, u *directory.Upstream, _ *opaque.Request) (*opaque.Response, error) {
	s.mu.Lock()
	s.sent = append(s.sent, u.ID)
	n := len(s.sent)
	s.mu.Unlock()
	return s.respond(n, ctx, u)
}

func (s *scriptedExchanger) OpenStream(context.Context, *directory.Upstream, *opaque.Request, int) (*opaque.Response, opaque.EventStream, error) {
	return nil, nil, &opaque.AttemptError{}
}

func (s *scriptedExchanger) CheckIncarnation(context.Context, *directory.Upstream) error { return nil }

func (s *scriptedExchanger) tried() []api.UpstreamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]api.UpstreamID(nil), s.sent...)
}

func start(t *testing.T, s opaque.Exchanger, upstreams ...directory.Upstream) *Relay {
	t.Helper()
	return startWith(t, s, Peers{}, upstreams...)
}

func startWith(t *testing.T, s opaque.Exchanger, peers Peers, upstreams ...directory.Upstream) *Relay {
	t.Helper()
	return startWithCrashes(t, s, peers, func(uint64, []quarantine.Loss) {}, upstreams...)
}

func startWithCrashes(t *testing.T, s opaque.Exchanger, peers Peers, onCrashes func(uint64, []quarantine.Loss), upstreams ...directory.Upstream) *Relay {
	t.Helper()
	return startConfigured(t, s, func(c *Config) { c.Peers, c.OnCrashes = peers, onCrashes }, upstreams...)
}

// startConfigured starts a relay with a changed configuration.
func startConfigured(t *testing.T, s opaque.Exchanger, change func(*Config), upstreams ...directory.Upstream) *Relay {
	t.Helper()
	var changes []directory.Change
	for _, u := range upstreams {
		u.Service = "s"
		changes = append(changes, directory.UpstreamListed{Upstream: u})
	}
	view := directory.NewView().Apply(changes)
	cfg := Config{
		Chooser: opaque.Chooser{Daemon: "d", BusyThreshold: 2}, AttemptTimeouts: opaque.AttemptTimeouts{MinTimeout: 50 * time.Millisecond, TargetMultiple: 1},
		MaxInFlight: 4, RingSize: 16, Backoff: 100 * time.Millisecond, MaxBackoff: time.Second, RetryAfter: 100 * time.Millisecond, OnCrashes: func(uint64, []quarantine.Loss) {}, Now: time.Now,
		Limits: ratelimit.NewBuckets(), Streams: &origins{known: map[string]opaque.StreamOrigin{}}, MaxWaiting: 8, WaitTick: 10 * time.Millisecond, UpstreamsCurrent: func() bool { return true }, CrashConfirmation: 30 * time.Millisecond,
	}
	change(&cfg)
	r := Start(duty.NewSystem(nil), cfg, zap.NewNop(), s, func() *directory.View { return view })
	t.Cleanup(func() { assert.NilError(t, r.Stop(context.Background())) })
	return r
}

func newRequest(k routes.Kind) *opaque.Request {
	return &opaque.Request{
		ID: "r", Service: "s", Deadline: time.Now().Add(time.Second),
		Route: &routes.Route{Kind: k, MaxAttempts: 3, LatencyTarget: 50 * time.Millisecond},
	}
}

func attemptError(execution opaque.Execution) error {
	return &opaque.AttemptError{Execution: execution, ConnectionLost: execution == opaque.ExecutionUnknown, Cause: &opaque.FailedError{Reason: "scripted"}}
}

// losses returns n losses of upstreams that another daemon reports.
func losses(n int) []quarantine.Loss {
	out := make([]quarantine.Loss, n)
	for i := range out {
		out[i] = quarantine.Loss{Upstream: "a", At: time.Now()}
	}
	return out
}

var threeUpstreams = []directory.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}

func TestIdempotentRequestIsRetriedOnOtherUpstreams(t *testing.T) {
	s := &scriptedExchanger{respond: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n < 3 {
			return nil, attemptError(opaque.ExecutionUnknown)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	resp, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
	seen := make(map[api.UpstreamID]bool)
	for _, u := range s.tried() {
		assert.Assert(t, !seen[u], "%s was tried twice", u)
		seen[u] = true
	}
}

func TestOnceOnlyRequestIsNotRetriedIfItMayHaveRun(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, attemptError(opaque.ExecutionUnknown)
	}}
	_, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindOnce))
	var failed *opaque.FailedError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, len(s.tried()), 1)
}

func TestOnceOnlyRequestIsRetriedIfItDidNotRun(t *testing.T) {
	s := &scriptedExchanger{respond: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n == 1 {
			return nil, attemptError(opaque.ExecutionNotRun)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	resp, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindOnce))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
}

// NotRunError must be returned only if no attempt can have run.
func TestNotRunErrorOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		executions []opaque.Execution
		refused    bool
	}{
		"none has run":      {[]opaque.Execution{opaque.ExecutionNotSent, opaque.ExecutionNotRun, opaque.ExecutionNotSent}, true},
		"one may have run":  {[]opaque.Execution{opaque.ExecutionNotRun, opaque.ExecutionUnknown, opaque.ExecutionNotRun}, false},
		"first may have":    {[]opaque.Execution{opaque.ExecutionUnknown, opaque.ExecutionNotSent, opaque.ExecutionNotSent}, false},
		"last may have run": {[]opaque.Execution{opaque.ExecutionNotSent, opaque.ExecutionNotSent, opaque.ExecutionUnknown}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedExchanger{respond: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
				return nil, attemptError(c.executions[n-1])
			}}
			_, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindIdempotent))
			var refused *opaque.NotRunError
			assert.Equal(t, errors.As(err, &refused), c.refused, "%v", err)
			assert.Equal(t, len(s.tried()), 3, "number of the route's attempts")
		})
	}
}

func TestUpstreamFailureResponseIsForwarded(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 500}, nil
	}}
	resp, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 500)
}

func TestAttemptTimeoutLeavesTimeForRetry(t *testing.T) {
	s := &scriptedExchanger{respond: func(n int, ctx context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, attemptError(opaque.ExecutionUnknown)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	startedAt := time.Now()
	resp, _, err := start(t, s, threeUpstreams...).Forward(t.Context(), newRequest(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 200)
	assert.Assert(t, time.Since(startedAt) < 500*time.Millisecond)
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	_, _, err := start(t, s, directory.Upstream{ID: "a", Draining: true}).Forward(t.Context(), newRequest(routes.KindIdempotent))
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(s.tried()), 0)
}

func TestCrashingRequestIsRefusedAtCrashLimit(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, attemptError(opaque.ExecutionUnknown)
	}}
	r := start(t, s, threeUpstreams...)
	_, _, err := r.Forward(t.Context(), newRequest(routes.KindIdempotent))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.tried()), 3)
	_, _, err = r.Forward(t.Context(), newRequest(routes.KindIdempotent))
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, len(s.tried()), 3)
}

// A refused caller may retry at any daemon, so each daemon must count the crashes
// that its peers report.
func TestPeerCrashesCount(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r, q := start(t, s, threeUpstreams...), newRequest(routes.KindIdempotent)
	r.AddCrashes(fingerprint(q), losses(quarantine.RefusalStrikes-1))
	_, _, err := r.Forward(t.Context(), q) // a response clears the crashes
	assert.NilError(t, err)
	r.AddCrashes(fingerprint(q), losses(1))
	_, _, err = r.Forward(t.Context(), q)
	assert.NilError(t, err)
	r.AddCrashes(fingerprint(q), losses(quarantine.RefusalStrikes-1))
	r.AddCrashes(fingerprint(q), losses(1))
	_, _, err = r.Forward(t.Context(), q)
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, len(s.tried()), 2)
}

// A crashed upstream restarts under the same id after some seconds. If only
// distinct upstreams counted, a request could crash it forever.
func TestRepeatedCrashesOfOneUpstreamCount(t *testing.T) {
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, attemptError(opaque.ExecutionUnknown)
	}}
	r := start(t, s, directory.Upstream{ID: "a"})
	for range 2 * quarantine.RefusalStrikes {
		_, _, _ = r.Forward(t.Context(), newRequest(routes.KindIdempotent)) // fails or is refused
	}
	assert.Assert(t, len(s.tried()) <= quarantine.RefusalStrikes, "%d attempts", len(s.tried()))
}

// Guards against a request without a response or an error, which has an upstream's failure response
// and is then refused for another reason.
func TestFailureResponseIsKeptWhenRequestIsRefusedLater(t *testing.T) {
	var r *Relay
	q := newRequest(routes.KindIdempotent)
	s := &scriptedExchanger{respond: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		r.AddCrashes(fingerprint(q), losses(quarantine.RefusalStrikes))
		return &opaque.Response{Status: 500}, nil
	}}
	r = start(t, s, threeUpstreams...)
	resp, _, err := r.Forward(t.Context(), q)
	assert.NilError(t, err)
	assert.Assert(t, resp != nil, "neither a response nor an error")
	assert.Equal(t, resp.Status, 500)
	assert.Equal(t, len(s.tried()), 1)
}

// A daemon that knows no upstream of the service says that another one may.
func TestForwardedRequestWithoutUpstreamGoesElsewhere(t *testing.T) {
	r := start(t, &scriptedExchanger{})
	q := newRequest(routes.KindOnce)
	q.Forwarded = true
	_, _, err := r.ServeForwarded(t.Context(), q, nil)
	var notRun *opaque.NotRunError
	assert.Assert(t, errors.As(err, &notRun) && notRun.Elsewhere, "%v", err)
}
