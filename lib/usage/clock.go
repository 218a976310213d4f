// Package usage counts the requests of customers by windows of true time, and decides when the
// numbers of a window are fixed and reported, so that a window is never reported with two
// different numbers. It does no I/O and reads no clock.
package usage

import "time"

const (
	// maxDrift is how far the time of day may move against the clock that counts from the
	// start of the host between two observations: more is a jump. Clocks are slewed by less
	// than a thousandth.
	maxDrift = 10 * time.Millisecond
	// maxDisagreement is the difference of two daemons' clocks above which one of them has
	// jumped: the clocks of hosts are close to true time, and jump by seconds.
	maxDisagreement = 500 * time.Millisecond
)

// Clock estimates the true time on a host whose time of day may jump. It goes on from the first
// time of day by a clock that doesn't jump, and follows small changes only. A first time of day
// that other daemons disagree with is replaced by theirs. It is not safe for concurrent use.
type Clock struct {
	known  bool
	offset time.Duration // true time less the clock of the host, since 1970
	// rough is set while the offset is that of other daemons, between low and high.
	rough     bool
	low, high time.Duration
	jumped    bool
}

func unix(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Observe notes that the host's time of day was wall at now. It returns false if it has jumped
// since it was adopted.
func (c *Clock) Observe(now time.Duration, wall time.Time) bool {
	offset := unix(wall) - now
	switch {
	case !c.known:
		c.known, c.offset = true, offset
	case c.rough && offset >= c.low-maxDisagreement && offset <= c.high+maxDisagreement:
		c.rough, c.offset = false, offset
	case !c.rough && (offset-c.offset).Abs() <= maxDrift:
		c.offset = offset
	default:
		c.jumped = true
		return false
	}
	c.jumped = false
	return true
}

// Jumped reports whether the time of day is not the true time, by the last observation.
func (c *Clock) Jumped() bool { return c.jumped }

// Time returns the true time at now. It returns false before the first observation.
func (c *Clock) Time(now time.Duration) (time.Time, bool) {
	return time.Unix(0, int64(c.offset+now)), c.known
}

// Plausible reports whether another daemon's time, which it stored up to maxAge before now, agrees
// with this clock.
func (c *Clock) Plausible(stamp time.Time, now, maxAge time.Duration) bool {
	age := c.offset + now - unix(stamp)
	return c.known && age >= -maxDisagreement && age <= maxAge+maxDisagreement
}

// Compare notes that another daemon's time was stamp between after and before. It returns false
// if this clock disagreed and was replaced.
func (c *Clock) Compare(stamp time.Time, after, before time.Duration) bool {
	low, high := unix(stamp)-before, unix(stamp)-after
	if c.known && c.offset >= low-maxDisagreement && c.offset <= high+maxDisagreement {
		return true
	}
	c.known, c.rough, c.offset, c.low, c.high = true, true, (low+high)/2, low, high
	return false
}
