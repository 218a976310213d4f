package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"dotterelmount.example/api"
	"dotterelmount.example/cmd/dotterelmount/internal/adminclient"
	"dotterelmount.example/lib/settings"
)

// Exit statuses.
const (
	exitOK          = 0
	exitUsage       = 1
	exitRefused     = 2
	exitUnavailable = 3
	exitUnknown     = 4
	exitTimeout     = 5
)

const exitHelp = "Exit status: 0 success; 1 usage error; 2 refused with a typed error; 3 no daemon reached, or the change " +
	"certainly not accepted; 4 unknown whether the change was accepted; 5 timeout."

// UsageError reports an invalid command line.
type UsageError struct{ Detail string }

// Error implements error.
func (e *UsageError) Error() string { return e.Detail }

// TimeoutError reports a wait that timed out.
type TimeoutError struct {
	AwaitedState string   // description of the awaited state
	Missing      []string // what is missing or unknown
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out waiting for %s; missing or unknown: %s", e.AwaitedState, strings.Join(e.Missing, ", "))
}

// exitCode returns the exit status of an error. Untyped errors are those of the
// command-line library and count as usage errors.
func exitCode(err error) int {
	var (
		refused     *adminclient.RefusedError
		unreachable *adminclient.UnreachableError
		unknown     *adminclient.UnknownError
		timeout     *TimeoutError
		setting     *settings.Error
		typed       *api.Error
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &timeout):
		return exitTimeout
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &refused):
		return exitOfRefusal(refused)
	case errors.As(err, &unreachable):
		return exitOfUnreachable(unreachable)
	case errors.As(err, &typed) && typed.Code == api.CodeLogUnavailable:
		return exitUnavailable
	case errors.As(err, &setting), errors.As(err, &typed):
		return exitRefused
	default:
		return exitUsage
	}
}

func exitOfRefusal(e *adminclient.RefusedError) int {
	switch {
	case e.Outcome == api.OutcomeUnknown, e.Code == api.CodeUnknownResult:
		return exitUnknown
	case e.Code == api.CodeLogUnavailable, e.Code == api.CodeNotReady:
		return exitUnavailable
	default:
		return exitRefused
	}
}

func exitOfUnreachable(e *adminclient.UnreachableError) int {
	if errors.Is(e.Cause, context.DeadlineExceeded) {
		return exitTimeout
	}
	return exitUnavailable
}
