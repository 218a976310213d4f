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

type relayInput struct {
	target  string
	timeout time.Duration
	reached *ring.Slot[bool]
}

type pageInput struct {
	after api.DaemonID
	limit int
	page  *ring.Slot[membership.Page]
}

type leaveInput struct{ told *ring.Slot[struct{}] }

func (eventInput) input() {}
func (probeInput) input() {}
func (relayInput) input() {}
func (pageInput) input()  {}
func (leaveInput) input() {}

// owner is the duty that owns the membership state.
type owner struct {
	cfg     Config
	gossip  *Gossip
	state   *membership.State
	callers []*duty.Duty[job]
	ready   atomic.Bool // the callers can post back

	answer    *ring.Slot[membership.Message] // of the probe in hand
	published uint64                         // version of the snapshot
	counted   membership.Counters            // already in expvar
	nextSeeds time.Time
	leaving   *ring.Slot[struct{}]
	leaveJobs map[uint64]bool // probes that tell of the departure, not yet ended
}

// Handle implements duty.Handler.
func (o *owner) Handle(_ context.Context, in input) {
	switch in := in.(type) {
	case eventInput:
		o.step(in.event)
		o.noteEnded(in.event)
	case probeInput:
		o.answer = in.answer
		o.step(membership.Probed{Message: in.message})
	case relayInput:
		o.relay(in)
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
	if through := o.gossip.tail.Through(); through > o.state.Self().Through {
		o.step(membership.OffsetAdvanced{Through: through})
	}
	if o.cfg.Source != nil && !now.Before(o.nextSeeds) {
		o.nextSeeds = now.Add(seedsEvery)
		seeds := append(o.cfg.Source.Seeds(), o.cfg.Seeds...)
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
		o.answer.Put(reply.Message)
		return
	}
	if probe, ok := action.(membership.SendProbe); ok && o.leaving != nil {
		o.leaveJobs[probe.Seq] = true
	}
	if o.send(job{action: action}) {
		return
	}
	counters.Add("calls_unsent", 1)
	if e := unsent(action); e != nil {
		o.step(e)
		o.noteEnded(e)
	}
}

// send queues a call at the caller with the fewest ones.
func (o *owner) send(j job) bool {
	best := o.callers[0]
	for _, c := range o.callers[1:] {
		if c.Depth() < best.Depth() {
			best = c
		}
	}
	return best.Post(j) == nil
}

// relay probes a target in a peer's place.
func (o *owner) relay(in relayInput) {
	j := job{
		action:  membership.SendProbe{Addr: in.target, Message: o.state.Compose("", o.cfg.Rand), Timeout: in.timeout},
		reached: in.reached,
	}
	if !o.send(j) {
		in.reached.Put(false)
	}
}

func (o *owner) leave(in leaveInput) {
	o.leaving = in.told
	o.leaveJobs = map[uint64]bool{}
	o.step(membership.Leave{})
	o.endLeave()
}

// noteEnded follows the probes that tell of the departure.
func (o *owner) noteEnded(e membership.Event) {
	switch e := e.(type) {
	case membership.Answered:
		delete(o.leaveJobs, e.Seq)
	case membership.Failed:
		delete(o.leaveJobs, e.Seq)
	case membership.Unsent:
		delete(o.leaveJobs, e.Seq)
	}
	o.endLeave()
}

func (o *owner) endLeave() {
	if o.leaving != nil && len(o.leaveJobs) == 0 {
		o.leaving.Put(struct{}{})
	}
}

// publish makes a new snapshot if there is anything new in it.
func (o *owner) publish() {
	o.count()
	old := o.gossip.view.Load()
	contact := o.state.LastContact()
	if old != nil && o.published == o.state.Version() {
		if !contact.Equal(old.lastContact) {
			o.gossip.view.Store(&view{members: old.members, live: old.live, lastContact: contact})
		}
		return
	}
	o.published = o.state.Version()
	v := &view{members: o.state.Members(), lastContact: contact}
	for _, m := range v.members {
		if m.Status <= membership.Suspect {
			v.live = append(v.live, m.ID)
		}
	}
	o.gossip.view.Store(v)
}

// count adds to expvar what was done since the last call.
func (o *owner) count() {
	c, was := o.state.Counters(), o.counted
	if c == was {
		return
	}
	o.counted = c
	counters.Add("probes", c.Probes-was.Probes)
	counters.Add("indirect_probes", c.Indirect-was.Indirect)
	counters.Add("suspicions", c.Suspicions-was.Suspicions)
	counters.Add("deaths", c.Deaths-was.Deaths)
	counters.Add("refutations", c.Refutations-was.Refutations)
	counters.Add("pauses", c.Pauses-was.Pauses)
}
