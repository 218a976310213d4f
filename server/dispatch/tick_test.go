package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/worker"
	"gotest.tools/v3/assert"
)

func newTestHandler(t testing.TB, upstreams int) (*handler, *ledger.State) {
	s := *ledger.NewConfigFSM().Snapshot()
	s.Usage = &api.UsageList{}
	for i := range upstreams {
		s.Usage.Upstreams = append(s.Usage.Upstreams, api.Upstream{
			ID: api.UpstreamID(fmt.Sprint("u", i)), Kind: api.KindEngine, Address: fmt.Sprint("a", i),
			Models: []api.ModelName{"m"}, Window: 8,
		})
	}
	d := &Dispatcher{cfg: Config{Workers: 64, Now: time.Now, Rand: rand.IntN, Routing: "affinity", IsLeaving: func(string) bool { return false }}}
	d.state.Store(&s)
	h, err := newHandler(d)
	assert.NilError(t, err)
	return h, &s
}

// A view that shows an upstream as draining must include the calls that were
// started on it before.
func TestDrainMarkIsPublishedWithInFlightCalls(t *testing.T) {
	h, s := newTestHandler(t, 1)
	h.publishView(time.Now())
	h.upstreams["u0"].running[1] = &attempt{}
	marked := *s
	marked.AppliedOffset++
	marked.Marks = map[api.UpstreamID]ledger.MarkState{"u0": {Mark: api.MarkDraining}}
	h.Handle(t.Context(), stateMsg{state: &marked})
	assert.Assert(t, h.d.View().Upstreams[0].Draining)
	assert.Equal(t, h.d.View().Upstreams[0].InFlight, 1)
}

// BenchmarkTick measures one tick with 12 calls in progress and 650 upstreams.
func BenchmarkTick(b *testing.B) {
	h, _ := newTestHandler(b, 650)
	for i := range 12 {
		id := api.RequestID(fmt.Sprint("r", i))
		f := &flight{job: &work.Job{ID: id, Stream: true}, running: make(map[uint64]*attempt)}
		a := &attempt{id: uint64(i), flight: f, upstream: h.upstreams[api.UpstreamID(fmt.Sprint("u", i))], started: time.Now(), task: &worker.Task{}}
		f.running[a.id], a.upstream.running[a.id], h.flights[id] = a, a, f
	}
	for b.Loop() {
		h.Tick(context.Background())
	}
}
