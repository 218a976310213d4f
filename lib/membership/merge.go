package membership

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

// receive merges all records of a message.
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

// merge merges a record and reports whether it changed the state.
func (s *State) merge(m Member) bool {
	if m.ID == s.self.ID {
		return s.refute(&m)
	}
	rec := s.members[m.ID]
	switch {
	case m.ID == "" || m.Status > Left:
		return false
	case rec == nil && m.Status >= Dead:
		return false // unknown or forgotten members are not added as dead
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

// mergeFromPage merges a record of a member list. The record is not queued for
// gossip, because other members already have it.
func (s *State) mergeFromPage(m Member) {
	sends, queued := s.updateSends[m.ID]
	if !s.merge(m) || m.ID == s.self.ID {
		return
	}
	delete(s.updateSends, m.ID)
	delete(s.offsetSends, m.ID)
	if queued {
		s.updateSends[m.ID] = sends
	}
}

func (s *State) insert(m Member) {
	rec := &record{Member: m}
	s.members[m.ID] = rec
	s.updateDigest(&m, true)
	s.probeOrder = slices.Insert(s.probeOrder, s.rand.IntN(len(s.probeOrder)+1), m.ID)
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
		s.probeOrder = append(s.probeOrder, m.ID)
	}
	s.statusChanged(rec)
}

// statusChanged queues a record with a new status or incarnation for gossip.
func (s *State) statusChanged(rec *record) {
	rec.changedAt = s.now
	if rec.Status == Suspect {
		rec.suspectUntil = s.now.Add(s.suspicionTimeout())
	}
	s.updateSends[rec.ID] = 0
	s.pull.highest = max(s.pull.highest, rec.AppliedOffset)
	s.bumpVersion()
}

// suspicionTimeout returns the time that a suspect has to refute: enough for the
// suspicion to reach it and for its refutation to reach all members.
func (s *State) suspicionTimeout() time.Duration {
	return max(s.cfg.MinSuspicion, time.Duration(s.rounds())*s.cfg.ProbeInterval)
}

// setStatus sets the status of a member by local decision.
func (s *State) setStatus(rec *record, status Status) {
	m := rec.Member
	m.Status = status
	s.replace(rec, m)
}

// resolveAddress marks the older of two live members with the same address as
// dead, because a new daemon has replaced it.
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

// mergeOffset merges the offset of a known member and reports whether it is new.
func (s *State) mergeOffset(o OffsetUpdate) bool {
	rec := s.members[o.ID]
	if rec == nil || rec.Incarnation != o.Incarnation || rec.AppliedOffset >= o.AppliedOffset {
		return false
	}
	rec.AppliedOffset = o.AppliedOffset
	s.offsetSends[o.ID] = 0
	s.pull.highest = max(s.pull.highest, o.AppliedOffset)
	s.bumpVersion()
	return true
}

// refute raises this daemon's incarnation above that of a wrong record of it: one
// with a status other than alive, or one of an earlier process with its ID. It
// reports whether it did.
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

// raiseIncarnation sets this daemon's incarnation and queues its record for gossip.
func (s *State) raiseIncarnation(incarnation uint64) {
	s.updateDigest(&s.self, false)
	s.self.Incarnation = incarnation
	s.updateDigest(&s.self, true)
	s.updateSends[s.self.ID] = 0
	s.bumpVersion()
}

// removeExpired removes members that have been dead or left for ForgetAfter, and
// the oldest ones if there are more than MaxDeadMembers.
func (s *State) removeExpired() {
	inactive := s.selectIDs(func(rec *record) bool { return rec.Status >= Dead })
	slices.SortStableFunc(inactive, func(a, b api.DaemonID) int {
		return s.members[a].changedAt.Compare(s.members[b].changedAt)
	})
	excess := len(inactive) - s.cfg.MaxDeadMembers
	for i, id := range inactive {
		if i >= excess && s.now.Sub(s.members[id].changedAt) < s.cfg.ForgetAfter {
			return
		}
		delete(s.members, id)
		delete(s.updateSends, id)
		delete(s.offsetSends, id)
		s.bumpVersion()
	}
}
