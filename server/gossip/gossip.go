package gossip

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/ring"
)

// Gossip is the handle of the duties. It implements the gossip part of the peer
// protocol's handler and is safe for concurrent use.
type Gossip struct {
	owner      *duty.Duty[input]
	callDuties []*duty.Duty[peerCall]
	strikes    *duty.Duty[api.Strike]
	replica    ConfigReplica
	snapshot   atomic.Pointer[snapshot]

	onPeerStrike func(api.Strike) error
}

// snapshot is an immutable view of the members for other threads.
type snapshot struct {
	members     []membership.Member
	live        []api.DaemonID
	lastContact time.Time
}

// Start starts the duties. cfg must be valid.
func Start(sys *duty.System, cfg Config, peers PeerClient, replica ConfigReplica) *Gossip {
	cfg = cfg.withDefaults()
	cfg.Self.AppliedOffset = replica.AppliedOffset()
	g := &Gossip{replica: replica, onPeerStrike: cfg.OnPeerStrike}
	o := &owner{
		cfg:    cfg,
		gossip: g,
		state:  membership.New(cfg.Protocol, cfg.Self, cfg.Seeds, time.Now()),
	}
	o.publish()
	for range cfg.CallDuties {
		h := &peerCallHandler{gossip: g, peers: peers, replica: replica}
		g.callDuties = append(g.callDuties, duty.Start(sys, duty.Config{Name: "peer-caller", RingSize: callRingSize}, h))
	}
	o.callDuties = g.callDuties
	g.strikes = duty.Start(sys, duty.Config{Name: "strike-caller", RingSize: strikeRingSize}, duty.Handler[api.Strike](&strikeHandler{self: cfg.Self.ID, gossip: g, peers: peers}))
	g.owner = duty.Start(sys, duty.Config{Name: "gossip", RingSize: stateRingSize, Tick: tickInterval}, o)
	o.started.Store(true)
	return g
}

// Members returns all known daemons, including this one, sorted by name. The caller
// must not modify the slice.
func (g *Gossip) Members() []membership.Member { return g.snapshot.Load().members }

// Live returns the sorted names of the daemons that are alive or suspect, including
// this one. The caller must not modify the slice.
func (g *Gossip) Live() []api.DaemonID { return g.snapshot.Load().live }

// LastPeerContact returns the last contact with another daemon; zero if none.
func (g *Gossip) LastPeerContact() time.Time { return g.snapshot.Load().lastContact }

// OffsetAdvanced reports a new applied offset before the next tick detects it.
func (g *Gossip) OffsetAdvanced(applied api.Offset) {
	g.post(eventInput{event: membership.OffsetAdvanced{AppliedOffset: applied}})
}

// MarkStopping marks this daemon as stopping for all members.
func (g *Gossip) MarkStopping() { g.post(eventInput{event: membership.StopStarted{}}) }

// Leave makes this daemon leave permanently and waits until the probes that announce
// this have ended. Errors: ctx.Err(), *ring.ClosedError.
func (g *Gossip) Leave(ctx context.Context) error {
	done := ring.NewSlot[struct{}]()
	if err := g.owner.PostWait(ctx, leaveInput{done: done}); err != nil {
		return err
	}
	_, err := done.Wait(ctx)
	return err
}

// Stop ends the duties without notifying peers. Errors: ctx.Err().
func (g *Gossip) Stop(ctx context.Context) error {
	return errors.Join(g.strikes.Stop(ctx), duty.StopAll(ctx, g.owner, g.callDuties))
}

// Probe handles a peer's message and returns the response.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) Probe(ctx context.Context, m membership.Message) (membership.Message, error) {
	slot := ring.NewSlot[membership.Message]()
	if err := g.owner.Post(probeInput{message: m, reply: slot}); err != nil {
		return membership.Message{}, err
	}
	return slot.Wait(ctx)
}

// IndirectProbe probes the daemon at target on behalf of a peer.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) IndirectProbe(ctx context.Context, target string, timeout time.Duration) (bool, error) {
	slot := ring.NewSlot[bool]()
	in := indirectProbeInput{target: target, timeout: min(timeout, callTimeout), reply: slot}
	if err := g.owner.Post(in); err != nil {
		return false, err
	}
	return slot.Wait(ctx)
}

// MembersPage returns up to limit members with IDs after the given one, sorted by ID.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) MembersPage(ctx context.Context, after api.DaemonID, limit int) (membership.Page, error) {
	slot := ring.NewSlot[membership.Page]()
	if err := g.owner.Post(pageInput{after: after, limit: limit, reply: slot}); err != nil {
		return membership.Page{}, err
	}
	return slot.Wait(ctx)
}

// Tail returns records of the configuration stream for a peer. Its error is always
// nil.
func (g *Gossip) Tail(_ context.Context, from api.Offset, limit int) ([]eventlog.Entry, error) {
	return g.replica.Tail(from, limit), nil
}

// Image returns the state of the configuration stream for a peer. Errors: those of
// ConfigReplica.Image.
func (g *Gossip) Image(ctx context.Context) ([]byte, error) { return g.replica.Image(ctx) }

// ShareStrike reports a strike that is not in the log to the live daemons. It never
// blocks. Errors: *duty.FullError, *ring.ClosedError.
func (g *Gossip) ShareStrike(s api.Strike) error { return g.strikes.Post(s) }

// ReportStrike handles a peer's strike. Errors: those of Config.OnPeerStrike.
func (g *Gossip) ReportStrike(_ context.Context, s api.Strike) error { return g.onPeerStrike(s) }

// post posts an event that may be lost: the protocol tolerates that.
func (g *Gossip) post(in input) {
	if g.owner.Post(in) != nil {
		counters.Add("events_dropped", 1)
	}
}
