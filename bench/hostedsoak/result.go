package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/supervise"
)

// Result is the soak's last line.
type Result struct {
	Seed              uint64         `json:"seed"`
	Seconds           float64        `json:"seconds"` // of load
	Faults            map[kind]int   `json:"faults"`
	FaultsMissing     []kind         `json:"faults_missing,omitempty"`
	Requests          map[string]int `json:"requests"` // by path and status; 0: no whole answer
	Steps             int            `json:"steps"`
	StepsStuck        int            `json:"steps_stuck"`
	Results           int            `json:"results"`
	ResultsWrong      int            `json:"results_wrong"`   // text, versions or state
	ResultsChanged    int            `json:"results_changed"` // positions that moved, or jobs that were lost
	JobsDenied        int            `json:"jobs_denied"`     // accepted and then unknown to a daemon
	WrongResponses    int            `json:"answers_wrong"`   // foreign or partial
	RepeatedOnce      int            `json:"repeated_once"`   // requests that may run once and ran more often
	FalseNotRun       int            `json:"false_not_run"`   // promised not to run, and ran
	Denied            int            `json:"denied"`          // proper requests refused for good
	NewWorkAfterDrain int            `json:"new_work_after_drain"`
	EvaluatedDrains   int            `json:"drains_judged"`
	CutByStop         int            `json:"cut_by_stop"`
	InProgressAtStops int            `json:"in_progress_at_stops"`
	KillerRetries     int            `json:"killer_retries"` // the most of one request, after its third crash was known
	EvaluatedKillers  int            `json:"killers_judged"` // killers that crashed three servers
	TwoHolders        int            `json:"two_holders"`    // fencing tokens used by two daemons at one server
	ConfigReverts     int            `json:"config_reverts"`
	ConfigLate        int            `json:"config_late"`
	Probes            int            `json:"probes"`
	UnexpectedExits   int            `json:"unexpected_exits"` // also of a broken invariant
	Recovered         bool           `json:"recovered"`        // in the end every daemon serves each kind of request

	fleet.ErrorLog
	probes atomic.Int64
}

func newResult(seed uint64) *Result {
	return &Result{Seed: seed, Faults: make(map[kind]int), Requests: make(map[string]int)}
}

// addStuckStep notes a step that did not end in time.
func (r *Result) addStuckStep(s *step) {
	r.Countf(&r.StepsStuck, "%s did not end: accepted %s, %d results of %d", s.job.ID, s.acceptedAt.Format("15:04:05.000"), len(s.results), len(s.job.Items))
}

// addFailedRead notes a read that got no results; a daemon may not deny a job that
// was accepted some time ago.
func (r *Result) addFailedRead(s *step, daemon, status int) {
	if status == http.StatusNotFound && !s.acceptedAt.IsZero() && time.Since(s.acceptedAt) > propagationTime {
		r.Countf(&r.JobsDenied, "%s does not know %s, accepted at %s", daemonName(daemon), s.job.ID, s.acceptedAt.Format("15:04:05.000"))
	}
}

// evaluateExits counts ends of daemons that no fault brought about.
func (r *Result) evaluateExits(exits []supervise.Exit) {
	for _, x := range exits {
		if !x.Expected {
			r.Countf(&r.UnexpectedExits, "%s ended with status %d", x.Name, x.Code)
		}
	}
}

const maxKillerRetries = 3 // attempts after the third crash that the platform's rules allow

func (r *Result) check() error {
	var j fleet.Checks
	j.Check(len(r.FaultsMissing) == 0, "faults_missing")
	j.Check(r.Steps > 0 && r.Results > 0, "results")
	j.Check(r.StepsStuck == 0, "steps_stuck")
	j.Check(r.ResultsWrong == 0, "results_wrong")
	j.Check(r.ResultsChanged == 0, "results_changed")
	j.Check(r.JobsDenied == 0, "jobs_denied")
	j.Check(r.WrongResponses == 0, "answers_wrong")
	j.Check(r.RepeatedOnce == 0, "repeated_once")
	j.Check(r.FalseNotRun == 0, "false_not_run")
	j.Check(r.Denied == 0, "denied")
	j.Check(r.NewWorkAfterDrain == 0, "new_work_after_drain")
	j.Check(r.EvaluatedDrains > 0, "drains_judged")
	j.Check(r.CutByStop == 0, "cut_by_stop")
	j.Check(r.InProgressAtStops > 0, "in_progress_at_stops")
	j.Check(r.KillerRetries <= maxKillerRetries, "killer_retries")
	j.Check(r.EvaluatedKillers > 0, "killers_judged")
	j.Check(r.TwoHolders == 0, "two_holders")
	j.Check(r.ConfigReverts == 0, "config_reverts")
	j.Check(r.ConfigLate == 0, "config_late")
	j.Check(r.Probes > 0, "probes")
	j.Check(r.UnexpectedExits == 0, "unexpected_exits")
	j.Check(r.Recovered, "recovered")
	j.Check(len(r.Errors) == 0, "errors")
	return j.Err()
}
