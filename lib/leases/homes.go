package leases

import (
	"cmp"
	"maps"
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
)

// homes are the upstreams assigned to a model that stay.
type homes struct{ ordinary, reclaimable []*batch.Upstream }

// SwapHomes returns a record for each service with a model whose only homes are reclaimable,
// and which would have none after a reclaim: one of them is swapped for the ordinary home of a
// model that has others. It answers the loss of all reclaimable upstreams at once.
func SwapHomes(held []batch.Upstream, listed map[api.UpstreamID]*directory.Upstream) map[string]*batch.HomesSwapped {
	byService := make(map[string]map[api.ModelName]*homes)
	for n := range held {
		u := &held[n]
		l := listed[u.ID]
		if l == nil || l.Draining || u.Holder == "" || u.AssignedModel == "" {
			continue
		}
		byModel := byService[u.Service]
		if byModel == nil {
			byModel = make(map[api.ModelName]*homes)
			byService[u.Service] = byModel
		}
		h := byModel[u.AssignedModel]
		if h == nil {
			h = &homes{}
			byModel[u.AssignedModel] = h
		}
		if l.Reclaimable {
			h.reclaimable = append(h.reclaimable, u)
		} else {
			h.ordinary = append(h.ordinary, u)
		}
	}
	out := make(map[string]*batch.HomesSwapped)
	for service, byModel := range byService {
		if r := swapHomes(byModel); r != nil {
			out[service] = r
		}
	}
	return out
}

func swapHomes(byModel map[api.ModelName]*homes) *batch.HomesSwapped {
	models := slices.Sorted(maps.Keys(byModel))
	var donor api.ModelName
	for _, m := range models {
		if n := len(byModel[m].ordinary); n > 1 && (donor == "" || n > len(byModel[donor].ordinary)) {
			donor = m
		}
	}
	if donor == "" {
		return nil
	}
	for _, m := range models {
		if len(byModel[m].ordinary) > 0 {
			continue
		}
		// The one with the newest version of the model is behind for the shortest time.
		to := slices.MinFunc(byModel[donor].ordinary, func(a, b *batch.Upstream) int {
			return cmp.Or(cmp.Compare(b.Versions[m], a.Versions[m]), cmp.Compare(a.ID, b.ID))
		})
		from := slices.MinFunc(byModel[m].reclaimable, func(a, b *batch.Upstream) int {
			return cmp.Or(cmp.Compare(b.Versions[donor], a.Versions[donor]), cmp.Compare(a.ID, b.ID))
		})
		return &batch.HomesSwapped{First: from.ID, FirstModel: m, Second: to.ID, SecondModel: donor}
	}
	return nil
}
