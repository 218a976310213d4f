package relay

import (
	"expvar"
	"time"

	"dotterelmount.example/lib/quarantine"
	"dotterelmount.example/lib/reach"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// requestsQuarantined counts the requests refused because upstreams are lost when they run.
var requestsQuarantined = expvar.NewInt("requests_quarantined")

// daemonSpread returns a number from 0 to 1 for a daemon, which differs between daemons.
func daemonSpread(daemon string) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(daemon)%steps) / steps
}

// unconfirmedCrashes are connections that were lost a short time ago. If this daemon turns
// out to be cut off, its links failed and not the upstreams.
type unconfirmedCrashes struct {
	lost    []lostConnection
	reports []crashReport // for other daemons
}

type lostConnection struct {
	content uint64
	loss    quarantine.Loss
}

type crashReport struct {
	content uint64
	losses  []quarantine.Loss
	at      time.Time
}

func (u *unconfirmedCrashes) empty() bool { return len(u.lost)+len(u.reports) == 0 }

// addCrash counts a lost connection of a request, unless this daemon is cut off.
func (r *Relay) addCrash(a *attempt, now time.Time) {
	if r.links() == reach.CutOff {
		return
	}
	j, loss := a.job, quarantine.Loss{Upstream: a.upstream.ID, At: now}
	j.losses = append(j.losses, loss)
	r.crashes.Add(j.content, loss)
	r.unconfirmed.lost = append(r.unconfirmed.lost, lostConnection{j.content, loss})
}

// admitContent finishes a job if its request is refused because of crashes, and returns false.
func (r *Relay) admitContent(j *job, now time.Time) bool {
	if j.request.Owed {
		return true
	}
	wait, ok := r.crashes.Admit(j.content, now)
	if ok {
		return true
	}
	requestsQuarantined.Add(1)
	r.log.Info("request quarantined", zap.String("request", string(j.request.ID)), zap.Uint64("content", j.content), zap.Duration("for", wait))
	r.finish(j, reply{Err: j.failure("the request crashed several upstreams", false, wait)})
	return false
}

// confirmCrashes reports to the other daemons the crashes that are not explained by a cut-off
// of this daemon, and withdraws those that are.
func (r *Relay) confirmCrashes(now time.Time) {
	u := &r.unconfirmed
	switch links := r.links(); {
	case links == reach.Suspected, u.empty():
		return
	case links == reach.CutOff:
		for _, l := range u.lost {
			r.crashes.Withdraw(l.content, l.loss)
		}
		r.log.Info("lost connections are not counted as crashes", zap.Int("connections", len(u.lost)), zap.Int("reports", len(u.reports)))
		*u = unconfirmedCrashes{}
		return
	}
	for len(u.reports) > 0 && now.Sub(u.reports[0].at) >= r.cfg.CrashConfirmation {
		r.cfg.OnCrashes(u.reports[0].content, u.reports[0].losses)
		u.reports = u.reports[1:]
	}
	for len(u.lost) > 0 && now.Sub(u.lost[0].loss.At) >= 2*r.cfg.CrashConfirmation {
		u.lost = u.lost[1:]
	}
}

// reportCrashes reports to the other daemons the connections that were lost while a job ran,
// or that its request got a response after earlier crashes.
func (r *Relay) reportCrashes(j *job, rep reply) {
	responded := rep.Response != nil
	switch {
	case responded && r.crashes.Known(j.content):
		r.crashes.Clear(j.content)
		r.cfg.OnCrashes(j.content, nil)
	case !responded && len(j.losses) > 0:
		r.unconfirmed.reports = append(r.unconfirmed.reports, crashReport{j.content, j.losses, r.cfg.Now()})
	}
}
