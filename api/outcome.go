package api

// Outcome is what a caller may conclude about its request.
type Outcome uint8

// The outcomes. NotRun is only used when no byte that could have started the
// request may have reached an upstream.
const (
	OutcomeComplete Outcome = iota + 1
	OutcomeFailed
	OutcomeUnknown
	OutcomeNotRun
)

var outcomeNames = map[Outcome]string{
	OutcomeComplete: "complete",
	OutcomeFailed:   "failed",
	OutcomeUnknown:  "unknown",
	OutcomeNotRun:   "not-run",
}

// String returns the outcome as callers see it in headers and records.
func (o Outcome) String() string {
	if s, ok := outcomeNames[o]; ok {
		return s
	}
	return "invalid"
}

// ParseOutcome is the inverse of String. Errors: CodeInvalid.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if name == s {
			return o, nil
		}
	}
	return 0, Errorf(CodeInvalid, "outcome %q", s)
}

// Lane is a class of work; each lane has its own queue and its own weight.
type Lane uint8

// The lanes: members' short work, calls that may run at most once, and
// trainers' rollouts. Overload sheds rollouts first.
const (
	LaneInteractive Lane = iota
	LaneOnce
	LaneRollout
	LaneCount
)

// String returns the lane's name in settings, metrics and logs.
func (l Lane) String() string {
	switch l {
	case LaneInteractive:
		return "interactive"
	case LaneOnce:
		return "once"
	case LaneRollout:
		return "rollout"
	default:
		return "invalid"
	}
}
