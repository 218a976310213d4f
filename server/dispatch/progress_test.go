package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
)

// An upstream must be marked slow when one of its calls stalls, before any of its
// calls ends.
func TestStalledCallMarksUpstreamSlow(t *testing.T) {
	stalled := make(chan api.UpstreamID, 1)
	f := &fakeClient{}
	f.generate = func(ctx context.Context, u upstream.Target, _ int, g *work.Generate, delta func(work.Chunk) error) error {
		if g.MaxTokens == 4 {
			return sendTokens(delta, 1, 0, 4)
		}
		if err := sendTokens(delta, 1, 0, 2); err != nil {
			return err
		}
		stalled <- u.ID
		<-ctx.Done()
		return &upstream.CallError{Upstream: u.ID, Sent: true, Code: api.CodeCancelled, Cause: ctx.Err()}
	}
	d := start(t, f, state(4, "a", "b", "c"), func(c *dispatch.Config) { c.ProgressDeadline = time.Minute })
	for i := range 30 {
		c := newCollector()
		assert.NilError(t, d.Submit(job(api.RequestID(fmt.Sprint(i)), c)))
		c.wait(t)
	}
	c := newCollector()
	j := job("stalls", c)
	j.Call.Generate.MaxTokens, j.CostTokens, j.Stream = 100, 100, true
	assert.NilError(t, d.Submit(j))
	id := <-stalled
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, u := range d.View().Upstreams {
			if u.ID == id && u.Slow {
				return poll.Success()
			}
		}
		return poll.Continue("%s is not slow yet", id)
	}, poll.WithTimeout(10*time.Second))
	d.Cancel("stalls")
	assert.Equal(t, c.wait(t).Outcome == api.OutcomeComplete, false)
}
