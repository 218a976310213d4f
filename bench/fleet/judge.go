package fleet

import "strings"

// FailedChecksError lists what was not right.
type FailedChecksError struct{ Checks []string }

// Error implements error.
func (e *FailedChecksError) Error() string { return "not right: " + strings.Join(e.Checks, ", ") }

// Checks collects what a run did not get right.
type Checks struct{ failedChecks []string }

// Check notes the named point unless ok.
func (j *Checks) Check(ok bool, point string) {
	if !ok {
		j.failedChecks = append(j.failedChecks, point)
	}
}

// Err returns a *FailedError with the points that were not right, if any.
func (j *Checks) Err() error {
	if len(j.failedChecks) > 0 {
		return &FailedChecksError{Checks: j.failedChecks}
	}
	return nil
}
