// Package shares maintains a daemon's share of the resources that all daemons use:
// each upstream's window and each plan's concurrency. One owner duty owns the
// quota.Table, which decides. A fixed number of caller duties make the blocking
// calls to other daemons. Readers use an immutable snapshot.
//
// A daemon that has never seen another one grants itself everything immediately.
// Package quota describes how the sum of the shares is kept within a window and
// what the fallback slots are for.
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
	// ownerTick is the interval at which due lease requests are sent.
	ownerTick = 25 * time.Millisecond
	// idleTick replaces ownerTick while no share is demanded or held. It is well
	// below a quarter of the lease duration: the owner must call the table's
	// allocators at least that often (see quota.Allocator.Heartbeat).
	idleTick = 500 * time.Millisecond
	// callerRingSize is 1 because the owner assigns calls to idle callers only.
	callerRingSize = 1
	// Defaults of Config.
	defaultCallDuties  = 8
	defaultRingSize    = 1024
	defaultCallTimeout = 500 * time.Millisecond
)

// metrics is published as "shares" in expvar. It counts calls made and failed,
// lease requests sent and handled, and messages dropped because the ring was full.
var metrics = expvar.NewMap("shares")

// MemberAddr is a live daemon and the address (ip:port) of its peer protocol.
type MemberAddr struct {
	ID      api.DaemonID
	Address string
}

// Peers sends lease requests to other daemons.
type Peers interface {
	// RequestLeases sends requests to the daemon at an address (ip:port) and returns its
	// grants. It blocks until the reply or the end of ctx and is called from
	// several threads. After any error the requests are sent again later.
	RequestLeases(ctx context.Context, address string, requests []quota.ResourceRequest) ([]quota.ResourceGrant, error)
}

// Config configures Shares. Zero values select the defaults.
type Config struct {
	Daemon        api.DaemonID
	ShortReserve  float64       // fraction of each window reserved for short work
	LeaseDuration time.Duration // validity of a grant; zero means quota.DefaultLease
	CallDuties    int           // maximum concurrent calls to other daemons
	RingSize      int           // capacity of the owner's ring in messages
	CallTimeout   time.Duration // timeout of one call
	Now           func() time.Time
	// OnChange, if set, is called on the owner's thread after the shares changed.
	// It must not block.
	OnChange func()
}

func (c Config) withDefaults() Config {
	if c.LeaseDuration == 0 {
		c.LeaseDuration = quota.DefaultLease
	}
	if c.CallDuties == 0 {
		c.CallDuties = defaultCallDuties
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

// Shares controls the duties. Its methods may be called from any thread.
type Shares struct {
	cfg      Config
	owner    *duty.Duty[message]
	callers  []*duty.Duty[call]
	snapshot atomic.Pointer[snapshot]
}

// snapshot is the published state.
type snapshot struct {
	generation uint64
	shares     map[quota.Resource]quota.Share
}

// Start starts the owner and its callers. state returns the current configuration
// and members the live daemons, with or without this one. Both are called on the
// owner's thread.
func Start(sys *duty.System, cfg Config, peers Peers, state func() *ledger.State, members func() []MemberAddr) *Shares {
	cfg = cfg.withDefaults()
	s := &Shares{cfg: cfg}
	s.snapshot.Store(&snapshot{})
	for i := range cfg.CallDuties {
		c := &caller{index: i, peers: peers, timeout: cfg.CallTimeout, postResult: s.postResult}
		s.callers = append(s.callers, duty.Start(sys, duty.Config{Name: "shares-caller", RingSize: callerRingSize}, duty.Handler[call](c)))
	}
	o := newOwner(s, state, members)
	s.owner = duty.Start(sys, duty.Config{Name: "shares", RingSize: cfg.RingSize, Tick: ownerTick, IdleTick: idleTick}, duty.Handler[message](o))
	s.postResult(startMsg{})
	return s
}

// Window returns this daemon's current share of an upstream's window: slots for
// any work and slots for short work only. It never blocks.
func (s *Shares) Window(id api.UpstreamID) (long, short int) {
	m, now := s.snapshot.Load().shares, s.cfg.Now()
	name := string(id)
	long = m[quota.Resource{Kind: quota.KindLong, Name: name}].SlotsAt(now)
	short = m[quota.Resource{Kind: quota.KindShort, Name: name}].SlotsAt(now)
	return long, short
}

// Concurrency returns this daemon's current share of a plan's concurrency limit.
// It never blocks.
func (s *Shares) Concurrency(p api.PlanName) int {
	m := s.snapshot.Load().shares
	return m[quota.Resource{Kind: quota.KindPlan, Name: string(p)}].SlotsAt(s.cfg.Now())
}

// Generation returns the number of the current shares. It grows with each change.
func (s *Shares) Generation() uint64 { return s.snapshot.Load().generation }

// ReportDemand reports this daemon's demands, computed from the shares of the
// given generation or later. A resource's demand holds until it is reported again.
// ReportDemand never blocks; it returns false if the ring was full.
func (s *Shares) ReportDemand(d []quota.ResourceDemand, generation uint64) bool {
	return s.post(demandMsg{demands: d, generation: generation})
}

// HandleLeaseRequests returns grants for another daemon's requests. It omits
// resources that this daemon does not allocate. Errors: CodeShed when the ring is
// full, ctx.Err().
func (s *Shares) HandleLeaseRequests(ctx context.Context, requests []quota.ResourceRequest) ([]quota.ResourceGrant, error) {
	m := leaseRequestMsg{requests: requests, reply: ring.NewSlot[[]quota.ResourceGrant]()}
	if !s.post(m) {
		return nil, api.Errorf(api.CodeShed, "the ring of the shares duty is full")
	}
	return m.reply.Wait(ctx)
}

// Duties returns the statistics of the duties' rings, with all callers summed in
// one entry.
func (s *Shares) Duties() []duty.Stats {
	return []duty.Stats{s.owner.Stats(), duty.SumStats("shares-callers", s.callers)}
}

// Stop stops the duties and cancels calls in progress. Errors: ctx.Err().
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

// postResult passes a caller's result to the owner. It waits for room because the
// requests of a lost result would stay pending forever.
func (s *Shares) postResult(m message) {
	_ = s.owner.PostWait(context.Background(), m) // fails only after the owner has stopped
}
