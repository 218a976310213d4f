package main

import (
	"dotterelmount.example/bench/fleet"

	"dotterelmount.example/api"
	"dotterelmount.example/bench/supervise"
)

// Result is the last line of the soak's output.
type Result struct {
	Seed                     uint64         `json:"seed"`
	Seconds                  float64        `json:"seconds"` // of load
	Faults                   map[kind]int   `json:"faults"`
	FaultsMissing            []kind         `json:"faults_missing,omitempty"`
	NotCovered               []string       `json:"not_covered,omitempty"` // cases that this soak can't test
	Requests                 map[string]int `json:"requests"`              // by outcome
	SamplesDue               int            `json:"samples_due"`
	SamplesDelivered         int            `json:"samples_delivered"`
	SamplesDuplicated        int            `json:"samples_duplicated"`
	SamplesDropped           int            `json:"samples_dropped"` // dropped for their age and generated again
	StaleDelivered           int            `json:"stale_delivered"`
	WrongVersions            int            `json:"wrong_versions"`
	RepeatedNonIdempotent    int            `json:"repeated_nonidempotent"`
	FalseNotRun              int            `json:"false_not_run"`
	CutByDrain               int            `json:"cut_by_drain"`
	CutByStop                int            `json:"cut_by_stop"`
	InProgressAtDrains       int            `json:"in_progress_at_drains"` // requests that no other fault may have interrupted
	InProgressAtStops        int            `json:"in_progress_at_stops"`
	Drains                   int            `json:"drains"`
	NewWorkAfterDrain        int            `json:"new_work_after_drain"`
	RacesBothAccepted        int            `json:"races_both_accepted"`
	VersionReverts           int            `json:"version_reverts"`
	VersionPolls             int            `json:"version_polls"`
	WrongResponses           int            `json:"answers_foreign_or_partial"`
	CompleteWithoutExecution int            `json:"complete_without_execution"`
	InvariantViolations      int64          `json:"invariant_violations"`
	DaemonPanics             int            `json:"daemon_panics"`
	UnexpectedExits          int            `json:"unexpected_exits"` // of daemons, without violations and panics
	Recovered                bool           `json:"recovered"`        // at the end every daemon serves each kind of request
	StoppedCleanly           bool           `json:"stopped_cleanly"`
	CutResumed               int            `json:"cut_resumed"`       // complete responses to requests whose connection an engine had cut
	TruncatedResumed         int            `json:"truncated_resumed"` // complete responses to requests whose stream an engine had truncated
	KillerCrashes            int            `json:"killer_crashes"`    // the highest number for one killer request
	KillersNotRefused        int            `json:"killers_unrefused"`
	OthersQuarantined        int            `json:"innocent_condemned"`
	Unfinished               string         `json:"unfinished,omitempty"` // part that was current when the time was up
	fleet.ErrorLog
}

// noResponse is the outcome reported for requests without one.
const noResponse = "no-answer"

// evaluateRequests compares the responses that callers got with the journals.
func (r *Result) evaluateRequests(requests []requestRecord, index *journalIndex) {
	r.Requests = make(map[string]int)
	for _, req := range requests {
		outcome := noResponse
		if req.Outcome != 0 {
			outcome = req.Outcome.String()
		}
		r.Requests[outcome]++
		r.evaluateRequest(req, index)
	}
	for body, n := range index.plainExecutions {
		if n > 1 {
			r.RepeatedNonIdempotent++
			r.Errorf("once-only call with body hash %s ran %d times", body, n)
		}
	}
}

func (r *Result) evaluateRequest(req requestRecord, index *journalIndex) {
	ran := index.executions[req.RequestID] > 0
	switch {
	case req.Foreign != "":
		r.WrongResponses++
		r.Errorf("request %s at daemon %d: %s", req.RequestID, req.Daemon+1, req.Foreign)
	case req.Outcome == api.OutcomeNotRun && req.RequestID != "" && ran:
		r.FalseNotRun++
		r.Errorf("request %s at daemon %d has outcome not-run but ran: %s", req.RequestID, req.Daemon+1, req.Error)
	case req.Outcome != api.OutcomeComplete:
	case req.Plain && index.plainExecutions[req.Body] == 0, !req.Plain && !ran:
		r.CompleteWithoutExecution++
		r.Errorf("request %s at daemon %d is complete but never ran", req.RequestID, req.Daemon+1)
	case !req.Plain && index.wrongVersions(req.RequestID, req.Versions, req.Tokens):
		r.WrongVersions++
		r.Errorf("request %s at daemon %d reports versions %v, the journals have %v", req.RequestID, req.Daemon+1, req.Versions, index.tokenRuns[req.RequestID])
	}
}

// evaluateDrains counts the requests that arrived at drained upstreams too late.
func (r *Result) evaluateDrains(drains []drainPeriod, index *journalIndex) {
	r.Drains = len(drains)
	for _, d := range drains {
		for _, id := range index.lateArrivals(d) {
			r.NewWorkAfterDrain++
			r.Errorf("%s got request %s too late after its drain at %s", d.Upstream, id, d.Accepted.Format("15:04:05.000"))
		}
	}
}

// Exit statuses of a daemon.
const (
	statusInvariant = 70
	statusPanic     = 2
)

// evaluateExits counts invariant violations, panics and other unexpected exits by the
// exit statuses of the processes named in daemons.
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
	var checks fleet.Checks
	checks.Check(len(r.FaultsMissing) == 0, "faults_missing")
	checks.Check(r.Requests[api.OutcomeComplete.String()] > 0, "requests")
	checks.Check(r.SamplesDue > 0 && r.SamplesDelivered == r.SamplesDue, "samples_delivered")
	checks.Check(r.SamplesDropped > 0, "samples_dropped")
	checks.Check(r.CutResumed > 0, "cut_resumed")
	checks.Check(r.TruncatedResumed > 0, "truncated_resumed")
	checks.Check(r.KillerCrashes > 0 && r.KillerCrashes <= maxKillerCrashes, "killer_crashes")
	checks.Check(r.KillersNotRefused == 0, "killers_unrefused")
	checks.Check(r.OthersQuarantined == 0, "innocent_condemned")
	checks.Check(r.Unfinished == "", "unfinished")
	checks.Check(r.SamplesDuplicated == 0, "samples_duplicated")
	checks.Check(r.StaleDelivered == 0, "stale_delivered")
	checks.Check(r.WrongVersions == 0, "wrong_versions")
	checks.Check(r.RepeatedNonIdempotent == 0, "repeated_nonidempotent")
	checks.Check(r.FalseNotRun == 0, "false_not_run")
	checks.Check(r.CutByDrain == 0, "cut_by_drain")
	checks.Check(r.CutByStop == 0, "cut_by_stop")
	checks.Check(r.Drains > 0, "drains")
	checks.Check(r.InProgressAtDrains > 0, "in_progress_at_drains")
	checks.Check(r.InProgressAtStops > 0, "in_progress_at_stops")
	checks.Check(r.NewWorkAfterDrain == 0, "new_work_after_drain")
	checks.Check(r.RacesBothAccepted == 0, "races_both_accepted")
	checks.Check(r.VersionReverts == 0, "version_reverts")
	checks.Check(r.VersionPolls > 0, "version_polls")
	checks.Check(r.WrongResponses == 0, "answers_foreign_or_partial")
	checks.Check(r.CompleteWithoutExecution == 0, "complete_without_execution")
	checks.Check(r.InvariantViolations == 0, "invariant_violations")
	checks.Check(r.DaemonPanics == 0, "daemon_panics")
	checks.Check(r.UnexpectedExits == 0, "unexpected_exits")
	checks.Check(r.Recovered, "recovered")
	checks.Check(r.StoppedCleanly, "stopped_cleanly")
	checks.Check(len(r.Errors) == 0, "errors")
	return checks.Err()
}
