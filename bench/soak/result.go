package main

import (
	"dotterelmount.example/bench/fleet"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/supervise"
)

// Result is the soak's last line.
type Result struct {
	Seed                     uint64         `json:"seed"`
	Seconds                  float64        `json:"seconds"` // of load
	Faults                   map[kind]int   `json:"faults"`
	FaultsMissing            []kind         `json:"faults_missing,omitempty"`
	NotCovered               []string       `json:"not_covered,omitempty"` // what this build can't be tried for
	Requests                 map[string]int `json:"requests"`              // by outcome
	SamplesDue               int            `json:"samples_due"`
	SamplesDelivered         int            `json:"samples_delivered"`
	SamplesDuplicated        int            `json:"samples_duplicated"`
	SamplesDropped           int            `json:"samples_dropped"` // too old, and made again
	StaleDelivered           int            `json:"stale_delivered"`
	WrongVersions            int            `json:"wrong_versions"`
	RepeatedNonIdempotent    int            `json:"repeated_nonidempotent"`
	FalseNotRun              int            `json:"false_not_run"`
	CutByDrain               int            `json:"cut_by_drain"`
	CutByStop                int            `json:"cut_by_stop"`
	InProgressAtDrains       int            `json:"in_progress_at_drains"` // requests that no other fault touched
	InProgressAtStops        int            `json:"in_progress_at_stops"`
	Drains                   int            `json:"drains"`
	NewWorkAfterDrain        int            `json:"new_work_after_drain"`
	RacesBothAccepted        int            `json:"races_both_accepted"`
	VersionReverts           int            `json:"version_reverts"`
	VersionPolls             int            `json:"version_polls"`
	AnswersForeignOrPartial  int            `json:"answers_foreign_or_partial"`
	CompleteWithoutExecution int            `json:"complete_without_execution"`
	InvariantViolations      int64          `json:"invariant_violations"`
	DaemonPanics             int            `json:"daemon_panics"`
	UnexpectedExits          int            `json:"unexpected_exits"` // of daemons, not otherwise listed
	Recovered                bool           `json:"recovered"`        // in the end every daemon serves each kind of request
	StoppedCleanly           bool           `json:"stopped_cleanly"`
	CutResumed               int            `json:"cut_resumed"`       // complete answers that an engine had cut
	TruncatedResumed         int            `json:"truncated_resumed"` // the same, without the end of a connection
	KillerCrashes            int            `json:"killer_crashes"`    // the most of one killer request
	KillersUnrefused         int            `json:"killers_unrefused"`
	InnocentCondemned        int            `json:"innocent_condemned"`
	Unfinished               string         `json:"unfinished,omitempty"` // part that the time limit ended
	fleet.ErrorLog
}

// noResponse is the outcome of requests that got none.
const noResponse = "no-answer"

// evaluateRequests compares what callers were told with what the journals show.
func (r *Result) evaluateRequests(requests []requestRecord, e *journalIndex) {
	r.Requests = make(map[string]int)
	for _, a := range requests {
		outcome := noResponse
		if a.Outcome != 0 {
			outcome = a.Outcome.String()
		}
		r.Requests[outcome]++
		r.evaluateRequest(a, e)
	}
	for body, n := range e.plainExecutions {
		if n > 1 {
			r.RepeatedNonIdempotent++
			r.Errorf("the call with body %s ran %d times", body, n)
		}
	}
}

func (r *Result) evaluateRequest(a requestRecord, e *journalIndex) {
	ran := e.executions[a.RequestID] > 0
	switch {
	case a.Foreign != "":
		r.AnswersForeignOrPartial++
		r.Errorf("request %s at daemon %d: %s", a.RequestID, a.Daemon+1, a.Foreign)
	case a.Outcome == api.OutcomeNotRun && a.RequestID != "" && ran:
		r.FalseNotRun++
		r.Errorf("request %s at daemon %d was told not-run and ran: %s", a.RequestID, a.Daemon+1, a.Error)
	case a.Outcome != api.OutcomeComplete:
	case a.Plain && e.plainExecutions[a.Body] == 0, !a.Plain && !ran:
		r.CompleteWithoutExecution++
		r.Errorf("request %s at daemon %d is complete and never ran", a.RequestID, a.Daemon+1)
	case !a.Plain && e.wrongVersions(a.RequestID, a.Versions, a.Tokens):
		r.WrongVersions++
		r.Errorf("request %s at daemon %d names versions %v, the journals %v", a.RequestID, a.Daemon+1, a.Versions, e.tokenRuns[a.RequestID])
	}
}

func (r *Result) evaluateDrains(drains []drainPeriod, e *journalIndex) {
	r.Drains = len(drains)
	for _, d := range drains {
		for _, id := range e.lateArrivals(d) {
			r.NewWorkAfterDrain++
			r.Errorf("%s got request %s after its mark of %s", d.Upstream, id, d.Accepted.Format("15:04:05.000"))
		}
	}
}

// Exit statuses of a daemon.
const (
	statusInvariant = 70
	statusPanic     = 2
)

func (r *Result) evaluateExits(exits []supervise.Exit, daemons map[string]bool) {
	for _, x := range exits {
		switch {
		case !daemons[x.Name]:
			continue
		case x.Code == statusInvariant:
			r.InvariantViolations++
		case x.Code == statusPanic:
			r.DaemonPanics++
		case !x.Expected:
			r.UnexpectedExits++
		default:
			continue
		}
		r.Errorf("%s ended with status %d", x.Name, x.Code)
	}
}

func (r *Result) check() error {
	var j fleet.Checks
	j.Check(len(r.FaultsMissing) == 0, "faults_missing")
	j.Check(r.Requests[api.OutcomeComplete.String()] > 0, "requests")
	j.Check(r.SamplesDue > 0 && r.SamplesDelivered == r.SamplesDue, "samples_delivered")
	j.Check(r.SamplesDropped > 0, "samples_dropped")
	j.Check(r.CutResumed > 0, "cut_resumed")
	j.Check(r.TruncatedResumed > 0, "truncated_resumed")
	j.Check(r.KillerCrashes > 0 && r.KillerCrashes <= maxKillerCrashes, "killer_crashes")
	j.Check(r.KillersUnrefused == 0, "killers_unrefused")
	j.Check(r.InnocentCondemned == 0, "innocent_condemned")
	j.Check(r.Unfinished == "", "unfinished")
	j.Check(r.SamplesDuplicated == 0, "samples_duplicated")
	j.Check(r.StaleDelivered == 0, "stale_delivered")
	j.Check(r.WrongVersions == 0, "wrong_versions")
	j.Check(r.RepeatedNonIdempotent == 0, "repeated_nonidempotent")
	j.Check(r.FalseNotRun == 0, "false_not_run")
	j.Check(r.CutByDrain == 0, "cut_by_drain")
	j.Check(r.CutByStop == 0, "cut_by_stop")
	j.Check(r.Drains > 0, "drains")
	j.Check(r.InProgressAtDrains > 0, "in_progress_at_drains")
	j.Check(r.InProgressAtStops > 0, "in_progress_at_stops")
	j.Check(r.NewWorkAfterDrain == 0, "new_work_after_drain")
	j.Check(r.RacesBothAccepted == 0, "races_both_accepted")
	j.Check(r.VersionReverts == 0, "version_reverts")
	j.Check(r.VersionPolls > 0, "version_polls")
	j.Check(r.AnswersForeignOrPartial == 0, "answers_foreign_or_partial")
	j.Check(r.CompleteWithoutExecution == 0, "complete_without_execution")
	j.Check(r.InvariantViolations == 0, "invariant_violations")
	j.Check(r.DaemonPanics == 0, "daemon_panics")
	j.Check(r.UnexpectedExits == 0, "unexpected_exits")
	j.Check(r.Recovered, "recovered")
	j.Check(r.StoppedCleanly, "stopped_cleanly")
	j.Check(len(r.Errors) == 0, "errors")
	return j.Err()
}
