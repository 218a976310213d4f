package statereplica_test

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
	"dotterelmount.example/server/statereplica"
	"dotterelmount.example/server/statereplica/statereplicatest"
	"gotest.tools/v3/assert"
)

// start runs a state replica of a log; the ring receives each of its states.
func start(t *testing.T, log eventlog.Log, checkpointInterval time.Duration) (*statereplica.StateReplica, *ring.Ring[*ledger.State]) {
	t.Helper()
	changed := ring.New[*ledger.State](256)
	replica := statereplicatest.Start(t, log, "d", checkpointInterval, func(s *ledger.State) { _ = changed.TryPush(s) })
	return replica, changed
}

func plans(base api.Revision, name api.PlanName) api.PublishPlanList {
	return api.PublishPlanList{Base: base, List: api.PlanList{Plans: []api.Plan{{Name: name}}}}
}

// awaitState returns the next state for which ok returns true.
func awaitState(t *testing.T, changed *ring.Ring[*ledger.State], ok func(*ledger.State) bool) *ledger.State {
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

func TestVerdictAfterLostAppendResponse(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.DropResponses(1)
	replica, _ := start(t, log, 0)
	v, err := replica.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	assert.Equal(t, replica.State().PlansRevision, v.Offset)
}

// Guards against an operator who reads an older list than the one just accepted.
func TestStateHasProposalOnceItsVerdictIsKnown(t *testing.T) {
	replica, _ := start(t, memlog.New(memlog.Options{}), 0)
	revision := ring.NewSlot[api.Offset]()
	assert.NilError(t, replica.ProposeAsync(statereplica.Proposal{
		Stream: api.StreamConfig, Body: plans(0, "a"), Actor: "op", Deadline: time.Now().Add(5 * time.Second),
		Done: func(ledger.Verdict, error) { revision.Put(replica.State().PlansRevision) },
	}))
	got, err := revision.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got, api.Offset(1))
}

func TestProposalFailsDuringLogOutage(t *testing.T) {
	log := memlog.New(memlog.Options{})
	log.SetOutage(true)
	replica, _ := start(t, log, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := replica.Propose(ctx, api.StreamConfig, plans(0, "a"), "op")
	// CodeUnknownResult if the context ended before the appender's result arrived.
	code := api.CodeOf(err)
	assert.Assert(t, code == api.CodeLogUnavailable || code == api.CodeUnknownResult, "%v", err)
	log.SetOutage(false)
	v, err := replica.Propose(t.Context(), api.StreamConfig, plans(0, "b"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	assert.Equal(t, v.Offset, api.Offset(1)) // the failed record was not appended
}

func TestConcurrentProposalsHaveOneWinner(t *testing.T) {
	log := memlog.New(memlog.Options{})
	one, _ := start(t, log, 0)
	two, changed := start(t, log, 0)
	slot := ring.NewSlot[ledger.Verdict]()
	deadline := time.Now().Add(5 * time.Second)
	assert.NilError(t, one.ProposeAsync(statereplica.Proposal{
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
	s := awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset >= 2 })
	assert.Equal(t, s.PlansRevision, api.Offset(1))
}

func TestStartFromCheckpointAfterRecordsExpired(t *testing.T) {
	log := memlog.New(memlog.Options{MaxEntries: 8})
	first, changed := start(t, log, 100*time.Millisecond)
	v, err := first.Propose(t.Context(), api.StreamConfig, plans(0, "kept"), "op")
	assert.NilError(t, err)
	assert.NilError(t, v.Err)
	for i := range 30 { // expire the record of the plan list
		_, err := first.Propose(t.Context(), api.StreamConfig, api.AnnounceWeights{Model: "m", Version: api.WeightVersion(i + 1)}, "op")
		assert.NilError(t, err)
	}
	awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset > 31 }) // wait for a later checkpoint
	second, later := start(t, log, 0)
	awaitState(t, later, func(s *ledger.State) bool { return s.Weights["m"].Version == 30 })
	assert.Equal(t, second.State().Plans.Plans[0].Name, api.PlanName("kept"))
	assert.Equal(t, second.State().PlansRevision, api.Offset(1))
}

func TestReplicaCutOffFromLogReceivesRecordsFromPeer(t *testing.T) {
	log := memlog.New(memlog.Options{})
	reader, _ := start(t, log, 0)
	flaky := &unreliableLog{Log: log}
	other, changed := start(t, flaky, 0)
	_, err := reader.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 1 })
	flaky.unavailable.Store(true)
	v, err := reader.Propose(t.Context(), api.StreamConfig, plans(1, "b"), "op")
	assert.NilError(t, err)
	other.Offer(reader.Tail(v.Offset+1, 10)) // no such entries yet
	other.Offer(reader.Tail(other.AppliedOffset()+1, 10))
	s := awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == v.Offset })
	assert.Equal(t, s.Plans.Plans[0].Name, api.PlanName("b"))
	other.Offer(reader.Tail(1, 10)) // applied records change nothing
	claim, found, err := other.LookupClaim(t.Context(), ledger.ClaimKey{Customer: "c", Key: "k"})
	assert.NilError(t, err)
	assert.Assert(t, !found, "%v", claim)
	assert.Equal(t, other.AppliedOffset(), v.Offset)
}

// unreliableLog is a log whose reads fail while unavailable is set.
type unreliableLog struct {
	eventlog.Log
	unavailable atomic.Bool
}

func (l *unreliableLog) Read(ctx context.Context, p []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	if l.unavailable.Load() {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: context.DeadlineExceeded}
	}
	batches, err := l.Log.Read(ctx, p, limit, wait)
	if l.unavailable.Load() {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: context.DeadlineExceeded}
	}
	return batches, err
}

func TestAuditListsSuccessfulAndFailedRecords(t *testing.T) {
	log := memlog.New(memlog.Options{})
	replica, _ := start(t, log, 0)
	_, err := replica.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "alice")
	assert.NilError(t, err)
	_, err = replica.Propose(t.Context(), api.StreamConfig, plans(0, "b"), "bob")
	assert.NilError(t, err)
	entries, err := statereplica.Audit(t.Context(), log, 1, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Record.Actor, "alice")
	assert.Equal(t, entries[0].RevisionAfter, api.Revision(1))
	assert.Equal(t, api.CodeOf(entries[1].Err), api.CodeConflict)
	assert.Equal(t, entries[1].RevisionAfter, api.Revision(1))
}

// stalledLog delays the response of the first read, like a paused process, and
// blocks further reads.
type stalledLog struct {
	eventlog.Log
	respondedAt time.Time // when the log responded, before the reader received it
	reads       int
}

func (l *stalledLog) Read(ctx context.Context, p []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	if l.reads++; l.reads > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	batches, err := l.Log.Read(ctx, p, limit, wait)
	l.respondedAt = time.Now()
	time.Sleep(time.Millisecond)
	return batches, err
}

// A paused process may receive a response long after the log sent it.
func TestLogContactIsNotLaterThanResponse(t *testing.T) {
	log := &stalledLog{Log: memlog.New(memlog.Options{})}
	replica, _ := start(t, log, 0)
	for replica.LastLogContact().IsZero() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !replica.LastLogContact().After(log.respondedAt))
}

// A replica that starts during an outage of the log gets the state from a peer, and
// later continues to read the log from there.
func TestReplicaStartsFromPeerDuringLogOutage(t *testing.T) {
	log := memlog.New(memlog.Options{})
	first, _ := start(t, log, 0)
	_, err := first.Propose(t.Context(), api.StreamConfig, plans(0, "a"), "op")
	assert.NilError(t, err)
	flaky := &unreliableLog{Log: log}
	flaky.unavailable.Store(true)
	second, changed := start(t, flaky, 0)
	image, err := first.Image(t.Context())
	assert.NilError(t, err)
	second.InstallImage(image)
	s := awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 1 })
	assert.Equal(t, s.Plans.Plans[0].Name, api.PlanName("a"))
	assert.Assert(t, second.Synced())
	_, _, err = second.LookupClaim(t.Context(), ledger.ClaimKey{Customer: "c", Key: "k"})
	assert.Equal(t, api.CodeOf(err), api.CodeNotReady) // peers do not provide claims
	flaky.unavailable.Store(false)
	_, err = first.Propose(t.Context(), api.StreamConfig, plans(1, "b"), "op")
	assert.NilError(t, err)
	awaitState(t, changed, func(s *ledger.State) bool { return s.AppliedOffset == 2 })
}
