// Package ledger folds the records of the configuration stream and of the
// claims stream into state. Every daemon folds the same records in the same
// order to the same state and the same verdicts: there is no I/O, no clock and
// no random source here.
package ledger

import (
	"slices"

	"dotterelmount.example/api"
)

// State is an immutable snapshot of the configuration in force. Readers must
// not change it.
type State struct {
	// AppliedOffset is the offset of the last record folded in.
	AppliedOffset api.Offset
	Plans         *api.PlanList // never nil
	PlansRevision api.Revision
	Usage         *api.UsageList // never nil
	UsageRevision api.Revision
	Marks         map[api.UpstreamID]MarkState
	Weights       map[api.ModelName]WeightState
	Strikes       map[api.Fingerprint]StrikeState
}

// MarkState is the mark of an upstream and the record that set it. An
// upstream without an entry is active at revision zero.
type MarkState struct {
	Mark     api.Mark     `json:"mark"`
	Revision api.Revision `json:"revision"`
}

// WeightState is the weight version in force and the record that announced
// it; that record's offset is the fencing number of load orders.
type WeightState struct {
	Version  api.WeightVersion `json:"version"`
	Revision api.Revision      `json:"revision"`
}

// StrikeState counts the crashes that a fingerprint was part of.
type StrikeState struct {
	// Alone counts crashes with no other request in flight at the upstream;
	// Shared counts the others.
	Alone  int `json:"alone"`
	Shared int `json:"shared"`
	// Upstreams that crashed, each once.
	Upstreams []api.UpstreamID `json:"upstreams"`
	// LastMillis is the log's time of the last strike, in Unix milliseconds.
	LastMillis int64 `json:"last_millis"`
}

// Verdict is what the fold decided about one record.
type Verdict struct {
	ID     api.RecordID
	Offset api.Offset
	// Err is nil when the record took effect; otherwise an *api.Error with
	// CodeConflict, CodeStillInUse, CodeStaleVersion, CodeUnknownUpstream,
	// CodeDuplicateKey or CodeInvalid.
	Err error
}

// CustomerPlan returns the plan of a customer. Errors: CodeUnknownCustomer.
func (s *State) CustomerPlan(c api.CustomerID) (api.Plan, error) {
	for _, customer := range s.Plans.Customers {
		if customer.ID == c {
			return s.PlanByName(customer.Plan)
		}
	}
	return api.Plan{}, api.Errorf(api.CodeUnknownCustomer, "customer %q", c)
}

// PlanByName returns a plan by its name. Errors: CodeUnknownPlan.
func (s *State) PlanByName(name api.PlanName) (api.Plan, error) {
	for _, p := range s.Plans.Plans {
		if p.Name == name {
			return p, nil
		}
	}
	return api.Plan{}, api.Errorf(api.CodeUnknownPlan, "plan %q", name)
}

// PlanUsage returns what a plan may use. Errors: CodeUnknownPlan.
func (s *State) PlanUsage(p api.PlanName) (*api.Usage, error) {
	for i := range s.Usage.Usages {
		if s.Usage.Usages[i].Plan == p {
			return &s.Usage.Usages[i], nil
		}
	}
	return nil, api.Errorf(api.CodeUnknownPlan, "plan %q is not in the usage list", p)
}

// CheckModelAccess checks that a plan may use a model and that an engine that the plan may
// use serves it. Errors: CodeUnknownPlan, CodeUnknownModel.
func (s *State) CheckModelAccess(p api.PlanName, m api.ModelName) error {
	usage, err := s.PlanUsage(p)
	if err != nil {
		return err
	}
	if !slices.Contains(usage.Models, m) {
		return api.Errorf(api.CodeUnknownModel, "plan %q may not use model %q", p, m)
	}
	serves := func(u api.Upstream) bool {
		allowed := len(usage.Upstreams) == 0 || slices.Contains(usage.Upstreams, u.ID)
		return allowed && u.Kind == api.KindEngine && slices.Contains(u.Models, m)
	}
	if !slices.ContainsFunc(s.Usage.Upstreams, serves) {
		return api.Errorf(api.CodeUnknownModel, "no engine of plan %q serves model %q", p, m)
	}
	return nil
}

// Upstream returns an upstream of the usage list. Errors: CodeUnknownUpstream.
func (s *State) Upstream(id api.UpstreamID) (*api.Upstream, error) {
	for i := range s.Usage.Upstreams {
		if s.Usage.Upstreams[i].ID == id {
			return &s.Usage.Upstreams[i], nil
		}
	}
	return nil, api.Errorf(api.CodeUnknownUpstream, "upstream %q", id)
}

// Draining reports whether an upstream takes no new work.
func (s *State) Draining(id api.UpstreamID) bool { return s.Marks[id].Mark == api.MarkDraining }
