package relay

import (
	"errors"
	"expvar"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/fairshare"
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
	return max(time.Millisecond, q.Route.LatencyTarget)
}

// windowEstimate is the expected time until windows allow the next job of a service, and the
// rate at which they allow jobs, as of the last job for which one of them had no room.
type windowEstimate struct {
	next      time.Duration
	perSecond float64
}

// setWindowWaits sets how long a job would wait for the window of each candidate. The jobs of
// its service that are started before it are ahead of it.
func (r *Relay) setWindowWaits(j *job, candidates []opaque.Candidate, now time.Time) {
	if !r.cfg.Windows || j.stream != nil {
		return // a stream has a slot of its upstream for long
	}
	perSecond, full := 0.0, false
	waits := make([]time.Duration, len(candidates))
	for i := range candidates {
		s, u := r.statsOf(candidates[i].Upstream.ID), candidates[i].Upstream
		w, response := r.windowOf(u.ID, u.Slots), s.responseTime(j.request)
		waits[i] = w.Wait(now, s.load(), len(j.request.Body), response)
		full = full || waits[i] > 0
		if !u.Draining {
			perSecond += float64(w.Limit()) / response.Seconds()
		}
	}
	if !full {
		return
	}
	r.estimates[j.request.Service] = windowEstimate{slices.Min(waits), perSecond}
	ahead := r.delayByOthers(j, perSecond, now)
	for i, wait := range waits {
		if wait == 0 {
			continue
		}
		delay, ok := opaque.StartDelay(j.request, now, wait+ahead, 0, perSecond)
		c := &candidates[i]
		c.Wait, c.TooLate = max(c.Wait, delay), c.TooLate || !ok
	}
}

// sharesOf returns what customers have used of a service.
func (r *Relay) sharesOf(service string) *fairshare.Shares {
	s, ok := r.shares[service]
	if !ok {
		s = fairshare.New()
		r.shares[service] = s
	}
	return s
}

func shareOf(j *job) fairshare.Request {
	return fairshare.Request{Customer: j.request.Customer, Priority: j.request.Priority, Deadline: j.request.Deadline}
}

// waitingOf returns the waiting jobs of a service and what fairshare has to know of them.
func (r *Relay) waitingOf(service string) (jobs []*job, requests []fairshare.Request) {
	for _, j := range r.waiting {
		if j.request.Service == service {
			jobs, requests = append(jobs, j), append(requests, shareOf(j))
		}
	}
	return jobs, requests
}

// delayByOthers returns the expected time until the jobs that are started before a job have
// started. In a pass over the waiting jobs, these are those that wait on.
func (r *Relay) delayByOthers(j *job, perSecond float64, now time.Time) time.Duration {
	_, waiting := r.waitingOf(j.request.Service)
	if j.waitingSince.IsZero() {
		if !j.asked {
			j.asked = true
			r.sharesOf(j.request.Service).Asked(j.request.Customer, now)
		}
		return r.sharesOf(j.request.Service).Delay(waiting, shareOf(j), perSecond, now)
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(len(waiting)) / perSecond * float64(time.Second))
}

// charge charges a job's customer for its first start.
func (r *Relay) charge(j *job, now time.Time) {
	if r.cfg.Windows && !j.charged {
		j.charged = true
		r.sharesOf(j.request.Service).Started(j.request.Customer, now)
	}
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

// startWaitingForWindows starts the jobs that windows allow now, in the order of their customers'
// shares. Once windows hold up a job of a service, those after it wait too, unless the job has
// tried some upstreams, which may be those with room.
func (r *Relay) startWaitingForWindows() {
	if !r.cfg.Windows || len(r.waiting) == 0 {
		return
	}
	ordered := r.orderedWaiting()
	r.waiting = r.waiting[:0]
	heldUp := make(map[string]int) // jobs by service, from the first that windows hold up
	now := r.cfg.Now()
	for _, j := range ordered {
		service := j.request.Service
		if n := heldUp[service]; n > 0 && j.ctx.Err() == nil {
			heldUp[service]++
			r.waitOn(j, n, now)
			continue
		}
		before := len(r.waiting)
		delete(r.estimates, service)
		r.startNext(j)
		if _, full := r.estimates[service]; full && len(r.waiting) > before && len(j.tried) == 0 {
			heldUp[service]++
		}
	}
}

// waitOn lets a job wait on behind others of its service, or refuses it if it would be too late.
func (r *Relay) waitOn(j *job, ahead int, now time.Time) {
	e := r.estimates[j.request.Service]
	if delay, ok := opaque.StartDelay(j.request, now, e.next, ahead, e.perSecond); !ok {
		r.refuseForLimits(j, delay)
		return
	}
	r.waiting = append(r.waiting, j)
}

// orderedWaiting returns the waiting jobs in the order in which those of each service start.
func (r *Relay) orderedWaiting() []*job {
	services := make(map[string]bool)
	var out []*job
	for _, j := range r.waiting {
		service := j.request.Service
		if services[service] {
			continue
		}
		services[service] = true
		jobs, requests := r.waitingOf(service)
		for _, n := range r.sharesOf(service).Order(requests) {
			out = append(out, jobs[n])
		}
	}
	return out
}

// makeRoom removes the waiting job that would be started last if a new one has no room to
// wait, and refuses it. It returns false if that is the new one.
func (r *Relay) makeRoom(j *job, delay time.Duration) bool {
	if !r.cfg.Windows {
		return false
	}
	jobs, requests := r.waitingOf(j.request.Service)
	order := r.sharesOf(j.request.Service).Order(append(requests, shareOf(j)))
	last := order[len(order)-1]
	if last == len(jobs) {
		return false
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(o *job) bool { return o == jobs[last] })
	r.refuseForLimits(jobs[last], delay)
	return true
}
