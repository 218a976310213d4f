package hosted

import (
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/quarantine"
)

// crashRecord returns the report of the upstreams lost under a request. Times are passed on as
// ages, as the clocks of hosts differ.
func crashRecord(contentHash uint64, losses []quarantine.Loss, now time.Time) *batch.RequestCrashed {
	r := &batch.RequestCrashed{ContentHash: contentHash, UpstreamsLost: len(losses)}
	for _, l := range losses {
		r.Losses = append(r.Losses, batch.UpstreamLoss{Upstream: l.Upstream, AgeMillis: now.Sub(l.At).Milliseconds()})
	}
	return r
}

// lossesOf returns the losses of a report read at a time. Those of a build that doesn't name
// the upstreams count as of unknown ones.
func lossesOf(r *batch.RequestCrashed, now time.Time) []quarantine.Loss {
	out := make([]quarantine.Loss, 0, len(r.Losses))
	for _, l := range r.Losses {
		out = append(out, quarantine.Loss{Upstream: l.Upstream, At: now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)})
	}
	const mostOfARequest = 16 // a malformed report counts no further
	for len(out) < min(r.UpstreamsLost, mostOfARequest) {
		out = append(out, quarantine.Loss{At: now})
	}
	return out
}
