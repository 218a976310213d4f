// Package pace measures the interval between the events that upstreams generate,
// and detects upstreams that are much slower than their peers. It does no I/O.
package pace

import (
	"slices"
	"time"
)

// Config configures a Meter.
type Config struct {
	// Window is the time over which the interval is averaged. It must be long
	// enough to ignore the short slow phases that every upstream has.
	Window time.Duration
	// MinEvents is the minimum number of events of a measurement.
	MinEvents int
	// Factor is the multiple of the peers' median interval above which an
	// upstream is slow.
	Factor float64
	// MinPeers is the minimum number of peers; with fewer no upstream is slow.
	MinPeers int
}

// sample contains the events between two calls of Add.
type sample struct {
	at     time.Time
	events int
	busy   time.Duration // time spent on them, summed over runs
}

// Meter measures the event interval of an upstream. It is not safe for concurrent
// use.
type Meter struct {
	cfg     Config
	samples []sample
}

// NewMeter returns a meter without samples.
func NewMeter(cfg Config) *Meter { return &Meter{cfg: cfg} }

// Add records the number of events since the last call and the time spent on them,
// summed over runs.
func (m *Meter) Add(now time.Time, events int, busy time.Duration) {
	old := 0
	for old < len(m.samples) && now.Sub(m.samples[old].at) > m.cfg.Window {
		old++
	}
	m.samples = append(m.samples[old:], sample{now, events, busy})
}

// MeanInterval returns the mean time between two events of a run, and false if there
// are too few events or the samples cover too little of the window.
func (m *Meter) MeanInterval(now time.Time) (time.Duration, bool) {
	const minCoverage = 0.75 // of the window
	events, busy := 0, time.Duration(0)
	for _, s := range m.samples {
		events += s.events
		busy += s.busy
	}
	if events < m.cfg.MinEvents || len(m.samples) == 0 {
		return 0, false
	}
	if now.Sub(m.samples[0].at) < time.Duration(minCoverage*float64(m.cfg.Window)) {
		return 0, false
	}
	return busy / time.Duration(events), true
}

// Reset discards the samples.
func (m *Meter) Reset() { m.samples = nil }

// IsSlow reports whether an interval is much longer than those of the peers.
func (c Config) IsSlow(interval time.Duration, peers []time.Duration) bool {
	if len(peers) < max(1, c.MinPeers) {
		return false
	}
	sorted := slices.Sorted(slices.Values(peers))
	return float64(interval) > c.Factor*float64(sorted[len(sorted)/2])
}
