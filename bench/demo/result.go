package main

import (
	"fmt"
	"os"
	"sync"

	"dotterelmount.example/bench/fleet"
)

// Result is the last line of the demo's output. A check whose data is missing counts as
// failed.
type Result struct {
	MemberRequests         int      `json:"members_asked"`
	MemberRequestsComplete int      `json:"members_whole"`
	OnceCalls              int      `json:"once_asked"`
	OnceComplete           int      `json:"once_complete"`
	OnceRepeated           int      `json:"once_repeated"` // calls that ran more than once
	SamplesDue             int      `json:"samples_due"`
	SamplesDelivered       int      `json:"samples_delivered"`
	SamplesDuplicated      int      `json:"samples_duplicated"`
	StaleDelivered         int      `json:"stale_delivered"`
	InvariantViolations    int64    `json:"invariant_violations"`
	Drained                bool     `json:"drained"`
	WeightsSwapped         bool     `json:"weights_swapped"`
	StoppedCleanly         bool     `json:"stopped_cleanly"`
	Seconds                float64  `json:"seconds"`
	Errors                 []string `json:"errors,omitempty"`

	mu sync.Mutex
}

// maxErrors is the number of errors in the result; further ones go to stderr only.
const maxErrors = 5

func (r *Result) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(os.Stderr, "demo:", err)
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, err.Error())
	}
}

// countMember counts a member's request.
func (r *Result) countMember(err error) {
	r.mu.Lock()
	r.MemberRequests++
	if err == nil {
		r.MemberRequestsComplete++
	}
	r.mu.Unlock()
	if err != nil {
		r.addError(fmt.Errorf("member: %w", err))
	}
}

// countOnce counts a once-only call.
func (r *Result) countOnce(err error) {
	r.mu.Lock()
	r.OnceCalls++
	if err == nil {
		r.OnceComplete++
	}
	r.mu.Unlock()
	if err != nil {
		r.addError(fmt.Errorf("once-only call: %w", err))
	}
}

func (r *Result) check() error {
	var checks fleet.Checks
	checks.Check(r.MemberRequests > 0 && r.MemberRequestsComplete == r.MemberRequests, "members_whole")
	checks.Check(r.OnceCalls > 0 && r.OnceComplete == r.OnceCalls, "once_complete")
	checks.Check(r.OnceRepeated == 0, "once_repeated")
	checks.Check(r.SamplesDue > 0 && r.SamplesDelivered == r.SamplesDue, "samples_delivered")
	checks.Check(r.SamplesDuplicated == 0, "samples_duplicated")
	checks.Check(r.StaleDelivered == 0, "stale_delivered")
	checks.Check(r.InvariantViolations == 0, "invariant_violations")
	checks.Check(r.Drained, "drained")
	checks.Check(r.WeightsSwapped, "weights_swapped")
	checks.Check(r.StoppedCleanly, "stopped_cleanly")
	checks.Check(len(r.Errors) == 0, "errors")
	return checks.Err()
}
