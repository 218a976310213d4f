package adminapi

import (
	"maps"
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Paths, served on the daemon's address for callers.
const (
	PathPlanList   = "/v1/admin/plan-list"
	PathUsageList  = "/v1/admin/usage-list"
	PathUpstreams  = "/v1/admin/upstreams/" // {id}/mark
	PathWeights    = "/v1/admin/weights"
	PathQuarantine = "/v1/admin/quarantine/" // {fingerprint}/lift
	PathStatus     = "/v1/admin/status"
	PathAudit      = "/v1/admin/audit"
	PathState      = "/v1/admin/state"
)

// HeaderOperator is the header with the name of the operator who requests a
// change.
const HeaderOperator = "X-Operator"

// PlanListInForce is the response to GET plan-list.
type PlanListInForce struct {
	Revision api.Revision `json:"revision"`
	List     api.PlanList `json:"list"`
}

// UsageListInForce is the response to GET usage-list.
type UsageListInForce struct {
	Revision api.Revision  `json:"revision"`
	List     api.UsageList `json:"list"`
}

// PutPlanListRequest is the body of PUT plan-list; both fields are required. The
// change is refused with CodeConflict if BaseRevision is not the revision in force.
type PutPlanListRequest struct {
	BaseRevision *api.Revision `json:"base"`
	List         *api.PlanList `json:"list"`
}

// PutUsageListRequest is the body of PUT usage-list; both fields are required.
// BaseRevision is checked as for PutPlanListRequest.
type PutUsageListRequest struct {
	BaseRevision *api.Revision  `json:"base"`
	List         *api.UsageList `json:"list"`
}

// MarkUpstreamRequest is the body of POST upstreams/{id}/mark; both fields are
// required. BaseRevision is that of the upstream's mark (0 if it was never marked);
// it is checked as for PutPlanListRequest.
type MarkUpstreamRequest struct {
	BaseRevision *api.Revision `json:"base"`
	Mark         api.Mark      `json:"mark"`
}

// AnnounceWeightsRequest is the body of POST weights; both fields are required.
type AnnounceWeightsRequest struct {
	Model   api.ModelName     `json:"model"`
	Version api.WeightVersion `json:"version"`
}

// ChangeResponse is the response to every accepted change.
type ChangeResponse struct {
	RecordID api.RecordID `json:"record"`
	// Revision is the offset of the change in the configuration stream.
	Revision api.Revision `json:"revision"`
}

// AuditPage is the response to GET audit.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
}

// StateView is the response to GET state: the configuration in force except for
// the two lists.
type StateView struct {
	AppliedOffset api.Offset   `json:"through"` // of the last configuration record applied
	PlansRevision api.Revision `json:"plans_revision"`
	UsageRevision api.Revision `json:"usage_revision"`
	Marks         []MarkView   `json:"marks"`
	Weights       []WeightView `json:"weights"`
	Strikes       []StrikeView `json:"strikes"`
}

// MarkView is the mark of one upstream. Upstreams that were never marked are not
// listed.
type MarkView struct {
	Upstream api.UpstreamID `json:"upstream"`
	ledger.MarkState
}

// WeightView is the weight version in force of one model.
type WeightView struct {
	Model api.ModelName `json:"model"`
	ledger.WeightState
}

// StrikeView counts the upstream crashes in which one fingerprint was involved.
type StrikeView struct {
	Fingerprint string `json:"fingerprint"` // hexadecimal
	ledger.StrikeState
}

// NewStateView converts a configuration state. The lists are sorted by key.
func NewStateView(s *ledger.State) StateView {
	v := StateView{
		AppliedOffset: s.AppliedOffset,
		PlansRevision: s.PlansRevision,
		UsageRevision: s.UsageRevision,
		Marks:         []MarkView{},
		Weights:       []WeightView{},
		Strikes:       []StrikeView{},
	}
	for _, id := range slices.Sorted(maps.Keys(s.Marks)) {
		v.Marks = append(v.Marks, MarkView{Upstream: id, MarkState: s.Marks[id]})
	}
	for _, model := range slices.Sorted(maps.Keys(s.Weights)) {
		v.Weights = append(v.Weights, WeightView{Model: model, WeightState: s.Weights[model]})
	}
	for _, f := range slices.Sorted(maps.Keys(s.Strikes)) {
		v.Strikes = append(v.Strikes, StrikeView{Fingerprint: f.String(), StrikeState: s.Strikes[f]})
	}
	return v
}

// Mark returns the mark of an upstream with its revision, the base revision of the
// next change. An upstream that was never marked is active at revision 0.
func (v StateView) Mark(id api.UpstreamID) ledger.MarkState {
	for _, m := range v.Marks {
		if m.Upstream == id {
			return m.MarkState
		}
	}
	return ledger.MarkState{Mark: api.MarkActive}
}
