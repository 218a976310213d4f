// Package shares gives a daemon its part of what all daemons share: the window
// of each upstream and the requests in progress of each plan. One owner duty
// holds the quota.Table, which decides; a fixed number of caller duties make
// the blocking calls to other daemons. Readers look at an immutable snapshot.
//
// A daemon that never saw another one grants itself everything at once. Package
// quota tells what keeps the sum below the window and what the floor is for.
package shares

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/ring"
)

const (
	// ownerTick is the time between two looks at what is due.
	ownerTick = 25 * time.Millisecond
	// idleTick is the same while no share is needed or held. It is well below
	// the quarter of a lease in which keepers have to be heard of.
	idleTick = 500 * time.Millisecond
	// callerRingSize is one: the owner gives calls to an idle caller only.
	callerRingSize = 1
	// Defaults of Config.
	defaultCallers     = 8
	defaultRingSize    = 1024
	defaultCallTimeout = 500 * time.Millisecond
)

// Metrics, under "shares" in expvar: counts of calls made and failed, of asks
// sent and handled, and of messages dropped because the ring was full.
var metrics = expvar.NewMap("shares")

// MemberAddr is a live daemon and the address (ip:port) of its peer protocol.
type MemberAddr struct {
	ID      api.DaemonID
	Address string
}

// Peers asks other daemons. Ask blocks until the answer or the end of ctx and
// is called from several threads. Errors: any; the asks are made again later.
type Peers interface {
	Ask(ctx context.Context, address string, asks []quota.ResourceRequest) ([]quota.ResourceGrant, error)
}

// Config describes Shares. Zero values stand for the defaults.
type Config struct {
	Daemon        api.DaemonID
	ShortReserve  float64       // part of each window that only short work may use
	LeaseDuration time.Duration // life of a grant; zero: quota.DefaultLease
	Callers       int           // calls to other daemons at a time
	RingSize      int           // messages of the owner
	CallTimeout   time.Duration // of one call
	Now           func() time.Time
	// OnChange is called on the owner's thread after shares changed; it must
	// only post. Nil: nobody is told.
	OnChange func()
}

func (c Config) withDefaults() Config {
	if c.LeaseDuration == 0 {
		c.LeaseDuration = quota.DefaultLease
	}
	if c.Callers == 0 {
		c.Callers = defaultCallers
	}
	if c.RingSize == 0 {
		c.RingSize = defaultRingSize
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Shares is the handle of the duties. Its methods may be called from any thread.
type Shares struct {
	cfg      Config
	owner    *duty.Duty[message]
	callers  []*duty.Duty[call]
	snapshot atomic.Pointer[snapshot]
}

// snapshot is what readers see.
type snapshot struct {
	generation uint64
	shares     map[quota.Resource]quota.Share
}

// Start spawns the owner and its callers. state returns the configuration in
// force, members the live daemons with or without this one; both are called
// on the owner's thread.
func Start(sys *duty.System, cfg Config, peers Peers, state func() *ledger.State, members func() []MemberAddr) *Shares {
	cfg = cfg.withDefaults()
	s := &Shares{cfg: cfg}
	s.snapshot.Store(&snapshot{})
	for i := range cfg.Callers {
		c := &caller{index: i, peers: peers, timeout: cfg.CallTimeout, postResult: s.postResult}
		s.callers = append(s.callers, duty.Start(sys, duty.Config{Name: "shares-caller", RingSize: callerRingSize}, duty.Handler[call](c)))
	}
	o := newOwner(s, state, members)
	s.owner = duty.Start(sys, duty.Config{Name: "shares", RingSize: cfg.RingSize, Tick: ownerTick, IdleTick: idleTick}, duty.Handler[message](o))
	s.postResult(startMsg{})
	return s
}

// Window returns this daemon's part of an upstream's window now: slots for any
// work and slots for short work only. It never blocks.
func (s *Shares) Window(id api.UpstreamID) (long, short int) {
	m, now := s.snapshot.Load().shares, s.cfg.Now()
	name := string(id)
	long = m[quota.Resource{Kind: quota.KindLong, Name: name}].SlotsAt(now)
	short = m[quota.Resource{Kind: quota.KindShort, Name: name}].SlotsAt(now)
	return long, short
}

// Concurrency returns how many requests of a limited plan this daemon may have
// in progress now. It never blocks.
func (s *Shares) Concurrency(p api.PlanName) int {
	m := s.snapshot.Load().shares
	return m[quota.Resource{Kind: quota.KindPlan, Name: string(p)}].SlotsAt(s.cfg.Now())
}

// Generation numbers the shares that readers see now; it grows when they change.
func (s *Shares) Generation() uint64 { return s.snapshot.Load().generation }

// ReportDemand tells this daemon's needs, found by the shares of a generation or
// later ones; a resource keeps its need until the next call that names it. It
// never blocks and reports whether there was room.
func (s *Shares) ReportDemand(d []quota.ResourceDemand, generation uint64) bool {
	return s.post(demandMsg{demands: d, generation: generation})
}

// HandleLeaseRequests answers another daemon's asks; those that this daemon does not
// keep are left out. Errors: CodeShed when the ring is full, ctx.Err().
func (s *Shares) HandleLeaseRequests(ctx context.Context, asks []quota.ResourceRequest) ([]quota.ResourceGrant, error) {
	m := leaseRequestMsg{asks: asks, reply: ring.NewSlot[[]quota.ResourceGrant]()}
	if !s.post(m) {
		return nil, api.Errorf(api.CodeShed, "shares: the ring is full")
	}
	return m.reply.Wait(ctx)
}

// Duties returns the rings' state, the callers' summed up in one entry.
func (s *Shares) Duties() []duty.Stats {
	return []duty.Stats{s.owner.Stats(), duty.SumStats("shares-callers", s.callers)}
}

// Stop ends the duties; a call in progress ends with its context.
// Errors: ctx.Err().
func (s *Shares) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, s.owner, s.callers)
}

func (s *Shares) post(m message) bool {
	if s.owner.Post(m) != nil {
		metrics.Add("dropped", 1)
		return false
	}
	return true
}

// postResult brings a caller's result to the owner, waiting for room: a lost one
// would leave its asks pending for good.
func (s *Shares) postResult(m message) {
	_ = s.owner.PostWait(context.Background(), m) // fails only once the owner is stopped
}
