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

// input is a message to the duty that owns the state.
type input interface{ input() }

type eventInput struct{ event membership.Event }

type probeInput struct {
	message membership.Message
	reply   *ring.Slot[membership.Message]
}

type indirectProbeInput struct {
	target  string
	timeout time.Duration
	reply   *ring.Slot[bool]
}

type pageInput struct {
	after api.DaemonID
	limit int
	reply *ring.Slot[membership.Page]
}

type leaveInput struct{ done *ring.Slot[struct{}] }

func (eventInput) input()         {}
func (probeInput) input()         {}
func (indirectProbeInput) input() {}
func (pageInput) input()          {}
func (leaveInput) input()         {}

// owner is the handler of the duty that owns the membership state.
type owner struct {
	cfg        Config
	gossip     *Gossip
	state      *membership.State
	callDuties []*duty.Duty[peerCall]
	started    atomic.Bool // Start has set all handles

	pendingReply     *ring.Slot[membership.Message] // of the probe being handled
	publishedVersion uint64                         // state version of the snapshot
	reportedCounters membership.Counters            // values already added to expvar
	nextSeedRefresh  time.Time
	leaveDone        *ring.Slot[struct{}]
	leaveProbes      map[uint64]bool // probes in flight that announce the departure
}

// Handle implements duty.Handler.
func (o *owner) Handle(_ context.Context, in input) {
	switch in := in.(type) {
	case eventInput:
		o.step(in.event)
		o.trackLeave(in.event)
	case probeInput:
		o.pendingReply = in.reply
		o.step(membership.ProbeReceived{Message: in.message})
	case indirectProbeInput:
		o.probeForPeer(in)
	case pageInput:
		in.reply.Put(o.state.Page(in.after, in.limit))
	case leaveInput:
		o.leave(in)
	}
	o.publish()
}

// Tick implements duty.Ticker.
func (o *owner) Tick(context.Context) {
	if !o.started.Load() {
		return
	}
	now := time.Now()
	if applied := o.gossip.replica.AppliedOffset(); applied > o.state.Self().AppliedOffset {
		o.step(membership.OffsetAdvanced{AppliedOffset: applied})
	}
	if o.cfg.SeedSource != nil && !now.Before(o.nextSeedRefresh) {
		o.nextSeedRefresh = now.Add(seedRefreshInterval)
		seeds := append(o.cfg.SeedSource.Seeds(), o.cfg.Seeds...)
		o.step(membership.SeedsChanged{Seeds: seeds})
	}
	o.step(membership.Tick{})
	o.publish()
}

func (o *owner) step(e membership.Event) {
	for _, action := range o.state.Step(e, time.Now(), o.cfg.Rand) {
		o.execute(action)
	}
}

// execute replies to the current probe or posts a call.
func (o *owner) execute(action membership.Action) {
	if reply, ok := action.(membership.Reply); ok {
		o.pendingReply.Put(reply.Message)
		return
	}
	if probe, ok := action.(membership.SendProbe); ok && o.leaveDone != nil {
		o.leaveProbes[probe.Seq] = true
	}
	if o.postCall(peerCall{action: action}) {
		return
	}
	counters.Add("calls_unsent", 1)
	if e := unsentEvent(action); e != nil {
		o.step(e)
		o.trackLeave(e)
	}
}

// postCall posts a call to the duty with the fewest queued calls.
func (o *owner) postCall(call peerCall) bool {
	best := o.callDuties[0]
	for _, c := range o.callDuties[1:] {
		if c.Depth() < best.Depth() {
			best = c
		}
	}
	return best.Post(call) == nil
}

// probeForPeer probes a target on behalf of a peer.
func (o *owner) probeForPeer(in indirectProbeInput) {
	call := peerCall{
		action:     membership.SendProbe{Address: in.target, Message: o.state.Compose("", o.cfg.Rand), Timeout: in.timeout},
		relayReply: in.reply,
	}
	if !o.postCall(call) {
		in.reply.Put(false)
	}
}

func (o *owner) leave(in leaveInput) {
	o.leaveDone = in.done
	o.leaveProbes = map[uint64]bool{}
	o.step(membership.Leave{})
	o.finishLeave()
}

// trackLeave removes ended probes from those that announce the departure.
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

// publish stores a new snapshot if anything in it has changed.
func (o *owner) publish() {
	o.reportCounters()
	old := o.gossip.snapshot.Load()
	contact := o.state.LastContact()
	if old != nil && o.publishedVersion == o.state.Version() {
		if !contact.Equal(old.lastContact) {
			o.gossip.snapshot.Store(&snapshot{members: old.members, live: old.live, lastContact: contact})
		}
		return
	}
	o.publishedVersion = o.state.Version()
	snap := &snapshot{members: o.state.Members(), lastContact: contact}
	for _, m := range snap.members {
		if m.Status <= membership.Suspect {
			snap.live = append(snap.live, m.ID)
		}
	}
	o.gossip.snapshot.Store(snap)
}

// reportCounters adds the changes since the last call to expvar.
func (o *owner) reportCounters() {
	c, last := o.state.Counters(), o.reportedCounters
	if c == last {
		return
	}
	o.reportedCounters = c
	counters.Add("probes", c.Probes-last.Probes)
	counters.Add("indirect_probes", c.IndirectProbes-last.IndirectProbes)
	counters.Add("suspicions", c.Suspicions-last.Suspicions)
	counters.Add("deaths", c.Deaths-last.Deaths)
	counters.Add("refutations", c.Refutations-last.Refutations)
	counters.Add("pauses", c.Pauses-last.Pauses)
}
