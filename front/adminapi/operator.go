// Package adminapi serves operators over HTTP: publishing the two lists,
// marking upstreams, announcing weights, and reading back what is in force.
// It only encodes; what a change does is decided behind Operator.
package adminapi

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Service is what a daemon offers to its operators.
type Service interface {
	// State returns the configuration in force on this daemon.
	State() *ledger.State
	// Propose appends a record and waits until it is folded. A nil error says
	// that the verdict is final. Errors: CodeLogUnavailable when the record was
	// not accepted, CodeUnknownResult when it may or may not be in the log.
	Propose(ctx context.Context, body api.RecordBody, actor string) (ledger.Verdict, error)
	// Status describes this daemon and what it knows of the others.
	Status(ctx context.Context) Status
	// Audit returns at most limit changes from an offset on, oldest first.
	Audit(ctx context.Context, from api.Offset, limit int) ([]AuditEntry, error)
}

// Status is one daemon's view of itself and of the others.
type Status struct {
	Daemon         api.DaemonID   `json:"daemon"`
	DataCentre     api.DataCentre `json:"data_centre"`
	Ready          bool           `json:"ready"`
	NotReadyReason string         `json:"not_ready,omitempty"` // why, when Ready is false
	// ConfigOffset is the offset of the last configuration record in force here.
	ConfigOffset api.Offset       `json:"config_offset"`
	Members      []MemberStatus   `json:"members"`
	Upstreams    []UpstreamStatus `json:"upstreams"`
	Queues       []QueueStatus    `json:"queues"`
	Duties       []DutyStatus     `json:"duties"`
}

// The states of a member, as MemberStatus.State names them.
const (
	MemberAlive   = "alive"
	MemberSuspect = "suspect"
	MemberDead    = "dead"
	MemberLeft    = "left"
)

// MemberStatus is what this daemon knows of one daemon, itself included.
type MemberStatus struct {
	Name         api.DaemonID   `json:"name"`
	Address      string         `json:"address"` // host:port for callers
	State        string         `json:"state"`   // alive, suspect, dead or left
	DataCentre   api.DataCentre `json:"data_centre"`
	ConfigOffset api.Offset     `json:"config_offset"` // the last one it told; may lag
}

// Live reports whether the member may still be serving callers.
func (m MemberStatus) Live() bool { return m.State == MemberAlive || m.State == MemberSuspect }

// UpstreamStatus is what this daemon knows of one upstream.
type UpstreamStatus struct {
	ID       api.UpstreamID `json:"id"`
	Mark     api.Mark       `json:"mark"`
	InFlight int            `json:"in_flight"` // requests in progress from this daemon
	Window   int            `json:"window"`    // most requests in progress that this daemon allows itself
	Slow     bool           `json:"slow"`
	// LoadedVersions holds the versions read back from the upstream; a model that was
	// not read back yet is missing.
	LoadedVersions map[api.ModelName]api.WeightVersion `json:"loaded,omitempty"`
}

// QueueStatus is the queue of one lane.
type QueueStatus struct {
	Lane  string `json:"lane"`
	Depth int    `json:"depth"` // requests
}

// DutyStatus is the inbound ring of one duty.
type DutyStatus struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`    // messages
	Capacity int    `json:"capacity"` // messages
	Rejected uint64 `json:"rejected"` // messages refused because the ring was full
}

// AuditEntry is one change of the configuration, refused ones included.
type AuditEntry struct {
	Offset         api.Offset   `json:"offset"`
	Time           string       `json:"time"` // RFC 3339, wall clock of Via
	Actor          string       `json:"actor"`
	AppendedBy     api.DaemonID `json:"via"`
	Kind           string       `json:"kind"` // for example publish-plan-list
	Subject        string       `json:"what"` // the thing that changed, for example an upstream's id
	RevisionBefore api.Revision `json:"from_revision"`
	RevisionAfter  api.Revision `json:"to_revision"` // equal to From when refused
	// Verdict is "in-force" or the code of the refusal.
	Verdict string `json:"verdict"`
}

// VerdictInForce is the verdict of a change that took effect.
const VerdictInForce = "in-force"
