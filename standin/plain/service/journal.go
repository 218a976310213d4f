// Package service is a stand-in for a plain service, some of whose calls must not
// be repeated. It records every execution, so that tests can count how often a
// call ran.
package service

import "sync"

// Execution is one execution of a call.
type Execution struct {
	Sequence   uint64 `json:"sequence"` // from 1, in the order in which executions started
	RequestID  string `json:"request_id"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Slip       uint64 `json:"slip,omitempty"` // number of the lending slip issued by this execution
}

// Journal records all executions in memory. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	executions []Execution
	counts     map[[2]string]int // executions by request id and body hash
	slips      uint64            // number of the last lending slip issued
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{counts: make(map[[2]string]int)} }

// Record records the start of an execution. It returns the execution and how often
// the same request id and body were executed, including this time.
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

// Executions returns a copy of all executions, oldest first.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution{}, j.executions...)
}
