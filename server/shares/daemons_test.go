package shares_test

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
	"dotterelmount.example/server/shares"
	"gotest.tools/v3/assert"
)

// countingClient is an upstream.Client that counts the calls in progress on each
// upstream.
type countingClient struct {
	upstream.Client
	inProgress [upstreams]atomic.Int64
	peak       atomic.Int64
}

func (c *countingClient) Generate(ctx context.Context, t upstream.Target, _ api.RequestID, _ api.ModelName, g *work.Generate,
	delta func(work.Chunk) error,
) (upstream.Finish, error) {
	u, _ := strconv.Atoi(string(t.ID[len("upstream-"):]))
	n := c.inProgress[u].Add(1)
	defer c.inProgress[u].Add(-1)
	for old := c.peak.Load(); n > old && !c.peak.CompareAndSwap(old, n); old = c.peak.Load() {
	}
	timer := time.NewTimer(time.Duration(g.MaxTokens) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return upstream.Finish{Reason: "stop"}, delta(work.Chunk{Tokens: g.MaxTokens, Version: 1}) // one token per millisecond
	case <-ctx.Done():
		return upstream.Finish{}, &upstream.CallError{Upstream: t.ID, Sent: true, Code: api.CodeCancelled, Cause: ctx.Err()}
	}
}

// testDaemon is a dispatcher with shares that serves its peers over TCP.
type testDaemon struct {
	server   *peer.Server
	shares   atomic.Pointer[shares.Shares]
	dispatch *dispatch.Dispatcher
	active   atomic.Bool
	number   int
	jobs     atomic.Int64
	refused  atomic.Int64
}

// sharesHandler is a peer handler without gossip.
type sharesHandler struct {
	peer.GossipHandler
	*shares.Shares
}

// Finish implements work.Sink. On an active daemon it submits the next job.
func (d *testDaemon) Finish(res work.Result) {
	if res.Err != nil {
		d.refused.Add(1)
	}
	if d.active.Load() {
		d.submit()
	}
}

// WriteChunk implements work.Sink.
func (d *testDaemon) WriteChunk(context.Context, work.Chunk) error { return nil }

func (d *testDaemon) submit() {
	n := d.jobs.Add(1)
	millis := 50 + int(n*7919%400)
	_ = d.dispatch.Submit(&work.Job{
		ID: api.RequestID(strconv.Itoa(d.number) + "-" + strconv.FormatInt(n, 10)), Plan: "p", Model: "m", Repeatable: true,
		CostTokens: millis, Deadline: time.Now().Add(time.Minute), Sink: d,
		Call: work.Call{Generate: &work.Generate{MaxTokens: millis}},
	})
}

// resume makes the daemon keep the given number of jobs in progress or queued.
func (d *testDaemon) resume(jobs int) {
	if d.active.Swap(true) {
		return
	}
	for range jobs {
		d.submit()
	}
}

func newState() *ledger.State {
	list := api.UsageList{Usages: []api.Usage{{Plan: "p", Models: []api.ModelName{"m"}}}}
	for u := range upstreams {
		list.Upstreams = append(list.Upstreams, api.Upstream{
			ID: api.UpstreamID(name(u)), Kind: api.KindEngine, Address: "127.0.0.1:1", Models: []api.ModelName{"m"}, Window: window,
		})
	}
	c := ledger.NewConfigFSM()
	c.Apply(1, 0, api.Record{ID: "1", Body: api.PublishPlanList{List: api.PlanList{Plans: []api.Plan{{Name: "p"}}}}})
	c.Apply(2, 0, api.Record{ID: "2", Body: api.PublishUsageList{List: list}})
	return c.Snapshot()
}

// startDaemons starts n daemons that share one set of engines.
func startDaemons(tb testing.TB, n int, lease time.Duration) (*countingClient, []*testDaemon) {
	tb.Helper()
	engines, state, sys, client := &countingClient{}, newState(), duty.NewSystem(nil), peer.NewClient()
	tb.Cleanup(client.Close)
	var members []shares.MemberAddr
	var listeners []net.Listener
	for d := range n {
		listener, err := peer.Listen("127.0.0.1:0")
		assert.NilError(tb, err)
		listeners = append(listeners, listener)
		members = append(members, shares.MemberAddr{ID: id(d), Address: listener.Addr().String()})
	}
	var out []*testDaemon
	for d, listener := range listeners {
		r := &testDaemon{number: d}
		out = append(out, r)
		rnd := rand.New(rand.NewPCG(1, uint64(d)))
		var err error
		r.dispatch, err = dispatch.Start(sys, engines, dispatch.Config{
			Workers: 48, RingSize: 1024, QueueLimit: 256, Routing: "two-choice", ProgressDeadline: time.Minute,
			ShortTokens: 200, LaneWeights: [api.LaneCount]int{8, 4, 1}, Now: time.Now, Rand: rnd.IntN, Shares: r,
		}, state)
		assert.NilError(tb, err)
		cfg := shares.Config{Daemon: id(d), ShortReserve: reserve, LeaseDuration: lease, OnChange: r.dispatch.SharesChanged}
		r.shares.Store(shares.Start(sys, cfg, client, func() *ledger.State { return state }, func() []shares.MemberAddr { return members }))
		r.server, err = peer.Start(sys, listener, sharesHandler{Shares: r.shares.Load()})
		assert.NilError(tb, err)
		tb.Cleanup(func() { r.stop(tb) })
	}
	return engines, out
}

func (d *testDaemon) stop(tb testing.TB) {
	d.active.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(tb, d.dispatch.Stop(ctx))
	assert.NilError(tb, d.shares.Load().Stop(ctx))
	assert.NilError(tb, d.server.Shutdown(ctx))
}

// Window implements dispatch.Shares.
func (d *testDaemon) Window(u api.UpstreamID) (long, short int) {
	if s := d.shares.Load(); s != nil {
		return s.Window(u)
	}
	return 0, 0
}

// Concurrency implements dispatch.Shares.
func (d *testDaemon) Concurrency(api.PlanName) int { return 0 }

// ReportDemand implements dispatch.Shares.
func (d *testDaemon) ReportDemand(list []quota.ResourceDemand, generation uint64) bool {
	s := d.shares.Load()
	return s != nil && s.ReportDemand(list, generation)
}

// Generation implements dispatch.Shares.
func (d *testDaemon) Generation() uint64 {
	if s := d.shares.Load(); s != nil {
		return s.Generation()
	}
	return 0
}

const jobsPerDaemon = 40 // the jobs of half of the daemons fill the windows

// grantedFraction returns the fraction of the windows that the daemons may use
// now.
func grantedFraction(all []*testDaemon) float64 {
	sum := 0
	for _, d := range all {
		for u := range upstreams {
			long, short := d.Window(api.UpstreamID(name(u)))
			sum += long + short
		}
	}
	return float64(sum) / (upstreams * window)
}

// measureUse samples the calls in progress for d and returns the fraction of the
// windows that was used.
func (c *countingClient) measureUse(d time.Duration) float64 {
	const every = 5 * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	samples, sum := 0, int64(0)
	for range d / every {
		<-ticker.C
		samples++
		for u := range c.inProgress {
			sum += c.inProgress[u].Load()
		}
	}
	return float64(sum) / float64(samples*upstreams*window)
}

func (c *countingClient) overshoot() float64 { return max(0, float64(c.peak.Load()-window)/window) }

// Saturated daemons must not exceed a window by more than 10%, also while half of
// them pause and resume, and must refuse no job.
func TestDaemonsStayWithinWindows(t *testing.T) {
	client, all := startDaemons(t, 6, time.Second)
	for _, d := range all {
		d.resume(jobsPerDaemon)
	}
	client.measureUse(1500 * time.Millisecond)
	for _, d := range all[:3] {
		d.active.Store(false)
	}
	client.measureUse(time.Second)
	for _, d := range all[:3] {
		d.resume(jobsPerDaemon)
	}
	client.measureUse(time.Second)
	t.Logf("at most %d calls on one upstream", client.peak.Load())
	assert.Assert(t, client.peak.Load() > 0)
	assert.Assert(t, client.overshoot() <= 0.1, "%d calls", client.peak.Load())
	for _, d := range all {
		assert.Equal(t, d.refused.Load(), int64(0))
	}
}

func peerBytes() int64 {
	n, _ := strconv.ParseInt(expvar.Get("peer").(*expvar.Map).Get("bytes_out").String(), 10, 64)
	return n
}

// BenchmarkTwelveDaemons reports the fraction of the windows that twelve daemons
// use and the control bytes per second that each sends, with all of them saturated
// and with half of them idle.
func BenchmarkTwelveDaemons(b *testing.B) {
	const settle, measured = 6 * time.Second, 10 * time.Second
	for range b.N {
		client, all := startDaemons(b, daemons, quota.DefaultLease)
		for _, d := range all {
			d.resume(jobsPerDaemon)
		}
		client.measureUse(settle)
		b.ReportMetric(100*client.overshoot(), "%over-cold-start")
		client.peak.Store(0)
		bytes := peerBytes()
		b.ReportMetric(100*client.measureUse(measured), "%used")
		b.ReportMetric(float64(peerBytes()-bytes)/measured.Seconds()/daemons, "B/s/daemon")
		b.ReportMetric(100*client.overshoot(), "%over")
		client.peak.Store(0)
		for _, d := range all[:daemons/2] {
			d.active.Store(false)
		}
		client.measureUse(settle)
		bytes = peerBytes()
		b.ReportMetric(100*client.measureUse(measured), "%used-half-idle")
		b.ReportMetric(float64(peerBytes()-bytes)/measured.Seconds()/daemons, "B/s/daemon-half-idle")
		b.ReportMetric(100*grantedFraction(all[daemons/2:]), "%granted-half-idle")
		b.ReportMetric(100*grantedFraction(all[:daemons/2]), "%granted-to-idle")
		b.ReportMetric(100*client.overshoot(), "%over-half-idle")
	}
}
