package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"dotterelmount.example/bench/fleet"
	"dotterelmount.example/bench/supervise"
)

// Result is the last line of the soak's output.
type Result struct {
	Seed              uint64         `json:"seed"`
	Seconds           float64        `json:"seconds"` // duration of the load
	Faults            map[kind]int   `json:"faults"`
	FaultsMissing     []kind         `json:"faults_missing,omitempty"`
	Requests          map[string]int `json:"requests"` // by path and status; 0: no complete response
	Steps             int            `json:"steps"`
	StepsStuck        int            `json:"steps_stuck"` // not completed in time
	Results           int            `json:"results"`
	ResultsWrong      int            `json:"results_wrong"`        // wrong text, versions or state
	ResultsChanged    int            `json:"results_changed"`      // results that changed position, and jobs that were lost
	JobsDenied        int            `json:"jobs_denied"`          // accepted jobs that a daemon reported as unknown
	WrongResponses    int            `json:"answers_wrong"`        // responses to another request, and partial ones
	RepeatedOnce      int            `json:"repeated_once"`        // at-most-once requests that ran more than once
	FalseNotRun       int            `json:"false_not_run"`        // reported as not run, but executed
	Denied            int            `json:"denied"`               // valid requests rejected with a status that tells the caller not to retry
	NewWorkAfterDrain int            `json:"new_work_after_drain"` // requests that a draining server got later than maxDrainDelay
	EvaluatedDrains   int            `json:"drains_judged"`        // drains longer than maxDrainDelay
	CutByStop         int            `json:"cut_by_stop"`          // requests that failed at a graceful stop
	InProgressAtStops int            `json:"in_progress_at_stops"` // requests, over all graceful stops of the calm phase
	KillerRetries     int            `json:"killer_retries"`       // maximum per killer request, after its third crash was known
	EvaluatedKillers  int            `json:"killers_judged"`       // killer requests that crashed three servers
	LimitsExceeded    int            `json:"limits_exceeded"`      // servers that got more requests than the limit that they named allows
	LimitedRequests   int            `json:"limited_requests"`     // most requests within limitWindow at a server that named a limit
	CutOffRequests    int            `json:"cut_off_requests"`     // requests at daemons cut off from all servers in the calm phase
	CutOffFailed      int            `json:"cut_off_failed"`       // of these, not served
	NotContinued      int            `json:"not_continued"`        // streams of the calm phase that were resumed and not completed
	Resumptions       map[int]int    `json:"resumptions"`          // attempts to resume a stream, by status; 0: no complete response
	TwoHolders        int            `json:"two_holders"`          // fencing tokens that two daemons used at the same server
	ConfigReverts     int            `json:"config_reverts"`       // probes that missed a version found earlier in the same process
	ConfigLate        int            `json:"config_late"`          // probes that missed a version later than maxApplyDelay after its publication
	Probes            int            `json:"probes"`               // conclusive ones
	WrongTenant       int            `json:"wrong_tenant"`         // runs for another tenant than the one that has the key, or with the key
	RevokedServed     int            `json:"revoked_served"`       // requests served although their key was taken away more than maxApplyDelay before
	RevokedKeys       int            `json:"revoked_keys"`         // requests refused for such a key
	ForeignReads      int            `json:"foreign_reads"`        // jobs shown to another tenant
	UsageWindows      int            `json:"usage_windows"`        // windows of usage that were reported
	UsageMissing      int            `json:"usage_missing"`        // windows between the first and the last that were not
	DutyViolations    int            `json:"duty_violations"`      // calls to the platform's API that break its rules
	DutyHolders       int            `json:"duty_holders"`         // fences under which usage was reported
	UnexpectedExits   int            `json:"unexpected_exits"`     // including those caused by a violated invariant
	Recovered         bool           `json:"recovered"`            // every daemon served each kind of request after the faults

	fleet.ErrorLog
	probes  atomic.Int64
	revoked atomic.Int64
	keys    bool // callers need keys
}

func newResult(seed uint64) *Result {
	return &Result{Seed: seed, Faults: make(map[kind]int), Requests: make(map[string]int)}
}

// addStuckStep counts a step that was not completed in time.
func (r *Result) addStuckStep(s *step) {
	r.Countf(&r.StepsStuck, "%s was not completed: accepted at %s, %d of %d results", s.job.ID, s.acceptedAt.Format("15:04:05.000"), len(s.results), len(s.job.Items))
}

// addFailedRead counts a failed read if the daemon reported a job as unknown
// that was accepted more than propagationTime ago.
func (r *Result) addFailedRead(s *step, daemon, status int) {
	if status == http.StatusNotFound && !s.acceptedAt.IsZero() && time.Since(s.acceptedAt) > propagationTime {
		r.Countf(&r.JobsDenied, "%s does not know %s, accepted at %s", daemonName(daemon), s.job.ID, s.acceptedAt.Format("15:04:05.000"))
	}
}

// evaluateExits counts exits of daemons that no fault caused.
func (r *Result) evaluateExits(exits []supervise.Exit) {
	for _, x := range exits {
		if !x.Expected {
			r.Countf(&r.UnexpectedExits, "%s exited with status %d", x.Name, x.Code)
		}
	}
}

// maxKillerRetries is the number of attempts that the platform's rules allow
// after a request's third crash.
const maxKillerRetries = 3

// check returns an error that lists the failed checks, if any.
func (r *Result) check() error {
	var c fleet.Checks
	c.Check(len(r.FaultsMissing) == 0, "faults_missing")
	c.Check(r.Steps > 0 && r.Results > 0, "results")
	c.Check(r.StepsStuck == 0, "steps_stuck")
	c.Check(r.ResultsWrong == 0, "results_wrong")
	c.Check(r.ResultsChanged == 0, "results_changed")
	c.Check(r.JobsDenied == 0, "jobs_denied")
	c.Check(r.WrongResponses == 0, "answers_wrong")
	c.Check(r.RepeatedOnce == 0, "repeated_once")
	c.Check(r.FalseNotRun == 0, "false_not_run")
	c.Check(r.Denied == 0, "denied")
	c.Check(r.NewWorkAfterDrain == 0, "new_work_after_drain")
	c.Check(r.EvaluatedDrains > 0, "drains_judged")
	c.Check(r.CutByStop == 0, "cut_by_stop")
	c.Check(r.InProgressAtStops > 0, "in_progress_at_stops")
	c.Check(r.KillerRetries <= maxKillerRetries, "killer_retries")
	c.Check(r.EvaluatedKillers > 0, "killers_judged")
	c.Check(r.CutOffRequests > 0, "cut_off_requests")
	c.Check(r.CutOffFailed <= maxCutFailed+r.CutOffRequests/cutFailedOnes, "cut_off_failed")
	c.Check(r.NotContinued == 0, "not_continued")
	c.Check(r.Resumptions[http.StatusOK] > 0, "resumptions")
	c.Check(r.LimitsExceeded == 0, "limits_exceeded")
	c.Check(r.LimitedRequests > 0, "limited_requests")
	c.Check(r.TwoHolders == 0, "two_holders")
	c.Check(r.ConfigReverts == 0, "config_reverts")
	c.Check(r.ConfigLate == 0, "config_late")
	c.Check(r.Probes > 0, "probes")
	c.Check(r.WrongTenant == 0, "wrong_tenant")
	c.Check(r.RevokedServed == 0, "revoked_served")
	c.Check(r.RevokedKeys > 0 || !r.keys, "revoked_keys")
	c.Check(r.ForeignReads == 0, "foreign_reads")
	c.Check(r.UsageWindows > 0 || !r.keys, "usage_windows")
	c.Check(r.UsageMissing == 0, "usage_missing")
	c.Check(r.DutyViolations == 0, "duty_violations")
	c.Check(r.UnexpectedExits == 0, "unexpected_exits")
	c.Check(r.Recovered, "recovered")
	c.Check(len(r.Errors) == 0, "errors")
	return c.Err()
}
