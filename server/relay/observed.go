package relay

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"github.com/cespare/xxhash/v2"
)

// upstreamStats is what this daemon saw of an upstream.
type upstreamStats struct {
	inFlight     int
	failures     int // in a row
	backoffUntil time.Time
	latency      time.Duration // moving average of answers
}

const (
	latencySmoothing = 0.3                   // weight of the newest answer in the average
	slowFactor       = 2.5                   // times its fastest peer's average
	minSlowLatency   = 60 * time.Millisecond // averages below this are never slow
	crashRetryAfter  = 5 * time.Second       // how long a request that crashes upstreams is refused
	crashTTL         = 60 * time.Second      // how long a crash is remembered
	crashLimit       = 3                     // crashes of upstreams under a request
)

func (o *upstreamStats) succeeded(took time.Duration) {
	o.failures, o.backoffUntil = 0, time.Time{}
	if o.latency == 0 {
		o.latency = took
		return
	}
	o.latency += time.Duration(latencySmoothing * float64(took-o.latency))
}

func (o *upstreamStats) failed(now time.Time, rest, most time.Duration) {
	o.backoffUntil = now.Add(min(most, rest<<min(o.failures, 8)))
	o.failures++
}

func (r *Relay) statsOf(id api.UpstreamID) *upstreamStats {
	o, ok := r.stats[id]
	if !ok {
		o = &upstreamStats{}
		r.stats[id] = o
	}
	return o
}

// candidates returns the upstreams of a job's service.
func (r *Relay) candidates(j *job, now time.Time) []opaque.Candidate {
	var out []opaque.Candidate
	var fastest time.Duration
	for _, u := range r.view().UpstreamsOf(j.request.Service) {
		o := r.statsOf(u.ID)
		out = append(out, opaque.Candidate{
			Upstream: u, InFlight: o.inFlight, BackingOff: now.Before(o.backoffUntil), Tried: j.tried[u.ID],
		})
		if o.latency > 0 && (fastest == 0 || o.latency < fastest) {
			fastest = o.latency
		}
	}
	for i := range out {
		l := r.statsOf(out[i].Upstream.ID).latency
		out[i].Slow = l > minSlowLatency && float64(l) > slowFactor*float64(fastest)
	}
	return out
}

// crashes counts how often upstreams went away while a request ran on them, by
// the request's content, as its clients send it again under other ids.
type crashes struct{ byContent map[uint64]*crashCount }

type crashCount struct {
	count int
	last  time.Time
}

func newCrashes() *crashes { return &crashes{byContent: make(map[uint64]*crashCount)} }

// add adds crashes under a request, or forgets them when it was answered: then
// others were their cause.
func (c *crashes) add(content uint64, lost int, now time.Time) {
	if lost == 0 {
		delete(c.byContent, content)
		return
	}
	e, ok := c.byContent[content]
	if !ok {
		e = &crashCount{}
		c.byContent[content] = e
	}
	e.count += lost
	e.last = now
}

func (c *crashes) known(content uint64) bool { return c.byContent[content] != nil }

func (c *crashes) refused(content uint64, now time.Time) bool {
	e, ok := c.byContent[content]
	return ok && e.count >= crashLimit && now.Sub(e.last) < crashTTL
}

func (c *crashes) expire(now time.Time) {
	for content, e := range c.byContent {
		if now.Sub(e.last) > crashTTL {
			delete(c.byContent, content)
		}
	}
}

// fingerprint identifies a request's content across attempts of its client.
func fingerprint(q *opaque.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{q.Method, q.Host, q.RequestURI} {
		_, _ = h.WriteString(s) // a hash never fails
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}
