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
	"dotterelmount.example/server/logbook/logbooktest"
	"dotterelmount.example/server/once"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var slip = once.Request{Key: ledger.ClaimKey{Customer: "c", Key: "k"}, Fingerprint: 7}

func guard(t *testing.T, log *memlog.Log, daemon api.DaemonID) *once.Guard {
	t.Helper()
	return once.New(logbooktest.Start(t, log, daemon, 0), daemon, time.Now)
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func complete() work.Result {
	return work.Result{Outcome: api.OutcomeComplete, Status: 201, Body: []byte(`{"slip":1}`)}
}

func never(t *testing.T) func() work.Result {
	return func() work.Result {
		t.Error("ran a request that another call holds")
		return work.Result{}
	}
}

func TestSecondCallOnAnotherDaemonGetsTheFirstAnswer(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, two := guard(t, log, "one"), guard(t, log, "two")
	entered, release := make(chan struct{}), make(chan struct{})
	first := ring.NewSlot[work.Result]()
	go func() {
		a, _ := one.Run(within(t, 10*time.Second), slip, func() work.Result {
			close(entered)
			<-release
			return complete()
		})
		first.Put(a)
	}()
	<-entered
	second := ring.NewSlot[work.Result]()
	go func() {
		a, replayed := two.Run(within(t, 10*time.Second), slip, never(t))
		assert.Check(t, replayed)
		second.Put(a)
	}()
	close(release)
	for _, s := range []*ring.Slot[work.Result]{first, second} {
		a, err := s.Wait(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, a.Outcome, api.OutcomeComplete)
		assert.Equal(t, string(a.Body), `{"slip":1}`)
	}
}

func TestManyRacingCallsRunOnce(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.DropResponses(2)
	const daemons = 5
	var runs atomic.Int64
	done := ring.New[work.Result](daemons)
	for i := range daemons {
		g := guard(t, log, api.DaemonID(rune('a'+i)))
		go func() {
			a, _ := g.Run(within(t, 10*time.Second), slip, func() work.Result {
				runs.Add(1)
				return complete()
			})
			_ = done.TryPush(a)
		}()
	}
	for range daemons {
		a, err := done.Pop(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, a.Outcome, api.OutcomeComplete)
	}
	assert.Equal(t, runs.Load(), int64(1))
}

// A holder that stops between winning and dispatching leaves the claim without
// a result; nobody may run the request in its place.
func TestHolderGoneAfterWinningIsUnknown(t *testing.T) {
	log := memlog.New(memlog.Options{})
	book := logbooktest.Start(t, log, "gone", 0)
	claim := api.Claim{Customer: "c", Key: "k", Fingerprint: 7, Holder: "gone"}
	v, err := book.Propose(t.Context(), api.StreamClaims, claim, "gone")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	a, replayed := guard(t, log, "two").Run(within(t, 200*time.Millisecond), slip, never(t))
	assert.Assert(t, replayed)
	assert.Equal(t, a.Outcome, api.OutcomeUnknown)
	assert.Equal(t, api.CodeOf(a.Err), api.CodeDuplicateKey)
}

func TestOutageRefusesAsNotRun(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := guard(t, log, "one")
	log.SetOutage(true)
	a, _ := g.Run(within(t, 200*time.Millisecond), slip, never(t))
	assert.Equal(t, a.Outcome, api.OutcomeNotRun)
}

func TestKeyIsFreeAgainAfterNotRun(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, two := guard(t, log, "one"), guard(t, log, "two")
	a, _ := one.Run(within(t, 10*time.Second), slip, func() work.Result {
		return work.Result{Outcome: api.OutcomeNotRun, Err: api.Errorf(api.CodeShed, "full")}
	})
	assert.Equal(t, a.Outcome, api.OutcomeNotRun)
	a, replayed := two.Run(within(t, 10*time.Second), slip, complete)
	assert.Assert(t, !replayed)
	assert.Equal(t, a.Outcome, api.OutcomeComplete)
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := guard(t, log, "one")
	_, _ = g.Run(within(t, 10*time.Second), slip, complete)
	other := slip
	other.Fingerprint = 8
	a, _ := g.Run(within(t, 10*time.Second), other, never(t))
	assert.Equal(t, a.Outcome, api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(a.Err), api.CodeConflict)
}

// The claim reaches the log only after its caller was told that nothing ran:
// the key must come free again, and the caller must not run it.
func TestClaimWonTooLateIsReleased(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := guard(t, log, "one")
	log.SetDelay(400 * time.Millisecond)
	a, _ := g.Run(within(t, 100*time.Millisecond), slip, never(t))
	assert.Equal(t, a.Outcome, api.OutcomeNotRun)
	log.SetDelay(0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a, _ := g.Run(within(t, time.Second), slip, complete)
		if a.Outcome == api.OutcomeComplete {
			return poll.Success()
		}
		return poll.Continue("outcome %s", a.Outcome)
	}, poll.WithTimeout(10*time.Second))
}

// An answer too long for the log must not come back cut or empty.
func TestLongAnswerIsNotReplayedCut(t *testing.T) {
	log := memlog.New(memlog.Options{})
	g := guard(t, log, "one")
	long := work.Result{Outcome: api.OutcomeComplete, Status: 200, Body: make([]byte, 1<<17)}
	_, _ = g.Run(within(t, 10*time.Second), slip, func() work.Result { return long })
	a, replayed := g.Run(within(t, 10*time.Second), slip, never(t))
	assert.Assert(t, replayed)
	assert.Equal(t, a.Outcome, api.OutcomeComplete)
	assert.Equal(t, api.CodeOf(a.Err), api.CodeDuplicateKey)
	assert.Equal(t, len(a.Body), 0)
}
