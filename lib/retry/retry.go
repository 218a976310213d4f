// Package retry decides whether a failed attempt is made again and, if not,
// what the caller may conclude. It is pure: the clock is an argument.
package retry

import (
	"time"

	"dotterelmount.example/api"
)

// MaxAttempts bounds the attempts of one request whatever the budget allows,
// so that a request which fails everywhere ends before its deadline.
const MaxAttempts = 8

// Failure describes a request whose latest attempt failed.
type Failure struct {
	Code api.Code // of the latest attempt
	// Sent is true when a byte of this or an earlier attempt may have reached
	// an upstream.
	Sent bool
	// Responded is true when the upstream itself answered the latest attempt
	// with an error; false when the answer is missing or was cut.
	Responded  bool
	Repeatable bool
	Deadline   time.Time // zero: none
	Attempts   int       // made so far
}

// Decision is Retry, or the outcome with which the request is given up.
type Decision struct {
	Retry   bool
	Outcome api.Outcome // set if and only if Retry is false
}

// Decide decides about a failed request. A retry also needs a Budget's leave;
// a caller that doesn't get it uses GiveUp.
func Decide(f Failure, now time.Time) Decision {
	if mayRetry(f, now) {
		return Decision{Retry: true}
	}
	return Decision{Outcome: FinalOutcome(f)}
}

// FinalOutcome returns the outcome of a request that is not tried again. It is
// NotRun only when no attempt was sent.
func FinalOutcome(f Failure) api.Outcome {
	switch {
	case !f.Sent:
		return api.OutcomeNotRun
	case f.Responded:
		return api.OutcomeFailed
	default:
		return api.OutcomeUnknown
	}
}

func mayRetry(f Failure, now time.Time) bool {
	if f.Sent && !f.Repeatable {
		return false
	}
	if !f.Deadline.IsZero() && !now.Before(f.Deadline) {
		return false
	}
	return f.Attempts < MaxAttempts && transient(f.Code)
}

// transient reports whether another attempt, elsewhere, may fare better.
func transient(c api.Code) bool {
	switch c {
	case api.CodeUpstreamFailed, api.CodeUpstreamSilent, api.CodeTruncated, api.CodeNoUpstream, api.CodeShed,
		api.CodeNotReady:
		return true
	default:
		return false
	}
}
