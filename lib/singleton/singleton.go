// Package singleton decides which daemon carries out a duty of which there must be only
// one holder at a time. It does no I/O and reads no clock.
package singleton

import "time"

// Duty names a duty.
type Duty string

// Term is the tenure of a duty's holder. Each has a fencing token that is higher than those
// of all earlier terms of the duty.
type Term struct {
	Duty  Duty
	Fence uint64
	// End is when the holder must have stopped, by the clock of this host that also counts
	// the time in which it is suspended.
	End time.Duration
}

// Terms knows the terms of this daemon. It is safe for concurrent use.
type Terms interface {
	// Current returns the term of a duty if this daemon holds it.
	Current(d Duty) (Term, bool)
	// Fenced gives up a term, because the platform has seen a higher fencing token.
	Fenced(t Term)
	// Unreachable reports that a call under a term failed, because the platform's API could not
	// be reached. The duty is handed on after several such calls in a row.
	Unreachable(t Term)
}
