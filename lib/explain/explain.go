// Package explain describes where a daemon would send a request or an item of a job now, and
// why. Nothing is sent. The package does no I/O.
package explain

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/opaque"
)

// Path is where a daemon serves a Report as JSON.
const Path = "/debug/explain"

// Outcome is what would happen next.
type Outcome string

// Outcomes.
const (
	Sent      Outcome = "sent"      // to an upstream
	Waits     Outcome = "waits"     // for a limit of an upstream
	Forwarded Outcome = "forwarded" // through another daemon
	Refused   Outcome = "refused"
	Placed    Outcome = "placed" // an item of a job, on an upstream
)

// Report is a daemon's explanation.
type Report struct {
	Daemon        string    `json:"daemon"`
	ConfigVersion uint64    `json:"config"` // 0: not loaded
	ConfigAsOf    time.Time `json:"config_as_of"`
	UpstreamsAsOf time.Time `json:"upstreams_as_of"`
	Route         string    `json:"route,omitempty"`
	Service       string    `json:"service,omitempty"`
	Customer      string    `json:"customer,omitempty"`
	Priority      int       `json:"priority"`
	Decision
	// Placement is that of the first item of a job; nil for a request.
	Placement *batch.Placement `json:"placement,omitempty"`
}

// Decision is the decision about the next attempt of a request.
type Decision struct {
	Outcome Outcome        `json:"outcome"`
	To      api.UpstreamID `json:"to,omitempty"`   // upstream
	Peer    api.DaemonID   `json:"peer,omitempty"` // daemon through which it is forwarded
	Reason  string         `json:"reason,omitempty"`
	// RetryAfterSeconds is what a refused caller is told, WaitSeconds the expected time until
	// the attempt begins.
	RetryAfterSeconds float64     `json:"retry_after_s,omitempty"`
	WaitSeconds       float64     `json:"wait_s,omitempty"`
	Links             string      `json:"links,omitempty"` // of the daemon to the upstreams
	Candidates        []Candidate `json:"candidates,omitempty"`
}

// Candidate is an upstream of a request's service with what decides about it.
type Candidate struct {
	ID              api.UpstreamID `json:"id"`
	DataCentre      api.DataCentre `json:"data_centre"`
	Local           bool           `json:"local"`
	InFlight        int            `json:"in_flight"` // of this daemon
	ExpectedSeconds float64        `json:"expected_s"`
	WaitSeconds     float64        `json:"wait_s"`
	Rank            int            `json:"rank"` // the lowest one is chosen
	State           string         `json:"state"`
}

// Candidates describes the candidates of a request.
func Candidates(c opaque.Chooser, candidates []opaque.Candidate) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, a := range candidates {
		out = append(out, Candidate{
			ID: a.Upstream.ID, DataCentre: a.Upstream.DataCentre, Local: a.Upstream.DataCentre == c.DataCentre, InFlight: a.InFlight,
			ExpectedSeconds: a.Expected.Seconds(), WaitSeconds: a.Wait.Seconds(), Rank: c.Rank(a), State: state(a),
		})
	}
	return out
}

func state(a opaque.Candidate) string {
	switch {
	case a.Upstream.Draining:
		return "draining"
	case a.TooLate:
		return "its limit allows the request too late"
	case a.BackingOff:
		return "backing off after failures"
	case a.Wait > 0:
		return "at its limit"
	case a.Slow:
		return "slow"
	default:
		return "ready"
	}
}
