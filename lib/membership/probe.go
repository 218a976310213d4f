package membership

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

// maxProbeTimeouts is the maximum duration of a probe and its indirect probes, in
// probe timeouts.
const maxProbeTimeouts = 3

// tick runs the periodic work that is due.
func (s *State) tick() {
	s.detectPause()
	s.lastTick = s.now
	if s.self.Status == Left {
		return
	}
	s.expireProbes()
	if s.due(s.nextProbe) {
		s.nextProbe = s.now.Add(s.cfg.ProbeInterval)
		s.expireSuspects()
		s.removeExpired()
		s.probeNext()
	}
	s.spreadOffset()
	s.pullIfBehind()
	s.fetchIfDue()
}

// detectPause drops pending probes and extends suspicions after this process was
// paused, because replies may be waiting to be read.
func (s *State) detectPause() {
	gap := s.now.Sub(s.lastTick)
	if gap <= s.cfg.PauseAfter {
		return
	}
	s.counters.Pauses++
	clear(s.pending)
	for _, rec := range s.members {
		rec.suspectUntil = rec.suspectUntil.Add(gap)
	}
}

// probeNext sends the probe of this interval.
func (s *State) probeNext() {
	s.probes++
	id, ok := s.nextInRound()
	if !ok || s.probes%uint64(s.cfg.ReconnectProbeEvery) == 0 {
		if s.probeUnreachable() {
			return
		}
	}
	if ok {
		s.probe(s.members[id])
	}
}

// nextInRound returns the next member of a round over all live members in random
// order.
func (s *State) nextInRound() (api.DaemonID, bool) {
	for range 2 {
		for len(s.probeOrder) > 0 {
			id := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			if rec := s.members[id]; rec != nil && rec.Status <= Suspect {
				return id, true
			}
		}
		s.probeOrder = s.liveIDs()
		s.shuffle(s.probeOrder)
	}
	return "", false
}

// probeUnreachable probes a dead member, or a seed that is not a live member, so
// that the two sides of a healed partition find each other. It reports whether
// there was one.
func (s *State) probeUnreachable() bool {
	live := s.liveAddresses()
	dead := s.selectIDs(func(rec *record) bool { return rec.Status == Dead && !live[rec.PeerAddress] })
	seeds := slices.DeleteFunc(slices.Clone(s.seeds), func(addr string) bool { return live[addr] })
	n := len(dead) + len(seeds)
	if n == 0 {
		return false
	}
	// The choice between seeds and dead members is even, so that seeds are probed
	// even if there are many dead members.
	if len(dead) == 0 || len(seeds) > 0 && s.rand.IntN(2) == 0 {
		s.sendProbe("", seeds[s.rand.IntN(len(seeds))])
		return true
	}
	s.probe(s.members[dead[s.rand.IntN(len(dead))]])
	return true
}

// liveAddresses returns the addresses of live members, this daemon included.
func (s *State) liveAddresses() map[string]bool {
	live := map[string]bool{s.self.PeerAddress: true}
	for _, rec := range s.members {
		if rec.Status <= Suspect {
			live[rec.PeerAddress] = true
		}
	}
	return live
}

func (s *State) probe(rec *record) { s.sendProbe(rec.ID, rec.PeerAddress) }

func (s *State) sendProbe(id api.DaemonID, addr string) {
	s.seq++
	s.counters.Probes++
	s.pending[s.seq] = &probe{id: id, addr: addr, sentAt: s.now}
	s.emit(SendProbe{Seq: s.seq, Address: addr, Message: s.compose(id), Timeout: s.cfg.ProbeTimeout})
}

// probeAcked handles a reply. It counts as contact at the time of the probe,
// because it may have waited in a paused process since then.
func (s *State) probeAcked(e ProbeAcked) {
	if p, ok := s.pending[e.Seq]; ok && p.sentAt.After(s.lastContact) {
		s.lastContact = p.sentAt
	}
	delete(s.pending, e.Seq)
	s.receive(&e.Message)
}

// expireProbes sends indirect probes after one probe timeout and suspects the
// target after maxProbeTimeouts of them.
func (s *State) expireProbes() {
	for _, seq := range s.pendingSeqs() {
		p := s.pending[seq]
		waited := s.now.Sub(p.sentAt)
		switch {
		case waited >= maxProbeTimeouts*s.cfg.ProbeTimeout:
			delete(s.pending, seq)
			s.suspect(p.id)
		case waited >= s.cfg.ProbeTimeout:
			s.probeFailed(seq)
		}
	}
}

func (s *State) pendingSeqs() []uint64 {
	seqs := make([]uint64, 0, len(s.pending))
	for seq := range s.pending {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs
}

// probeFailed sends the indirect probes of a probe, once.
func (s *State) probeFailed(seq uint64) {
	p := s.pending[seq]
	if p == nil || p.indirect {
		return
	}
	rec := s.members[p.id]
	if rec == nil || rec.Status >= Dead {
		delete(s.pending, seq)
		return
	}
	p.indirect = true
	others := s.selectIDs(func(o *record) bool { return o.Status == Alive && o.ID != p.id })
	for _, relay := range s.pickRandom(others, s.cfg.IndirectProbes) {
		s.counters.IndirectProbes++
		s.emit(SendIndirectProbe{Seq: seq, RelayAddress: s.members[relay].PeerAddress, TargetAddress: p.addr, Timeout: 2 * s.cfg.ProbeTimeout})
	}
}

func (s *State) suspect(id api.DaemonID) {
	rec := s.members[id]
	if rec == nil || rec.Status != Alive {
		return
	}
	s.counters.Suspicions++
	s.setStatus(rec, Suspect)
}

func (s *State) expireSuspects() {
	due := s.selectIDs(func(rec *record) bool {
		return rec.Status == Suspect && !s.now.Before(rec.suspectUntil)
	})
	for _, id := range due {
		s.setStatus(s.members[id], Dead)
	}
}

func (s *State) stopStarted() {
	if s.self.Stopping {
		return
	}
	s.self.Stopping = true
	s.raiseIncarnation(s.self.Incarnation + 1)
}

// leave notifies some members of the departure at once. Afterwards the daemon does
// not refute records about itself.
func (s *State) leave() {
	if s.self.Status == Left {
		return
	}
	s.updateDigest(&s.self, false)
	s.self.Status = Left
	s.raiseIncarnation(s.self.Incarnation + 1)
	for _, id := range s.pickRandom(s.liveIDs(), s.cfg.LeaveNotifications) {
		s.probe(s.members[id])
	}
}

// due reports whether t is not in the future; a zero time is always due.
func (s *State) due(t time.Time) bool { return !s.now.Before(t) }
