package membership

import (
	"cmp"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// joinPasses is how many runs over other members' lists a new daemon makes
// without waits, as long as the lists differ.
const joinPasses = 4

// pageCursor tells how far the comparison of member lists has come.
type pageCursor struct {
	passes   int // runs over a list that ended; the first few go without waits
	inFlight bool
	after    api.DaemonID
	due      time.Time
	differs  api.DaemonID // a member whose list differs, empty if none is known to
}

// pullState is the fetching of log records from peers.
type pullState struct {
	inFlight bool
	started  time.Time
	highest  api.Offset // at least the offset of each member that is ahead
	behind   time.Time  // since when a peer is known to be ahead; zero when none is
}

// pushState is the spreading of a new own offset.
type pushState struct {
	wanted bool
	due    time.Time
}

// Page is one page of a member list; Next is the name to go on after, empty at
// the end of the list.
type Page struct {
	Members []Member
	NextID  api.DaemonID
}

// Page returns up to limit records after a name. It serves another
// daemon's FetchPage.
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

// fetchIfDue compares one page of the member list with a random member's. It
// repairs what lost messages and bounded piggyback left out.
func (s *State) fetchIfDue() {
	if s.page.inFlight || !s.due(s.page.due) {
		return
	}
	live := s.live()
	if len(live) == 0 {
		return
	}
	source := s.members[s.page.differs]
	if source == nil || source.Status > Suspect {
		source = s.members[live[s.rand.IntN(len(live))]]
	}
	s.page.inFlight = true
	s.emit(FetchPage{Addr: source.PeerAddress, AfterID: s.page.after, Limit: s.cfg.PageMembers})
}

// compareDigest hastens the next page when the sender's list differs.
func (s *State) compareDigest(m *Message) {
	if m.Digest == s.digest {
		s.page.differs = ""
		return
	}
	s.page.differs = m.Sender.ID
	if soon := s.now.Add(s.pageWait()); soon.Before(s.page.due) {
		s.page.due = soon
	}
}

func (s *State) pageReceived(e PageReceived) {
	for _, m := range e.Page.Members {
		s.mergeFromPage(m)
	}
	s.page.inFlight = false
	s.page.after = e.Page.NextID
	s.page.due = s.now.Add(s.pageWait())
	if e.Page.NextID == "" {
		s.page.passes++
		s.page.differs = "" // until the next message shows otherwise
	}
}

func (s *State) pageWait() time.Duration {
	switch {
	case s.page.passes == 0 || s.page.differs != "" && s.page.passes < joinPasses:
		return 0
	case s.page.differs != "":
		return s.cfg.PageDivergedInterval
	}
	return s.cfg.PageInterval
}

func (s *State) pageFailed() {
	s.page.inFlight = false
	s.page.due = s.now.Add(s.cfg.PageDivergedInterval)
}

func (s *State) offsetAdvanced(through api.Offset) {
	if through <= s.self.AppliedOffset {
		return
	}
	s.self.AppliedOffset = through
	s.push.wanted = true
	s.changed()
	s.spreadOffset()
}

// spreadOffset probes a few random members that are not known to have the own
// offset. Each of them does the same once it has caught up.
func (s *State) spreadOffset() {
	if !s.push.wanted || !s.due(s.push.due) || s.self.Status == Left {
		return
	}
	s.push.wanted = false
	s.push.due = s.now.Add(s.cfg.PushInterval)
	behind := s.namesWhere(func(rec *record) bool {
		return rec.Status == Alive && rec.AppliedOffset < s.self.AppliedOffset
	})
	for _, id := range s.pick(behind, s.cfg.PushFanout) {
		s.probe(s.members[id])
	}
}

// pullIfBehind fetches log records from a peer that is ahead, after a moment
// in which the log itself may bring them.
func (s *State) pullIfBehind() {
	if s.pull.highest <= s.self.AppliedOffset {
		s.pull.behind = time.Time{}
		return
	}
	ahead := s.namesWhere(func(rec *record) bool {
		return rec.Status <= Suspect && rec.AppliedOffset > s.self.AppliedOffset
	})
	if len(ahead) == 0 {
		s.pull.highest = 0
		s.pull.behind = time.Time{}
		return
	}
	if s.pull.behind.IsZero() {
		s.pull.behind = s.now
	}
	if s.now.Sub(s.pull.behind) < s.cfg.PullGrace {
		return
	}
	if s.pull.inFlight && s.now.Sub(s.pull.started) < s.cfg.PullTimeout {
		return
	}
	s.pull.inFlight = true
	s.pull.started = s.now
	s.emit(PullTail{Addr: s.members[ahead[s.rand.IntN(len(ahead))]].PeerAddress})
}
