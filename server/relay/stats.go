package relay

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/locality"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/outstanding"
	"github.com/cespare/xxhash/v2"
)

// upstreamStats is what this daemon has observed of an upstream.
type upstreamStats struct {
	inFlight            int
	bytes               int // of the bodies in flight
	consecutiveFailures int
	backoffUntil        time.Time
	latency             time.Duration       // moving average over responses
	respondedAt         time.Time           // when the newest response arrived
	window              *outstanding.Window // nil: none
}

const (
	maxLatencyAge    = 3 * time.Second       // of a mean latency that decides whether requests leave the data centre
	latencySmoothing = 0.3                   // weight of the latest response in the average
	slowFactor       = 2.5                   // an upstream is slow if its average exceeds the fastest one's by this factor
	minSlowLatency   = 60 * time.Millisecond // an upstream with an average up to this is never slow
)

func (s *upstreamStats) succeeded(took time.Duration, now time.Time) {
	s.respondedAt = now
	s.consecutiveFailures, s.backoffUntil = 0, time.Time{}
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencySmoothing * float64(took-s.latency))
}

func (s *upstreamStats) failed(now time.Time, backoff, maxBackoff time.Duration) {
	s.backoffUntil = now.Add(min(maxBackoff, backoff<<min(s.consecutiveFailures, 8)))
	s.consecutiveFailures++
}

func (r *Relay) statsOf(id api.UpstreamID) *upstreamStats {
	s, ok := r.stats[id]
	if !ok {
		s = &upstreamStats{}
		r.stats[id] = s
	}
	return s
}

// mayRunOn reports whether an upstream can continue a job's stream, if it has begun: what
// two versions of the software generate doesn't fit together.
func (j *job) mayRunOn(u *directory.Upstream) bool {
	return j.stream == nil || j.stream.software == "" || j.stream.software == u.Software
}

// candidates returns the upstreams of a job's service that may run it, with their current
// state.
func (r *Relay) candidates(j *job, now time.Time) []opaque.Candidate {
	var out []opaque.Candidate
	var fastest time.Duration
	for _, u := range r.view().UpstreamsOf(j.request.Service) {
		if !j.mayRunOn(u) {
			continue
		}
		s := r.statsOf(u.ID)
		latency := r.latencyOf(s, now)
		out = append(out, opaque.Candidate{
			Upstream: u, InFlight: s.inFlight, BackingOff: now.Before(s.backoffUntil), Tried: j.tried[u.ID],
			Expected: locality.Expected(latency, s.inFlight, u.Slots),
		})
		if latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	for i := range out {
		l := r.latencyOf(r.statsOf(out[i].Upstream.ID), now)
		out[i].Slow = l > minSlowLatency && float64(l) > slowFactor*float64(fastest)
	}
	return out
}

// latencyOf returns the mean latency of an upstream, 0 if it is unknown. With a locality
// policy it is forgotten after a time, so that requests return to an upstream of their own data
// centre that was slow once.
func (r *Relay) latencyOf(s *upstreamStats, now time.Time) time.Duration {
	if r.cfg.Chooser.Locality != nil && now.Sub(s.respondedAt) > maxLatencyAge {
		return 0
	}
	return s.latency
}

// fingerprint returns a hash of a request's content and its customer, which is the same for
// all retries by a caller.
func fingerprint(q *opaque.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{q.Customer, q.Method, q.Host, q.RequestURI} {
		_, _ = h.WriteString(s) // never fails
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}
