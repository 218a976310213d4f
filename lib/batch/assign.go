package batch

import (
	"slices"

	"dotterelmount.example/api"
)

const (
	// newestWeight is the weight of the newest job in the moving average of the
	// events per job of a model.
	newestWeight = 0.5
	// rebalanceMargin is the fraction of the recipient's load per upstream below
	// which the donor's must stay, with one upstream removed, for a reassignment.
	rebalanceMargin = 0.9
)

// recordWork adds the events of an ended job to the average of its model.
func (s *State) recordWork(j *jobState) {
	events := 0
	for _, i := range j.items {
		events += i.eventCount
	}
	if old, ok := s.eventsPerJob[j.job.Model]; ok {
		s.eventsPerJob[j.job.Model] = old + newestWeight*(float64(events)-old)
		return
	}
	s.eventsPerJob[j.job.Model] = float64(events)
}

// upstreamsByModel returns the upstreams of a service by assigned model, each
// list sorted by ID.
func (s *State) upstreamsByModel(service string) map[api.ModelName][]*Upstream {
	out := make(map[api.ModelName][]*Upstream)
	for _, u := range s.upstreams {
		if u.Service == service {
			out[u.AssignedModel] = append(out[u.AssignedModel], u)
		}
	}
	for _, us := range out {
		slices.SortFunc(us, func(a, b *Upstream) int { return compareIDs(a.ID, b.ID) })
	}
	return out
}

// assignModel returns the model with the highest load per upstream, for a new
// upstream.
func (s *State) assignModel(u *Upstream) api.ModelName {
	byModel := s.upstreamsByModel(u.Service)
	var best api.ModelName
	for _, m := range u.Models {
		if best == "" || s.loadPerUpstream(byModel, m, 0) > s.loadPerUpstream(byModel, best, 0) {
			best = m
		}
	}
	return best
}

// epsilon prevents a division by zero for a model without upstreams.
const epsilon = 1e-9

// rebalance reassigns at most one upstream of a service, from the model with
// the lowest load per upstream to the one with the highest. A model keeps at
// least one upstream.
func (s *State) rebalance(service string) {
	byModel := s.upstreamsByModel(service)
	var donor, recipient api.ModelName
	for _, m := range s.models(service) {
		if recipient == "" || s.loadPerUpstream(byModel, m, 0) > s.loadPerUpstream(byModel, recipient, 0) {
			recipient = m
		}
	}
	for _, m := range s.models(service) {
		if m != recipient && len(byModel[m]) > 1 && (donor == "" || s.loadPerUpstream(byModel, m, 1) < s.loadPerUpstream(byModel, donor, 1)) {
			donor = m
		}
	}
	if donor == "" || s.loadPerUpstream(byModel, donor, 1) >= rebalanceMargin*s.loadPerUpstream(byModel, recipient, 0) {
		return
	}
	leastLoaded := slices.MinFunc(byModel[donor], func(a, b *Upstream) int { return len(s.placed[a.ID]) - len(s.placed[b.ID]) })
	leastLoaded.AssignedModel = recipient
}

// loadPerUpstream returns the events per job for each upstream of a model,
// with a number of its upstreams removed.
func (s *State) loadPerUpstream(byModel map[api.ModelName][]*Upstream, m api.ModelName, removed int) float64 {
	return max(1, s.eventsPerJob[m]) / (float64(len(byModel[m])-removed) + epsilon)
}

// models returns the models of the upstreams of a service, sorted.
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

func (s *State) swapHomes(r *HomesSwapped) bool {
	a, b := s.upstreams[r.First], s.upstreams[r.Second]
	if a == nil || b == nil || a.Service != b.Service || a.AssignedModel != r.FirstModel || b.AssignedModel != r.SecondModel || r.FirstModel == r.SecondModel ||
		!slices.Contains(a.Models, r.SecondModel) || !slices.Contains(b.Models, r.FirstModel) {
		return false
	}
	a.AssignedModel, b.AssignedModel = b.AssignedModel, a.AssignedModel
	return true
}
