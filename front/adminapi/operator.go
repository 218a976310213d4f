// Package adminapi is the HTTP API for operators: publishing the two lists,
// marking upstreams, announcing weights and reading the configuration in force.
// It only encodes and decodes; decisions are made by Service.
package adminapi

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Service performs the operators' requests on a daemon.
type Service interface {
	// State returns the configuration in force on this daemon.
	State() *ledger.State
	// Propose appends a record and waits until it is applied. With a nil error the
	// verdict is final. Errors: CodeLogUnavailable if the record was not accepted,
	// CodeUnknownResult if it may or may not be in the log.
	Propose(ctx context.Context, body api.RecordBody, actor string) (ledger.Verdict, error)
	// Status returns the status of this daemon and of those it knows.
	Status(ctx context.Context) Status
	// Audit returns at most limit changes from an offset on, oldest first. Errors:
	// those of reading the log.
	Audit(ctx context.Context, from api.Offset, limit int) ([]AuditEntry, error)
}

// Status is one daemon's view of itself and of the others.
type Status struct {
	Daemon         api.DaemonID   `json:"daemon"`
	DataCentre     api.DataCentre `json:"data_centre"`
	Ready          bool           `json:"ready"`
	NotReadyReason string         `json:"not_ready,omitempty"` // set if Ready is false
	// ConfigOffset is the offset of the last configuration record applied here.
	ConfigOffset api.Offset       `json:"config_offset"`
	Members      []MemberStatus   `json:"members"`
	Upstreams    []UpstreamStatus `json:"upstreams"`
	Queues       []QueueStatus    `json:"queues"`
	Duties       []DutyStatus     `json:"duties"`
}

// Values of MemberStatus.State.
const (
	MemberAlive   = "alive"
	MemberSuspect = "suspect"
	MemberDead    = "dead"
	MemberLeft    = "left"
)

// MemberStatus is what this daemon knows of one daemon, possibly itself.
type MemberStatus struct {
	Name         api.DaemonID   `json:"name"`
	Address      string         `json:"address"` // host:port for callers
	State        string         `json:"state"`   // alive, suspect, dead or left
	DataCentre   api.DataCentre `json:"data_centre"`
	ConfigOffset api.Offset     `json:"config_offset"` // last known; may lag
}

// Live reports whether the member may still serve callers.
func (m MemberStatus) Live() bool { return m.State == MemberAlive || m.State == MemberSuspect }

// UpstreamStatus is what this daemon knows of one upstream.
type UpstreamStatus struct {
	ID       api.UpstreamID `json:"id"`
	Mark     api.Mark       `json:"mark"`
	InFlight int            `json:"in_flight"` // requests in progress from this daemon
	Window   int            `json:"window"`    // limit for InFlight
	Slow     bool           `json:"slow"`
	// LoadedVersions are the versions that the upstream last reported. Models
	// without a report are missing.
	LoadedVersions map[api.ModelName]api.WeightVersion `json:"loaded,omitempty"`
}

// QueueStatus describes the queue of one lane.
type QueueStatus struct {
	Lane  string `json:"lane"`
	Depth int    `json:"depth"` // requests
}

// DutyStatus describes the inbound ring of one duty.
type DutyStatus struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`    // messages
	Capacity int    `json:"capacity"` // messages
	Rejected uint64 `json:"rejected"` // messages rejected because the ring was full
}

// AuditEntry is one proposed change of the configuration, in force or refused.
type AuditEntry struct {
	Offset         api.Offset   `json:"offset"`
	Time           string       `json:"time"` // RFC 3339, wall clock of AppendedBy
	Actor          string       `json:"actor"`
	AppendedBy     api.DaemonID `json:"via"`
	Kind           string       `json:"kind"` // for example publish-plan-list
	Subject        string       `json:"what"` // what was changed, for example an upstream's id
	RevisionBefore api.Revision `json:"from_revision"`
	RevisionAfter  api.Revision `json:"to_revision"` // equal to RevisionBefore if refused
	// Verdict is VerdictInForce or the error code of the refusal.
	Verdict string `json:"verdict"`
}

// VerdictInForce is the Verdict of a change that took effect.
const VerdictInForce = "in-force"
