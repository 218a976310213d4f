package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
	"gotest.tools/v3/assert"
)

// fakeClient is an upstream.Client whose engines run the generate function and
// refuse connections while they are down.
type fakeClient struct {
	mu    sync.Mutex
	calls map[api.RequestID][]api.UpstreamID
	// generate simulates one call; n is the request's call number, from 1.
	generate func(ctx context.Context, t upstream.Target, n int, g *work.Generate, delta func(work.Chunk) error) error
	down     map[api.UpstreamID]bool
}

func (f *fakeClient) recordCall(id api.RequestID, u api.UpstreamID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[id] = append(f.calls[id], u)
	return len(f.calls[id])
}

func (f *fakeClient) isDown(u api.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[u]
}

func (f *fakeClient) crash(u api.UpstreamID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[u] = true
	return &upstream.CallError{Upstream: u, Sent: true, Code: api.CodeTruncated, Cause: context.Canceled}
}

func (f *fakeClient) Generate(ctx context.Context, t upstream.Target, id api.RequestID, _ api.ModelName, g *work.Generate,
	delta func(work.Chunk) error,
) (upstream.Finish, error) {
	if f.isDown(t.ID) {
		return upstream.Finish{}, &upstream.CallError{Upstream: t.ID, Code: api.CodeNoUpstream, Cause: context.Canceled}
	}
	n := f.recordCall(id, t.ID)
	if err := f.generate(ctx, t, n, g, delta); err != nil {
		return upstream.Finish{}, err
	}
	return upstream.Finish{Reason: "stop"}, nil
}

func (f *fakeClient) CallPlain(context.Context, upstream.Target, api.RequestID, *work.Plain) (upstream.PlainResponse, error) {
	return upstream.PlainResponse{Status: 200}, nil
}

func (f *fakeClient) Status(_ context.Context, t upstream.Target) (upstream.Status, error) {
	if f.isDown(t.ID) {
		return upstream.Status{}, &upstream.CallError{Upstream: t.ID, Code: api.CodeNoUpstream, Cause: context.Canceled}
	}
	return upstream.Status{}, nil
}

func (f *fakeClient) LoadedVersions(context.Context, upstream.Target) (map[api.ModelName]api.WeightVersion, error) {
	return nil, nil
}

func (f *fakeClient) LoadWeights(context.Context, upstream.Target, upstream.LoadOrder) error {
	return nil
}

// collector is a work.Sink that stores the chunks and the result.
type collector struct {
	mu     sync.Mutex
	text   strings.Builder
	result *ring.Slot[work.Result]
}

func newCollector() *collector { return &collector{result: ring.NewSlot[work.Result]()} }

func (c *collector) WriteChunk(_ context.Context, k work.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.WriteString(k.Text)
	return nil
}

func (c *collector) Finish(res work.Result) {
	if !c.result.Put(res) {
		panic("finished twice")
	}
}

func (c *collector) wait(t *testing.T) work.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	res, err := c.result.Wait(ctx)
	assert.NilError(t, err)
	return res
}

func state(window int, ids ...api.UpstreamID) *ledger.State {
	c := ledger.NewConfigFSM()
	list := api.UsageList{Usages: []api.Usage{{Plan: "p", Models: []api.ModelName{"m"}}}}
	for _, id := range ids {
		list.Upstreams = append(list.Upstreams, api.Upstream{
			ID: id, Kind: api.KindEngine, Address: "127.0.0.1:1", Models: []api.ModelName{"m"}, Window: window,
		})
	}
	c.Apply(1, 0, api.Record{ID: "1", Body: api.PublishPlanList{List: api.PlanList{Plans: []api.Plan{{Name: "p"}}}}})
	c.Apply(2, 0, api.Record{ID: "2", Body: api.PublishUsageList{List: list}})
	return c.Snapshot()
}

func start(t *testing.T, f *fakeClient, s *ledger.State, change func(*dispatch.Config)) *dispatch.Dispatcher {
	t.Helper()
	f.calls = make(map[api.RequestID][]api.UpstreamID)
	if f.down == nil {
		f.down = make(map[api.UpstreamID]bool)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	cfg := dispatch.Config{
		Workers: 8, RingSize: 64, QueueLimit: 8, Routing: "two-choice", ProgressDeadline: time.Second,
		ShortTokens: 16, LaneWeights: [api.LaneCount]int{8, 4, 1}, RolloutShare: 0.5, RetryRatio: 0.5,
		Now: time.Now, Rand: rnd.IntN,
	}
	if change != nil {
		change(&cfg)
	}
	d, err := dispatch.Start(duty.NewSystem(nil), f, cfg, s)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		assert.NilError(t, d.Stop(ctx))
	})
	return d
}

func job(id api.RequestID, s work.Sink) *work.Job {
	return &work.Job{
		ID: id, Customer: "c", Plan: "p", Model: "m", Repeatable: true, CostTokens: 4,
		Fingerprint: api.Fingerprint(len(id)), Deadline: time.Now().Add(15 * time.Second), Sink: s,
		Call: work.Call{Generate: &work.Generate{MaxTokens: 4}},
	}
}

func sendTokens(delta func(work.Chunk) error, v api.WeightVersion, from, to int) error {
	for i := from; i < to; i++ {
		if err := delta(work.Chunk{Text: fmt.Sprint(i, " "), Tokens: 1, Version: v}); err != nil {
			return err
		}
	}
	return nil
}

func TestInterruptedStreamResumesOnAnotherUpstream(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, n int, g *work.Generate, delta func(work.Chunk) error) error {
		if n == 1 {
			assert.NilError(t, sendTokens(delta, 1, 0, 2))
			return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeTruncated, Cause: context.Canceled}
		}
		return sendTokens(delta, 2, len(strings.Fields(g.ResumeText)), len(strings.Fields(g.ResumeText))+g.MaxTokens)
	}
	d := start(t, f, state(4, "a", "b"), nil)
	c := newCollector()
	j := job("x", c)
	j.Stream = true
	assert.NilError(t, d.Submit(j))
	res := c.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeComplete)
	assert.Equal(t, c.text.String(), "0 1 2 3 ")
	assert.Equal(t, res.Text, c.text.String())
	assert.DeepEqual(t, res.Versions, []api.WeightVersion{1, 2})
	assert.Equal(t, len(res.Upstreams), 2)
	assert.Assert(t, res.Upstreams[0] != res.Upstreams[1])
}

func TestSentOnceOnlyRequestIsNotRetried(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, _ func(work.Chunk) error) error {
		return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeTruncated, Cause: context.Canceled}
	}
	d := start(t, f, state(4, "a", "b"), nil)
	c := newCollector()
	j := job("x", c)
	j.Repeatable, j.Lane = false, api.LaneOnce
	assert.NilError(t, d.Submit(j))
	res := c.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeUnknown)
	assert.Equal(t, len(f.calls["x"]), 1)
}

func TestUnsentOnceOnlyRequestIsRetried(t *testing.T) {
	f := &fakeClient{down: map[api.UpstreamID]bool{"a": true, "b": true}}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 1, 0, 4)
	}
	d := start(t, f, state(4, "a", "b", "c"), nil)
	c := newCollector()
	j := job("x", c)
	j.Repeatable, j.Lane = false, api.LaneOnce
	assert.NilError(t, d.Submit(j))
	assert.Equal(t, c.wait(t).Outcome, api.OutcomeComplete)
	assert.DeepEqual(t, f.calls["x"], []api.UpstreamID{"c"})
}

func TestUnreachableUpstreamsYieldNotRunAtDeadline(t *testing.T) {
	f := &fakeClient{down: map[api.UpstreamID]bool{"a": true}}
	d := start(t, f, state(4, "a"), nil)
	c := newCollector()
	j := job("x", c)
	j.Deadline = time.Now().Add(300 * time.Millisecond)
	assert.NilError(t, d.Submit(j))
	res := c.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeDeadlineExceeded)
	assert.Equal(t, len(f.calls), 0)
}

func TestDrainingUpstreamFinishesRunningCallsOnly(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	f := &fakeClient{}
	f.generate = func(ctx context.Context, u upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		if u.ID == "a" {
			entered <- struct{}{}
			select {
			case <-release:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return sendTokens(delta, 1, 0, 4)
	}
	s := state(8, "a")
	d := start(t, f, s, nil)
	running := newCollector()
	assert.NilError(t, d.Submit(job("running", running)))
	<-entered
	marked := state(8, "a", "b")
	marked.AppliedOffset = 9
	marked.Marks = map[api.UpstreamID]ledger.MarkState{"a": {Mark: api.MarkDraining, Revision: 9}}
	d.Update(marked)
	for i := range 6 {
		c := newCollector()
		id := api.RequestID(fmt.Sprint("after", i))
		assert.NilError(t, d.Submit(job(id, c)))
		assert.Equal(t, c.wait(t).Outcome, api.OutcomeComplete)
		assert.DeepEqual(t, f.calls[id], []api.UpstreamID{"b"})
	}
	close(release)
	assert.Equal(t, running.wait(t).Outcome, api.OutcomeComplete)
}

func TestCrashingRequestIsQuarantinedAndBystanderCompletes(t *testing.T) {
	const killer, innocent = api.RequestID("killer"), api.RequestID("bystander")
	together := make(chan struct{})
	var strikes sync.Map
	f := &fakeClient{}
	f.generate = func(ctx context.Context, u upstream.Target, n int, g *work.Generate, delta func(work.Chunk) error) error {
		if g.MaxTokens == 6 { // the request that crashes its upstream
			if n == 1 {
				<-together
			}
			return f.crash(u.ID)
		}
		if n == 1 {
			close(together)
			for !f.isDown(u.ID) && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeTruncated, Cause: context.Canceled}
		}
		return sendTokens(delta, 1, 0, 4)
	}
	one := state(8, "a")
	d := start(t, f, one, func(c *dispatch.Config) {
		c.ReportStrike = func(s api.Strike) { strikes.Store(s, true) }
	})
	bad, good := newCollector(), newCollector()
	j := job(killer, bad)
	j.Call.Generate.MaxTokens = 6
	assert.NilError(t, d.Submit(j))
	assert.NilError(t, d.Submit(job(innocent, good)))
	<-together
	more := state(8, "a", "b", "c", "d")
	more.AppliedOffset = 9
	d.Update(more)
	assert.Equal(t, good.wait(t).Outcome, api.OutcomeComplete)
	res := bad.wait(t)
	assert.Assert(t, res.Outcome != api.OutcomeComplete && res.Outcome != api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeQuarantined)
	assert.Assert(t, len(f.calls[killer]) <= 2, "%v", f.calls[killer])
	down := 0
	for _, u := range []api.UpstreamID{"a", "b", "c", "d"} {
		if f.isDown(u) {
			down++
		}
	}
	assert.Assert(t, down <= 2)
}

// A strike that is not in the log yet must count together with the logged strikes
// of other daemons.
func TestUnloggedStrikeAddsToLoggedStrikes(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, _ func(work.Chunk) error) error {
		return f.crash(u.ID)
	}
	s := state(8, "a")
	var own api.Strike
	d := start(t, f, s, func(c *dispatch.Config) {
		c.RetryRatio = 0
		c.ReportStrike = func(s api.Strike) { own = s }
	})
	killer := func(id api.RequestID) work.Result {
		c := newCollector()
		j := job(id, c)
		j.Fingerprint = 77
		j.Repeatable = false
		assert.NilError(t, d.Submit(j))
		return c.wait(t)
	}
	killer("first")
	assert.Assert(t, own.Alone)
	logged := state(8, "a", "b", "c")
	logged.AppliedOffset = 9
	logged.Strikes = map[api.Fingerprint]ledger.StrikeState{
		77: {Alone: 1, Shared: 1, Upstreams: []api.UpstreamID{"b", "c"}, LastMillis: time.Now().UnixMilli()},
	}
	d.Update(logged)
	res := killer("second")
	assert.Equal(t, res.Outcome, api.OutcomeNotRun)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeQuarantined)
}

// Guards against the quarantine of an innocent request: each daemon sees only its own
// requests, so a request seems alone on an upstream that another daemon's request
// crashed. The strikes of the others, which arrive after the crash through the log or
// from peers, decide.
func TestCrashesSharedWithOtherDaemonsDoNotQuarantine(t *testing.T) {
	const innocent, killer = api.Fingerprint(1), api.Fingerprint(99)
	run := func(t *testing.T, onStrike func(*dispatch.Dispatcher, api.Strike)) {
		f := &fakeClient{}
		f.generate = func(_ context.Context, u upstream.Target, n int, _ *work.Generate, delta func(work.Chunk) error) error {
			if n <= 2 {
				return f.crash(u.ID)
			}
			return sendTokens(delta, 1, 0, 4)
		}
		var d *dispatch.Dispatcher
		started := make(chan struct{})
		d = start(t, f, state(8, "a", "b", "c", "d"), func(c *dispatch.Config) {
			c.ReportStrike = func(s api.Strike) {
				<-started
				assert.Check(t, s.Alone)
				onStrike(d, s)
			}
		})
		close(started)
		c := newCollector()
		assert.NilError(t, d.Submit(job("x", c)))
		res := c.wait(t)
		assert.NilError(t, res.Err)
		assert.Equal(t, len(f.calls["x"]), 3)
	}
	t.Run("known from peers", func(t *testing.T) {
		run(t, func(d *dispatch.Dispatcher, s api.Strike) {
			assert.Check(t, d.AddPeerStrike(api.Strike{Fingerprint: killer, Upstream: s.Upstream, Alone: true, AtMillis: s.AtMillis + 100}))
		})
	})
	t.Run("known from the log", func(t *testing.T) {
		logged := state(8, "a", "b", "c", "d")
		fsm := ledger.NewConfigFSM()
		run(t, func(d *dispatch.Dispatcher, s api.Strike) {
			for _, fp := range []api.Fingerprint{innocent, killer} {
				s.Fingerprint = fp
				offset := fsm.Snapshot().AppliedOffset + 1
				fsm.Apply(offset, time.Now().UnixMilli(), api.Record{ID: api.RecordID(fmt.Sprint(offset)), Body: s})
			}
			next := *logged
			next.AppliedOffset, next.Strikes = logged.AppliedOffset+fsm.Snapshot().AppliedOffset, fsm.Snapshot().Strikes
			d.Update(&next)
			s.Fingerprint = innocent
			d.StrikeRecorded(s) // equal to the one reported
		})
	})
}

// While the log is out, a request that crashed upstreams through other daemons is
// refused by the strikes that they report, also if one is reported twice.
func TestStrikesOfPeersCountWithoutTheLog(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, _ func(work.Chunk) error) error {
		return f.crash(u.ID)
	}
	d := start(t, f, state(8, "a", "b", "c", "d", "e"), nil)
	now := time.Now().UnixMilli()
	for _, s := range []api.Strike{{Upstream: "d", AtMillis: now - 9000}, {Upstream: "e", AtMillis: now - 4000}, {Upstream: "e", AtMillis: now - 4100}} {
		s.Fingerprint, s.Alone = 1, true
		assert.NilError(t, d.AddPeerStrike(s))
	}
	c := newCollector()
	assert.NilError(t, d.Submit(job("x", c)))
	assert.Equal(t, api.CodeOf(c.wait(t).Err), api.CodeQuarantined)
	assert.Equal(t, len(f.calls["x"]), 1)
	again := newCollector()
	assert.NilError(t, d.Submit(job("y", again)))
	assert.Equal(t, again.wait(t).Outcome, api.OutcomeNotRun)
}

// A strike that a peer reported counts once when the log has it too.
func TestPeerStrikeInTheLogCountsOnce(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 1, 0, 4)
	}
	d := start(t, f, state(8, "a", "b"), nil)
	now := time.Now().UnixMilli()
	for _, u := range []api.UpstreamID{"d", "e"} {
		assert.NilError(t, d.AddPeerStrike(api.Strike{Fingerprint: 1, Upstream: u, Alone: true, AtMillis: now}))
	}
	logged := state(8, "a", "b")
	logged.AppliedOffset = 9
	logged.Strikes = map[api.Fingerprint]ledger.StrikeState{
		1: {Alone: 2, Upstreams: []api.UpstreamID{"d", "e"}, LastMillis: now, Crashes: []ledger.CrashRef{{Upstream: "d", AtMillis: now}, {Upstream: "e", AtMillis: now}}},
	}
	d.Update(logged)
	c := newCollector()
	assert.NilError(t, d.Submit(job("x", c)))
	assert.NilError(t, c.wait(t).Err)
}

// A request that was on crashed upstreams together with others must lose its
// strikes when it completes.
func TestCompletionClearsStrikes(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, _ upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		return sendTokens(delta, 1, 0, 4)
	}
	s := state(8, "a")
	s.Strikes = map[api.Fingerprint]ledger.StrikeState{
		77: {Shared: 2, Upstreams: []api.UpstreamID{"a", "b"}, LastMillis: time.Now().UnixMilli()},
	}
	cleared := ring.NewSlot[api.Fingerprint]()
	d := start(t, f, s, func(c *dispatch.Config) { c.ClearStrikes = func(p api.Fingerprint) { cleared.Put(p) } })
	c := newCollector()
	j := job("x", c)
	j.Fingerprint = 77
	assert.NilError(t, d.Submit(j))
	assert.Equal(t, c.wait(t).Outcome, api.OutcomeComplete)
	p, err := cleared.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, p, api.Fingerprint(77))
}

func TestFullQueueShedsAsNotRun(t *testing.T) {
	release := make(chan struct{})
	f := &fakeClient{}
	f.generate = func(context.Context, upstream.Target, int, *work.Generate, func(work.Chunk) error) error {
		<-release
		return nil
	}
	d := start(t, f, state(1, "a"), func(c *dispatch.Config) { c.QueueLimit = 2 })
	var all []*collector
	for i := range 8 {
		c := newCollector()
		all = append(all, c)
		assert.NilError(t, d.Submit(job(api.RequestID(fmt.Sprint("r", i)), c)))
	}
	shed := 0
	for range 5 {
		last := all[len(all)-1]
		all = all[:len(all)-1]
		res := last.wait(t)
		assert.Equal(t, res.Outcome, api.OutcomeNotRun)
		assert.Equal(t, api.CodeOf(res.Err), api.CodeShed)
		shed++
	}
	close(release)
	for _, c := range all {
		assert.Equal(t, c.wait(t).Outcome, api.OutcomeComplete)
	}
	assert.Equal(t, shed, 5)
	assert.Equal(t, len(f.calls), 3)
}

// startBusy returns a dispatcher with one call in progress, which ends only when it
// is cancelled, and one queued job.
func startBusy(t *testing.T) (d *dispatch.Dispatcher, running, queued *collector) {
	t.Helper()
	entered := make(chan struct{}, 1)
	f := &fakeClient{}
	f.generate = func(ctx context.Context, u upstream.Target, _ int, _ *work.Generate, _ func(work.Chunk) error) error {
		entered <- struct{}{}
		<-ctx.Done()
		return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeInternal, Cause: ctx.Err()}
	}
	d = start(t, f, state(1, "a"), nil)
	running, queued = newCollector(), newCollector()
	assert.NilError(t, d.Submit(job("running", running)))
	<-entered
	assert.NilError(t, d.Submit(job("queued", queued)))
	return d, running, queued
}

// A daemon that stops must not report a call in progress as not run.
func TestStopDuringCallYieldsUnknown(t *testing.T) {
	d, running, _ := startBusy(t)
	d.Cancel("nobody") // unknown id: only adds a message behind the queued job
	assert.NilError(t, d.Stop(t.Context()))
	assert.Equal(t, running.wait(t).Outcome, api.OutcomeUnknown)
}

func TestCancelEndsRunningAndQueued(t *testing.T) {
	d, running, queued := startBusy(t)
	d.Cancel("queued")
	assert.Equal(t, queued.wait(t).Outcome, api.OutcomeNotRun)
	d.Cancel("running")
	res := running.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeUnknown)
	assert.Equal(t, api.CodeOf(res.Err), api.CodeCancelled)
}

func TestMissingEndMarkerAfterAllTokensCompletes(t *testing.T) {
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		assert.NilError(t, sendTokens(delta, 1, 0, 4))
		return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeTruncated, Cause: context.Canceled}
	}
	d := start(t, f, state(4, "a", "b"), nil)
	c := newCollector()
	assert.NilError(t, d.Submit(job("x", c)))
	res := c.wait(t)
	assert.Equal(t, res.Outcome, api.OutcomeComplete)
	assert.Equal(t, res.FinishReason, "length")
	assert.Equal(t, len(f.calls["x"]), 1)
}

// Guards against a sound part of a step that is never placed again after upstreams
// crashed in series under it.
func TestOwedRequestRunsAfterCrashesInSeries(t *testing.T) {
	var crashes atomic.Int32
	f := &fakeClient{}
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, delta func(work.Chunk) error) error {
		if crashes.Add(1) <= 5 {
			return f.crash(u.ID)
		}
		return sendTokens(delta, 1, 0, 4)
	}
	var strikes atomic.Int32
	d := start(t, f, state(8, "a", "b", "c", "d", "e", "f", "g"), func(c *dispatch.Config) {
		c.ReportStrike = func(api.Strike) { strikes.Add(1) }
	})
	for try := 1; ; try++ {
		c := newCollector()
		j := job(api.RequestID(fmt.Sprint("try", try)), c)
		j.Lane, j.Owed = api.LaneRollout, true
		assert.NilError(t, d.Submit(j))
		res := c.wait(t)
		assert.Assert(t, api.CodeOf(res.Err) != api.CodeQuarantined, "try %d", try)
		if res.Outcome == api.OutcomeComplete {
			break
		}
		assert.Assert(t, try < 6, "%v", res.Err)
	}
	assert.Equal(t, crashes.Load(), int32(6))
	assert.Equal(t, strikes.Load(), int32(5), "other daemons must learn that their requests were not alone")
}
