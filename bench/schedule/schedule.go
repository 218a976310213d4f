// Package schedule holds what the schedules of faults of all soaks have in common.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Span bounds how long a fault lasts; zero for one of a moment.
type Span struct{ Least, Most time.Duration }

// Draw returns a time within the span.
func (s Span) Draw(rng *rand.Rand) time.Duration {
	return s.Least + time.Duration(rng.Int64N(int64(s.Most-s.Least)+1))
}

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration // since the start of the load
	Kind   Kind
	Target int // picks among what the kind can hit, modulo their number
	Lasts  time.Duration
}

// String describes the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3fs %-20s target %10d lasts %.3fs", f.At.Seconds(), f.Kind, f.Target, f.Lasts.Seconds())
}
