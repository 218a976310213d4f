package api

// Outcome tells a caller whether its request was executed.
type Outcome uint8

// Outcomes. OutcomeNotRun is used only if no part of the request that could
// have started it may have reached an upstream.
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

// String returns the outcome's name in headers and records.
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

// Lane is a class of work with its own queue and scheduling weight.
type Lane uint8

// Lanes: members' short work, calls that may run at most once, and trainers'
// rollouts. Rollouts are shed first under overload.
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
