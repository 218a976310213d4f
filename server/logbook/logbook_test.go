package logbook_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/eventlog/memlog"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/logbook"
	"dotterelmount.example/server/logbook/logbooktest"
	"gotest.tools/v3/assert"
)

// start runs a book over a log; changed gets each state that comes in force.
func start(t *testing.T, log eventlog.Log, checkpointEvery time.Duration) (*logbook.StateReplica, *ring.Ring[*ledger.State]) {
	t.Helper()
	changed := ring.New[*ledger.State](256)
	book := logbooktest.Start(t, log, "d", checkpointEvery, func(s *ledger.State) { _ = changed.TryPush(s) })
	return book, changed
}

func plans(base api.Revision, name api.PlanName) api.PublishPlanList {
	return api.PublishPlanList{Base: base, List: api.PlanList{Plans: []api.Plan{{Name: name}}}}
}

// await returns the first state for which ok holds.
func await(t *testing.T, changed *ring.Ring[*ledger.State], ok func(*ledger.State) bool) *ledger.State {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		s, err := changed.Pop(ctx)
		assert.NilError(t, err)
		if ok(s) {
			return s
		}
	}
}

func TestLostAnswerIsResolvedByReading(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.DropResponses(1)
	book, _ := start(t, log, 0)
	v, err := book.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	assert.Equal(t, book.State().PlansRevision, v.Offset)
}

func TestOutageRefusesAsNotAccepted(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.SetOutage(true)
	book, _ := start(t, log, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := book.Propose(ctx, api.StreamConfig, plans(0, "a"), "op")
	// Not told in time is unknown to the operator; told in time is a refusal.
	code := api.CodeOf(err)
	assert.Assert(t, code == api.CodeLogUnavailable || code == api.CodeUnknownResult, "%v", err)
	log.SetOutage(false)
	v, err := book.Propose(t.Context(), api.StreamConfig, plans(0, "b"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	assert.Equal(t, v.Offset, api.Offset(1)) // the refused record is not there
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, _ := start(t, log, 0)
	two, changed := start(t, log, 0)
	slot := ring.NewSlot[ledger.Verdict]()
	deadline := time.Now().Add(5 * time.Second)
	assert.NilError(t, one.ProposeAsync(logbook.Proposal{
		Stream: api.StreamConfig, Body: plans(0, "one"), Actor: "x", Deadline: deadline,
		Done: func(v ledger.Verdict, _ error) { slot.Put(v) },
	}))
	b, err := two.Propose(t.Context(), api.StreamConfig, plans(0, "two"), "y")
	assert.NilError(t, err)
	a, err := slot.Wait(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, (a.Err == nil) != (b.Err == nil), "one: %v, two: %v", a.Err, b.Err)
	loser := a.Err
	if loser == nil {
		loser = b.Err
	}
	assert.Equal(t, api.CodeOf(loser), api.CodeConflict)
	s := await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset >= 2 })
	assert.Equal(t, s.PlansRevision, api.Offset(1))
}

func TestStartFromCheckpointAfterRecordsExpired(t *testing.T) {
	log := memlog.New(memlog.Options{MaxEntries: 8})
	first, changed := start(t, log, 100*time.Millisecond)
	v, err := first.Propose(t.Context(), api.StreamConfig, plans(0, "kept"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	for i := range 30 { // pushes the list itself out of the log
		_, err := first.Propose(t.Context(), api.StreamConfig, api.AnnounceWeights{Model: "m", Version: api.WeightVersion(i + 1)}, "op")
		assert.NilError(t, err)
	}
	await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset > 31 }) // a checkpoint after them
	second, later := start(t, log, 0)
	await(t, later, func(s *ledger.State) bool { return s.Weights["m"].Version == 30 })
	assert.Equal(t, second.State().Plans.Plans[0].Name, api.PlanName("kept"))
	assert.Equal(t, second.State().PlansRevision, api.Offset(1))
}

func TestBookCutOffFromLogLearnsFromPeer(t *testing.T) {
	log := memlog.New(memlog.Options{})
	reader, _ := start(t, log, 0)
	cut := &cuttable{Log: log}
	other, changed := start(t, cut, 0)
	_, err := reader.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 1 })
	cut.off.Store(true)
	v, err := reader.Propose(t.Context(), api.StreamConfig, plans(1, "b"), "op")
	assert.NilError(t, err)
	other.Offer(reader.Tail(v.Offset+1, 10)) // nothing yet
	other.Offer(reader.Tail(other.AppliedOffset()+1, 10))
	s := await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == v.Offset })
	assert.Equal(t, s.Plans.Plans[0].Name, api.PlanName("b"))
	other.Offer(reader.Tail(1, 10)) // old records again change nothing
	claim, found, err := other.LookupClaim(t.Context(), ledger.ClaimKey{Customer: "c", Key: "k"})
	assert.NilError(t, err)
	assert.Assert(t, !found, "%v", claim)
	assert.Equal(t, other.AppliedOffset(), v.Offset)
}

// cuttable is a log whose reads fail while off is set.
type cuttable struct {
	eventlog.Log
	off atomic.Bool
}

func (c *cuttable) Read(ctx context.Context, p []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	if c.off.Load() {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: context.DeadlineExceeded}
	}
	batches, err := c.Log.Read(ctx, p, limit, wait)
	if c.off.Load() {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: context.DeadlineExceeded}
	}
	return batches, err
}

func TestAuditNamesWinnerAndLoser(t *testing.T) {
	log := memlog.New(memlog.Options{})
	book, _ := start(t, log, 0)
	_, err := book.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "alice")
	assert.NilError(t, err)
	_, err = book.Propose(t.Context(), api.StreamConfig, plans(0, "b"), "bob")
	assert.NilError(t, err)
	trail, err := logbook.Audit(t.Context(), log, 1, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(trail), 2)
	assert.Equal(t, trail[0].Record.Actor, "alice")
	assert.Equal(t, trail[0].RevisionAfter, api.Revision(1))
	assert.Equal(t, api.CodeOf(trail[1].Err), api.CodeConflict)
	assert.Equal(t, trail[1].RevisionAfter, api.Revision(1))
}

// stalledLog holds its first answer back, as the socket of a frozen process
// does, and answers no further read.
type stalledLog struct {
	eventlog.Log
	answered time.Time // by the log, before the answer was taken in
	reads    int
}

func (l *stalledLog) Read(ctx context.Context, p []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	if l.reads++; l.reads > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	batches, err := l.Log.Read(ctx, p, limit, wait)
	l.answered = time.Now()
	time.Sleep(time.Millisecond)
	return batches, err
}

func TestContactIsNoLaterThanTheLogsAnswer(t *testing.T) {
	log := &stalledLog{Log: memlog.New(memlog.Options{})}
	book, _ := start(t, log, 0)
	for book.LastLogContact().IsZero() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !book.LastLogContact().After(log.answered))
}

// A daemon that starts while the log is out gets the state from a peer, and
// later reads on from there.
func TestBookStartsFromPeerWhileLogIsOut(t *testing.T) {
	log := memlog.New(memlog.Options{})
	first, _ := start(t, log, 0)
	_, err := first.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	cut := &cuttable{Log: log}
	cut.off.Store(true)
	second, changed := start(t, cut, 0)
	image, err := first.Image(t.Context())
	assert.NilError(t, err)
	second.InstallImage(image)
	s := await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 1 })
	assert.Equal(t, s.Plans.Plans[0].Name, api.PlanName("a"))
	assert.Assert(t, second.Synced())
	_, _, err = second.LookupClaim(t.Context(), ledger.ClaimKey{Customer: "c", Key: "k"})
	assert.Equal(t, api.CodeOf(err), api.CodeNotReady) // claims are only in the log
	cut.off.Store(false)
	_, err = first.Propose(t.Context(), api.StreamConfig, plans(1, "b"), "op")
	assert.NilError(t, err)
	await(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 2 })
}
