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
// share of the service's upstreams loading at once. Those furthest behind
// come first: they can serve nobody.
func Next(all []batch.Upstream, service string, announced map[api.ModelName]api.WeightVersion, share float64) []api.UpstreamID {
	total, loading := 0, 0
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
		case u.Condition == batch.ConditionReady && gap(u, announced) > 0:
			behind = append(behind, u)
		}
	}
	slices.SortFunc(behind, func(a, b *batch.Upstream) int {
		return cmp.Or(cmp.Compare(gap(b, announced), gap(a, announced)), strings.Compare(string(a.ID), string(b.ID)))
	})
	room := max(1, int(math.Round(share*float64(total)))) - loading
	var out []api.UpstreamID
	for _, u := range behind[:max(0, min(room, len(behind)))] {
		out = append(out, u.ID)
	}
	return out
}

// gap is how many versions an upstream is behind, for the model it is home to.
func gap(u *batch.Upstream, announced map[api.ModelName]api.WeightVersion) int {
	return int(announced[u.Home]) - int(u.Versions[u.Home])
}
