package batch

import (
	"slices"

	"dotterelmount.example/api"
)

const (
	// newestWeight is the weight of the last job in a model's work.
	newestWeight = 0.5
	// rebalanceMargin is how much the work of the busier model's upstreams must exceed
	// that of the other's, had they one less, before one changes its home.
	rebalanceMargin = 0.9
)

// recordWork takes the work that a job brought.
func (s *State) recordWork(j *jobState) {
	events := 0
	for _, i := range j.items {
		events += i.events
	}
	if old, ok := s.work[j.job.Model]; ok {
		s.work[j.job.Model] = old + newestWeight*(float64(events)-old)
		return
	}
	s.work[j.job.Model] = float64(events)
}

// upstreamsByModel returns the upstreams of a service by the model they are home to,
// each list by id.
func (s *State) upstreamsByModel(service string) map[api.ModelName][]*Upstream {
	out := make(map[api.ModelName][]*Upstream)
	for _, u := range s.upstreams {
		if u.Service == service {
			out[u.AssignedModel] = append(out[u.AssignedModel], u)
		}
	}
	for _, us := range out {
		slices.SortFunc(us, func(a, b *Upstream) int { return cmpID(a.ID, b.ID) })
	}
	return out
}

// assignModel returns the model whose upstreams have the most work each, for an
// upstream that has no home yet.
func (s *State) assignModel(u *Upstream) api.ModelName {
	homes := s.upstreamsByModel(u.Service)
	var best api.ModelName
	for _, m := range u.Models {
		if best == "" || s.loadPerUpstream(homes, m, 0) > s.loadPerUpstream(homes, best, 0) {
			best = m
		}
	}
	return best
}

// epsilon keeps a model without upstreams from dividing by zero.
const epsilon = 1e-9

// rebalance has at most one upstream of a service change its home, from the
// model whose upstreams have least work to the one whose have most.
func (s *State) rebalance(service string) {
	homes := s.upstreamsByModel(service)
	var from, to api.ModelName
	for _, m := range s.models(service) {
		if to == "" || s.loadPerUpstream(homes, m, 0) > s.loadPerUpstream(homes, to, 0) {
			to = m
		}
	}
	for _, m := range s.models(service) {
		if m != to && len(homes[m]) > 1 && (from == "" || s.loadPerUpstream(homes, m, 1) < s.loadPerUpstream(homes, from, 1)) {
			from = m
		}
	}
	if from == "" || s.loadPerUpstream(homes, from, 1) >= rebalanceMargin*s.loadPerUpstream(homes, to, 0) {
		return
	}
	least := slices.MinFunc(homes[from], func(a, b *Upstream) int { return len(s.placed[a.ID]) - len(s.placed[b.ID]) })
	least.AssignedModel = to
}

// loadPerUpstream is the work for each upstream of a model, had it some less.
func (s *State) loadPerUpstream(homes map[api.ModelName][]*Upstream, m api.ModelName, less int) float64 {
	return max(1, s.work[m]) / (float64(len(homes[m])-less) + epsilon)
}

// models returns the models of a service's upstreams, in a fixed order.
func (s *State) models(service string) []api.ModelName {
	var out []api.ModelName
	for _, u := range s.upstreams {
		if u.Service != service {
			continue
		}
		for _, m := range u.Models {
			if !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	slices.Sort(out)
	return out
}
