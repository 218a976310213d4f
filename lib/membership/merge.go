package membership

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

// receive takes in all records of a message.
func (s *State) receive(m *Message) {
	if s.now.Sub(s.resumedAt) >= staleReadPeriod {
		s.lastContact = s.now
	}
	s.merge(m.Sender)
	for _, u := range m.Updates {
		s.merge(u)
	}
	for _, o := range m.Offsets {
		s.mergeOffset(o)
	}
	s.compareDigest(m)
}

// merge takes in one record and reports whether it was news.
func (s *State) merge(m Member) bool {
	if m.ID == s.self.ID {
		return s.refute(&m)
	}
	rec := s.members[m.ID]
	switch {
	case m.ID == "" || m.Status > Left:
		return false
	case rec == nil && m.Status >= Dead:
		return false // nothing to bury; and a forgotten member must not come back as dead
	case rec == nil:
		s.insert(m)
	case supersedes(&m, &rec.Member):
		s.replace(rec, m)
	default:
		return s.mergeOffset(OffsetUpdate{ID: m.ID, Incarnation: m.Incarnation, AppliedOffset: m.AppliedOffset})
	}
	s.resolveAddress(s.members[m.ID])
	return true
}

// mergeFromPage takes in a record of a member list. It is no news to the list's
// owner, so it is not spread further.
func (s *State) mergeFromPage(m Member) {
	queued, was := s.updateSends[m.ID]
	if !s.merge(m) || m.ID == s.self.ID {
		return
	}
	delete(s.updateSends, m.ID)
	delete(s.offsetSends, m.ID)
	if was {
		s.updateSends[m.ID] = queued
	}
}

func (s *State) insert(m Member) {
	rec := &record{Member: m}
	s.members[m.ID] = rec
	s.updateDigest(&m, true)
	s.order = slices.Insert(s.order, s.rand.IntN(len(s.order)+1), m.ID)
	s.statusChanged(rec)
}

func (s *State) replace(rec *record, m Member) {
	if m.Incarnation == rec.Incarnation {
		m.AppliedOffset = max(m.AppliedOffset, rec.AppliedOffset)
	}
	revived := rec.Status >= Dead && m.Status < Dead
	died := rec.Status < Dead && m.Status == Dead
	s.updateDigest(&rec.Member, false)
	rec.Member = m
	s.updateDigest(&m, true)
	if died {
		s.counters.Deaths++
	}
	if revived {
		s.order = append(s.order, m.ID)
	}
	s.statusChanged(rec)
}

// statusChanged starts the spreading of a record whose status or incarnation
// is new.
func (s *State) statusChanged(rec *record) {
	rec.changed = s.now
	if rec.Status == Suspect {
		rec.suspectUntil = s.now.Add(s.suspicion())
	}
	s.updateSends[rec.ID] = 0
	s.pull.highest = max(s.pull.highest, rec.AppliedOffset)
	s.changed()
}

// suspicion is the time that a suspect has to refute: long enough for the
// record to reach it and for its answer to reach everybody.
func (s *State) suspicion() time.Duration {
	return max(s.cfg.MinSuspicion, time.Duration(s.rounds())*s.cfg.ProbeInterval)
}

// setStatus records a local decision on a member.
func (s *State) setStatus(rec *record, status Status) {
	m := rec.Member
	m.Status = status
	s.replace(rec, m)
}

// resolveAddress declares dead the older of two members at one address: a new
// daemon took the old one's place.
func (s *State) resolveAddress(rec *record) {
	if rec.Status >= Dead {
		return
	}
	if rec.PeerAddress == s.self.PeerAddress {
		s.setStatus(rec, Dead)
		return
	}
	for _, other := range s.members {
		if other.ID == rec.ID || other.PeerAddress != rec.PeerAddress || other.Status >= Dead {
			continue
		}
		if other.Incarnation > rec.Incarnation {
			s.setStatus(rec, Dead)
			return
		}
		s.setStatus(other, Dead)
	}
}

// mergeOffset takes in the offset of a known member.
func (s *State) mergeOffset(o OffsetUpdate) bool {
	rec := s.members[o.ID]
	if rec == nil || rec.Incarnation != o.Incarnation || rec.AppliedOffset >= o.AppliedOffset {
		return false
	}
	rec.AppliedOffset = o.AppliedOffset
	s.offsetSends[o.ID] = 0
	s.pull.highest = max(s.pull.highest, o.AppliedOffset)
	s.changed()
	return true
}

// refute raises the own incarnation above a record that is not true of this
// daemon: one that calls it failed, or one of an earlier run under its name.
func (s *State) refute(m *Member) bool {
	if s.self.Status == Left || m.Incarnation < s.self.Incarnation {
		return false
	}
	if m.Incarnation == s.self.Incarnation && m.Status == Alive && m.PeerAddress == s.self.PeerAddress {
		return false
	}
	s.counters.Refutations++
	s.raiseIncarnation(m.Incarnation + 1)
	return true
}

// raiseIncarnation gives the own record a new incarnation and spreads it.
func (s *State) raiseIncarnation(incarnation uint64) {
	s.updateDigest(&s.self, false)
	s.self.Incarnation = incarnation
	s.updateDigest(&s.self, true)
	s.updateSends[s.self.ID] = 0
	s.changed()
}

// forget drops members that are dead or left for long, and the oldest of them
// when there are too many.
func (s *State) forget() {
	gone := s.namesWhere(func(rec *record) bool { return rec.Status >= Dead })
	slices.SortStableFunc(gone, func(a, b api.DaemonID) int {
		return s.members[a].changed.Compare(s.members[b].changed)
	})
	excess := len(gone) - s.cfg.MaxDeadMembers
	for i, id := range gone {
		if i >= excess && s.now.Sub(s.members[id].changed) < s.cfg.ForgetAfter {
			return
		}
		delete(s.members, id)
		delete(s.updateSends, id)
		delete(s.offsetSends, id)
		s.changed()
	}
}
