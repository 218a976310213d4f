// Package ledger holds the replicated state machines of the configuration stream
// and of the claims stream. Daemons that apply the same records in the same order
// reach the same state and the same verdicts. The package does no I/O and uses no
// clock or random numbers. All times are log times: the log's own clock when it
// appended the record.
package ledger

import (
	"slices"

	"dotterelmount.example/api"
)

// State is an immutable snapshot of the configuration in force. Readers must
// not change it.
type State struct {
	// AppliedOffset is the offset of the last record applied.
	AppliedOffset api.Offset
	Plans         *api.PlanList // never nil
	PlansRevision api.Revision
	Usage         *api.UsageList // never nil
	UsageRevision api.Revision
	Marks         map[api.UpstreamID]MarkState
	Weights       map[api.ModelName]WeightState
	Strikes       map[api.Fingerprint]StrikeState
	// Crashes lists the crashes of the last CrashRetentionMillis, by upstream.
	Crashes map[api.UpstreamID][]Crash
}

// MarkState is the mark of an upstream and the revision that set it. An upstream
// without an entry is active at revision zero.
type MarkState struct {
	Mark     api.Mark     `json:"mark"`
	Revision api.Revision `json:"revision"`
}

// WeightState is the weight version in force and the revision that announced it.
// The revision is the fencing token of load orders.
type WeightState struct {
	Version  api.WeightVersion `json:"version"`
	Revision api.Revision      `json:"revision"`
}

// StrikeState counts the crashes of upstreams that were running a request with
// a fingerprint.
type StrikeState struct {
	// Alone counts crashes with no other request in flight at the upstream.
	// Shared counts the others.
	Alone  int `json:"alone"`
	Shared int `json:"shared"`
	// Upstreams lists the upstreams that crashed, without duplicates.
	Upstreams []api.UpstreamID `json:"upstreams"`
	// Crashes are the most recent of these crashes, oldest first.
	Crashes []CrashRef `json:"crashes,omitempty"`
	// LastMillis is the log time of the last strike, in Unix milliseconds.
	LastMillis int64 `json:"last_millis"`
}

// Verdict is the result of applying one record.
type Verdict struct {
	ID     api.RecordID
	Offset api.Offset
	// Err is nil if the record was accepted; otherwise an *api.Error with
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

// PlanByName returns the plan with a name. Errors: CodeUnknownPlan.
func (s *State) PlanByName(name api.PlanName) (api.Plan, error) {
	for _, p := range s.Plans.Plans {
		if p.Name == name {
			return p, nil
		}
	}
	return api.Plan{}, api.Errorf(api.CodeUnknownPlan, "plan %q", name)
}

// PlanUsage returns the usage list's entry for a plan. Errors: CodeUnknownPlan.
func (s *State) PlanUsage(p api.PlanName) (*api.Usage, error) {
	for i := range s.Usage.Usages {
		if s.Usage.Usages[i].Plan == p {
			return &s.Usage.Usages[i], nil
		}
	}
	return nil, api.Errorf(api.CodeUnknownPlan, "plan %q is not in the usage list", p)
}

// CheckModelAccess checks that a plan may use a model and that at least one
// engine that the plan may use serves it. Errors: CodeUnknownPlan,
// CodeUnknownModel.
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

// Draining reports whether an upstream is marked draining and takes no new work.
func (s *State) Draining(id api.UpstreamID) bool { return s.Marks[id].Mark == api.MarkDraining }
