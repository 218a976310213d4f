package relay

import "time"

// noteBegan notes that an upstream ran an attempt, or may have run it. A stream has begun with
// its first event, which its worker notes. What a peer runs is counted there.
func (r *Relay) noteBegan(a *attempt, certain bool) {
	j := a.job
	if j.stream != nil {
		return
	}
	if j.beganAt.IsZero() {
		j.beganAt = a.startedAt
	}
	if certain {
		r.countBegan(j)
	}
}

// countBegan counts a job that has begun, once.
func (r *Relay) countBegan(j *job) {
	if j.counted || j.beganAt.IsZero() {
		return
	}
	j.counted = true
	if !j.request.Owed && j.request.Customer != "" {
		r.cfg.OnBegan(j.request.Customer, j.beganAt)
	}
}

// countUncertain counts a job that ends without a response, although an upstream may have run
// it. If it was also sent to a peer, that one counts it.
func (r *Relay) countUncertain(j *job) {
	if len(j.triedPeers) == 0 {
		r.countBegan(j)
	}
}

// countStream counts a stream at its first event.
func (w *worker) countStream(a *attempt) {
	s, q := a.job.stream, a.job.request
	if s.counted {
		return
	}
	s.counted = true
	if !q.Owed && q.Customer != "" {
		w.onBegan(q.Customer, w.now())
	}
}

func ignoreBegan(string, time.Time) {}
