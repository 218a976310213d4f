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
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// script answers attempts and notes where they went.
type script struct {
	mu   sync.Mutex
	sent []api.UpstreamID
	play func(n int, ctx context.Context, u *directory.Upstream) (*opaque.Response, error)
}

func (s *script) Exchange(ctx context.Context, u *directory.Upstream, _ *opaque.Request) (*opaque.Response, error) {
	s.mu.Lock()
	s.sent = append(s.sent, u.ID)
	n := len(s.sent)
	s.mu.Unlock()
	return s.play(n, ctx, u)
}

func (s *script) Open(context.Context, *directory.Upstream, *opaque.Request, int) (*opaque.Response, opaque.EventStream, error) {
	return nil, nil, &opaque.AttemptError{}
}

func (s *script) tried() []api.UpstreamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]api.UpstreamID(nil), s.sent...)
}

func start(t *testing.T, s *script, upstreams ...directory.Upstream) *Relay {
	t.Helper()
	var changes []directory.Change
	for _, u := range upstreams {
		u.Service = "s"
		changes = append(changes, directory.UpstreamListed{Upstream: u})
	}
	view := directory.NewView().Apply(changes)
	r := Start(duty.NewSystem(nil), Config{
		Chooser: opaque.Chooser{Daemon: "d", BusyThreshold: 2}, AttemptTimeouts: opaque.AttemptTimeouts{MinTimeout: 50 * time.Millisecond, TargetMultiple: 1},
		Workers: 4, RingSize: 16, Backoff: 100 * time.Millisecond, MaxBackoff: time.Second, RetryAfter: 100 * time.Millisecond, OnCrashes: func(uint64, int) {}, Now: time.Now,
	}, zap.NewNop(), s, func() *directory.View { return view })
	t.Cleanup(func() { assert.NilError(t, r.Stop(context.Background())) })
	return r
}

func request(k routes.Kind) *opaque.Request {
	return &opaque.Request{
		ID: "r", Service: "s", Deadline: time.Now().Add(time.Second),
		Route: &routes.Route{Kind: k, MaxAttempts: 3, LatencyTarget: 50 * time.Millisecond},
	}
}

func failure(fate opaque.Execution) error {
	return &opaque.AttemptError{Execution: fate, ConnectionLost: fate == opaque.ExecutionUnknown, Cause: &opaque.FailedError{Reason: "scripted"}}
}

var three = []directory.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}

func TestIdempotentRequestIsTriedElsewhere(t *testing.T) {
	s := &script{play: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n < 3 {
			return nil, failure(opaque.ExecutionUnknown)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	a, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 200)
	seen := make(map[api.UpstreamID]bool)
	for _, u := range s.tried() {
		assert.Assert(t, !seen[u], "%s twice", u)
		seen[u] = true
	}
}

func TestOnceOnlyRequestEndsWithAnAttemptThatMayHaveRun(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, failure(opaque.ExecutionUnknown)
	}}
	_, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindOnce))
	var failed *opaque.FailedError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, len(s.tried()), 1)
}

func TestOnceOnlyRequestIsTriedElsewhereWhenItSurelyDidNotRun(t *testing.T) {
	s := &script{play: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n == 1 {
			return nil, failure(opaque.ExecutionNotRun)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	a, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindOnce))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 200)
}

// "Not run" is told only when no attempt can have run.
func TestRefusalIsTrue(t *testing.T) {
	for name, c := range map[string]struct {
		fates   []opaque.Execution
		refused bool
	}{
		"never run":         {[]opaque.Execution{opaque.ExecutionNotSent, opaque.ExecutionNotRun, opaque.ExecutionNotSent}, true},
		"one may have run":  {[]opaque.Execution{opaque.ExecutionNotRun, opaque.ExecutionUnknown, opaque.ExecutionNotRun}, false},
		"first may have":    {[]opaque.Execution{opaque.ExecutionUnknown, opaque.ExecutionNotSent, opaque.ExecutionNotSent}, false},
		"last may have run": {[]opaque.Execution{opaque.ExecutionNotSent, opaque.ExecutionNotSent, opaque.ExecutionUnknown}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{play: func(n int, _ context.Context, _ *directory.Upstream) (*opaque.Response, error) {
				return nil, failure(c.fates[n-1])
			}}
			_, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindIdempotent))
			var refused *opaque.NotRunError
			assert.Equal(t, errors.As(err, &refused), c.refused, "%v", err)
			assert.Equal(t, len(s.tried()), 3, "the route's attempts")
		})
	}
}

func TestUpstreamsOwnFailureIsPassedOnAtTheEnd(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 500}, nil
	}}
	a, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 500)
}

func TestSilentUpstreamLeavesTimeForAnother(t *testing.T) {
	s := &script{play: func(n int, ctx context.Context, _ *directory.Upstream) (*opaque.Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, failure(opaque.ExecutionUnknown)
		}
		return &opaque.Response{Status: 200}, nil
	}}
	began := time.Now()
	a, _, err := start(t, s, three...).Forward(t.Context(), request(routes.KindIdempotent))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 200)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	_, _, err := start(t, s, directory.Upstream{ID: "a", Draining: true}).Forward(t.Context(), request(routes.KindIdempotent))
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(s.tried()), 0)
}

func TestRequestThatCrashesItsUpstreamsIsRefusedAfterThree(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, failure(opaque.ExecutionUnknown)
	}}
	r := start(t, s, three...)
	_, _, err := r.Forward(t.Context(), request(routes.KindIdempotent))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.tried()), 3)
	_, _, err = r.Forward(t.Context(), request(routes.KindIdempotent))
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, len(s.tried()), 3)
}

// A caller that was refused comes back at any daemon, so that each must count
// what the others saw.
func TestCrashesThatOtherDaemonsSawCount(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return &opaque.Response{Status: 200}, nil
	}}
	r, q := start(t, s, three...), request(routes.KindIdempotent)
	r.AddCrashes(fingerprint(q), crashLimit-1)
	_, _, err := r.Forward(t.Context(), q) // answered: others were the cause
	assert.NilError(t, err)
	r.AddCrashes(fingerprint(q), 1)
	_, _, err = r.Forward(t.Context(), q)
	assert.NilError(t, err)
	r.AddCrashes(fingerprint(q), crashLimit-1)
	r.AddCrashes(fingerprint(q), 1)
	_, _, err = r.Forward(t.Context(), q)
	var refused *opaque.NotRunError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, len(s.tried()), 2)
}

// An upstream that crashed is back under its id after some seconds, so that
// counting different upstreams would let a request crash it for ever.
func TestCrashesOfOneUpstreamCountEachTime(t *testing.T) {
	s := &script{play: func(int, context.Context, *directory.Upstream) (*opaque.Response, error) {
		return nil, failure(opaque.ExecutionUnknown)
	}}
	r := start(t, s, directory.Upstream{ID: "a"})
	for range 2 * crashLimit {
		_, _, _ = r.Forward(t.Context(), request(routes.KindIdempotent)) // fails or is refused
	}
	assert.Assert(t, len(s.tried()) <= crashLimit, "%d attempts", len(s.tried()))
}
