package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Counts are numbers of requests by customer.
type Counts map[string]int64

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}

// Total returns the number of requests of all customers.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += n
	}
	return total
}

// WindowOf returns the number of the window of a length that contains a time. Windows are
// counted from the start of 1970.
func WindowOf(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// EndOf returns the end of a window.
func EndOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Flushing configures when a daemon stores what it has counted. Each daemon stores the counts of
// one window with several records that add up, so that those of a daemon that fails are missing
// only from its last interval.
type Flushing struct {
	Window time.Duration
	// Interval is the least time between two records while requests are counted. It is longer
	// if all daemons together would store more than PerSecond records a second.
	Interval  time.Duration
	PerSecond float64
	// Spread is the delay of this daemon's record after the end of a window, by which the
	// daemons' records are spread.
	Spread time.Duration
}

// Counter counts requests until they are stored. It is not safe for concurrent use.
type Counter struct {
	cfg       Flushing
	pending   map[int64]Counts // by window
	flushedAt time.Duration
	interval  time.Duration
}

// NewCounter returns an empty Counter.
func NewCounter(cfg Flushing) *Counter {
	return &Counter{cfg: cfg, pending: make(map[int64]Counts), interval: cfg.Interval}
}

// SetDaemons sets the number of daemons that count.
func (c *Counter) SetDaemons(n int) {
	c.interval = max(c.cfg.Interval, time.Duration(float64(n)/c.cfg.PerSecond*float64(time.Second)))
}

// Add counts a request that began at a time.
func (c *Counter) Add(customer string, at time.Time) {
	w := WindowOf(at, c.cfg.Window)
	if c.pending[w] == nil {
		c.pending[w] = make(Counts)
	}
	c.pending[w][customer]++
}

// Empty reports whether everything is taken.
func (c *Counter) Empty() bool { return len(c.pending) == 0 }

// Due reports whether the counts are to be stored at now, when the true time is t.
func (c *Counter) Due(now time.Duration, t time.Time) bool {
	if c.Empty() {
		return false
	}
	oldest := slices.Min(slices.Collect(maps.Keys(c.pending)))
	ended := !t.Before(EndOf(oldest, c.cfg.Window).Add(c.cfg.Spread))
	return ended || now-c.flushedAt >= c.interval
}

// Spread returns the delay of a daemon's record after the end of a window, of at most most.
func Spread(daemon string, most time.Duration) time.Duration {
	const parts = 1 << 16
	return most / parts * time.Duration(xxhash.Sum64String(daemon)%parts)
}

// Take returns the counts by window, which are then no longer in the Counter.
func (c *Counter) Take(now time.Duration) map[int64]Counts {
	out := c.pending
	c.pending, c.flushedAt = make(map[int64]Counts), now
	return out
}
