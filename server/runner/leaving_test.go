package runner

import (
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"gotest.tools/v3/assert"
)

// Guards against texts that are lost, or wait for a silent connection, when an upstream that
// has named its end goes. Until shortly before, its runs go on.
func TestRunsAreMovedBeforeTheirUpstreamGoes(t *testing.T) {
	r := newTestRunner(t)
	r.cfg.LeaveMargin = 500 * time.Millisecond
	listed := directory.Upstream{ID: "u", StartMillis: 5, Draining: true, LeavesAt: r.now.Add(2 * time.Second)}
	r.run.upstream = &directory.Upstream{ID: "u", StartMillis: 5}
	r.deps.View = func() *directory.View {
		return directory.NewView().Apply([]directory.Change{directory.UpstreamListed{Upstream: listed}})
	}
	begin := r.now
	r.moveFromLeaving(begin.Add(1400 * time.Millisecond))
	assert.NilError(t, r.run.ctx.Err())
	r.run.upstream.StartMillis = 4
	r.moveFromLeaving(begin.Add(1600 * time.Millisecond))
	assert.NilError(t, r.run.ctx.Err(), "the time is that of another process")
	r.run.upstream.StartMillis = 5
	r.moveFromLeaving(begin.Add(1600 * time.Millisecond))
	assert.Assert(t, r.run.evicted && r.run.ctx.Err() != nil)
}
