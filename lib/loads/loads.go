// Package loads decides which engines load announced weights next. It does
// no I/O; all daemons reach the same decision from the same log records.
package loads

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// Next returns the upstreams of a service that may start to load now. At most the
// fraction share of the service's upstreams, and at least one, load at the same
// time. The model with the fewest upstreams at its newest version comes first, as
// it may have no usable upstream once the next version is announced. Of its
// upstreams, the one that is the most versions behind comes first, as it can serve
// no requests.
func Next(all []batch.Upstream, service string, announced map[api.ModelName]api.WeightVersion, share float64) []api.UpstreamID {
	total := 0
	for i := range all {
		if all[i].Service == service && all[i].Holder != "" {
			total++
		}
	}
	return NextOf(all, service, announced, max(1, int(math.Round(share*float64(total)))))
}

// NextOf is Next for a number of upstreams that load at the same time.
func NextOf(all []batch.Upstream, service string, announced map[api.ModelName]api.WeightVersion, atOnce int) []api.UpstreamID {
	loading := 0
	current := make(map[api.ModelName]int) // upstreams at the newest version or loading it
	var behind []*batch.Upstream
	for i := range all {
		u := &all[i]
		if u.Service != service || u.Holder == "" {
			continue
		}
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
	for available := atOnce - loading; available > 0 && len(behind) > 0; available-- {
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

// versionsBehind returns how many versions an upstream is behind for its assigned
// model.
func versionsBehind(u *batch.Upstream, announced map[api.ModelName]api.WeightVersion) int {
	return int(announced[u.AssignedModel]) - int(u.Versions[u.AssignedModel])
}
