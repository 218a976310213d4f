package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
	"gotest.tools/v3/assert"
)

// limitedState returns a state whose plan has limits; zero means none.
func limitedState(rate float64, concurrency int) *ledger.State {
	s := state(8, "a")
	s.Usage.Usages[0].RequestsPerSecond = rate
	s.Usage.Usages[0].Concurrency = concurrency
	return s
}

func assertQuotaRefusal(t *testing.T, c *collector) {
	t.Helper()
	res := c.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeQuotaExceeded)
}

func TestPlanRateIsSharedByLiveDaemons(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 1, 0, 4)
	}
	now := time.Now()
	d := start(t, f, limitedState(6, 0), func(c *dispatch.Config) {
		c.LiveDaemons = func() int { return 3 }
		c.Now = func() time.Time { return now }
	})
	var all []*collector
	for _, id := range []api.RequestID{"1", "22", "333"} {
		c := newCollector()
		all = append(all, c)
		assert.NilError(t, d.Submit(job(id, c)))
	}
	assert.Equal(t, all[0].wait(t).Outcome, api.OutcomeComplete)
	assert.Equal(t, all[1].wait(t).Outcome, api.OutcomeComplete)
	assertQuotaRefusal(t, all[2])
	assert.Equal(t, len(f.calls), 2)
}

func TestPlanConcurrencyLimitsRunningRequests(t *testing.T) {
	entered, release := make(chan struct{}, 3), make(chan struct{})
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		entered <- struct{}{}
		<-release
		return sendTokens(delta, 1, 0, 4)
	}
	d := start(t, f, limitedState(0, 1), nil)
	running, waiting, beyond := newCollector(), newCollector(), newCollector()
	assert.NilError(t, d.Submit(job("1", running)))
	<-entered
	assert.NilError(t, d.Submit(job("22", waiting)))
	assert.NilError(t, d.Submit(job("333", beyond)))
	assertQuotaRefusal(t, beyond)
	assert.Equal(t, len(entered), 0)
	close(release)
	assert.Equal(t, running.wait(t).Outcome, api.OutcomeComplete)
	assert.Equal(t, waiting.wait(t).Outcome, api.OutcomeComplete)
}

// An engine whose last response came from weights beyond the staleness bound must
// get no rollouts until that response is old.
func TestEngineWithStaleWeightsGetsNoRollouts(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 5, 0, 4)
	}
	s := state(8, "a")
	s.Weights = map[api.ModelName]ledger.WeightState{"m": {Version: 10}}
	var clock atomic.Pointer[time.Time]
	startedAt := time.Now()
	clock.Store(&startedAt)
	d := start(t, f, s, func(c *dispatch.Config) {
		c.Now = func() time.Time { return *clock.Load() }
		c.LoadedVersion = func(api.UpstreamID, api.ModelName) api.WeightVersion { return 10 }
	})
	member, rollout, probe := newCollector(), newCollector(), newCollector()
	assert.NilError(t, d.Submit(job("1", member)))
	assert.Equal(t, member.wait(t).Outcome, api.OutcomeComplete)
	r := job("22", rollout)
	r.Lane = api.LaneRollout
	assert.NilError(t, d.Submit(r))
	assert.NilError(t, d.Submit(job("333", probe)))
	assert.Equal(t, probe.wait(t).Outcome, api.OutcomeComplete)
	assert.Equal(t, len(f.calls["22"]), 0)
	later := startedAt.Add(3 * time.Second)
	clock.Store(&later)
	assert.Equal(t, rollout.wait(t).Outcome, api.OutcomeComplete)
}

// fakeShares is a dispatch.Shares with a settable number of short slots.
type fakeShares struct {
	slots   atomic.Int64
	demands chan []quota.ResourceDemand
}

func (s *fakeShares) Window(api.UpstreamID) (long, short int) { return 0, int(s.slots.Load()) }
func (s *fakeShares) Concurrency(api.PlanName) int            { return 0 }
func (s *fakeShares) Generation() uint64                      { return uint64(s.slots.Load()) }
func (s *fakeShares) ReportDemand(d []quota.ResourceDemand, _ uint64) bool {
	select {
	case s.demands <- d:
		return true
	default:
		return false
	}
}

func TestQueuedWorkReportsDemandAndWaitsForShare(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 1, 0, 4)
	}
	shares := &fakeShares{demands: make(chan []quota.ResourceDemand, 64)}
	d := start(t, f, state(8, "a"), func(c *dispatch.Config) { c.Shares = shares })
	c := newCollector()
	assert.NilError(t, d.Submit(job("1", c)))
	want := quota.Resource{Kind: quota.KindShort, Name: "a"}
	for reported := false; !reported; {
		for _, n := range <-shares.demands {
			reported = reported || n.Resource == want && n.Demand.Wanted >= 1
		}
	}
	assert.Equal(t, len(f.calls), 0)
	shares.slots.Store(1)
	d.SharesChanged()
	assert.Equal(t, c.wait(t).Outcome, api.OutcomeComplete)
}
