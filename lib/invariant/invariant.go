// Package invariant asserts what must always hold inside a process. A broken
// invariant is counted in expvar under "invariant_violations" and reported; it
// is fatal when the process was started with fatal checks.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Violation is a broken invariant.
type Violation struct {
	Name   string
	Detail string
}

// Error implements error.
func (v *Violation) Error() string { return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail) }

var (
	violations = expvar.NewMap("invariant_violations")
	handler    atomic.Pointer[func(*Violation)]
)

// OnViolation sets what happens after a violation was counted, for the whole
// process. Under test it panics or exits.
func OnViolation(f func(*Violation)) { handler.Store(&f) }

// Check counts and reports a violation of the named invariant unless ok.
// It returns ok.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.Add(name, 1)
	if f := handler.Load(); f != nil {
		(*f)(&Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}
