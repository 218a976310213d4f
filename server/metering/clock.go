package metering

import (
	"expvar"
	"sync"
	"time"

	"dotterelmount.example/lib/usage"
	"go.uber.org/zap"
)

var clockJumps = expvar.NewInt("usage_clock_jumps")

// Clock knows the true time. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	boot func() time.Duration
	// maxAge is the age of the time in a holder's record up to which it can be compared.
	maxAge time.Duration
	log    *zap.Logger
	mu     sync.Mutex
	clock  usage.Clock
}

// NewClock returns a Clock that starts from the host's time of day. The holder of the duty stores
// its time at least every maxAge.
func NewClock(now func() time.Time, boot func() time.Duration, maxAge time.Duration, log *zap.Logger) *Clock {
	c := &Clock{now: now, boot: boot, maxAge: maxAge, log: log}
	c.Time()
	return c
}

// Time returns the true time.
func (c *Clock) Time() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot, wall := c.boot(), c.now()
	before := c.clock.Jumped()
	if right := c.clock.Observe(boot, wall); right == before {
		t, _ := c.clock.Time(boot)
		c.log.Warn("the time of day has jumped", zap.Bool("back", right), zap.Duration("by", wall.Sub(t)))
		clockJumps.Add(1)
	}
	return c.clock.Time(boot)
}

// Compare takes another daemon's time, which was stored between after and before.
func (c *Clock) Compare(stamp time.Time, after, before time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, _ := c.clock.Time(before)
	if !c.clock.Compare(stamp, after, before) {
		t, _ := c.clock.Time(before)
		c.log.Warn("the time of the holder of the duty is used instead of that of this host", zap.Duration("change", t.Sub(old)))
	}
}

// Plausible reports whether another daemon's time agrees with this clock.
func (c *Clock) Plausible(stamp time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Plausible(stamp, c.boot(), c.maxAge)
}
