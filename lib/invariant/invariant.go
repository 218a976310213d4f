// Package invariant checks invariants of a process. Violations are counted by name
// in the expvar map "invariant_violations" and reported to a handler.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Violation describes a violated invariant.
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

// OnViolation sets the process-wide handler that is called after a violation was
// counted. A test's handler panics; a daemon's handler logs the violation, and exits
// if the setting fatal_invariants is true.
func OnViolation(f func(*Violation)) { handler.Store(&f) }

// Check counts and reports a violation of the named invariant unless ok. It returns
// ok.
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
