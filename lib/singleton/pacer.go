package singleton

import "time"

// Pacer spaces calls evenly, so that all daemons together stay within a limit: the limit is
// divided among the duties, and one daemon at a time makes the calls of each. It is not safe
// for concurrent use.
type Pacer struct {
	interval time.Duration // 0: no limit
	next     time.Duration
}

// NewPacer returns the pacer of one of several duties with a common limit in calls a second;
// 0: there is no limit.
func NewPacer(perSecond float64, duties int) *Pacer {
	if perSecond <= 0 {
		return &Pacer{}
	}
	return &Pacer{interval: time.Duration(float64(time.Second) * float64(max(1, duties)) / perSecond)}
}

// Wait returns how long the next call waits, and counts it.
func (p *Pacer) Wait(now time.Duration) time.Duration {
	at := max(now, p.next)
	p.next = at + p.interval
	return at - now
}
