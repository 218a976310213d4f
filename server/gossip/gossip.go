package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/ring"
)

// Gossip is the handle of the running duties. It implements the gossip part of
// the peer protocol's handler. All methods may be called from any thread.
type Gossip struct {
	owner    *duty.Duty[input]
	callers  []*duty.Duty[peerCall]
	replica  ConfigReplica
	snapshot atomic.Pointer[snapshot]
}

// snapshot is the snapshot that readers get.
type snapshot struct {
	members     []membership.Member
	live        []api.DaemonID
	lastContact time.Time
}

// Start starts the duties. cfg must be valid.
func Start(sys *duty.System, cfg Config, peers PeerClient, tail ConfigReplica) *Gossip {
	cfg = cfg.withDefaults()
	cfg.Self.AppliedOffset = tail.AppliedOffset()
	g := &Gossip{replica: tail}
	o := &owner{
		cfg:    cfg,
		gossip: g,
		state:  membership.New(cfg.Protocol, cfg.Self, cfg.Seeds, time.Now()),
	}
	o.publish()
	for range cfg.Callers {
		c := &caller{gossip: g, peers: peers, replica: tail}
		g.callers = append(g.callers, duty.Start(sys, duty.Config{Name: "peer-caller", RingSize: callerRingSize}, c))
	}
	o.callers = g.callers
	g.owner = duty.Start(sys, duty.Config{Name: "gossip", RingSize: stateRingSize, Tick: tickInterval}, o)
	o.ready.Store(true)
	return g
}

// Members returns all known daemons, this one included, by name. The caller
// must not change the slice.
func (g *Gossip) Members() []membership.Member { return g.snapshot.Load().members }

// Live returns the sorted names of the daemons that are alive or suspect, this
// one included. The caller must not change the slice.
func (g *Gossip) Live() []api.DaemonID { return g.snapshot.Load().live }

// LastPeerContact returns when another daemon was last heard of; zero for never.
func (g *Gossip) LastPeerContact() time.Time { return g.snapshot.Load().lastContact }

// OffsetAdvanced tells that the offset in force has grown, so that it spreads before
// the next tick would notice.
func (g *Gossip) OffsetAdvanced(through api.Offset) {
	g.post(eventInput{event: membership.OffsetAdvanced{AppliedOffset: through}})
}

// MarkStopping marks this daemon as stopping in everybody's view.
func (g *Gossip) MarkStopping() { g.post(eventInput{event: membership.StopStarted{}}) }

// Leave makes this daemon leave for good and waits until some peers were told,
// or could not be. Errors: ctx.Err(), *ring.ClosedError.
func (g *Gossip) Leave(ctx context.Context) error {
	told := ring.NewSlot[struct{}]()
	if err := g.owner.PostWait(ctx, leaveInput{done: told}); err != nil {
		return err
	}
	_, err := told.Wait(ctx)
	return err
}

// Stop ends the duties without telling peers. Errors: ctx.Err().
func (g *Gossip) Stop(ctx context.Context) error {
	return duty.StopAll(ctx, g.owner, g.callers)
}

// Probe takes in a peer's message and returns the answer.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) Probe(ctx context.Context, m membership.Message) (membership.Message, error) {
	slot := ring.NewSlot[membership.Message]()
	if err := g.owner.Post(probeInput{message: m, answer: slot}); err != nil {
		return membership.Message{}, err
	}
	return slot.Wait(ctx)
}

// IndirectProbe probes the daemon at target in a peer's place.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) IndirectProbe(ctx context.Context, target string, timeout time.Duration) (bool, error) {
	slot := ring.NewSlot[bool]()
	in := indirectProbeInput{target: target, timeout: min(timeout, callTimeout), reached: slot}
	if err := g.owner.Post(in); err != nil {
		return false, err
	}
	return slot.Wait(ctx)
}

// MembersPage returns a page of the member list after a name.
// Errors: ctx.Err(), *duty.FullError, *ring.ClosedError.
func (g *Gossip) MembersPage(ctx context.Context, after api.DaemonID, limit int) (membership.Page, error) {
	slot := ring.NewSlot[membership.Page]()
	if err := g.owner.Post(pageInput{after: after, limit: limit, page: slot}); err != nil {
		return membership.Page{}, err
	}
	return slot.Wait(ctx)
}

// Tail returns records of the configuration stream to a peer.
func (g *Gossip) Tail(_ context.Context, from api.Offset, limit int) ([]eventlog.Entry, error) {
	return g.replica.Tail(from, limit), nil
}

// Image returns the state of the configuration stream to a peer.
func (g *Gossip) Image(ctx context.Context) ([]byte, error) { return g.replica.Image(ctx) }

// post queues an event that may be lost: the protocol makes up for it.
func (g *Gossip) post(in input) {
	if g.owner.Post(in) != nil {
		counters.Add("events_dropped", 1)
	}
}
