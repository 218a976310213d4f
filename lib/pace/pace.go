// Package pace measures how fast upstreams generate, and decides which are
// far slower than their peers. It is pure.
package pace

import (
	"slices"
	"time"
)

// Config of a Meter.
type Config struct {
	// Window is the time over which a pace is taken; short slow phases that
	// every upstream has from time to time must not decide.
	Window time.Duration
	// MinEvents in a window; fewer say nothing.
	MinEvents int
	// Factor is how many times the median of its peers a slow upstream takes.
	Factor float64
	// MinPeers is the number of peers below which none is slow.
	MinPeers int
}

// sample is what came between two looks.
type sample struct {
	at     time.Time
	events int
	busy   time.Duration // run time in which they came
}

// Meter measures one upstream. It is not safe for concurrent use.
type Meter struct {
	cfg     Config
	samples []sample
}

// NewMeter returns a meter without samples.
func NewMeter(cfg Config) *Meter { return &Meter{cfg: cfg} }

// Add takes the events that came since the last look, and the time that runs
// spent on them, added up over runs.
func (m *Meter) Add(now time.Time, events int, busy time.Duration) {
	old := 0
	for old < len(m.samples) && now.Sub(m.samples[old].at) > m.cfg.Window {
		old++
	}
	m.samples = append(m.samples[old:], sample{now, events, busy})
}

// MeanInterval returns the mean time between two events of a run, and false when too
// little came to tell, or for less than most of a window.
func (m *Meter) MeanInterval(now time.Time) (time.Duration, bool) {
	const most = 0.75 // of a window
	events, busy := 0, time.Duration(0)
	for _, s := range m.samples {
		events += s.events
		busy += s.busy
	}
	if events < m.cfg.MinEvents || len(m.samples) == 0 {
		return 0, false
	}
	if now.Sub(m.samples[0].at) < time.Duration(most*float64(m.cfg.Window)) {
		return 0, false
	}
	return busy / time.Duration(events), true
}

// Reset forgets the samples.
func (m *Meter) Reset() { m.samples = nil }

// IsSlow reports whether a gap is far longer than those of the peers.
func (c Config) IsSlow(gap time.Duration, peers []time.Duration) bool {
	if len(peers) < max(1, c.MinPeers) {
		return false
	}
	sorted := slices.Sorted(slices.Values(peers))
	return float64(gap) > c.Factor*float64(sorted[len(sorted)/2])
}
