package relay

import (
	"time"

	"dotterelmount.example/lib/reach"
	"go.uber.org/zap"
)

// crashes counts the connections to upstreams that were lost while a request ran.
// It identifies a request by a hash of its content because callers retry it under
// new ids.
type crashes struct{ byContent map[uint64]*crashCount }

type crashCount struct {
	count int
	last  time.Time
}

func newCrashes() *crashes { return &crashes{byContent: make(map[uint64]*crashCount)} }

// add adds lost connections to a request's count. If lost is 0, it deletes the count:
// the request got a response, so it was not the cause.
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

// withdraw takes back a lost connection that was added before.
func (c *crashes) withdraw(content uint64) {
	if e, ok := c.byContent[content]; ok {
		if e.count--; e.count <= 0 {
			delete(c.byContent, content)
		}
	}
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

// unconfirmedCrashes are connections that were lost a short time ago. If this daemon turns
// out to be cut off, its links failed and not the upstreams.
type unconfirmedCrashes struct {
	lost    []lostConnection
	reports []crashReport // for other daemons
}

type lostConnection struct {
	content uint64
	at      time.Time
}

type crashReport struct {
	content uint64
	lost    int
	at      time.Time
}

func (u *unconfirmedCrashes) empty() bool { return len(u.lost)+len(u.reports) == 0 }

// addCrash counts a lost connection of a request, unless this daemon is cut off.
func (r *Relay) addCrash(j *job, now time.Time) {
	if r.links() == reach.CutOff {
		return
	}
	j.crashes++
	r.crashes.add(j.content, 1, now)
	r.unconfirmed.lost = append(r.unconfirmed.lost, lostConnection{j.content, now})
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
			r.crashes.withdraw(l.content)
		}
		r.log.Info("lost connections are not counted as crashes", zap.Int("connections", len(u.lost)), zap.Int("reports", len(u.reports)))
		*u = unconfirmedCrashes{}
		return
	}
	for len(u.reports) > 0 && now.Sub(u.reports[0].at) >= r.cfg.CrashConfirmation {
		r.cfg.OnCrashes(u.reports[0].content, u.reports[0].lost)
		u.reports = u.reports[1:]
	}
	for len(u.lost) > 0 && now.Sub(u.lost[0].at) >= 2*r.cfg.CrashConfirmation {
		u.lost = u.lost[1:]
	}
}

// reportCrashes reports to the other daemons how many connections were lost while a
// job ran, or that its request got a response after earlier crashes.
func (r *Relay) reportCrashes(j *job, rep reply) {
	responded := rep.Response != nil
	switch {
	case responded && r.crashes.known(j.content):
		r.crashes.add(j.content, 0, r.cfg.Now())
		r.cfg.OnCrashes(j.content, 0)
	case !responded && j.crashes > 0:
		r.unconfirmed.reports = append(r.unconfirmed.reports, crashReport{j.content, j.crashes, r.cfg.Now()})
	}
}
