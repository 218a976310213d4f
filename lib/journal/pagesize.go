package journal

import "time"

// PageSize chooses the size of reads of a long history, so that each takes about a
// target time. When all daemons start at once, each reads the whole journal and gets a
// small part of the store's bandwidth: a large page takes longer than the time limit
// of a read and would be requested again and again.
type PageSize struct {
	min, max int // bytes
	target   time.Duration
	bytes    int
}

// NewPageSize returns a size between min and max bytes. It starts at min.
func NewPageSize(min, max int, target time.Duration) *PageSize {
	return &PageSize{min: min, max: max, target: target, bytes: min}
}

// Bytes returns the size of the next read.
func (p *PageSize) Bytes() int { return p.bytes }

// Failed halves the size after a read that failed.
func (p *PageSize) Failed() { p.bytes = max(p.min, p.bytes/2) }

// Succeeded sets the size by the rate of a read, to at most twice the size before.
func (p *PageSize) Succeeded(bytes int, took time.Duration) {
	next := 2 * p.bytes
	if took > 0 {
		next = min(next, int(float64(bytes)*p.target.Seconds()/took.Seconds()))
	}
	p.bytes = min(p.max, max(p.min, next))
}
