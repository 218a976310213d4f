package batch

import (
	"slices"

	"dotterelmount.example/api"
)

const (
	// newest is the weight of the last job in a model's work.
	newest = 0.5
	// margin is how much the work of the busier model's upstreams must exceed
	// that of the other's, had they one less, before one changes its home.
	margin = 0.9
)

// learn takes the work that a job brought.
func (s *State) learn(j *jobState) {
	events := 0
	for _, i := range j.items {
		events += i.events
	}
	if old, ok := s.work[j.job.Model]; ok {
		s.work[j.job.Model] = old + newest*(float64(events)-old)
		return
	}
	s.work[j.job.Model] = float64(events)
}

// homes returns the upstreams of a service by the model they are home to,
// each list by id.
func (s *State) homes(service string) map[api.ModelName][]*Upstream {
	out := make(map[api.ModelName][]*Upstream)
	for _, u := range s.upstreams {
		if u.Service == service {
			out[u.Home] = append(out[u.Home], u)
		}
	}
	for _, us := range out {
		slices.SortFunc(us, func(a, b *Upstream) int { return cmpID(a.ID, b.ID) })
	}
	return out
}

// newHome returns the model whose upstreams have the most work each, for an
// upstream that has no home yet.
func (s *State) newHome(u *Upstream) api.ModelName {
	homes := s.homes(u.Service)
	var best api.ModelName
	for _, m := range u.Models {
		if best == "" || s.load(homes, m, 0) > s.load(homes, best, 0) {
			best = m
		}
	}
	return best
}

// tiny keeps a model without upstreams from dividing by zero.
const tiny = 1e-9

// balance has at most one upstream of a service change its home, from the
// model whose upstreams have least work to the one whose have most.
func (s *State) balance(service string) {
	homes := s.homes(service)
	var from, to api.ModelName
	for _, m := range s.models(service) {
		if to == "" || s.load(homes, m, 0) > s.load(homes, to, 0) {
			to = m
		}
	}
	for _, m := range s.models(service) {
		if m != to && len(homes[m]) > 1 && (from == "" || s.load(homes, m, 1) < s.load(homes, from, 1)) {
			from = m
		}
	}
	if from == "" || s.load(homes, from, 1) >= margin*s.load(homes, to, 0) {
		return
	}
	least := slices.MinFunc(homes[from], func(a, b *Upstream) int { return len(s.placed[a.ID]) - len(s.placed[b.ID]) })
	least.Home = to
}

// load is the work for each upstream of a model, had it some less.
func (s *State) load(homes map[api.ModelName][]*Upstream, m api.ModelName, less int) float64 {
	return max(1, s.work[m]) / (float64(len(homes[m])-less) + tiny)
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
