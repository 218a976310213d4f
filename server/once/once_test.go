package once_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/once"
	"dotterelmount.example/server/statereplica/statereplicatest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var testRequest = once.Request{Key: ledger.ClaimKey{Customer: "c", Key: "k"}, Fingerprint: 7}

func newGuard(t *testing.T, log *memlog.Log, daemon api.DaemonID) *once.Guard {
	t.Helper()
	return once.New(statereplicatest.Start(t, log, daemon, 0), daemon, time.Now)
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func completeResult() work.Result {
	return work.Result{Outcome: api.OutcomeComplete, Status: 201, Body: []byte(`{"slip":1}`)}
}

func mustNotRun(t *testing.T) func() work.Result {
	return func() work.Result {
		t.Error("ran a request without holding its claim")
		return work.Result{}
	}
}

func TestSecondCallOnAnotherDaemonReplaysResult(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, two := newGuard(t, log, "one"), newGuard(t, log, "two")
	entered, release := make(chan struct{}), make(chan struct{})
	first := ring.NewSlot[work.Result]()
	go func() {
		res, _ := one.Run(withTimeout(t, 10*time.Second), testRequest, func() work.Result {
			close(entered)
			<-release
			return completeResult()
		})
		first.Put(res)
	}()
	<-entered
	second := ring.NewSlot[work.Result]()
	go func() {
		res, replayed := two.Run(withTimeout(t, 10*time.Second), testRequest, mustNotRun(t))
		assert.Check(t, replayed)
		second.Put(res)
	}()
	close(release)
	for _, s := range []*ring.Slot[work.Result]{first, second} {
		res, err := s.Wait(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome, api.OutcomeComplete)
		assert.Equal(t, string(res.Body), `{"slip":1}`)
	}
}

func TestConcurrentCallsRunOnce(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.DropResponses(2)
	const daemons = 5
	var runs atomic.Int64
	done := ring.New[work.Result](daemons)
	for i := range daemons {
		g := newGuard(t, log, api.DaemonID(rune('a'+i)))
		go func() {
			res, _ := g.Run(withTimeout(t, 10*time.Second), testRequest, func() work.Result {
				runs.Add(1)
				return completeResult()
			})
			_ = done.TryPush(res)
		}()
	}
	for range daemons {
		res, err := done.Pop(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, res.Outcome, api.OutcomeComplete)
	}
	assert.Equal(t, runs.Load(), int64(1))
}

// A holder that stops after winning a claim may have run the request, so no other
// daemon may run it.
func TestClaimWithoutResultYieldsUnknown(t *testing.T) {
	log := memlog.New(memlog.Options{})
	replica := statereplicatest.Start(t, log, "gone", 0)
	claim := api.Claim{Customer: "c", Key: "k", Fingerprint: 7, Holder: "gone"}
	v, err := replica.Propose(t.Context(), api.StreamClaims, claim, "gone")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	res, replayed := newGuard(t, log, "two").Run(withTimeout(t, 200*time.Millisecond), testRequest, mustNotRun(t))
	assert.Assert(t, replayed)
	assert.Equal(t, res.Outcome, api.OutcomeUnknown)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeDuplicateKey)
}

func TestLogOutageYieldsNotRun(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := newGuard(t, log, "one")
	log.SetOutage(true)
	res, _ := g.Run(withTimeout(t, 200*time.Millisecond), testRequest, mustNotRun(t))
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
}

func TestKeyIsReleasedAfterNotRun(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, two := newGuard(t, log, "one"), newGuard(t, log, "two")
	res, _ := one.Run(withTimeout(t, 10*time.Second), testRequest, func() work.Result {
		return work.Result{Outcome: api.OutcomeNotRun, Err: api.Errorf(api.CodeShed, "full")}
	})
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	res, replayed := two.Run(withTimeout(t, 10*time.Second), testRequest, completeResult)
	assert.Assert(t, !replayed)
	assert.Equal(t, res.Outcome, api.OutcomeComplete)
}

func TestKeyReuseForAnotherRequestConflicts(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := newGuard(t, log, "one")
	_, _ = g.Run(withTimeout(t, 10*time.Second), testRequest, completeResult)
	other := testRequest
	other.Fingerprint = 8
	res, _ := g.Run(withTimeout(t, 10*time.Second), other, mustNotRun(t))
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeConflict)
}

// A claim that reaches the log after its call has returned OutcomeNotRun must be
// released, and the request must not run.
func TestLateClaimIsReleased(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := newGuard(t, log, "one")
	log.SetDelay(400 * time.Millisecond)
	res, _ := g.Run(withTimeout(t, 100*time.Millisecond), testRequest, mustNotRun(t))
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	log.SetDelay(0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		res, _ := g.Run(withTimeout(t, time.Second), testRequest, completeResult)
		if res.Outcome == api.OutcomeComplete {
			return poll.Success()
		}
		return poll.Continue("outcome %s", res.Outcome)
	}, poll.WithTimeout(10*time.Second))
}

// A response that is too long to be stored must not be replayed truncated or
// empty.
func TestLongResponseIsNotReplayed(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := newGuard(t, log, "one")
	long := work.Result{Outcome: api.OutcomeComplete, Status: 200, Body: make([]byte, 1<<17)}
	_, _ = g.Run(withTimeout(t, 10*time.Second), testRequest, func() work.Result { return long })
	res, replayed := g.Run(withTimeout(t, 10*time.Second), testRequest, mustNotRun(t))
	assert.Assert(t, replayed)
	assert.Equal(t, res.Outcome, api.OutcomeComplete)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeDuplicateKey)
	assert.Equal(t, len(res.Body), 0)
}
