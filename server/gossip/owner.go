package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/ring"
)

// input is a message to the owner duty.
type input interface{ input() }

type eventInput struct{ event membership.Event }

type probeInput struct {
	message membership.Message
	answer  *ring.Slot[membership.Message]
}

type indirectProbeInput struct {
	target  string
	timeout time.Duration
	reached *ring.Slot[bool]
}

type pageInput struct {
	after api.DaemonID
	limit int
	page  *ring.Slot[membership.Page]
}

type leaveInput struct{ done *ring.Slot[struct{}] }

func (eventInput) input()         {}
func (probeInput) input()         {}
func (indirectProbeInput) input() {}
func (pageInput) input()          {}
func (leaveInput) input()         {}

// owner is the duty that owns the membership state.
type owner struct {
	cfg     Config
	gossip  *Gossip
	state   *membership.State
	callers []*duty.Duty[peerCall]
	ready   atomic.Bool // the callers can post back

	probeReply  *ring.Slot[membership.Message] // of the probe in hand
	published   uint64                         // version of the snapshot
	reported    membership.Counters            // already in expvar
	nextSeeds   time.Time
	leaveDone   *ring.Slot[struct{}]
	leaveProbes map[uint64]bool // probes that tell of the departure, not yet ended
}

// Handle implements duty.Handler.
func (o *owner) Handle(_ context.Context, in input) {
	switch in := in.(type) {
	case eventInput:
		o.step(in.event)
		o.trackLeave(in.event)
	case probeInput:
		o.probeReply = in.answer
		o.step(membership.ProbeReceived{Message: in.message})
	case indirectProbeInput:
		o.probeForPeer(in)
	case pageInput:
		in.page.Put(o.state.Page(in.after, in.limit))
	case leaveInput:
		o.leave(in)
	}
	o.publish()
}

// Tick implements duty.Ticker.
func (o *owner) Tick(context.Context) {
	if !o.ready.Load() {
		return
	}
	now := time.Now()
	if through := o.gossip.replica.AppliedOffset(); through > o.state.Self().AppliedOffset {
		o.step(membership.OffsetAdvanced{AppliedOffset: through})
	}
	if o.cfg.SeedSource != nil && !now.Before(o.nextSeeds) {
		o.nextSeeds = now.Add(seedRefreshInterval)
		seeds := append(o.cfg.SeedSource.Seeds(), o.cfg.Seeds...)
		o.step(membership.SeedsChanged{Seeds: seeds})
	}
	o.step(membership.Tick{})
	o.publish()
}

func (o *owner) step(e membership.Event) {
	for _, action := range o.state.Step(e, time.Now(), o.cfg.Rand) {
		o.act(action)
	}
}

func (o *owner) act(action membership.Action) {
	if reply, ok := action.(membership.Reply); ok {
		o.probeReply.Put(reply.Message)
		return
	}
	if probe, ok := action.(membership.SendProbe); ok && o.leaveDone != nil {
		o.leaveProbes[probe.Seq] = true
	}
	if o.send(peerCall{action: action}) {
		return
	}
	counters.Add("calls_unsent", 1)
	if e := unsentEvent(action); e != nil {
		o.step(e)
		o.trackLeave(e)
	}
}

// send queues a call at the caller with the fewest ones.
func (o *owner) send(j peerCall) bool {
	best := o.callers[0]
	for _, c := range o.callers[1:] {
		if c.Depth() < best.Depth() {
			best = c
		}
	}
	return best.Post(j) == nil
}

// probeForPeer probes a target in a peer's place.
func (o *owner) probeForPeer(in indirectProbeInput) {
	j := peerCall{
		action:     membership.SendProbe{Addr: in.target, Message: o.state.Compose("", o.cfg.Rand), Timeout: in.timeout},
		relayReply: in.reached,
	}
	if !o.send(j) {
		in.reached.Put(false)
	}
}

func (o *owner) leave(in leaveInput) {
	o.leaveDone = in.done
	o.leaveProbes = map[uint64]bool{}
	o.step(membership.Leave{})
	o.finishLeave()
}

// trackLeave follows the probes that tell of the departure.
func (o *owner) trackLeave(e membership.Event) {
	switch e := e.(type) {
	case membership.ProbeAcked:
		delete(o.leaveProbes, e.Seq)
	case membership.ProbeFailed:
		delete(o.leaveProbes, e.Seq)
	case membership.ProbeNotSent:
		delete(o.leaveProbes, e.Seq)
	}
	o.finishLeave()
}

func (o *owner) finishLeave() {
	if o.leaveDone != nil && len(o.leaveProbes) == 0 {
		o.leaveDone.Put(struct{}{})
	}
}

// publish makes a new snapshot if there is anything new in it.
func (o *owner) publish() {
	o.reportCounters()
	old := o.gossip.snapshot.Load()
	contact := o.state.LastContact()
	if old != nil && o.published == o.state.Version() {
		if !contact.Equal(old.lastContact) {
			o.gossip.snapshot.Store(&snapshot{members: old.members, live: old.live, lastContact: contact})
		}
		return
	}
	o.published = o.state.Version()
	v := &snapshot{members: o.state.Members(), lastContact: contact}
	for _, m := range v.members {
		if m.Status <= membership.Suspect {
			v.live = append(v.live, m.ID)
		}
	}
	o.gossip.snapshot.Store(v)
}

// reportCounters adds to expvar what was done since the last call.
func (o *owner) reportCounters() {
	c, was := o.state.Counters(), o.reported
	if c == was {
		return
	}
	o.reported = c
	counters.Add("probes", c.Probes-was.Probes)
	counters.Add("indirect_probes", c.IndirectProbes-was.IndirectProbes)
	counters.Add("suspicions", c.Suspicions-was.Suspicions)
	counters.Add("deaths", c.Deaths-was.Deaths)
	counters.Add("refutations", c.Refutations-was.Refutations)
	counters.Add("pauses", c.Pauses-was.Pauses)
}
