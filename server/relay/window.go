package relay

import (
	"cmp"
	"errors"
	"expvar"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/outstanding"
	"go.uber.org/zap"
)

var (
	refusedByUpstreams = expvar.NewInt("upstream_refusals")
	requestsHeld       = expvar.NewInt("requests_held") // for a request limit or a window
)

// windowOf returns the window of an upstream; nil if there are none.
func (r *Relay) windowOf(id api.UpstreamID, slots int) *outstanding.Window {
	if !r.cfg.Windows {
		return nil
	}
	s := r.statsOf(id)
	if s.window == nil {
		s.window = outstanding.New(slots)
	}
	return s.window
}

func (s *upstreamStats) load() outstanding.Load {
	return outstanding.Load{Requests: s.inFlight, Bytes: s.bytes}
}

// responseTime returns the usual time of an upstream's responses; the latency target of the
// request if there were none.
func (s *upstreamStats) responseTime(q *opaque.Request) time.Duration {
	if s.latency > 0 {
		return s.latency
	}
	return q.Route.LatencyTarget
}

// setWindowWaits sets how long a job would wait for the window of each candidate. The jobs of
// its service that are started before it are ahead of it.
func (r *Relay) setWindowWaits(j *job, candidates []opaque.Candidate, now time.Time) {
	if !r.cfg.Windows || j.stream != nil {
		return // a stream has a slot of its upstream for long
	}
	perSecond := 0.0
	waits := make([]time.Duration, len(candidates))
	for i := range candidates {
		s, u := r.statsOf(candidates[i].Upstream.ID), candidates[i].Upstream
		w, response := r.windowOf(u.ID, u.Slots), s.responseTime(j.request)
		waits[i] = w.Wait(now, s.load(), len(j.request.Body), response)
		if response > 0 && !u.Draining {
			perSecond += float64(w.Limit()) / response.Seconds()
		}
	}
	ahead := r.aheadOf(j)
	for i, wait := range waits {
		if wait == 0 {
			continue
		}
		delay, ok := opaque.StartDelay(j.request, now, wait, ahead, perSecond)
		c := &candidates[i]
		c.Wait, c.TooLate = max(c.Wait, delay), c.TooLate || !ok
	}
}

// aheadOf returns the number of waiting jobs that are started before a job.
func (r *Relay) aheadOf(j *job) int {
	n := 0
	for _, o := range r.waiting {
		if o != j && o.request.Service == j.request.Service && compareWaiting(o, j) <= 0 {
			n++
		}
	}
	return n
}

// compareWaiting orders jobs that wait for windows: the more urgent ones first, then those
// whose deadline comes first.
func compareWaiting(a, b *job) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.request.Deadline.Compare(b.request.Deadline))
}

// observeWindow takes the end of an attempt, which is no longer outstanding. A request that the
// upstream refused may be sent there again.
func (r *Relay) observeWindow(a *attempt, now time.Time) {
	w := r.windowOf(a.upstream.ID, a.upstream.Slots)
	if w == nil || a.job.stream != nil {
		return
	}
	s, q := r.statsOf(a.upstream.ID), a.job.request
	with := outstanding.Load{Requests: s.inFlight + 1, Bytes: s.bytes + len(q.Body)}
	var e *opaque.AttemptError
	switch {
	case a.err == nil:
		w.Answered(with, len(q.Body), a.upstream.Slots, now.Sub(a.startedAt) <= q.Route.LatencyTarget)
	case !errors.As(a.err, &e):
	case e.Busy:
		refusedByUpstreams.Add(1)
		w.Refused(now, s.load(), s.responseTime(q))
		a.job.attempts--
		delete(a.job.tried, a.upstream.ID)
		r.log.Info("upstream refused a request", zap.String("upstream", string(a.upstream.ID)), zap.Int("outstanding", with.Requests), zap.Int("window", w.Limit()))
	case e.ConnectionLost && a.job.ctx.Err() == nil:
		w.Lost(with)
		if w.BytesLimit() > 0 {
			r.log.Info("upstream lost, bytes outstanding there are bounded", zap.String("upstream", string(a.upstream.ID)), zap.Int("bytes", with.Bytes), zap.Int("bound", w.BytesLimit()))
		}
	}
}

// startWaitingForWindows starts the jobs that windows allow now, in the order of
// compareWaiting. Once a job of a service has to wait on, those after it wait too.
func (r *Relay) startWaitingForWindows() {
	if !r.cfg.Windows || len(r.waiting) == 0 {
		return
	}
	waiting := slices.Clone(r.waiting)
	slices.SortStableFunc(waiting, compareWaiting)
	r.waiting = r.waiting[:0]
	blocked := make(map[string]bool)
	for _, j := range waiting {
		service := j.request.Service
		if blocked[service] {
			r.waiting = append(r.waiting, j)
			continue
		}
		before := len(r.waiting)
		r.startNext(j)
		blocked[service] = len(r.waiting) > before
	}
}
