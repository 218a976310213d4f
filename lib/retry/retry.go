// Package retry decides whether a failed request is retried and, if not, which
// outcome is reported. It does no I/O and takes the current time as an argument.
package retry

import (
	"time"

	"dotterelmount.example/api"
)

// MaxAttempts is the maximum number of attempts of a request regardless of the
// budget, so that a request that fails everywhere ends before its deadline.
const MaxAttempts = 8

// Failure describes a request whose last attempt failed.
type Failure struct {
	Code api.Code // of the last attempt
	// Sent is true if a byte of any attempt may have reached an upstream.
	Sent bool
	// Responded is true if the upstream itself returned an error to the last
	// attempt, and false if the response is missing or truncated.
	Responded  bool
	Repeatable bool
	Deadline   time.Time // zero: none
	Attempts   int       // made so far
}

// Decision is either Retry or the final outcome of the request.
type Decision struct {
	Retry   bool
	Outcome api.Outcome // set if and only if Retry is false
}

// Decide decides whether to retry a failed request. A retry must also be allowed
// by a Budget; if it is not, the caller uses FinalOutcome.
func Decide(f Failure, now time.Time) Decision {
	if mayRetry(f, now) {
		return Decision{Retry: true}
	}
	return Decision{Outcome: FinalOutcome(f)}
}

// FinalOutcome returns the outcome of a request that is not retried. It is
// OutcomeNotRun only if no attempt was sent.
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

// transient reports whether an attempt at another upstream may succeed.
func transient(c api.Code) bool {
	switch c {
	case api.CodeUpstreamFailed, api.CodeUpstreamSilent, api.CodeTruncated, api.CodeNoUpstream, api.CodeShed,
		api.CodeNotReady:
		return true
	default:
		return false
	}
}
