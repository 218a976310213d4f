package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
)

// Result is the demo's last line. Everything it could not see counts as failed.
type Result struct {
	MembersAsked        int      `json:"members_asked"`
	MembersWhole        int      `json:"members_whole"`
	OnceAsked           int      `json:"once_asked"`
	OnceComplete        int      `json:"once_complete"`
	OnceRepeated        int      `json:"once_repeated"` // calls that ran more than once
	SamplesDue          int      `json:"samples_due"`
	SamplesDelivered    int      `json:"samples_delivered"`
	SamplesDuplicated   int      `json:"samples_duplicated"`
	StaleDelivered      int      `json:"stale_delivered"`
	InvariantViolations int64    `json:"invariant_violations"`
	Drained             bool     `json:"drained"`
	WeightsSwapped      bool     `json:"weights_swapped"`
	StoppedCleanly      bool     `json:"stopped_cleanly"`
	Seconds             float64  `json:"seconds"`
	Errors              []string `json:"errors,omitempty"`

	mu sync.Mutex
}

// maxErrors bounds the errors on the last line; the rest go to stderr only.
const maxErrors = 5

func (r *Result) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(os.Stderr, "demo:", err)
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, err.Error())
	}
}

// member counts one member's request.
func (r *Result) member(err error) {
	r.mu.Lock()
	r.MembersAsked++
	if err == nil {
		r.MembersWhole++
	}
	r.mu.Unlock()
	if err != nil {
		r.fail(fmt.Errorf("member: %w", err))
	}
}

// once counts one call that must not be repeated.
func (r *Result) once(err error) {
	r.mu.Lock()
	r.OnceAsked++
	if err == nil {
		r.OnceComplete++
	}
	r.mu.Unlock()
	if err != nil {
		r.fail(fmt.Errorf("once-only call: %w", err))
	}
}

// FailedError lists what was not right.
type FailedError struct{ Points []string }

// Error implements error.
func (e *FailedError) Error() string { return "not right: " + strings.Join(e.Points, ", ") }

func (r *Result) check() error {
	var points []string
	for _, c := range []struct {
		ok   bool
		name string
	}{
		{r.MembersAsked > 0 && r.MembersWhole == r.MembersAsked, "members_whole"},
		{r.OnceAsked > 0 && r.OnceComplete == r.OnceAsked, "once_complete"},
		{r.OnceRepeated == 0, "once_repeated"},
		{r.SamplesDue > 0 && r.SamplesDelivered == r.SamplesDue, "samples_delivered"},
		{r.SamplesDuplicated == 0, "samples_duplicated"},
		{r.StaleDelivered == 0, "stale_delivered"},
		{r.InvariantViolations == 0, "invariant_violations"},
		{r.Drained, "drained"},
		{r.WeightsSwapped, "weights_swapped"},
		{r.StoppedCleanly, "stopped_cleanly"},
		{len(r.Errors) == 0, "errors"},
	} {
		if !c.ok {
			points = append(points, c.name)
		}
	}
	if len(points) > 0 {
		return &FailedError{Points: points}
	}
	return nil
}
