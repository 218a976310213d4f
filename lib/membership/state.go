package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// Rand yields random numbers in [0, n).
type Rand interface{ IntN(n int) int }

// Counters of what the protocol did since the start.
type Counters struct {
	Probes         int64 // direct probes sent
	IndirectProbes int64 // indirect probes asked for
	Suspicions     int64 // members this daemon began to suspect
	Deaths         int64 // members recorded as dead
	Refutations    int64 // own incarnations raised against a false record
	Pauses         int64 // gaps in which this process was frozen
}

// record is a member with local times.
type record struct {
	Member
	changed      time.Time // of the last change of status or incarnation
	suspectUntil time.Time // then dead, while Status is Suspect
}

// probe is a direct probe without an answer so far.
type probe struct {
	id       api.DaemonID // empty for a seed
	addr     string
	sent     time.Time
	indirect bool // indirect probes were asked for
}

// State is the membership as one daemon sees it. It is not safe for
// concurrent use.
type State struct {
	cfg         Config
	self        Member
	seeds       []string
	members     map[api.DaemonID]*record // without self
	updateSends map[api.DaemonID]int     // times that a changed record was sent
	offsetSends map[api.DaemonID]int     // times that a changed offset was sent
	pending     map[uint64]*probe
	order       []api.DaemonID // of the probe round under way
	seq         uint64
	probes      uint64
	version     uint64
	digest      uint64 // of the live members, self included
	counters    Counters

	lastTick    time.Time
	lastContact time.Time
	resumedAt   time.Time // when this process last went on after it was frozen
	nextProbe   time.Time
	page        pageCursor
	pull        pullState
	push        pushState

	now  time.Time // of the step under way
	rand Rand      // of the step under way
	out  []Action  // of the step under way
}

const (
	// pauseGap is the time between two steps, which ticks keep close, above
	// which this process was frozen.
	pauseGap = 500 * time.Millisecond
	// staleReadPeriod is how long after it messages may be older than they seem:
	// they may have lain unread.
	staleReadPeriod = time.Second
)

// New returns the state of a daemon that knows only itself and the seeds.
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

// Step handles one event and returns the actions it leads to. A random number
// is drawn from r alone.
func (s *State) Step(e Event, now time.Time, r Rand) []Action {
	if now.Sub(s.now) > pauseGap {
		s.resumedAt = now
	}
	s.now, s.rand, s.out = now, r, nil
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
	return s.out
}

// Self returns this daemon's own record.
func (s *State) Self() Member { return s.self }

// Version changes whenever Members would return something else.
func (s *State) Version() uint64 { return s.version }

// Counters returns what was done since the start.
func (s *State) Counters() Counters { return s.counters }

// LastContact returns when another daemon last was in touch for certain; zero
// for never.
func (s *State) LastContact() time.Time { return s.lastContact }

// Members returns all records including the own one, by name.
func (s *State) Members() []Member {
	all := make([]Member, 0, len(s.members)+1)
	all = append(all, s.self)
	for _, rec := range s.members {
		all = append(all, rec.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Compose returns a message to the named daemon, for a probe made in place of
// another member's.
func (s *State) Compose(to api.DaemonID, r Rand) Message {
	s.rand = r
	return s.compose(to)
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

func (s *State) changed() { s.version++ }

// live returns the sorted names of other members that are alive or suspect.
func (s *State) live() []api.DaemonID {
	return s.namesWhere(func(rec *record) bool { return rec.Status <= Suspect })
}

func (s *State) namesWhere(keep func(*record) bool) []api.DaemonID {
	var names []api.DaemonID
	for id, rec := range s.members {
		if keep(rec) {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// pick returns up to n random elements of names, which it reorders.
func (s *State) pick(names []api.DaemonID, n int) []api.DaemonID {
	s.shuffle(names)
	return names[:min(n, len(names))]
}

func (s *State) shuffle(names []api.DaemonID) {
	for i := len(names) - 1; i > 0; i-- {
		j := s.rand.IntN(i + 1)
		names[i], names[j] = names[j], names[i]
	}
}

// rounds is the number of gossip rounds in which a record reaches all members.
func (s *State) rounds() int { return bits.Len(uint(len(s.members) + 1)) }
