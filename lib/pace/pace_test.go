package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var cfg = Config{Window: 2 * time.Second, MinEvents: 10, Factor: 1.8, MinPeers: 2}

// addSamples adds a sample of runs with the given event interval every 250 ms.
func addSamples(m *Meter, from time.Time, length, interval time.Duration, runs int) time.Time {
	const step = 250 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		from = from.Add(step)
		busy := step * time.Duration(runs)
		m.Add(from, int(busy/interval), busy)
	}
	return from
}

func TestMeanIntervalCoversLastWindow(t *testing.T) {
	m := NewMeter(cfg)
	now := addSamples(m, time.Unix(0, 0), time.Second, 40*time.Millisecond, 3)
	_, ok := m.MeanInterval(now)
	assert.Assert(t, !ok, "shorter than the window")
	now = addSamples(m, now, 2*time.Second, 40*time.Millisecond, 3)
	interval, ok := m.MeanInterval(now)
	assert.Assert(t, ok && interval > 38*time.Millisecond && interval < 44*time.Millisecond, "%v", interval)
	now = addSamples(m, now, 2500*time.Millisecond, 120*time.Millisecond, 3)
	interval, _ = m.MeanInterval(now)
	assert.Assert(t, interval > 110*time.Millisecond, "%v", interval)
	m.Reset()
	_, ok = m.MeanInterval(now)
	assert.Assert(t, !ok)
}

// A single slow phase of 600 ms, which every upstream has, is ignored; a permanent
// slowdown is detected within two seconds.
func TestShortSlowPhaseIsIgnored(t *testing.T) {
	const usual = 40 * time.Millisecond
	peers := []time.Duration{usual, usual, usual}
	m := NewMeter(cfg)
	now := addSamples(m, time.Unix(0, 0), 2*time.Second, usual, 6)
	now = addSamples(m, now, 600*time.Millisecond, 5*usual/2, 6)
	interval, _ := m.MeanInterval(now)
	assert.Assert(t, !cfg.IsSlow(interval, peers), "%v", interval)
	now = addSamples(m, now, 1400*time.Millisecond, 29*usual/10, 6)
	interval, _ = m.MeanInterval(now)
	assert.Assert(t, cfg.IsSlow(interval, peers), "%v", interval)
}

func TestIsSlowNeedsMinPeers(t *testing.T) {
	assert.Assert(t, !cfg.IsSlow(time.Second, []time.Duration{time.Millisecond}))
	assert.Assert(t, cfg.IsSlow(time.Second, []time.Duration{time.Millisecond, time.Millisecond}))
}
