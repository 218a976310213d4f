// Package shutdown decides which requests a daemon takes while it stops. It does no I/O.
package shutdown

import "time"

// Plan is the plan of a stop that has begun. A nil Plan is that of a daemon that does not
// stop.
type Plan struct {
	// TakeAllUntil is the time until which callers may still be sent here, so that all
	// requests are taken.
	TakeAllUntil time.Time
	// End is the time at which requests in progress are ended with a failure response.
	End time.Time
}

// Takes reports whether a request is taken that was read at now and may last until deadline.
// Refused ones have not run: they would be cut off, while another daemon can serve them.
func (p *Plan) Takes(now, deadline time.Time) bool {
	return p == nil || now.Before(p.TakeAllUntil) || !deadline.After(p.End)
}
