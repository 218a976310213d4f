package membership

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

// relayTimeouts is how many probe timeouts a probe with its indirect probes may take.
const relayTimeouts = 3

// tick does what is due.
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
		s.forget()
		s.probeNext()
	}
	s.spreadOffset()
	s.pullIfBehind()
	s.fetchIfDue()
}

// detectPause withdraws all judgement on others after this process itself was
// frozen: their answers may lie unread.
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

// probeNext sends the one probe of this interval.
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

// nextInRound returns the next member of a shuffled round over all live ones.
func (s *State) nextInRound() (api.DaemonID, bool) {
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[0]
			s.order = s.order[1:]
			if rec := s.members[id]; rec != nil && rec.Status <= Suspect {
				return id, true
			}
		}
		s.order = s.live()
		s.shuffle(s.order)
	}
	return "", false
}

// probeUnreachable probes a seed that is no live member, or a dead member: this is
// how the two sides of a healed partition find each other.
func (s *State) probeUnreachable() bool {
	taken := s.takenAddresses()
	dead := s.namesWhere(func(rec *record) bool { return rec.Status == Dead && !taken[rec.PeerAddress] })
	seeds := slices.DeleteFunc(slices.Clone(s.seeds), func(addr string) bool { return taken[addr] })
	n := len(dead) + len(seeds)
	if n == 0 {
		return false
	}
	// Seeds and dead members take turns, so that many dead ones can't hide the seeds.
	if len(dead) == 0 || len(seeds) > 0 && s.rand.IntN(2) == 0 {
		s.send("", seeds[s.rand.IntN(len(seeds))])
		return true
	}
	s.probe(s.members[dead[s.rand.IntN(len(dead))]])
	return true
}

// takenAddresses returns where live members are, this daemon included.
func (s *State) takenAddresses() map[string]bool {
	taken := map[string]bool{s.self.PeerAddress: true}
	for _, rec := range s.members {
		if rec.Status <= Suspect {
			taken[rec.PeerAddress] = true
		}
	}
	return taken
}

func (s *State) probe(rec *record) { s.send(rec.ID, rec.PeerAddress) }

func (s *State) send(id api.DaemonID, addr string) {
	s.seq++
	s.counters.Probes++
	s.pending[s.seq] = &probe{id: id, addr: addr, sent: s.now}
	s.emit(SendProbe{Seq: s.seq, Addr: addr, Message: s.compose(id), Timeout: s.cfg.ProbeTimeout})
}

// probeAcked takes in an answer, which is as old as the question may be: it can
// have lain in a frozen process.
func (s *State) probeAcked(e ProbeAcked) {
	if p, ok := s.pending[e.Seq]; ok && p.sent.After(s.lastContact) {
		s.lastContact = p.sent
	}
	delete(s.pending, e.Seq)
	s.receive(&e.Message)
}

// expireProbes asks for indirect probes after one timeout and suspects after
// relayTimeouts of them.
func (s *State) expireProbes() {
	for _, seq := range s.pendingSeqs() {
		p := s.pending[seq]
		waited := s.now.Sub(p.sent)
		switch {
		case waited >= relayTimeouts*s.cfg.ProbeTimeout:
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

// probeFailed asks other members to probe the target, once a probe.
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
	others := s.namesWhere(func(o *record) bool { return o.Status == Alive && o.ID != p.id })
	for _, via := range s.pick(others, s.cfg.IndirectProbes) {
		s.counters.IndirectProbes++
		s.emit(SendIndirectProbe{Seq: seq, RelayAddress: s.members[via].PeerAddress, TargetAddress: p.addr, Timeout: 2 * s.cfg.ProbeTimeout})
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
	due := s.namesWhere(func(rec *record) bool {
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

// leave spreads the own departure at once; the daemon answers nothing to
// refute it later.
func (s *State) leave() {
	if s.self.Status == Left {
		return
	}
	s.updateDigest(&s.self, false)
	s.self.Status = Left
	s.raiseIncarnation(s.self.Incarnation + 1)
	for _, id := range s.pick(s.live(), s.cfg.LeaveNotifications) {
		s.probe(s.members[id])
	}
}

// due reports whether a time has come; a zero time always has.
func (s *State) due(t time.Time) bool { return !s.now.Before(t) }
