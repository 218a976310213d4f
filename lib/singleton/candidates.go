package singleton

import (
	"cmp"
	"slices"
	"strings"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

// Candidates returns the daemons that may take over a duty, at most n, in the order in which
// they do: those of the highest capacity, and among these by rendezvous hashing, which spreads
// the duties over the daemons. live are the capacities of the live daemons.
func Candidates(d Duty, live map[api.DaemonID]int, n int) []api.DaemonID {
	type daemon struct {
		id       api.DaemonID
		capacity int
		hash     uint64
	}
	all := make([]daemon, 0, len(live))
	for id, c := range live {
		all = append(all, daemon{id, c, xxhash.Sum64String(string(d) + "/" + string(id))})
	}
	slices.SortFunc(all, func(a, b daemon) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), strings.Compare(string(a.id), string(b.id)))
	})
	out := make([]api.DaemonID, 0, n)
	for _, c := range all[:min(n, len(all))] {
		out = append(out, c.id)
	}
	return out
}
