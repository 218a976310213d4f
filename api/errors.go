package api

import (
	"errors"
	"fmt"
)

// Code classifies a failure. Front ends map codes to statuses.
type Code string

// The codes of all failures that leave a module.
const (
	CodeInvalid          Code = "invalid"           // malformed input
	CodeTooLarge         Code = "too-large"         // body over the limit
	CodeTruncated        Code = "truncated"         // body or answer cut short
	CodeUnknownCustomer  Code = "unknown-customer"  // customer not in the plan list
	CodeUnknownPlan      Code = "unknown-plan"      // plan not in the usage list
	CodeUnknownModel     Code = "unknown-model"     // model not allowed for the plan
	CodeUnknownUpstream  Code = "unknown-upstream"  // upstream not in the usage list
	CodeUnknownTrainer   Code = "unknown-trainer"   // trainer never submitted a step
	CodeUnknownStep      Code = "unknown-step"      // trainer never opened such a step
	CodeConflict         Code = "conflict"          // base revision is not the one in force
	CodeStillInUse       Code = "still-in-use"      // list removes an upstream that is not draining
	CodeStaleVersion     Code = "stale-version"     // weight version not above the one in force
	CodeDuplicateKey     Code = "duplicate-key"     // key of a once-only request already claimed
	CodeSuperseded       Code = "superseded"        // a later pull of the same trainer exists
	CodeDeadlineExceeded Code = "deadline-exceeded" // the request's deadline is past
	CodeCancelled        Code = "cancelled"         // the caller went away
	CodeShed             Code = "shed"              // overload
	CodeQuotaExceeded    Code = "quota-exceeded"    // limit of the usage list
	CodeQuarantined      Code = "quarantined"       // the request crashes upstreams
	CodeNoUpstream       Code = "no-upstream"       // nothing eligible can take the request
	CodeUpstreamFailed   Code = "upstream-failed"   // the upstream answered with a failure
	CodeUpstreamSilent   Code = "upstream-silent"   // no progress within the progress deadline
	CodeLogUnavailable   Code = "log-unavailable"   // the platform's log did not take the record
	CodeUnknownResult    Code = "unknown-result"    // the record may or may not be in the log
	CodeNotReady         Code = "not-ready"         // starting, cut off or shutting down
	CodeInternal         Code = "internal"          // a defect
)

// Error is the typed failure that all modules return. Two errors are equal
// under errors.Is when their codes are, so a bare &Error{Code: c} is a sentinel.
type Error struct {
	Code   Code
	Detail string
	Cause  error
}

// Error returns code and detail (which includes the cause) in one line.
func (e *Error) Error() string {
	s := string(e.Code)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error of the same code.
func (e *Error) Is(target error) bool {
	var t *Error
	if !errors.As(target, &t) {
		return false
	}
	return t.Code == e.Code
}

// Errorf returns an *Error of code c; a %w operand becomes its cause.
func Errorf(c Code, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: c, Detail: err.Error(), Cause: errors.Unwrap(err)}
}

// CodeOf returns the code of err, or CodeInternal when err carries none.
// A nil error has no code: it returns "".
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
