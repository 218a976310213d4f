package rewards

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/rewards"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// scorers is a plain service whose responses are those of respond. Proposals are
// recorded, unless reject is set.
type scorers struct {
	mu        sync.Mutex
	respond   func(ctx context.Context, call int) (*opaque.Response, error)
	calls     []*opaque.Request
	proposals []batch.Record
	reject    bool
}

func (s *scorers) forward(ctx context.Context, q *opaque.Request) (*opaque.Response, api.UpstreamID, error) {
	s.mu.Lock()
	s.calls = append(s.calls, q)
	n := len(s.calls)
	s.mu.Unlock()
	resp, err := s.respond(ctx, n)
	return resp, "u", err
}

func (s *scorers) propose(r batch.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reject {
		return &ring.ClosedError{}
	}
	s.proposals = append(s.proposals, r)
	return nil
}

func (s *scorers) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mu.Lock()
		defer s.mu.Unlock()
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s: %d calls, proposals %v", what, len(s.calls), s.proposals)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

func (s *scorers) start(t *testing.T) *Caller {
	t.Helper()
	view := directory.NewView().Apply([]directory.Change{
		directory.ConfigChanged{Config: routes.Config{Version: 1, Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Kind: routes.KindIdempotent, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 4,
			WeightedServices: []routes.WeightedService{{Service: "s", Weight: 1}},
		}}}},
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "u", Service: "s", Slots: 6}},
	})
	c := Start(duty.NewSystem(nil), Config{
		Self: "d", Limits: rewards.Config{SlotShare: 0.5, MinConcurrent: 1, RetryDelay: 5 * time.Millisecond, MaxRetryDelay: 20 * time.Millisecond},
		Timeouts: opaque.AttemptTimeouts{MinTimeout: 250 * time.Millisecond, TargetMultiple: 2}, DefaultTimeout: time.Second, Callers: 8, RingSize: 16,
		Tick: 5 * time.Millisecond, Roster: leases.Roster{MaxActive: 4, RenewInterval: time.Second, IdleInterval: time.Second, TTL: time.Hour}, Now: time.Now,
	}, Deps{
		Forward: s.forward, Body: func(context.Context, batch.ChunkRef) ([]byte, error) { return []byte("b"), nil }, Propose: s.propose,
		View: func() *directory.View { return view },
		Members: func() leases.Members {
			return leases.Members{LastRenewals: map[api.DaemonID]time.Time{"d": time.Now()}}
		},
	}, zap.NewNop())
	t.Cleanup(func() { assert.NilError(t, c.Stop(context.Background())) })
	return c
}

func outstanding(items ...batch.ItemID) []batch.Reward {
	var out []batch.Reward
	for _, i := range items {
		out = append(out, batch.Reward{ItemKey: batch.ItemKey{Job: "j", Item: i}, Daemon: "d", Scorer: &batch.Scorer{
			ID: "r-" + string(i), Host: "h", Path: "/p/x?y", Body: batch.ChunkRef{Records: 1, Bytes: 1},
		}})
	}
	return out
}

func response(status int) *opaque.Response { return &opaque.Response{Status: status, Signature: "sig"} }

func TestCallIsRepeatedUntilThereIsAScore(t *testing.T) {
	s := &scorers{respond: func(_ context.Context, call int) (*opaque.Response, error) {
		switch call {
		case 1:
			return nil, &opaque.NotRunError{Reason: "busy"}
		case 2:
			return response(http.StatusInternalServerError), nil
		case 3:
			return &opaque.Response{Status: http.StatusOK}, nil // without a signature
		case 4:
			return response(http.StatusGatewayTimeout), nil
		}
		return response(http.StatusOK), nil
	}}
	s.start(t).Update(outstanding("i"))
	s.waitUntil(t, "scored", func() bool { return len(s.proposals) == 2 })
	assert.DeepEqual(t, s.proposals, []batch.Record{
		&batch.RewardFailed{Job: "j", Item: "i", Status: http.StatusInternalServerError}, &batch.ItemScored{Job: "j", Item: "i", Score: "sig"},
	})
	assert.Equal(t, len(s.calls), 5)
	for _, q := range s.calls {
		assert.Equal(t, q.ID, api.RequestID("r-i"))
		assert.Equal(t, q.RequestURI, "/p/x?y")
		assert.Equal(t, string(q.Body), "b")
		assert.Equal(t, q.Route.MaxAttempts, 1)
		assert.Assert(t, q.Deadline.Sub(q.Arrived) <= 250*time.Millisecond)
	}
}

// A score whose record could not be queued is proposed again without a second call.
func TestScoreIsProposedUntilQueued(t *testing.T) {
	s := &scorers{reject: true, respond: func(context.Context, int) (*opaque.Response, error) { return response(http.StatusOK), nil }}
	s.start(t).Update(outstanding("i"))
	s.waitUntil(t, "called", func() bool { return len(s.calls) == 1 })
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	s.reject = false
	s.mu.Unlock()
	s.waitUntil(t, "proposed", func() bool { return len(s.proposals) == 1 })
	time.Sleep(50 * time.Millisecond) // the record is not applied yet
	assert.Equal(t, len(s.calls), 1)
	assert.Equal(t, len(s.proposals), 1)
}

// The call of an item that needs none any more is cancelled, and its response ignored
// if the item comes again.
func TestCallOfEndedItemIsCancelled(t *testing.T) {
	s := &scorers{respond: func(ctx context.Context, _ int) (*opaque.Response, error) {
		<-ctx.Done()
		return nil, &opaque.FailedError{Reason: "cancelled"}
	}}
	c := s.start(t)
	c.Update(outstanding("i"))
	s.waitUntil(t, "called", func() bool { return len(s.calls) == 1 })
	begin := time.Now()
	c.Update(nil)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, c.Stop(t.Context()))
	assert.Assert(t, time.Since(begin) < 200*time.Millisecond, "the call was not cancelled")
	assert.Equal(t, len(s.calls), 1)
	assert.Equal(t, len(s.proposals), 0)
}

// Half of the service's six slots are used at once, and the oldest calls come first.
func TestCallsAreBoundedBySlots(t *testing.T) {
	release := make(chan struct{})
	s := &scorers{respond: func(ctx context.Context, _ int) (*opaque.Response, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return response(http.StatusOK), nil
	}}
	s.start(t).Update(outstanding("a", "b", "c", "d", "e"))
	s.waitUntil(t, "first calls", func() bool { return len(s.calls) == 3 })
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	assert.Equal(t, len(s.calls), 3)
	s.mu.Unlock()
	close(release)
	s.waitUntil(t, "all scored", func() bool { return len(s.proposals) == 5 })
}
