package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// Rand returns random numbers in [0, n).
type Rand interface{ IntN(n int) int }

// Counters counts protocol events since the start.
type Counters struct {
	Probes         int64 // direct probes sent
	IndirectProbes int64 // indirect probes requested
	Suspicions     int64 // members that this daemon suspected
	Deaths         int64 // members that became dead in the member list
	Refutations    int64 // increases of this daemon's incarnation because of a wrong record
	Pauses         int64 // pauses of this process
}

// record is a member with local times.
type record struct {
	Member
	changedAt    time.Time // last change of status or incarnation
	suspectUntil time.Time // time at which a suspect becomes dead
}

// probe is a direct probe without a reply so far.
type probe struct {
	id       api.DaemonID // empty for a seed
	addr     string
	sentAt   time.Time
	indirect bool // indirect probes were sent
}

// State is one daemon's view of the membership. It is not safe for concurrent use.
type State struct {
	cfg         Config
	self        Member
	seeds       []string
	members     map[api.DaemonID]*record // without self
	updateSends map[api.DaemonID]int     // changed records queued for gossip, with their sends
	offsetSends map[api.DaemonID]int     // changed offsets queued for gossip, with their sends
	pending     map[uint64]*probe
	probeOrder  []api.DaemonID // rest of the current probe round
	seq         uint64
	probes      uint64
	version     uint64
	digest      uint64 // hash of the live members, self included
	counters    Counters

	lastTick    time.Time
	lastContact time.Time
	resumedAt   time.Time // end of the last pause of this process
	nextProbe   time.Time
	page        pageCursor
	pull        pullState
	push        pushState

	// Arguments and result of the current step.
	now     time.Time
	rand    Rand
	actions []Action
}

const (
	// pauseGap is the time between two steps above which this process was paused;
	// ticks make steps more frequent than that.
	pauseGap = 500 * time.Millisecond
	// staleReadPeriod is the time after a pause in which received messages may be
	// old, because they waited to be read.
	staleReadPeriod = time.Second
)

// New returns the state of a daemon that knows only itself and the seed addresses.
func New(cfg Config, self Member, seeds []string, now time.Time) *State {
	self.Status = Alive
	s := &State{
		cfg:         cfg,
		self:        self,
		seeds:       slices.Clone(seeds),
		members:     map[api.DaemonID]*record{},
		updateSends: map[api.DaemonID]int{self.ID: 0},
		offsetSends: map[api.DaemonID]int{},
		pending:     map[uint64]*probe{},
		lastTick:    now,
		now:         now,
		nextProbe:   now,
	}
	s.updateDigest(&self, true)
	return s
}

// Step handles an event and returns the resulting actions. All random numbers come
// from r.
func (s *State) Step(e Event, now time.Time, r Rand) []Action {
	if now.Sub(s.now) > pauseGap {
		s.resumedAt = now
	}
	s.now, s.rand, s.actions = now, r, nil
	switch e := e.(type) {
	case Tick:
		s.tick()
	case ProbeReceived:
		s.receive(&e.Message)
		s.emit(Reply{Token: e.Token, Message: s.compose(e.Message.Sender.ID)})
	case ProbeAcked:
		s.probeAcked(e)
	case ProbeFailed:
		s.probeFailed(e.Seq)
	case IndirectProbeAcked:
		delete(s.pending, e.Seq)
	case ProbeNotSent:
		delete(s.pending, e.Seq)
	case PageReceived:
		s.pageReceived(e)
	case PageFailed:
		s.pageFailed()
	case TailDone:
		s.pull.inFlight = false
	case OffsetAdvanced:
		s.offsetAdvanced(e.AppliedOffset)
	case SeedsChanged:
		s.seeds = slices.Clone(e.Seeds)
	case StopStarted:
		s.stopStarted()
	case Leave:
		s.leave()
	}
	return s.actions
}

// Self returns this daemon's own record.
func (s *State) Self() Member { return s.self }

// Version changes whenever the result of Members changes.
func (s *State) Version() uint64 { return s.version }

// Counters returns the counters since the start.
func (s *State) Counters() Counters { return s.counters }

// LastContact returns the latest time at which another daemon was certainly
// reachable; zero if none was. Messages that may be old do not count.
func (s *State) LastContact() time.Time { return s.lastContact }

// Members returns all records, this daemon's included, sorted by ID.
func (s *State) Members() []Member {
	all := make([]Member, 0, len(s.members)+1)
	all = append(all, s.self)
	for _, rec := range s.members {
		all = append(all, rec.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Compose returns a message to a daemon, for an indirect probe on behalf of another
// member.
func (s *State) Compose(to api.DaemonID, r Rand) Message {
	s.rand = r
	return s.compose(to)
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) bumpVersion() { s.version++ }

// liveIDs returns the sorted IDs of other members that are alive or suspect.
func (s *State) liveIDs() []api.DaemonID {
	return s.selectIDs(func(rec *record) bool { return rec.Status <= Suspect })
}

func (s *State) selectIDs(keep func(*record) bool) []api.DaemonID {
	var ids []api.DaemonID
	for id, rec := range s.members {
		if keep(rec) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pickRandom returns up to n random elements of ids, which it reorders.
func (s *State) pickRandom(ids []api.DaemonID, n int) []api.DaemonID {
	s.shuffle(ids)
	return ids[:min(n, len(ids))]
}

func (s *State) shuffle(ids []api.DaemonID) {
	for i := len(ids) - 1; i > 0; i-- {
		j := s.rand.IntN(i + 1)
		ids[i], ids[j] = ids[j], ids[i]
	}
}

// rounds returns the number of gossip rounds in which a record reaches all members.
func (s *State) rounds() int { return bits.Len(uint(len(s.members) + 1)) }
