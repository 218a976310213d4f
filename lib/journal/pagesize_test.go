package journal

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPageSizeFollowsTheRate(t *testing.T) {
	p := NewPageSize(64, 1024, time.Second)
	assert.Equal(t, p.Bytes(), 64)
	for range 10 {
		p.Succeeded(p.Bytes(), time.Millisecond)
	}
	assert.Equal(t, p.Bytes(), 1024)
	p.Failed()
	assert.Equal(t, p.Bytes(), 512)
	p.Succeeded(512, 2*time.Second)
	assert.Equal(t, p.Bytes(), 256)
	p.Succeeded(1, time.Second)
	assert.Equal(t, p.Bytes(), 64)
	p.Failed()
	assert.Equal(t, p.Bytes(), 64)
}

// reader is a simulated daemon that reads a history.
type reader struct {
	size      *PageSize
	left      int // bytes of the history not read yet
	requested int // of the read in progress
	received  int
	started   time.Duration
}

// readHistory plays readers that start at once and share a store's bandwidth equally,
// in steps of 10 ms. It returns the time until all have read the history, at most limit.
func readHistory(readers, history, bandwidth int, newSize func() *PageSize, limit time.Duration) time.Duration {
	const step, timeout = 10 * time.Millisecond, 1600 * time.Millisecond
	all := make([]*reader, readers)
	for i := range all {
		all[i] = &reader{size: newSize(), left: history}
	}
	for now := time.Duration(0); now < limit; now += step {
		active := 0
		for _, r := range all {
			if r.left > 0 {
				active++
			}
		}
		if active == 0 {
			return now
		}
		share := int(float64(bandwidth) * step.Seconds() / float64(active))
		for _, r := range all {
			if r.left <= 0 {
				continue
			}
			if r.requested == 0 {
				r.requested, r.received, r.started = min(r.left, r.size.Bytes()), 0, now
			}
			switch r.received += share; {
			case r.received >= r.requested:
				r.left -= r.requested
				r.requested = 0
				r.size.Succeeded(r.received, now-r.started+step)
			case now-r.started >= timeout:
				r.requested = 0
				r.size.Failed()
			}
		}
	}
	return limit
}

// Plays the start of 295 daemons after the loss of all: each reads a history of 3 MB
// from a store that sends 80 MB a second. Within 15 s all must have read it; with pages
// of a fixed size of 1 MB none ever does.
func TestAllDaemonsReadTheHistoryAtOnce(t *testing.T) {
	const readers, history, bandwidth, limit = 295, 3 << 20, 80 << 20, 15 * time.Second
	fixed := readHistory(readers, history, bandwidth, func() *PageSize { return NewPageSize(1<<20, 1<<20, time.Second) }, limit)
	assert.Equal(t, fixed, limit)
	adapted := readHistory(readers, history, bandwidth, func() *PageSize { return NewPageSize(128<<10, 1<<20, 800*time.Millisecond) }, limit)
	assert.Assert(t, adapted < limit, "%v", adapted)
}
