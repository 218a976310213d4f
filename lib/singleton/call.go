package singleton

import (
	"fmt"

	"dotterelmount.example/api"
)

// UpstreamOrder orders the number of upstreams of one kind that a service has in a data
// centre.
type UpstreamOrder struct {
	Service     string
	DataCentre  api.DataCentre
	Reclaimable bool // whether the order is for upstreams that the platform may reclaim
	Count       int
}

// Outcome is what became of a call to the platform that failed.
type Outcome int

// Outcomes of calls.
const (
	// OutcomeUnknown: there was no response; the call may be executed later.
	OutcomeUnknown Outcome = iota
	// OutcomeUnreachable: there was no connection; the call will not be executed.
	OutcomeUnreachable
	// OutcomeFenced: the platform has seen a higher fencing token of the duty.
	OutcomeFenced
	// OutcomeUnavailable: no such upstreams are available at the moment.
	OutcomeUnavailable
	// OutcomeBusy: the platform receives too many calls.
	OutcomeBusy
	// OutcomeRefused: the platform refused the call for another reason.
	OutcomeRefused
	// OutcomeEnded: the call was not made, because its term has ended.
	OutcomeEnded
)

// String returns the outcome for log lines.
func (o Outcome) String() string {
	switch o {
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeFenced:
		return "fenced"
	case OutcomeUnavailable:
		return "unavailable"
	case OutcomeBusy:
		return "busy"
	case OutcomeRefused:
		return "refused"
	case OutcomeEnded:
		return "ended"
	default:
		return "unknown"
	}
}

// CallError is the failure of a call to the platform. Unless its outcome is
// OutcomeUnknown, the call was not executed and never will be.
type CallError struct {
	Op      string
	Outcome Outcome
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s: %v: %v", e.Op, e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// NoResponse reports whether the platform's API sent no response.
func (e *CallError) NoResponse() bool {
	return e.Outcome == OutcomeUnknown || e.Outcome == OutcomeUnreachable
}
