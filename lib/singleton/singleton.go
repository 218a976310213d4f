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
	// From is when the holder could make its first call: calls of earlier holders are not
	// executed any more. End is when it must have stopped. Both are by the clock of this
	// host that also counts the time in which it is suspended.
	From, End time.Duration
}

// Covers reports whether calls may be made under the term at a time.
func (t Term) Covers(now time.Duration) bool { return t.From <= now && now < t.End }

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
