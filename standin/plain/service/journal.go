// Package service is a plain service whose calls may not all be repeated. It
// journals every execution, so that tests can count how often a call ran.
package service

import "sync"

// Execution is one run of a call.
type Execution struct {
	Sequence   uint64 `json:"sequence"` // from 1, in the order in which the runs began
	RequestID  string `json:"request_id"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Slip       uint64 `json:"slip,omitempty"` // number of the lending slip that this run issued
}

// Journal keeps every execution.
type Journal struct {
	mu         sync.Mutex
	executions []Execution
	counts     map[[2]string]int // by request id and body
	slips      uint64
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{counts: make(map[[2]string]int)} }

// Record records the start of a run and returns it with how often the same
// request and body ran, this run included.
func (j *Journal) Record(requestID, path, bodySHA256 string, issueSlip bool) (Execution, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := Execution{
		Sequence:   uint64(len(j.executions)) + 1,
		RequestID:  requestID,
		Path:       path,
		BodySHA256: bodySHA256,
	}
	if issueSlip {
		j.slips++
		e.Slip = j.slips
	}
	key := [2]string{requestID, bodySHA256}
	j.counts[key]++
	j.executions = append(j.executions, e)
	return e, j.counts[key]
}

// Executions returns a copy of the executions, oldest first.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution{}, j.executions...)
}
