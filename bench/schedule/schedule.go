// Package schedule has the types of fault schedules that all soaks share.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind names a kind of fault.
type Kind string

// DurationRange bounds the duration of a fault, both ends inclusive. It is zero for
// instantaneous faults.
type DurationRange struct{ Min, Max time.Duration }

// Draw returns a random duration within the range.
func (r DurationRange) Draw(rng *rand.Rand) time.Duration {
	return r.Min + time.Duration(rng.Int64N(int64(r.Max-r.Min)+1))
}

// Fault is one entry of a schedule.
type Fault struct {
	Start    time.Duration // since the start of the load
	Kind     Kind
	Target   int // selects one of the kind's possible targets, modulo their number
	Duration time.Duration
}

// String describes the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3fs %-20s target %10d lasts %.3fs", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
}
