package membership

import (
	"cmp"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// joinPasses is the number of passes over member lists that a new daemon makes
// without waiting between pages, while lists differ.
const joinPasses = 4

// pageCursor is the progress of the comparison with other members' lists.
type pageCursor struct {
	passes          int // completed passes over a list
	inFlight        bool
	after           api.DaemonID
	due             time.Time
	differingMember api.DaemonID // a member whose list differs; empty: none known
}

// pullState is the state of pulling configuration records from members.
type pullState struct {
	inFlight    bool
	startedAt   time.Time
	highest     api.Offset // upper bound of the members' offsets
	behindSince time.Time  // time since which a member is ahead; zero: none is
}

// pushState is the state of pushing this daemon's applied offset to members.
type pushState struct {
	wanted bool
	due    time.Time
}

// Page is a page of a member list. NextID is the ID after which the next page
// starts; it is empty on the last page.
type Page struct {
	Members []Member
	NextID  api.DaemonID
}

// Page returns up to limit records after an ID, and at most PageMembers. It serves
// the FetchPage of another daemon.
func (s *State) Page(after api.DaemonID, limit int) Page {
	all := s.Members()
	start, found := slices.BinarySearchFunc(all, after, func(m Member, id api.DaemonID) int {
		return cmp.Compare(m.ID, id)
	})
	if found {
		start++
	}
	limit = max(1, min(limit, s.cfg.PageMembers))
	end := min(start+limit, len(all))
	if end >= len(all) {
		return Page{Members: all[start:]}
	}
	return Page{Members: all[start:end], NextID: all[end-1].ID}
}

// fetchIfDue requests a page of the member list of a random member, or of one whose
// list differs. Pages bring records that were not received by gossip because of
// lost messages or the piggyback limits.
func (s *State) fetchIfDue() {
	if s.page.inFlight || !s.due(s.page.due) {
		return
	}
	live := s.liveIDs()
	if len(live) == 0 {
		return
	}
	source := s.members[s.page.differingMember]
	if source == nil || source.Status > Suspect {
		source = s.members[live[s.rand.IntN(len(live))]]
	}
	s.page.inFlight = true
	s.emit(FetchPage{Address: source.PeerAddress, AfterID: s.page.after, Limit: s.cfg.PageMembers})
}

// compareDigest requests the next page earlier if the sender's list differs.
func (s *State) compareDigest(m *Message) {
	if m.Digest == s.digest {
		s.page.differingMember = ""
		return
	}
	s.page.differingMember = m.Sender.ID
	if soon := s.now.Add(s.pageInterval()); soon.Before(s.page.due) {
		s.page.due = soon
	}
}

func (s *State) pageReceived(e PageReceived) {
	for _, m := range e.Page.Members {
		s.mergeFromPage(m)
	}
	s.page.inFlight = false
	s.page.after = e.Page.NextID
	s.page.due = s.now.Add(s.pageInterval())
	if e.Page.NextID == "" {
		s.page.passes++
		s.page.differingMember = "" // until the next message with a different digest
	}
}

func (s *State) pageInterval() time.Duration {
	switch {
	case s.page.passes == 0 || s.page.differingMember != "" && s.page.passes < joinPasses:
		return 0
	case s.page.differingMember != "":
		return s.cfg.PageDivergedInterval
	}
	return s.cfg.PageInterval
}

func (s *State) pageFailed() {
	s.page.inFlight = false
	s.page.due = s.now.Add(s.cfg.PageDivergedInterval)
}

func (s *State) offsetAdvanced(applied api.Offset) {
	if applied <= s.self.AppliedOffset {
		return
	}
	s.self.AppliedOffset = applied
	s.push.wanted = true
	s.bumpVersion()
	s.spreadOffset()
}

// spreadOffset probes a few random members that are not known to have this
// daemon's offset. Each of them does the same after it has applied the records.
func (s *State) spreadOffset() {
	if !s.push.wanted || !s.due(s.push.due) || s.self.Status == Left {
		return
	}
	s.push.wanted = false
	s.push.due = s.now.Add(s.cfg.PushInterval)
	behind := s.selectIDs(func(rec *record) bool {
		return rec.Status == Alive && rec.AppliedOffset < s.self.AppliedOffset
	})
	for _, id := range s.pickRandom(behind, s.cfg.PushFanout) {
		s.probe(s.members[id])
	}
}

// pullIfBehind pulls records from a member if one has been ahead for PullGrace, the
// time that this daemon has to read them from the log.
func (s *State) pullIfBehind() {
	if s.pull.highest <= s.self.AppliedOffset {
		s.pull.behindSince = time.Time{}
		return
	}
	ahead := s.selectIDs(func(rec *record) bool {
		return rec.Status <= Suspect && rec.AppliedOffset > s.self.AppliedOffset
	})
	if len(ahead) == 0 {
		s.pull.highest = 0
		s.pull.behindSince = time.Time{}
		return
	}
	if s.pull.behindSince.IsZero() {
		s.pull.behindSince = s.now
	}
	if s.now.Sub(s.pull.behindSince) < s.cfg.PullGrace {
		return
	}
	if s.pull.inFlight && s.now.Sub(s.pull.startedAt) < s.cfg.PullTimeout {
		return
	}
	s.pull.inFlight = true
	s.pull.startedAt = s.now
	s.emit(PullTail{Address: s.members[ahead[s.rand.IntN(len(ahead))]].PeerAddress})
}
