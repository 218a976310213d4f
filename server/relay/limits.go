package relay

import (
	"slices"
	"time"

	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ratelimit"
	"go.uber.org/zap"
)

// Idle implements duty.Idler.
func (r *Relay) Idle() bool { return len(r.waiting) == 0 && r.unconfirmed.empty() }

// countDemand counts a job once as demand: for the upstream that it would be sent to if
// there were no request limits or, if it has to wait, for all of them.
func (r *Relay) countDemand(j *job, candidates []opaque.Candidate, waits bool) {
	if j.demanded {
		return
	}
	j.demanded = true
	if waits {
		for _, c := range candidates {
			r.cfg.Limits.Want(c.Upstream.ID)
		}
	} else if preferred, ok := r.cfg.Chooser.PickUnlimited(candidates); ok {
		r.cfg.Limits.Want(preferred.Upstream.ID)
	}
}

// mustWait reports whether a job has to wait for a request limit: that of its upstream
// leaves no room, or others that arrived before it wait for the same service.
func (r *Relay) mustWait(j *job, chosen opaque.Candidate) bool {
	if chosen.Wait > 0 {
		return true
	}
	_, limited := r.cfg.Limits.Rate(chosen.Upstream.ID)
	return limited && j.waitingSince.IsZero() && r.waitingFor(j.request.Service) > 0
}

func (r *Relay) waitingFor(service string) int {
	n := 0
	for _, j := range r.waiting {
		if j.request.Service == service {
			n++
		}
	}
	return n
}

// setWaits sets how long a job would wait for the request limit of each candidate. Jobs
// that arrived before it for the same service are ahead of it.
func (r *Relay) setWaits(j *job, candidates []opaque.Candidate, now time.Time) {
	ahead := 0
	if j.waitingSince.IsZero() {
		ahead = r.waitingFor(j.request.Service)
	}
	perSecond := 0.0
	for _, c := range candidates {
		rate, _ := r.cfg.Limits.Rate(c.Upstream.ID)
		perSecond += rate
	}
	for i := range candidates {
		c := &candidates[i]
		if wait := r.cfg.Limits.Wait(c.Upstream.ID, now); wait > 0 {
			delay, ok := opaque.StartDelay(j.request, now, wait, ahead, perSecond)
			c.Wait, c.TooLate = delay, !ok
		}
	}
}

// waitForLimit queues a job until a request limit or window allows it, or refuses it at once if it
// would be too late then.
func (r *Relay) waitForLimit(j *job, chosen opaque.Candidate, now time.Time) {
	isNew := j.waitingSince.IsZero()
	if chosen.TooLate || isNew && len(r.waiting) >= r.cfg.MaxWaiting && !r.makeRoom(j, chosen.Wait) {
		r.refuseForLimits(j, chosen.Wait)
		return
	}
	r.waiting = append(r.waiting, j)
	if isNew {
		j.waitingSince = now
		requestsHeld.Add(1)
		r.log.Info("request waits for a limit", zap.String("request", string(j.request.ID)), zap.String("service", j.request.Service),
			zap.String("upstream", string(chosen.Upstream.ID)), zap.Duration("expected", chosen.Wait))
	}
}

// refuseForLimits finishes a job that limits leave no room for.
func (r *Relay) refuseForLimits(j *job, wait time.Duration) {
	retryAfter := r.cfg.RetryAfter
	if wait != ratelimit.Never {
		retryAfter = max(retryAfter, wait)
	}
	r.finish(j, reply{Response: j.failureResponse, Err: j.failure("the limits of service "+j.request.Service+" leave no room", false, retryAfter)})
}

// startWaiting starts the waiting jobs that request limits and windows allow, in order of
// arrival or, if there are windows, in that of their customers' shares. The others go on
// waiting.
func (r *Relay) startWaiting() {
	if r.cfg.Windows {
		r.startWaitingForWindows()
		return
	}
	waiting := slices.Clone(r.waiting)
	r.waiting = r.waiting[:0]
	for _, j := range waiting {
		r.startNext(j)
	}
}
