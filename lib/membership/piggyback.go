package membership

import (
	"cmp"
	"slices"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

// hashPrime spreads the bits of an incarnation over a whole hash.
const hashPrime = 0x9e3779b185ebca87

// compose builds a message to the named daemon within the piggyback's bounds.
func (s *State) compose(to api.DaemonID) Message {
	m := Message{Sender: s.self, RecipientID: to, Digest: s.digest}
	room := s.cfg.PiggybackBytes
	// A daemon that is not held alive has to learn it, or it cannot refute.
	if rec := s.members[to]; rec != nil && rec.Status != Alive {
		m.Updates = append(m.Updates, rec.Member)
		room -= rec.Size()
	}
	room = s.attachUpdates(&m, room)
	s.attachOffsets(&m, room)
	return m
}

func (s *State) attachUpdates(m *Message, room int) int {
	limit := s.cfg.RetransmitFactor * s.rounds()
	for _, id := range s.leastSent(s.updateSends) {
		if id == m.RecipientID && len(m.Updates) > 0 || id == s.self.ID {
			s.countSend(s.updateSends, id, limit)
			continue // already in the message
		}
		rec := s.members[id]
		if rec.Size() > room || len(m.Updates) >= s.cfg.PiggybackRecords {
			return room
		}
		m.Updates = append(m.Updates, rec.Member)
		room -= rec.Size()
		s.countSend(s.updateSends, id, limit)
	}
	return room
}

func (s *State) attachOffsets(m *Message, room int) {
	limit := s.cfg.OffsetRetransmitFactor * s.rounds()
	for _, id := range s.leastSent(s.offsetSends) {
		rec := s.members[id]
		o := OffsetUpdate{ID: id, Incarnation: rec.Incarnation, AppliedOffset: rec.AppliedOffset}
		if o.Size() > room || len(m.Updates)+len(m.Offsets) >= s.cfg.PiggybackRecords {
			return
		}
		m.Offsets = append(m.Offsets, o)
		room -= o.Size()
		s.countSend(s.offsetSends, id, limit)
	}
}

// leastSent returns the names queued, least sent first and random among
// equals, so that members do not all send the same records.
func (s *State) leastSent(queue map[api.DaemonID]int) []api.DaemonID {
	names := make([]api.DaemonID, 0, len(queue))
	for id := range queue {
		names = append(names, id)
	}
	slices.Sort(names)
	s.shuffle(names)
	slices.SortStableFunc(names, func(a, b api.DaemonID) int { return cmp.Compare(queue[a], queue[b]) })
	return names
}

func (s *State) countSend(queue map[api.DaemonID]int, id api.DaemonID, limit int) {
	queue[id]++
	if queue[id] >= limit {
		delete(queue, id)
	}
}

// updateDigest adds a live member's hash to the digest, or takes it off. The digest
// is a sum, so that it does not depend on the order in which records came.
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
