package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var cfg = Config{Window: 2 * time.Second, MinEvents: 10, Factor: 1.8, MinPeers: 2}

// feed gives a meter looks each 250 ms at runs with a gap between events.
func feed(m *Meter, from time.Time, length, gap time.Duration, runs int) time.Time {
	const look = 250 * time.Millisecond
	for at := time.Duration(0); at < length; at += look {
		from = from.Add(look)
		busy := look * time.Duration(runs)
		m.Add(from, int(busy/gap), busy)
	}
	return from
}

func TestGapIsThatOfTheLastWindow(t *testing.T) {
	m := NewMeter(cfg)
	now := feed(m, time.Unix(0, 0), time.Second, 40*time.Millisecond, 3)
	_, ok := m.MeanInterval(now)
	assert.Assert(t, !ok, "less than a window")
	now = feed(m, now, 2*time.Second, 40*time.Millisecond, 3)
	gap, ok := m.MeanInterval(now)
	assert.Assert(t, ok && gap > 38*time.Millisecond && gap < 44*time.Millisecond, "%v", gap)
	now = feed(m, now, 2500*time.Millisecond, 120*time.Millisecond, 3)
	gap, _ = m.MeanInterval(now)
	assert.Assert(t, gap > 110*time.Millisecond, "%v", gap)
	m.Reset()
	_, ok = m.MeanInterval(now)
	assert.Assert(t, !ok)
}

// One slow phase of 600 ms, which any upstream has, does not make it slow; a
// lasting one does within two seconds.
func TestShortSlowPhasesDoNotCount(t *testing.T) {
	const usual = 40 * time.Millisecond
	peers := []time.Duration{usual, usual, usual}
	m := NewMeter(cfg)
	now := feed(m, time.Unix(0, 0), 2*time.Second, usual, 6)
	now = feed(m, now, 600*time.Millisecond, 5*usual/2, 6)
	gap, _ := m.MeanInterval(now)
	assert.Assert(t, !cfg.IsSlow(gap, peers), "%v", gap)
	now = feed(m, now, 1400*time.Millisecond, 29*usual/10, 6)
	gap, _ = m.MeanInterval(now)
	assert.Assert(t, cfg.IsSlow(gap, peers), "%v", gap)
}

func TestNobodyIsSlowWithoutPeers(t *testing.T) {
	assert.Assert(t, !cfg.IsSlow(time.Second, []time.Duration{time.Millisecond}))
	assert.Assert(t, cfg.IsSlow(time.Second, []time.Duration{time.Millisecond, time.Millisecond}))
}
