// Package batch is the deterministic state of batch jobs and of the upstreams
// that run them: who holds which upstream, which item runs where, what has
// been generated and in which order results were listed. Every daemon applies
// the same records in the order of the log and comes to the same state. There
// is no clock, socket or random number in it.
package batch

import (
	"fmt"

	"dotterelmount.example/api"
)

// Offset is a record's place in the log. It serves as the fencing token of
// the lease that the record takes.
type Offset uint64

// JobID names a batch job.
type JobID string

// ItemID names an item; an item that is submitted again keeps its name.
type ItemID string

// HeaderField is one header line of an item's request.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Item is one request of a job.
type Item struct {
	ID         ItemID        `msgpack:"i"`
	Path       string        `msgpack:"p"`
	Headers    []HeaderField `msgpack:"h"`
	Body       ChunkRef      `msgpack:"b"` // of the request to the upstream
	MaxTokens  int           `msgpack:"t"` // of its prompt and, at most, its output
	Group      string        `msgpack:"g"` // items of a group share their prompt
	OutputHint int           `msgpack:"e"` // tokens of output that its submitter expects; 0: unknown
}

// Job is a batch job as submitted.
type Job struct {
	ID         JobID             `msgpack:"id"`
	Host       string            `msgpack:"host"`
	Service    string            `msgpack:"svc"`
	Model      api.ModelName     `msgpack:"model"`
	MinVersion api.WeightVersion `msgpack:"min"`
	// SingleVersion asks that one version makes the whole text of an item.
	SingleVersion   bool   `msgpack:"single"`
	MaxAttempts     int    `msgpack:"att"`  // failures after which an item is given up
	TimeoutMillis   int64  `msgpack:"keep"` // how long items are tried
	SubmittedMillis int64  `msgpack:"at"`   // submission, in Unix milliseconds
	TargetMillis    int64  `msgpack:"due"`  // how long after it results are due; 0: no target
	Items           []Item `msgpack:"items"`
}

// State of an item in the results.
type ItemState uint8

// The states of an item.
const (
	ItemOpen ItemState = iota
	ItemCompleted
	ItemErrored
)

// Record changes the state.
type Record interface{ record() }

// JobAccepted adds a job; a job that is known already is not changed.
type JobAccepted struct {
	Job Job `msgpack:"job"`
}

// JobEnded stops a job: what is not listed is no longer run.
type JobEnded struct {
	ID JobID `msgpack:"id"`
}

// ChunkRef names data that is kept apart from the journal, so that only
// those read it who need it.
type ChunkRef struct {
	Partition   int    `msgpack:"p"` // partition of the chunks
	FirstOffset uint64 `msgpack:"f"` // offset of its first record
	Records     int    `msgpack:"n"` // records that it was split into; 0: there is none
	Bytes       int    `msgpack:"b"`
}

// TextAdded continues an item's text by whole events.
type TextAdded struct {
	Job        JobID               `msgpack:"job"`
	Item       ItemID              `msgpack:"item"`
	RunID      string              `msgpack:"run"`   // unique to one request to an upstream
	RunStart   int                 `msgpack:"start"` // events before that run, where it was asked to go on
	FirstEvent int                 `msgpack:"from"`  // events before these
	EventCount int                 `msgpack:"n"`     // how many these are
	Chunk      ChunkRef            `msgpack:"chunk"` // their data, separated by line feeds
	Versions   []api.WeightVersion `msgpack:"ver"`   // that made these events
	Done       bool                `msgpack:"done"`  // the text is whole
}

// ItemFailed reports an upstream's failure to run an item.
type ItemFailed struct {
	Job    JobID  `msgpack:"job"`
	Item   ItemID `msgpack:"item"`
	Status int    `msgpack:"st"`
	Final  bool   `msgpack:"fin"` // it can never be done
}

// ItemExpired gives an item up whose time is over or whose route is gone.
type ItemExpired struct {
	Job  JobID  `msgpack:"job"`
	Item ItemID `msgpack:"item"`
}

// ItemMoved takes an item off the upstream that it was placed on.
type ItemMoved struct {
	Job          JobID          `msgpack:"job"`
	Item         ItemID         `msgpack:"item"`
	FromUpstream api.UpstreamID `msgpack:"from"`
}

// DaemonAlive renews all leases of a daemon.
type DaemonAlive struct {
	Daemon api.DaemonID `msgpack:"d"`
	// StartMillis is a start of the daemon, in Unix milliseconds.
	StartMillis int64 `msgpack:"s"`
	// ConfigVersion is the version of the configuration that the daemon has in force.
	ConfigVersion uint64 `msgpack:"c"`
}

// DaemonLeft gives up all leases of a daemon.
type DaemonLeft struct {
	Daemon api.DaemonID `msgpack:"d"`
}

// LeaseAcquired makes a daemon the holder of an upstream. It has no effect
// unless the lease's last taking is Previous.
type LeaseAcquired struct {
	Upstream      api.UpstreamID                      `msgpack:"u"`
	Service       string                              `msgpack:"svc"`
	Daemon        api.DaemonID                        `msgpack:"d"`
	PreviousLease Offset                              `msgpack:"prev"` // 0: never taken
	Slots         int                                 `msgpack:"slots"`
	Models        []api.ModelName                     `msgpack:"models"` // of the service
	Versions      map[api.ModelName]api.WeightVersion `msgpack:"ver"`
}

// UpstreamRemoved forgets an upstream. It has no effect unless Daemon holds it.
type UpstreamRemoved struct {
	Upstream api.UpstreamID `msgpack:"u"`
	Daemon   api.DaemonID   `msgpack:"d"`
}

// Condition of an upstream, as its holder sees it.
type Condition uint8

// The conditions of an upstream.
const (
	ConditionReady    Condition = iota
	ConditionLoading            // takes new weights and runs nothing new
	ConditionDraining           // is about to leave
	ConditionSuspect            // silent or failing
	ConditionSlow               // far slower than its peers
)

// String returns the condition as logged.
func (c Condition) String() string {
	return [...]string{"ready", "loading", "draining", "suspect", "slow"}[c]
}

// UpstreamChanged reports an upstream's condition and weights. It has no
// effect unless Daemon holds it.
type UpstreamChanged struct {
	Upstream  api.UpstreamID                      `msgpack:"u"`
	Daemon    api.DaemonID                        `msgpack:"d"`
	Condition Condition                           `msgpack:"c"`
	Versions  map[api.ModelName]api.WeightVersion `msgpack:"ver"`
}

// EventIntervalMeasured reports the mean time between two events of a run at an
// upstream. It has no effect unless Daemon holds the upstream.
type EventIntervalMeasured struct {
	Upstream api.UpstreamID `msgpack:"u"`
	Daemon   api.DaemonID   `msgpack:"d"`
	Micros   int64          `msgpack:"us"`
}

// RequestCrashed reports how many upstreams a process lost while a request ran
// on them. Requests are the same when their content is; one that was answered
// after all has lost none. It changes nothing in a State.
type RequestCrashed struct {
	ContentHash   uint64 `msgpack:"c"` // hash of the request's content
	UpstreamsLost int    `msgpack:"n"` // 0: the request was answered
	Process       string `msgpack:"p"`
}

func (*JobAccepted) record()           {}
func (*RequestCrashed) record()        {}
func (*EventIntervalMeasured) record() {}
func (*JobEnded) record()              {}
func (*TextAdded) record()             {}
func (*ItemFailed) record()            {}
func (*ItemExpired) record()           {}
func (*ItemMoved) record()             {}
func (*DaemonAlive) record()           {}
func (*DaemonLeft) record()            {}
func (*LeaseAcquired) record()         {}
func (*UpstreamRemoved) record()       {}
func (*UpstreamChanged) record()       {}

// UnknownJobError reports a job that was never accepted.
type UnknownJobError struct{ ID JobID }

// Error implements error.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("no job %q", e.ID) }

// UnknownItemError reports an item that its job doesn't have.
type UnknownItemError struct {
	Job  JobID
	Item ItemID
}

// Error implements error.
func (e *UnknownItemError) Error() string { return fmt.Sprintf("job %q has no item %q", e.Job, e.Item) }
