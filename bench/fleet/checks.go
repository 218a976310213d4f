package fleet

import "strings"

// FailedChecksError lists the names of failed checks.
type FailedChecksError struct{ Checks []string }

// Error implements error.
func (e *FailedChecksError) Error() string { return "failed checks: " + strings.Join(e.Checks, ", ") }

// Checks collects the names of failed checks.
type Checks struct{ failedChecks []string }

// Check records the named check as failed unless ok.
func (c *Checks) Check(ok bool, name string) {
	if !ok {
		c.failedChecks = append(c.failedChecks, name)
	}
}

// Err returns a *FailedChecksError if any check failed.
func (c *Checks) Err() error {
	if len(c.failedChecks) > 0 {
		return &FailedChecksError{Checks: c.failedChecks}
	}
	return nil
}
