// Package loads decides which model servers load announced weights next. It is
// pure; every daemon decides alike from what the log says.
package loads

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// Next returns the upstreams of a service that may begin to load now, at most
// share of the service's upstreams loading at once. The model with the fewest
// upstreams at its newest version comes first, as the next version may leave
// it with none; of its upstreams the one furthest behind, which can serve nobody.
func Next(all []batch.Upstream, service string, announced map[api.ModelName]api.WeightVersion, share float64) []api.UpstreamID {
	total, loading := 0, 0
	current := make(map[api.ModelName]int) // upstreams at the newest version, or loading it
	var behind []*batch.Upstream
	for i := range all {
		u := &all[i]
		if u.Service != service || u.Holder == "" {
			continue
		}
		total++
		switch {
		case u.Condition == batch.ConditionLoading:
			loading++
			current[u.AssignedModel]++
		case versionsBehind(u, announced) <= 0:
			current[u.AssignedModel]++
		case u.Condition == batch.ConditionReady:
			behind = append(behind, u)
		}
	}
	var out []api.UpstreamID
	for room := max(1, int(math.Round(share*float64(total)))) - loading; room > 0 && len(behind) > 0; room-- {
		u := slices.MinFunc(behind, func(a, b *batch.Upstream) int {
			return cmp.Or(
				cmp.Compare(current[a.AssignedModel], current[b.AssignedModel]),
				cmp.Compare(versionsBehind(b, announced), versionsBehind(a, announced)),
				strings.Compare(string(a.ID), string(b.ID)),
			)
		})
		behind = slices.DeleteFunc(behind, func(o *batch.Upstream) bool { return o == u })
		current[u.AssignedModel]++
		out = append(out, u.ID)
	}
	return out
}

// versionsBehind is how many versions an upstream is behind, for the model it is home to.
func versionsBehind(u *batch.Upstream, announced map[api.ModelName]api.WeightVersion) int {
	return int(announced[u.AssignedModel]) - int(u.Versions[u.AssignedModel])
}
