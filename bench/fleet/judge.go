package fleet

import "strings"

// FailedError lists what was not right.
type FailedError struct{ Points []string }

// Error implements error.
func (e *FailedError) Error() string { return "not right: " + strings.Join(e.Points, ", ") }

// Judge collects what a run did not get right.
type Judge struct{ failed []string }

// Check notes the named point unless ok.
func (j *Judge) Check(ok bool, point string) {
	if !ok {
		j.failed = append(j.failed, point)
	}
}

// Err returns a *FailedError with the points that were not right, if any.
func (j *Judge) Err() error {
	if len(j.failed) > 0 {
		return &FailedError{Points: j.failed}
	}
	return nil
}
