package dispatch

import (
	"expvar"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

var (
	outcomes     = expvar.NewMap("requests_by_outcome")
	refused      = expvar.NewMap("requests_refused")
	retried      = expvar.NewInt("attempts_retried")
	hedged       = expvar.NewInt("attempts_hedged")
	crashStrikes = expvar.NewInt("crash_strikes")
)

func count(f *flight, res work.Result) {
	outcomes.Add(f.job.Lane.String()+"."+res.Outcome.String(), 1)
}

// publishView publishes a snapshot of the state for readers on other threads.
func (h *handler) publishView(now time.Time) {
	v := &View{}
	for lane := range api.LaneCount {
		v.Queued[lane] = h.queue.LenLane(lane)
	}
	for id, u := range h.upstreams {
		v.Running += len(u.running)
		v.Upstreams = append(v.Upstreams, UpstreamView{
			ID: id, Draining: u.draining, InFlight: len(u.running), Window: u.window.Limit(),
			Slow: now.Before(u.suspendedUntil) || u.slow, Latency: u.observer.Latency(id),
		})
	}
	slices.SortFunc(v.Upstreams, func(a, b UpstreamView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h.d.view.Store(v)
}
