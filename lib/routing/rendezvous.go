package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxHashedID is the length of an identifier up to which a score needs no
// allocation.
const maxHashedID = 56

// Rendezvous returns ids ordered by their rendezvous hash with key, highest
// first. All daemons compute the same order from the same set, in whatever
// order it comes, and removing an id leaves the order of the others as it was.
func Rendezvous(key uint64, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, len(ids))
	for i, id := range ids {
		ranked[i] = scored{id: id, score: rendezvousScore(key, id)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ordered := make([]string, len(ids))
	for i := range ranked {
		ordered[i] = ranked[i].id
	}
	return ordered
}

// First returns the id that Rendezvous puts first; empty when there are none.
func First(key uint64, ids []string) string {
	best, top := "", uint64(0)
	for _, id := range ids {
		score := rendezvousScore(key, id)
		if best == "" || score > top || (score == top && id < best) {
			best, top = id, score
		}
	}
	return best
}

// Rank returns the number of ids that Rendezvous puts before id.
func Rank(key uint64, ids []string, id string) int {
	own := rendezvousScore(key, id)
	rank := 0
	for _, other := range ids {
		score := rendezvousScore(key, other)
		if score > own || (score == own && other < id) {
			rank++
		}
	}
	return rank
}

func rendezvousScore(key uint64, id string) uint64 {
	var room [8 + maxHashedID]byte
	b := binary.BigEndian.AppendUint64(room[:0], key)
	return xxhash.Sum64(append(b, id...))
}

// Key returns the rendezvous key of a name.
func Key(name string) uint64 { return xxhash.Sum64String(name) }
