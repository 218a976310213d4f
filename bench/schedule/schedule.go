// Package schedule holds what the schedules of faults of all soaks have in common.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// DurationRange bounds how long a fault lasts; zero for one of a moment.
type DurationRange struct{ Min, Max time.Duration }

// Draw returns a time within the span.
func (s DurationRange) Draw(rng *rand.Rand) time.Duration {
	return s.Min + time.Duration(rng.Int64N(int64(s.Max-s.Min)+1))
}

// Fault is one entry of a schedule.
type Fault struct {
	Start    time.Duration // since the start of the load
	Kind     Kind
	Target   int // picks among what the kind can hit, modulo their number
	Duration time.Duration
}

// String describes the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3fs %-20s target %10d lasts %.3fs", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
}
