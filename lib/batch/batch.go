// Package batch is the replicated state machine of batch jobs and of the
// upstreams that run them: which daemon holds the lease of an upstream, where
// each item runs, what text was generated and in which order results were
// listed. Daemons that apply the same records in journal order reach the same
// state. The package does no I/O and uses no clock or random numbers.
package batch

import (
	"fmt"

	"dotterelmount.example/api"
)

// Offset is the position of a record in the journal. The offset of a
// LeaseAcquired record is the fencing token of that lease.
type Offset uint64

// JobID identifies a batch job.
type JobID string

// ItemID identifies an item. A resubmitted item keeps its ID across jobs.
type ItemID string

// HeaderField is one HTTP header field of an item's request.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Item is one request of a job.
type Item struct {
	ID         ItemID        `msgpack:"i"`
	Path       string        `msgpack:"p"`
	Headers    []HeaderField `msgpack:"h" json:"Fields"`
	Body       ChunkRef      `msgpack:"b"`               // body of the upstream request
	MaxTokens  int           `msgpack:"t" json:"Tokens"` // prompt tokens plus the output limit
	Group      string        `msgpack:"g"`               // items of a group share a prompt
	OutputHint int           `msgpack:"e" json:"Hint"`   // expected output tokens; 0: unknown
	Scorer     *Scorer       `msgpack:"s,omitempty" json:",omitempty"`
}

// Scorer is the request whose response is the reward of an item's text. It is sent
// when the text is complete and may be repeated.
type Scorer struct {
	ID   string   `msgpack:"i"` // request ID
	Host string   `msgpack:"h"`
	Path string   `msgpack:"p"` // request URI
	Body ChunkRef `msgpack:"b"`
	// MaxAttempts is the number of failure responses after which the item is listed
	// as errored, if above that of the job.
	MaxAttempts int `msgpack:"a"`
}

// Job is a batch job as submitted.
type Job struct {
	ID         JobID             `msgpack:"id"`
	Customer   string            `msgpack:"cust,omitempty" json:",omitempty"` // who submitted it; empty: customers have no keys
	Host       string            `msgpack:"host"`
	Service    string            `msgpack:"svc"`
	Model      api.ModelName     `msgpack:"model"`
	MinVersion api.WeightVersion `msgpack:"min"`
	// SingleVersion requires that one weight version generates the whole text
	// of an item.
	SingleVersion   bool   `msgpack:"single"`
	MaxAttempts     int    `msgpack:"att" json:"Attempts"`    // failures after which an item is listed as errored
	TimeoutMillis   int64  `msgpack:"keep" json:"KeepMillis"` // time after submission after which open items expire
	SubmittedMillis int64  `msgpack:"at" json:"AtMillis"`     // submission time, in Unix milliseconds
	TargetMillis    int64  `msgpack:"due"`                    // time after submission at which results are due; 0: no target
	Items           []Item `msgpack:"items"`
}

// ItemState is the state of an item in the results.
type ItemState uint8

// The states of an item.
const (
	ItemOpen ItemState = iota
	ItemCompleted
	ItemErrored
)

// Record is a journal record that State.Apply takes. Records are logged as JSON;
// the json tags of their fields, and of nested types, keep the keys of the log.
type Record interface{ record() }

// JobAccepted adds a job. It has no effect if the job exists.
type JobAccepted struct {
	Job Job `msgpack:"job"`
}

// JobEnded ends a job: items that are not listed yet are no longer run.
type JobEnded struct {
	ID JobID `msgpack:"id"`
}

// ChunkRef refers to data stored in the chunk topic. The journal carries the
// reference only, so that daemons read just the data they need.
type ChunkRef struct {
	Partition   int    `msgpack:"p" json:"Part"`  // partition of the chunk topic
	FirstOffset uint64 `msgpack:"f" json:"First"` // offset of the first record
	Records     int    `msgpack:"n" json:"Count"` // number of records; 0: no data
	Bytes       int    `msgpack:"b"`
}

// TextAdded appends complete server-sent events to the text of an item.
type TextAdded struct {
	Job        JobID               `msgpack:"job"`
	Item       ItemID              `msgpack:"item"`
	RunID      string              `msgpack:"run" json:"Run"`     // unique for each upstream request
	RunStart   int                 `msgpack:"start" json:"Start"` // number of events before the run, from which it resumed
	FirstEvent int                 `msgpack:"from" json:"From"`   // number of events before the appended ones
	EventCount int                 `msgpack:"n" json:"Events"`    // number of appended events
	Chunk      ChunkRef            `msgpack:"chunk"`              // data of the events, separated by line feeds
	Versions   []api.WeightVersion `msgpack:"ver"`                // weight versions that generated the events
	Software   string              `msgpack:"sw"`                 // version of the software that generated the events
	Done       bool                `msgpack:"done"`               // the text is complete
}

// ItemFailed reports that an upstream failed to run an item.
type ItemFailed struct {
	Job    JobID  `msgpack:"job"`
	Item   ItemID `msgpack:"item"`
	Status int    `msgpack:"st"`  // HTTP status
	Final  bool   `msgpack:"fin"` // retrying cannot succeed
}

// ItemScored lists an item with a complete text as completed with its score.
type ItemScored struct {
	Job   JobID  `msgpack:"job"`
	Item  ItemID `msgpack:"item"`
	Score string `msgpack:"score"`
}

// RewardFailed reports that an upstream failed an item's reward call.
type RewardFailed struct {
	Job    JobID  `msgpack:"job"`
	Item   ItemID `msgpack:"item"`
	Status int    `msgpack:"st"` // HTTP status
}

// ItemExpired lists an item as errored because its deadline passed or its
// route was removed.
type ItemExpired struct {
	Job  JobID  `msgpack:"job"`
	Item ItemID `msgpack:"item"`
}

// ItemMoved removes an item from the upstream it was placed on and makes it
// pending again.
type ItemMoved struct {
	Job          JobID          `msgpack:"job"`
	Item         ItemID         `msgpack:"item"`
	FromUpstream api.UpstreamID `msgpack:"from" json:"From"`
	// UpstreamLost is set if the connection to the upstream was lost while the item ran.
	UpstreamLost bool `msgpack:"l,omitempty" json:",omitempty"`
}

// Levels of records. A build skips the records of levels above its own, so that one is
// appended only while all live daemons read its level.
const (
	LevelJobRerouted  = 1
	LevelTextDropped  = 2
	LevelStateReset   = 3
	LevelHomesSwapped = 4
	LevelRulesRaised  = 5

	RecordLevel = LevelRulesRaised // of this build
)

// DaemonAlive renews all leases of a daemon.
type DaemonAlive struct {
	Daemon api.DaemonID `msgpack:"d"`
	// StartMillis is the start time of the daemon, in Unix milliseconds.
	StartMillis int64 `msgpack:"s" json:"Starts"`
	// ConfigVersion is the configuration version that the daemon uses.
	ConfigVersion uint64 `msgpack:"c" json:"Config"`
	// Capacity is the processor capacity of the daemon's host, in thousandths of a core;
	// 0: not reported.
	Capacity int `msgpack:"p,omitempty" json:",omitempty"`
	// Address is where the daemon takes requests of other daemons, ip:port; empty: nowhere.
	Address    string         `msgpack:"a,omitempty" json:",omitempty"`
	DataCentre api.DataCentre `msgpack:"z,omitempty" json:",omitempty"`
	// CutOff is true if the daemon reaches no upstream.
	CutOff bool `msgpack:"x,omitempty" json:",omitempty"`
	// RecordLevel is the level of the records that the daemon reads, LevelInForce the one
	// that all live daemons read as far as it knows.
	RecordLevel  int `msgpack:"l,omitempty" json:",omitempty"`
	LevelInForce int `msgpack:"f,omitempty" json:",omitempty"`
	// ImageLevel is the level of the images that the daemon writes and reads; 0: none.
	ImageLevel int `msgpack:"i,omitempty" json:",omitempty"`
}

// DaemonLeft releases all leases of a daemon.
type DaemonLeft struct {
	Daemon api.DaemonID `msgpack:"d"`
}

// LeaseAcquired gives the lease of an upstream to a daemon. It has no effect
// unless PreviousLease is the offset of the upstream's current lease.
type LeaseAcquired struct {
	Upstream      api.UpstreamID                      `msgpack:"u"`
	Service       string                              `msgpack:"svc"`
	Daemon        api.DaemonID                        `msgpack:"d"`
	PreviousLease Offset                              `msgpack:"prev" json:"Previous"` // 0: the upstream is new
	Slots         int                                 `msgpack:"slots"`
	Models        []api.ModelName                     `msgpack:"models"` // models of the service
	Software      string                              `msgpack:"sw"`     // version of the upstream's software
	Versions      map[api.ModelName]api.WeightVersion `msgpack:"ver"`
}

// UpstreamRemoved removes an upstream from the state. It has no effect unless
// Daemon holds its lease.
type UpstreamRemoved struct {
	Upstream api.UpstreamID `msgpack:"u"`
	Daemon   api.DaemonID   `msgpack:"d"`
}

// Condition is the condition of an upstream as reported by its lease holder.
type Condition uint8

// The conditions of an upstream.
const (
	ConditionReady    Condition = iota
	ConditionLoading            // loads weights and takes no new items
	ConditionDraining           // is being removed and takes no new items
	ConditionSuspect            // does not respond, or fails
	ConditionSlow               // much slower than its peers
)

// String returns the name of the condition in logs and reports.
func (c Condition) String() string {
	return [...]string{"ready", "loading", "draining", "suspect", "slow"}[c]
}

// UpstreamChanged reports the condition, the software and the loaded weight versions of
// an upstream. It has no effect unless Daemon holds its lease.
type UpstreamChanged struct {
	Upstream  api.UpstreamID                      `msgpack:"u"`
	Daemon    api.DaemonID                        `msgpack:"d"`
	Condition Condition                           `msgpack:"c"`
	Software  string                              `msgpack:"sw"`
	Versions  map[api.ModelName]api.WeightVersion `msgpack:"ver"`
}

// EventIntervalMeasured reports the mean time between two events of a run at
// an upstream. It has no effect unless Daemon holds its lease.
type EventIntervalMeasured struct {
	Upstream api.UpstreamID `msgpack:"u"`
	Daemon   api.DaemonID   `msgpack:"d"`
	Micros   int64          `msgpack:"us"` // microseconds
}

// RequestCrashed reports how many upstreams crashed while a process ran a
// request on them. Requests with equal content count as one request. A request
// that got a response in the end is reported with zero. The record does not
// change a State.
type RequestCrashed struct {
	ContentHash   uint64 `msgpack:"c" json:"Content"` // hash of the request's content
	UpstreamsLost int    `msgpack:"n" json:"Lost"`    // 0: the request got a response
	Process       string `msgpack:"p"`                // reporting process
	// Losses are these upstreams. Builds that don't name them report UpstreamsLost only.
	Losses []UpstreamLoss `msgpack:"l,omitempty" json:",omitempty"`
}

// UpstreamLoss is a crash of an upstream under a request.
type UpstreamLoss struct {
	Upstream  api.UpstreamID `msgpack:"u"`
	AgeMillis int64          `msgpack:"a"` // at the time of the report
}

// RequestLimitNamed reports the limit that an upstream names in its responses: the
// requests that it takes from all daemons together.
type RequestLimitNamed struct {
	Upstream  api.UpstreamID `msgpack:"u"`
	PerSecond float64        `msgpack:"r"` // 0: no limit any more
}

// DemandReported replaces the rates at which a daemon wants to send requests to upstreams
// with a limit, by which the daemons share the limits. The record does not change a
// State.
type DemandReported struct {
	Daemon    api.DaemonID               `msgpack:"d"`
	PerSecond map[api.UpstreamID]float64 `msgpack:"r"` // requests a second
}

// StreamBegan reports which software generates a stream that may be resumed, before its
// first event reaches the caller.
type StreamBegan struct {
	Request  api.RequestID `msgpack:"i"`
	Service  string        `msgpack:"svc"`
	Software string        `msgpack:"sw"`
	AtMillis int64         `msgpack:"at"` // in Unix milliseconds
}

// UpstreamLeaving reports that a process of an upstream has said that it leaves. The record
// does not change a State.
type UpstreamLeaving struct {
	Upstream    api.UpstreamID `msgpack:"u"`
	StartMillis int64          `msgpack:"s"` // of the process, in Unix milliseconds
}

// JobRerouted moves a job to another service, because a configuration moved its route. It
// has no effect unless ConfigVersion is above that of the job's last move. Items that run
// already may end at the service before.
type JobRerouted struct {
	Job           JobID  `msgpack:"job"`
	Service       string `msgpack:"svc"`
	ConfigVersion uint64 `msgpack:"c"`
}

// TextDropped drops the text of an item that must be of one weight version, so that it
// starts anew with another. It has no effect unless the text has EventCount events and the
// item is stranded.
type TextDropped struct {
	Job        JobID  `msgpack:"job"`
	Item       ItemID `msgpack:"item"`
	EventCount int    `msgpack:"n" json:"Events"`
}

// StateReset ends the states of all daemons: they go on with the state of Process, which
// it stores as a checkpoint. It is appended only if no daemon has a state, after the journal
// lost records that no checkpoint includes. It has no effect after a renewal of a daemon
// beyond the offset After: that daemon may have a state. The record does not change a State.
type StateReset struct {
	Process string `msgpack:"p"`
	After   Offset `msgpack:"a"`
}

// Rules of placement, of which each includes those before it.
const (
	RulesBySlots = iota // the upstream with the most free slots
	RulesBySpeed        // those that aren't slower than others first

	Rules = RulesBySpeed // of this build
)

// RulesRaised brings rules of placement into force. It has no effect if they are in force
// already.
type RulesRaised struct {
	Rules int `msgpack:"r"`
}

// HomesSwapped swaps the models that two upstreams of a service are assigned. It has no
// effect unless they are assigned these models.
type HomesSwapped struct {
	First       api.UpstreamID `msgpack:"a"`
	FirstModel  api.ModelName  `msgpack:"am"` // before
	Second      api.UpstreamID `msgpack:"b"`
	SecondModel api.ModelName  `msgpack:"bm"` // before
}

func (*HomesSwapped) record()          {}
func (*RulesRaised) record()           {}
func (*StateReset) record()            {}
func (*TextDropped) record()           {}
func (*JobRerouted) record()           {}
func (*UpstreamLeaving) record()       {}
func (*StreamBegan) record()           {}
func (*RequestLimitNamed) record()     {}
func (*DemandReported) record()        {}
func (*JobAccepted) record()           {}
func (*RequestCrashed) record()        {}
func (*EventIntervalMeasured) record() {}
func (*JobEnded) record()              {}
func (*TextAdded) record()             {}
func (*ItemFailed) record()            {}
func (*ItemExpired) record()           {}
func (*ItemScored) record()            {}
func (*RewardFailed) record()          {}
func (*ItemMoved) record()             {}
func (*DaemonAlive) record()           {}
func (*DaemonLeft) record()            {}
func (*LeaseAcquired) record()         {}
func (*UpstreamRemoved) record()       {}
func (*UpstreamChanged) record()       {}

// UnknownStreamError reports a stream whose software the state does not have.
type UnknownStreamError struct{ Request api.RequestID }

// Error implements error.
func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("the software that began stream %q is unknown", e.Request)
}

// UnknownJobError reports a job that the state does not have.
type UnknownJobError struct{ ID JobID }

// Error implements error.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("no job %q", e.ID) }

// UnknownItemError reports an item that its job does not have.
type UnknownItemError struct {
	Job  JobID
	Item ItemID
}

// Error implements error.
func (e *UnknownItemError) Error() string { return fmt.Sprintf("job %q has no item %q", e.Job, e.Item) }
