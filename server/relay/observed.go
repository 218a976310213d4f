package relay

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"github.com/cespare/xxhash/v2"
)

// observed is what this daemon saw of an upstream.
type observed struct {
	inFlight int
	failures int // in a row
	restTill time.Time
	latency  time.Duration // moving average of answers
}

const (
	latencyShare = 0.3                   // weight of the newest answer in the average
	slowFactor   = 2.5                   // times its fastest peer's average
	slowLeast    = 60 * time.Millisecond // averages below this are never slow
	crashBan     = 5 * time.Second       // how long a request that crashes upstreams is refused
	crashMemory  = 60 * time.Second      // how long a crash is remembered
	crashLimit   = 3                     // crashes of upstreams under a request
)

func (o *observed) succeeded(took time.Duration) {
	o.failures, o.restTill = 0, time.Time{}
	if o.latency == 0 {
		o.latency = took
		return
	}
	o.latency += time.Duration(latencyShare * float64(took-o.latency))
}

func (o *observed) failed(now time.Time, rest, most time.Duration) {
	o.restTill = now.Add(min(most, rest<<min(o.failures, 8)))
	o.failures++
}

func (r *Relay) observed(id api.UpstreamID) *observed {
	o, ok := r.seen[id]
	if !ok {
		o = &observed{}
		r.seen[id] = o
	}
	return o
}

// candidates returns the upstreams of a job's service.
func (r *Relay) candidates(j *job, now time.Time) []opaque.Candidate {
	var out []opaque.Candidate
	var fastest time.Duration
	for _, u := range r.view().Of(j.request.Service) {
		o := r.observed(u.ID)
		out = append(out, opaque.Candidate{
			Upstream: u, InFlight: o.inFlight, Resting: now.Before(o.restTill), Tried: j.tried[u.ID],
		})
		if o.latency > 0 && (fastest == 0 || o.latency < fastest) {
			fastest = o.latency
		}
	}
	for i := range out {
		l := r.observed(out[i].Upstream.ID).latency
		out[i].Slow = l > slowLeast && float64(l) > slowFactor*float64(fastest)
	}
	return out
}

// crashes counts how often upstreams went away while a request ran on them, by
// the request's content, as its clients send it again under other ids.
type crashes struct{ seen map[uint64]*crashed }

type crashed struct {
	count int
	last  time.Time
}

func newCrashes() *crashes { return &crashes{seen: make(map[uint64]*crashed)} }

// count adds crashes under a request, or forgets them when it was answered: then
// others were their cause.
func (c *crashes) count(content uint64, lost int, now time.Time) {
	if lost == 0 {
		delete(c.seen, content)
		return
	}
	e, ok := c.seen[content]
	if !ok {
		e = &crashed{}
		c.seen[content] = e
	}
	e.count += lost
	e.last = now
}

func (c *crashes) suspected(content uint64) bool { return c.seen[content] != nil }

func (c *crashes) banned(content uint64, now time.Time) bool {
	e, ok := c.seen[content]
	return ok && e.count >= crashLimit && now.Sub(e.last) < crashMemory
}

func (c *crashes) forget(now time.Time) {
	for content, e := range c.seen {
		if now.Sub(e.last) > crashMemory {
			delete(c.seen, content)
		}
	}
}

// fingerprint identifies a request's content across attempts of its client.
func fingerprint(q *opaque.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{q.Method, q.Host, q.Target} {
		_, _ = h.WriteString(s) // a hash never fails
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}
