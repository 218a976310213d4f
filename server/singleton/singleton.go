// Package singleton runs the duties that keep this daemon's terms, one for each duty of which
// there must be only one holder. Each holds its record in a keyed topic of the store.
package singleton

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/ring"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/server/jobreplica"
	"go.uber.org/zap"
)

var (
	fencesHeld = expvar.NewMap("duty_fences")     // fencing token by duty; 0: not held
	heldSince  = expvar.NewMap("duty_held_since") // Unix seconds, by duty; 0: not held
	storeCalls = expvar.NewMap("duty_store_calls")
)

// Config configures the Keepers.
type Config struct {
	Keeper     decision.Config // of all duties; without the duty
	Duties     []decision.Duty
	Candidates int // daemons that watch a duty
	// CallsPerSecond is the platform's limit on the calls of all daemons; 0: none.
	CallsPerSecond float64
	Tick, IdleTick time.Duration // the latter while this daemon is no candidate
	CallTimeout    time.Duration // of a call to the store
	LeaveTimeout   time.Duration // of the release of a term
	RankInterval   time.Duration // between two looks at the live daemons
	// MinImageLevel is the level of images from which on a daemon's build knows duties. Others
	// are no candidates.
	MinImageLevel int
	Roster        leases.Roster
	// MaxReadAge is the age of the last full read of the journal up to which the live daemons
	// count as known.
	MaxReadAge time.Duration
	Now        func() time.Time
	Boot       func() time.Duration // clock that also counts suspension
}

// Deps are the dependencies of the Keepers.
type Deps struct {
	Topic        func(d decision.Duty) journal.Keyed
	Snapshot     func() *jobreplica.Snapshot
	LastFullRead func() time.Time
	// Wanted reports whether the configuration in force asks for a duty.
	Wanted func(d decision.Duty) bool
	// Time returns the true time, if this daemon knows it. The holder's is part of its record.
	Time func() (time.Time, bool)
	// OnStamp is told of the time in another daemon's record that changed between two reads,
	// the first of which began at after and the second ended at before, by Config.Boot.
	OnStamp func(stamp time.Time, after, before time.Duration)
	// Plausible reports whether another daemon's time, which it stored a moment ago, agrees with
	// the time that this daemon knows.
	Plausible func(stamp time.Time) bool
}

// Keepers keep the terms of this daemon.
type Keepers struct {
	cfg     Config
	keepers map[decision.Duty]*keeper
}

var _ decision.Terms = (*Keepers)(nil)

// Start starts a duty for each of Config.Duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Keepers {
	s := &Keepers{cfg: cfg, keepers: make(map[decision.Duty]*keeper, len(cfg.Duties))}
	for _, d := range cfg.Duties {
		k := newKeeper(cfg, deps, d, log)
		k.duty = duty.Start(sys, duty.Config{Name: "keeper-" + string(d), RingSize: 16, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[any](k))
		s.keepers[d] = k
	}
	return s
}

// Current implements decision.Terms.
func (s *Keepers) Current(d decision.Duty) (decision.Term, bool) {
	k, ok := s.keepers[d]
	if !ok {
		return decision.Term{}, false
	}
	return k.current()
}

// Fenced implements decision.Terms.
func (s *Keepers) Fenced(t decision.Term) {
	if k, ok := s.keepers[t.Duty]; ok {
		k.post(fenced{t})
	}
}

// Unreachable implements decision.Terms.
func (s *Keepers) Unreachable(t decision.Term) {
	if k, ok := s.keepers[t.Duty]; ok {
		k.post(callEnded{term: t})
	}
}

// Leave releases all terms, and returns when that is stored or takes too long. No call may be
// under way, and none may follow.
func (s *Keepers) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.LeaveTimeout)
	defer cancel()
	var released []*ring.Slot[struct{}]
	for _, k := range s.keepers {
		m := leave{done: ring.NewSlot[struct{}]()}
		k.post(m)
		released = append(released, m.done)
	}
	for _, r := range released {
		_, _ = r.Wait(ctx) // others take over after the lease
	}
}

// Stop stops the duties without a release. Errors: ctx.Err().
func (s *Keepers) Stop(ctx context.Context) error {
	for _, k := range s.keepers {
		if err := k.duty.Stop(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Messages of a keeper.
type (
	fenced    struct{ term decision.Term }
	callEnded struct {
		term      decision.Term
		responded bool
	}
	leave struct{ done *ring.Slot[struct{}] }
)

// keeper keeps the term of one duty. The fields from keeper on are accessed only on the duty.
type keeper struct {
	cfg  Config
	deps Deps
	name decision.Duty
	log  *zap.Logger
	duty *duty.Duty[any]
	// term is the present one, and refused the highest fence that the platform refused.
	term    atomic.Pointer[decision.Term]
	refused atomic.Uint64

	keeper  *decision.Keeper
	topic   journal.Keyed
	rank    int
	rankAt  time.Time
	leaving []leave
	// Of the last record of another daemon: its time, and when its read began.
	lapsed  bool // the term has run out
	stamp   time.Time
	stampAt time.Duration
	// checkUntil is until when this daemon's time is compared with the holder's; 0: the
	// comparison has not begun, negative: it has ended.
	checkUntil time.Duration
	failedAt   time.Duration // last call without a response that was counted
}

func newKeeper(cfg Config, deps Deps, d decision.Duty, log *zap.Logger) *keeper {
	c := cfg.Keeper
	c.Duty = d
	fencesHeld.Set(string(d), new(expvar.Int))
	heldSince.Set(string(d), new(expvar.Int))
	return &keeper{cfg: cfg, deps: deps, name: d, log: log.With(zap.String("duty", string(d))), keeper: decision.NewKeeper(c), topic: deps.Topic(d), rank: -1}
}

func (k *keeper) post(m any) {
	if f, ok := m.(fenced); ok {
		k.raiseRefused(f.term.Fence)
	}
	if err := k.duty.Post(m); err != nil {
		k.log.Warn("message to the keeper of a duty dropped", zap.Error(err))
	}
}

func (k *keeper) raiseRefused(fence uint64) {
	for old := k.refused.Load(); old < fence && !k.refused.CompareAndSwap(old, fence); old = k.refused.Load() {
	}
}

// current returns the term that covers the present.
func (k *keeper) current() (decision.Term, bool) {
	t := k.term.Load()
	if t == nil || t.Fence <= k.refused.Load() || !t.Covers(k.cfg.Boot()) {
		return decision.Term{}, false
	}
	return *t, true
}

// Handle implements duty.Handler.
func (k *keeper) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case fenced:
		k.log.Warn("the platform has seen a higher fencing token; term given up", zap.Uint64("fence", m.term.Fence))
		k.keeper.Fenced(m.term)
	case callEnded:
		k.countCall(m)
	case leave:
		k.leaving = append(k.leaving, m)
	}
	k.step(ctx)
}

// countCall notes the end of a call. A failure that is reported twice counts once.
func (k *keeper) countCall(m callEnded) {
	const reportDelay = 200 * time.Millisecond
	now := k.cfg.Boot()
	if !m.responded {
		if k.failedAt != 0 && now-k.failedAt < reportDelay {
			return
		}
		k.failedAt = now
	}
	k.keeper.CallEnded(now, m.term, m.responded)
}

// Tick implements duty.Ticker.
func (k *keeper) Tick(ctx context.Context) { k.step(ctx) }

// Idle implements duty.Idler.
func (k *keeper) Idle() bool {
	return k.rank < 0 && k.checkUntil <= 0 && !k.keeper.Holding() && len(k.leaving) == 0
}

// step does what the decision asks for now.
func (k *keeper) step(ctx context.Context) {
	k.updateRank()
	a := k.keeper.Next(k.cfg.Boot(), decision.Input{Rank: k.rank, Leaving: len(k.leaving) > 0})
	k.publish() // a release ends the term before it is sent
	switch {
	case a.Read:
		k.read(ctx)
	case a.Append != nil:
		k.append(ctx, a)
	case k.checksTime():
		k.read(ctx)
	}
	k.publish()
	if !k.keeper.Holding() {
		for _, l := range k.leaving {
			l.done.Put(struct{}{})
		}
	}
}

// updateRank finds this daemon's place among the candidates.
func (k *keeper) updateRank() {
	now := k.cfg.Now()
	if now.Sub(k.rankAt) < k.cfg.RankInterval {
		return
	}
	k.rankAt, k.rank = now, -1
	s := k.deps.Snapshot()
	if now.Sub(k.deps.LastFullRead()) > k.cfg.MaxReadAge || s.Partial || !k.deps.Wanted(k.name) {
		return
	}
	live := make(map[api.DaemonID]int)
	for id := range k.cfg.Roster.Live(s.Members(), now) {
		if s.Daemons[id].ImageLevel >= k.cfg.MinImageLevel {
			live[id] = s.Capacity[id]
		}
	}
	k.rank = slices.Index(decision.Candidates(k.name, live, k.cfg.Candidates), k.cfg.Keeper.Self)
}

func (k *keeper) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	storeCalls.Add("reads", 1)
	sent := k.cfg.Boot()
	records, end, err := k.topic.Newest(ctx)
	now := k.cfg.Boot()
	if err != nil {
		k.failed(now, err)
		return
	}
	record, stamp, err := RecordOf(k.name, records)
	if err != nil {
		k.log.Warn("record of a duty is not readable", zap.Error(err)) // it may be of a later build
		k.failed(now, err)
		return
	}
	k.noteStamp(stamp, record, sent, now)
	k.keeper.ReadDone(sent, now, decision.Stored{Record: record, End: uint64(end)})
}

// checksTime reports whether to read the record, only to compare this daemon's time with the
// holder's. If they disagree, or the record is old, it is read until it changes, for a lease at
// most.
func (k *keeper) checksTime() bool {
	now := k.cfg.Boot()
	switch {
	case k.checkUntil == 0 && !k.deps.Wanted(k.name):
		return false
	case k.checkUntil == 0:
		k.checkUntil = now + k.cfg.Keeper.Lease
		return true
	case k.checkUntil < 0:
		return false
	case now >= k.checkUntil || k.keeper.Holding():
		k.checkUntil = -1
		return false
	default:
		return now-k.stampAt >= k.cfg.Keeper.RetryInterval
	}
}

// noteStamp passes on the time in a record of another daemon that has changed since the last
// read: the record was made between the two reads.
func (k *keeper) noteStamp(stamp time.Time, r *decision.Record, sent, now time.Duration) {
	if r == nil || r.Released || stamp.IsZero() {
		k.checkUntil = -1 // there is nothing to compare with
		return
	}
	if !k.stamp.IsZero() && stamp.After(k.stamp) && r.Process != k.cfg.Keeper.Process {
		k.deps.OnStamp(stamp, k.stampAt, now)
		k.checkUntil = -1
	}
	if k.deps.Plausible(stamp) {
		k.checkUntil = -1
	}
	k.stamp, k.stampAt = stamp, sent
}

func (k *keeper) append(ctx context.Context, a decision.Action) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	storeCalls.Add("appends", 1)
	value, err := encodeRecord(a.Append, k.deps.Time)
	if err != nil {
		k.failed(k.cfg.Boot(), err)
		return
	}
	end, err := k.topic.AppendAt(ctx, journal.Offset(a.At), []journal.KeyedRecord{{Key: string(k.name), Value: value}})
	now := k.cfg.Boot()
	if err != nil {
		k.failed(now, err)
		return
	}
	k.keeper.Appended(now, *a.Append, uint64(end))
}

func (k *keeper) failed(now time.Duration, err error) {
	k.log.Debug("call to the store for a duty failed", zap.Error(err))
	k.keeper.CallFailed(now)
}

// publish makes the term known to other threads.
func (k *keeper) publish() {
	old := k.term.Load()
	t, ok := k.keeper.Term()
	if lapsed := ok && k.cfg.Boot() >= t.End; lapsed != k.lapsed {
		k.lapsed = lapsed
		if lapsed {
			k.log.Warn("term has run out without a renewal", zap.Uint64("fence", t.Fence))
		}
	}
	switch {
	case !ok && old == nil, ok && old != nil && *old == t:
		return
	case !ok:
		k.term.Store(nil)
		holder := api.DaemonID("")
		if r := k.keeper.Record(); r != nil && !r.Released {
			holder = r.Holder
		}
		k.log.Info("duty given up", zap.Uint64("fence", old.Fence), zap.String("holder", string(holder)))
		k.setMetrics(0, 0)
		return
	}
	k.term.Store(&t)
	if old == nil || old.Fence != t.Fence {
		k.log.Info("duty acquired", zap.Uint64("fence", t.Fence), zap.Duration("first_call_in", max(0, t.From-k.cfg.Boot())))
		k.setMetrics(t.Fence, k.cfg.Now().Unix())
	}
}

func (k *keeper) setMetrics(fence uint64, since int64) {
	fencesHeld.Get(string(k.name)).(*expvar.Int).Set(int64(fence))
	heldSince.Get(string(k.name)).(*expvar.Int).Set(since)
}
