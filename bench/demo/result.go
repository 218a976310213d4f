package main

import (
	"fmt"
	"os"
	"sync"

	"dotterelmount.example/bench/fleet"
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

func (r *Result) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(os.Stderr, "demo:", err)
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, err.Error())
	}
}

// countMember counts one member's request.
func (r *Result) countMember(err error) {
	r.mu.Lock()
	r.MembersAsked++
	if err == nil {
		r.MembersWhole++
	}
	r.mu.Unlock()
	if err != nil {
		r.addError(fmt.Errorf("member: %w", err))
	}
}

// countOnce counts one call that must not be repeated.
func (r *Result) countOnce(err error) {
	r.mu.Lock()
	r.OnceAsked++
	if err == nil {
		r.OnceComplete++
	}
	r.mu.Unlock()
	if err != nil {
		r.addError(fmt.Errorf("once-only call: %w", err))
	}
}

func (r *Result) check() error {
	var j fleet.Checks
	j.Check(r.MembersAsked > 0 && r.MembersWhole == r.MembersAsked, "members_whole")
	j.Check(r.OnceAsked > 0 && r.OnceComplete == r.OnceAsked, "once_complete")
	j.Check(r.OnceRepeated == 0, "once_repeated")
	j.Check(r.SamplesDue > 0 && r.SamplesDelivered == r.SamplesDue, "samples_delivered")
	j.Check(r.SamplesDuplicated == 0, "samples_duplicated")
	j.Check(r.StaleDelivered == 0, "stale_delivered")
	j.Check(r.InvariantViolations == 0, "invariant_violations")
	j.Check(r.Drained, "drained")
	j.Check(r.WeightsSwapped, "weights_swapped")
	j.Check(r.StoppedCleanly, "stopped_cleanly")
	j.Check(len(r.Errors) == 0, "errors")
	return j.Err()
}
