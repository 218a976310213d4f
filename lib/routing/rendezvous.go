package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxHashedID is the longest identifier, in bytes, that is hashed without an
// allocation.
const maxHashedID = 56

// Rendezvous returns ids ordered by their rendezvous hash with key, highest
// first. The result does not depend on the order of ids, so that all daemons compute
// the same one, and removing an ID does not change the order of the others.
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

// First returns the first ID in the order of Rendezvous, or "" if ids is empty.
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

// Rank returns the number of ids that precede id in the order of Rendezvous.
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
	var buf [8 + maxHashedID]byte
	b := binary.BigEndian.AppendUint64(buf[:0], key)
	return xxhash.Sum64(append(b, id...))
}

// Key returns the rendezvous key of a name.
func Key(name string) uint64 { return xxhash.Sum64String(name) }
