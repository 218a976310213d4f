package reachability

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/reach"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// network is a Prober whose upstreams can be reached or hang.
type network struct{ up atomic.Bool }

func (n *network) Probe(ctx context.Context, u *directory.Upstream) error {
	if n.up.Load() {
		return nil
	}
	<-ctx.Done()
	return &opaque.AttemptError{Upstream: u.ID, Cause: ctx.Err()}
}

func awaitState(t *testing.T, m *Monitor, want reach.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m.State() != want {
			return poll.Continue("%s", m.State())
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestCutOffIsFoundAndItsEnd(t *testing.T) {
	m := New(Config{
		Reach:    reach.Config{FailureLimit: 2, Probes: 3, MinProbes: 2, Stagger: 10 * time.Millisecond, RoundInterval: 100 * time.Millisecond, CutOffInterval: 50 * time.Millisecond},
		RingSize: 16, Tick: 5 * time.Millisecond, IdleTick: 20 * time.Millisecond, ProbeTimeout: 30 * time.Millisecond, Now: time.Now,
	}, zap.NewNop())
	view := directory.NewView().Apply([]directory.Change{
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "a"}},
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "b"}},
		directory.UpstreamListed{Upstream: directory.Upstream{ID: "c"}},
	})
	n := &network{}
	m.Start(duty.NewSystem(nil), n, func() *directory.View { return view })
	t.Cleanup(func() { assert.NilError(t, m.Stop(context.Background())) })
	for range 2 {
		m.Observe(reach.ConnectFailed)
		m.Observe(reach.ConnectFailed)
		awaitState(t, m, reach.CutOff)
		assert.Assert(t, m.CutOff())
		n.up.Store(true)
		awaitState(t, m, reach.Reachable)
		n.up.Store(false)
		<-time.After(150 * time.Millisecond)
		assert.Equal(t, m.State(), reach.Reachable, "nothing fails")
	}
}
