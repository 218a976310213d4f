package loads

import (
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

const (
	// slowLoad is how much longer than the fast ones a load takes that was slowed down by
	// others. Fast is a quarter of windowLoads loads: single ones are measured too short.
	slowLoad    = 1.2
	windowLoads = 16
	// limitRaise and limitCut are the changes of a limit by a load that wasn't slowed down,
	// and by one that was. A third of the loads may be, as single upstreams are slow.
	limitRaise, limitCut = 0.1, 0.2
	// minLimit is the fraction of the set share that may load at once in any case.
	minLimit = 0.5
)

// Limit learns how many upstreams of a service can load at once without slowing each other
// down, from the times that loads take. It answers services whose number of upstreams changes
// while they load from the same source. It starts with the set share of the upstreams that it
// finds, and is not safe for concurrent use.
type Limit struct {
	share   float64
	allowed float64       // upstreams at once; 0: none were found yet
	fast    time.Duration // time of a fast load; 0: not known
	window  []time.Duration
	since   map[api.UpstreamID]time.Time
}

// NewLimit returns a Limit of at most a share of a service's upstreams.
func NewLimit(share float64) *Limit {
	return &Limit{share: share, since: make(map[api.UpstreamID]time.Time)}
}

// Observe takes note of the upstreams of a service at a time.
func (l *Limit) Observe(all []batch.Upstream, service string, now time.Time) {
	total := 0
	for i := range all {
		u := &all[i]
		if u.Service != service || u.Holder == "" {
			continue
		}
		total++
		began, loading := l.since[u.ID]
		switch {
		case u.Condition == batch.ConditionLoading && !loading:
			l.since[u.ID] = now
		case u.Condition != batch.ConditionLoading && loading:
			delete(l.since, u.ID)
			if u.Condition == batch.ConditionReady {
				l.add(now.Sub(began))
			}
		}
	}
	most := math.Max(1, l.share*float64(total))
	if l.allowed == 0 && total > 0 {
		l.allowed = most
	}
	l.allowed = min(max(l.allowed, math.Max(1, minLimit*most)), most)
}

// Pause ends the observation of loads in progress, whose ends may be missed.
func (l *Limit) Pause() { clear(l.since) }

// add takes note of a load.
func (l *Limit) add(took time.Duration) {
	l.window = append(l.window, took)
	if len(l.window) == windowLoads {
		slices.Sort(l.window)
		if fast := l.window[windowLoads/4]; l.fast == 0 || fast < l.fast {
			l.fast = fast
		}
		l.window = l.window[:0]
	}
	if l.fast > 0 && float64(took) > slowLoad*float64(l.fast) {
		l.allowed -= limitCut
	} else {
		l.allowed += limitRaise
	}
}

// AtOnce returns how many upstreams may load at the same time.
func (l *Limit) AtOnce() int { return max(1, int(math.Round(l.allowed))) }
