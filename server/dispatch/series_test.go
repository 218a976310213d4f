package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
	"gotest.tools/v3/assert"
)

// Guards against the quarantine of an innocent request whose upstreams crash one after
// another, each while it is alone there: other upstreams, which crash at the same time
// without it, show that it isn't the cause.
func TestCrashesInSeriesDoNotQuarantine(t *testing.T) {
	for _, crashes := range []int{2, 3} {
		f := &fakeClient{}
		f.generate = func(_ context.Context, u upstream.Target, n int, _ *work.Generate, delta func(work.Chunk) error) error {
			if n <= crashes {
				return f.crash(u.ID)
			}
			return sendTokens(delta, 1, 0, 4)
		}
		var d *dispatch.Dispatcher
		started := make(chan struct{})
		d = start(t, f, state(8, "a", "b", "c", "d", "e"), func(c *dispatch.Config) {
			c.ReportStrike = func(s api.Strike) {
				<-started
				assert.Check(t, s.Alone)
				for _, u := range []api.UpstreamID{"x", "y"} {
					other := api.Strike{Fingerprint: 2, Upstream: u + s.Upstream, Alone: true, AtMillis: s.AtMillis + 300}
					assert.Check(t, d.AddPeerStrike(other))
				}
			}
		})
		close(started)
		c := newCollector()
		assert.NilError(t, d.Submit(job("x", c)))
		assert.NilError(t, c.wait(t).Err, "after %d crashes", crashes)
		assert.Equal(t, len(f.calls["x"]), crashes+1)
	}
}

// The crashes of a request that crashes every upstream are not excused by crashes long
// before them.
func TestEarlierCrashesDoNotExcuseKiller(t *testing.T) {
	f := &fakeClient{}
	var calls atomic.Int32
	f.generate = func(_ context.Context, u upstream.Target, _ int, _ *work.Generate, _ func(work.Chunk) error) error {
		calls.Add(1)
		return f.crash(u.ID)
	}
	var d *dispatch.Dispatcher
	started := make(chan struct{})
	d = start(t, f, state(8, "a", "b", "c", "d", "e"), func(c *dispatch.Config) {
		c.ReportStrike = func(s api.Strike) {
			<-started
			for _, u := range []api.UpstreamID{"x", "y"} {
				other := api.Strike{Fingerprint: 2, Upstream: u + s.Upstream, Alone: true, AtMillis: s.AtMillis - 10_000}
				assert.Check(t, d.AddPeerStrike(other))
			}
		}
	})
	close(started)
	c := newCollector()
	assert.NilError(t, d.Submit(job("x", c)))
	assert.Equal(t, api.CodeOf(c.wait(t).Err), api.CodeQuarantined)
	assert.Equal(t, calls.Load(), int32(2))
}
