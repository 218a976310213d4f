package membership

import (
	"cmp"
	"slices"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

// hashPrime spreads the bits of an incarnation over the hash.
const hashPrime = 0x9e3779b185ebca87

// compose builds a message to a daemon, within the piggyback limits.
func (s *State) compose(to api.DaemonID) Message {
	m := Message{Sender: s.self, RecipientID: to, Digest: s.digest}
	remaining := s.cfg.PiggybackBytes
	// A member that is not alive in this list must get the record to refute it.
	if rec := s.members[to]; rec != nil && rec.Status != Alive {
		m.Updates = append(m.Updates, rec.Member)
		remaining -= rec.Size()
	}
	remaining = s.attachUpdates(&m, remaining)
	s.attachOffsets(&m, remaining)
	return m
}

func (s *State) attachUpdates(m *Message, remaining int) int {
	limit := s.cfg.RetransmitFactor * s.rounds()
	for _, id := range s.leastSent(s.updateSends) {
		if id == m.RecipientID && len(m.Updates) > 0 || id == s.self.ID {
			s.countSend(s.updateSends, id, limit)
			continue // already in the message, or the recipient's own
		}
		rec := s.members[id]
		if rec.Size() > remaining || len(m.Updates) >= s.cfg.PiggybackRecords {
			return remaining
		}
		m.Updates = append(m.Updates, rec.Member)
		remaining -= rec.Size()
		s.countSend(s.updateSends, id, limit)
	}
	return remaining
}

func (s *State) attachOffsets(m *Message, remaining int) {
	limit := s.cfg.OffsetRetransmitFactor * s.rounds()
	for _, id := range s.leastSent(s.offsetSends) {
		rec := s.members[id]
		o := OffsetUpdate{ID: id, Incarnation: rec.Incarnation, AppliedOffset: rec.AppliedOffset}
		if o.Size() > remaining || len(m.Updates)+len(m.Offsets) >= s.cfg.PiggybackRecords {
			return
		}
		m.Offsets = append(m.Offsets, o)
		remaining -= o.Size()
		s.countSend(s.offsetSends, id, limit)
	}
}

// leastSent returns the queued IDs, least sent first and in random order among
// equals, so that members do not all send the same records.
func (s *State) leastSent(queue map[api.DaemonID]int) []api.DaemonID {
	ids := make([]api.DaemonID, 0, len(queue))
	for id := range queue {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s.shuffle(ids)
	slices.SortStableFunc(ids, func(a, b api.DaemonID) int { return cmp.Compare(queue[a], queue[b]) })
	return ids
}

// countSend counts a send of a queued record and removes the record at the limit.
func (s *State) countSend(queue map[api.DaemonID]int, id api.DaemonID, limit int) {
	queue[id]++
	if queue[id] >= limit {
		delete(queue, id)
	}
}

// updateDigest adds the hash of a live member to the digest, or subtracts it. The
// digest is a sum, so it does not depend on the order of records.
func (s *State) updateDigest(m *Member, present bool) {
	switch {
	case m.Status > Suspect:
	case present:
		s.digest += memberHash(m)
	default:
		s.digest -= memberHash(m)
	}
}

func memberHash(m *Member) uint64 {
	h := xxhash.Sum64String(string(m.ID))
	return (h ^ m.Incarnation) * hashPrime
}
