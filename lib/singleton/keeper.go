package singleton

import (
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
)

// Config configures a Keeper. All times are by a clock that also counts the time in which the
// host is suspended.
type Config struct {
	Duty    Duty
	Self    api.DaemonID
	Process string // unique to this start of the daemon
	// Lease is how long a term lasts after its last renewal was sent.
	Lease time.Duration
	// FencesChecked is set if the platform refuses calls with too low a fencing token.
	FencesChecked bool
	// LateCalls is how long after a call without a response it may be executed.
	LateCalls time.Duration
	// RankDelay is how long each candidate waits for the one ranked before it.
	RankDelay time.Duration
	// RetryInterval is the time between two calls to the store after one that failed.
	RetryInterval time.Duration
	// FailureLimit is the number of calls in a row without a response after which the duty is
	// handed on, and Absence the time for which this daemon is then no candidate. It doubles
	// with each time in a row, up to MaxAbsence.
	FailureLimit        int
	Absence, MaxAbsence time.Duration
}

const (
	renewalsPerLease = 3  // two in a row may fail
	marginPart       = 10 // of a lease: a holder stops so much earlier, a candidate waits so much longer
	maxEarlier       = 4  // holders of earlier terms in a record
)

func (c Config) margin() time.Duration       { return c.Lease / marginPart }
func (c Config) pollInterval() time.Duration { return c.Lease / renewalsPerLease }

// Record is what the store says about a duty.
type Record struct {
	Holder  api.DaemonID
	Process string
	Fence   uint64
	Renewal uint64 // number of the append within the process
	// Released is set if the holder has ended its term, and Unsettled if a call that it made
	// may still be executed.
	Released, Unsettled bool
	// Earlier are the holders of earlier terms, latest first.
	Earlier []api.DaemonID
}

// Stored is the record of a duty and the end of its topic, as of a read.
type Stored struct {
	Record *Record // nil: there is none
	End    uint64
}

// Action is what a Keeper wants done.
type Action struct {
	// Read is set if the record is to be read.
	Read bool
	// Append is to be appended if the topic ends at At; nil: nothing.
	Append *Record
	At     uint64
}

// Input is what a decision depends on besides the record.
type Input struct {
	// Rank is this daemon's place among the candidates; negative: it is none.
	Rank int
	// Leaving is set if this daemon is about to stop.
	Leaving bool
}

// Keeper decides for one daemon when it acquires, renews and releases the term of a duty. One
// process at a time holds a term: it stops before its lease has run out, counted from when the
// renewal was sent, and a candidate takes over after the same renewal has stood for longer than
// a lease, counted while the store responded. Daemons that aren't candidates read nothing. It is
// not safe for concurrent use.
type Keeper struct {
	cfg      Config
	stored   Stored
	known    bool // stored is the newest as far as is known
	readAt   time.Duration
	triedAt  time.Duration // last call to the store
	tried    bool
	everRead bool

	// What a candidate has seen of the present record.
	watched     time.Duration // how long the store has shown it
	shownAt     time.Duration // until when that was counted
	vacantSince time.Duration
	vacant      bool

	// This process's terms.
	appends   uint64                   // number of the last append
	sentAt    map[uint64]time.Duration // by number of the append, while its outcome matters
	fence     uint64                   // of the present term; 0: none
	end       time.Duration            // of the term, by the last renewal known to be stored
	from      time.Duration            // before which no call is made
	wait      time.Duration            // until the first call of the term being acquired
	renewedAt time.Duration            // when the last renewal was sent
	handOn    bool                     // the term is to be released
	ended     uint64                   // highest fence under which no call may be made any more
	failures  int                      // calls in a row without a response
	unsettled time.Duration            // until when a call without a response may be executed
	absences  int                      // times in a row that the duty was handed on
	awayUntil time.Duration
}

// NewKeeper returns a Keeper that holds no term.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, sentAt: make(map[uint64]time.Duration)}
}

// Term returns the term that the store gives this process, whether or not it covers the present.
// It returns false if there is none, or if no call may be made under it any more.
func (k *Keeper) Term() (Term, bool) {
	if k.fence == 0 || k.handOn || k.fence <= k.ended {
		return Term{}, false
	}
	return Term{Duty: k.cfg.Duty, Fence: k.fence, From: k.from, End: k.end}, true
}

// Holding reports whether the store names this process as the holder, as far as is known.
func (k *Keeper) Holding() bool { return k.fence != 0 }

// Record returns the record as last read; nil if there is none.
func (k *Keeper) Record() *Record { return k.stored.Record }

// Next returns what is to be done now.
func (k *Keeper) Next(now time.Duration, in Input) Action {
	interested := in.Rank >= 0 && !in.Leaving && now >= k.awayUntil
	switch {
	case k.tried && !k.known && now-k.triedAt < k.cfg.RetryInterval:
		return Action{}
	case !k.known && (interested || k.fence != 0):
		return Action{Read: true}
	case !k.known:
		return Action{}
	case k.fence != 0:
		return k.keep(now, in)
	case !interested:
		k.known, k.vacant = false, false // what was read grows old
		return Action{}
	default:
		return k.contend(now, in)
	}
}

// keep returns the holder's next action.
func (k *Keeper) keep(now time.Duration, in Input) Action {
	if in.Leaving || k.handOn || k.fence <= k.ended {
		r := *k.stored.Record
		k.ended = max(k.ended, k.fence) // the release may be executed whatever becomes of the call
		r.Released, r.Unsettled = true, now < k.unsettled
		return k.append(now, r)
	}
	if now-k.renewedAt < k.cfg.pollInterval() {
		return Action{}
	}
	return k.append(now, *k.stored.Record)
}

// contend returns a candidate's next action.
func (k *Keeper) contend(now time.Duration, in Input) Action {
	r := k.stored.Record
	free := r == nil || r.Released || k.watched >= k.cfg.Lease+k.cfg.margin()
	if !free {
		left := k.cfg.Lease + k.cfg.margin() - k.watched
		if now-k.readAt >= min(k.cfg.pollInterval(), max(left, k.cfg.RetryInterval)) {
			return Action{Read: true}
		}
		return Action{}
	}
	if !k.vacant {
		k.vacant, k.vacantSince = true, now
	}
	if now-k.vacantSince < time.Duration(in.Rank)*k.cfg.RankDelay {
		if now-k.readAt >= k.cfg.RankDelay {
			return Action{Read: true}
		}
		return Action{}
	}
	return k.append(now, k.acquisition(r))
}

// acquisition returns the record that begins a term after that of r.
func (k *Keeper) acquisition(r *Record) Record {
	next := Record{Holder: k.cfg.Self, Process: k.cfg.Process, Fence: k.stored.End + 1}
	k.wait = 0
	if r == nil {
		return next
	}
	next.Fence = max(next.Fence, r.Fence+1)
	next.Earlier = append([]api.DaemonID{r.Holder}, r.Earlier...)
	next.Earlier = next.Earlier[:min(len(next.Earlier), maxEarlier)]
	if !k.cfg.FencesChecked && (!r.Released || r.Unsettled) {
		k.wait = k.cfg.LateCalls
	}
	if r.Holder != k.cfg.Self && slices.Contains(r.Earlier, k.cfg.Self) {
		// Holders may not take turns within a lease.
		k.wait = max(k.wait, k.cfg.Lease+k.cfg.margin())
	}
	return next
}

func (k *Keeper) append(now time.Duration, r Record) Action {
	k.appends++
	r.Renewal = k.appends
	k.sentAt[k.appends] = now
	if !r.Released {
		k.renewedAt = now
	}
	return Action{Append: &r, At: k.stored.End}
}

// ReadDone notes the result of a read that was sent at sent and ended at now.
func (k *Keeper) ReadDone(sent, now time.Duration, s Stored) {
	gap := sent - k.shownAt // the record may have changed since the read was executed
	same := k.everRead && sameRecord(s.Record, k.stored.Record)
	switch {
	case !same:
		k.watched, k.vacant, k.shownAt = 0, false, now
	case gap <= 2*k.cfg.pollInterval():
		// A longer gap is time in which the store didn't respond or this host was suspended.
		k.watched += max(0, gap)
		k.shownAt = max(k.shownAt, sent)
	default:
		k.shownAt = now
	}
	k.stored, k.known, k.everRead, k.readAt, k.triedAt, k.tried = s, true, true, now, now, true
	k.settle(now)
}

func sameRecord(a, b *Record) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Process == b.Process && a.Fence == b.Fence && a.Renewal == b.Renewal && a.Released == b.Released
}

// CallFailed notes that a read or an append failed at now. The append may be executed later.
func (k *Keeper) CallFailed(now time.Duration) { k.known, k.triedAt, k.tried = false, now, true }

// Appended notes that a record was appended, after which the topic ends at end.
func (k *Keeper) Appended(now time.Duration, r Record, end uint64) {
	k.stored, k.known, k.everRead, k.readAt, k.triedAt, k.tried = Stored{Record: &r, End: end}, true, true, now, now, true
	k.watched, k.vacant = 0, false
	k.settle(now)
}

// settle draws the conclusions from a record that was read or appended at now.
func (k *Keeper) settle(now time.Duration) {
	r := k.stored.Record
	if r == nil || r.Process != k.cfg.Process || r.Released {
		k.fence, k.handOn = 0, false
		return
	}
	if k.fence != r.Fence {
		k.fence, k.from, k.handOn = r.Fence, now+k.wait, false
	}
	if sent, ok := k.sentAt[r.Renewal]; ok {
		k.end = sent + k.cfg.Lease - k.cfg.margin()
	}
	maps.DeleteFunc(k.sentAt, func(n uint64, _ time.Duration) bool { return n < r.Renewal })
}

// Fenced notes that the platform has refused a call under a term because of a higher fence.
func (k *Keeper) Fenced(t Term) { k.ended = max(k.ended, t.Fence) }

// CallEnded notes the end of a call under a term at now: whether the platform responded.
func (k *Keeper) CallEnded(now time.Duration, t Term, responded bool) {
	if responded {
		k.failures, k.absences = 0, 0
		return
	}
	k.unsettled = now + k.cfg.LateCalls
	k.failures++
	if t.Fence == k.fence && k.failures >= k.cfg.FailureLimit {
		k.failures, k.handOn = 0, true
		k.awayUntil = now + min(k.cfg.MaxAbsence, k.cfg.Absence<<min(k.absences, 8))
		k.absences++
	}
}
