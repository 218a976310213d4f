package api

import (
	"errors"
	"fmt"
)

// Code classifies an error. Front ends map codes to HTTP statuses.
type Code string

// Error codes.
const (
	CodeInvalid          Code = "invalid"           // malformed input
	CodeTooLarge         Code = "too-large"         // body over the limit
	CodeTruncated        Code = "truncated"         // body or response was truncated
	CodeUnknownCustomer  Code = "unknown-customer"  // customer not in the plan list
	CodeUnknownPlan      Code = "unknown-plan"      // plan not in the usage list
	CodeUnknownModel     Code = "unknown-model"     // model not allowed for the plan
	CodeUnknownUpstream  Code = "unknown-upstream"  // upstream not in the usage list
	CodeUnknownTrainer   Code = "unknown-trainer"   // trainer has not submitted any step
	CodeUnknownStep      Code = "unknown-step"      // trainer has not opened this step
	CodeConflict         Code = "conflict"          // conflict with current state, such as an outdated base revision
	CodeStillInUse       Code = "still-in-use"      // list removes an upstream that is not marked draining
	CodeStaleVersion     Code = "stale-version"     // weight version is not above the current one
	CodeDuplicateKey     Code = "duplicate-key"     // key of a once-only request is already claimed
	CodeSuperseded       Code = "superseded"        // replaced by a later pull or a newer load order
	CodeDeadlineExceeded Code = "deadline-exceeded" // the request's deadline has passed
	CodeCancelled        Code = "cancelled"         // the caller disconnected
	CodeShed             Code = "shed"              // rejected because of overload
	CodeQuotaExceeded    Code = "quota-exceeded"    // limit of the usage list reached
	CodeQuarantined      Code = "quarantined"       // the request has crashed upstreams
	CodeNoUpstream       Code = "no-upstream"       // no eligible upstream can take the request
	CodeUpstreamFailed   Code = "upstream-failed"   // the upstream returned an error
	CodeUpstreamSilent   Code = "upstream-silent"   // no progress within the progress deadline
	CodeLogUnavailable   Code = "log-unavailable"   // the platform's log did not accept the record
	CodeUnknownResult    Code = "unknown-result"    // the record may or may not be in the log
	CodeNotReady         Code = "not-ready"         // starting, disconnected or shutting down
	CodeInternal         Code = "internal"          // a bug
)

// Error is the typed error returned by all modules. errors.Is compares errors by
// code, so that &Error{Code: c} serves as a sentinel.
type Error struct {
	Code   Code
	Detail string
	Cause  error
}

// Error returns the code and the detail, which includes the cause, on one line.
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

// CodeOf returns the code of err, CodeInternal if err has none, and "" if err
// is nil.
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
