package shares

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/ring"
)

// message is what the owner gets.
type message interface{ isMessage() }

type (
	startMsg  struct{}
	demandMsg struct {
		demands    []quota.ResourceDemand
		generation uint64
	}
	leaseRequestMsg struct {
		asks  []quota.ResourceRequest
		reply *ring.Slot[[]quota.ResourceGrant]
	}
	answeredMsg struct {
		caller int
		batch  quota.RequestBatch
		grants []quota.ResourceGrant
		err    error
	}
)

func (startMsg) isMessage()        {}
func (demandMsg) isMessage()       {}
func (leaseRequestMsg) isMessage() {}
func (answeredMsg) isMessage()     {}

// owner is the state of the owner duty.
type owner struct {
	handle      *Shares
	state       func() *ledger.State
	members     func() []MemberAddr
	table       *quota.Table
	sized       *ledger.State // whose resources the table has
	addresses   map[api.DaemonID]string
	idleCallers []int // callers without a call
}

func newOwner(s *Shares, state func() *ledger.State, members func() []MemberAddr) *owner {
	first := uint64(s.cfg.Now().UnixMilli()) // above all that an earlier life counted to
	o := &owner{
		handle: s, state: state, members: members,
		table:     quota.NewTable(s.cfg.Daemon, s.cfg.LeaseDuration, first),
		addresses: make(map[api.DaemonID]string),
	}
	for i := range s.cfg.Callers {
		o.idleCallers = append(o.idleCallers, i)
	}
	return o
}

// Handle processes one message.
func (o *owner) Handle(_ context.Context, m message) {
	switch m := m.(type) {
	case startMsg:
		o.refresh()
	case demandMsg:
		for _, d := range m.demands {
			o.table.SetDemand(d.Resource, d.Demand)
		}
		o.table.ConfirmShares(m.generation)
	case leaseRequestMsg:
		metrics.Add("asks_handled", int64(len(m.asks)))
		m.reply.Put(o.table.Handle(m.asks, o.handle.cfg.Now()))
		return
	case answeredMsg:
		o.handleReply(m)
	}
	o.sendDue()
}

// Tick looks at the members, the configuration and what is due.
func (o *owner) Tick(context.Context) {
	o.refresh()
	o.sendDue()
}

// Idle implements duty.Idler: no share is needed, held or asked for.
func (o *owner) Idle() bool { return o.table.Idle() }

func (o *owner) refresh() {
	now := o.handle.cfg.Now()
	clear(o.addresses)
	var ids []api.DaemonID
	for _, m := range o.members() {
		o.addresses[m.ID] = m.Address
		ids = append(ids, m.ID)
	}
	o.table.SetMembers(ids, now)
	if s := o.state(); s != nil && s != o.sized {
		o.sized = s
		o.table.SetSizes(resourceSizes(s, o.handle.cfg.ShortReserve), now)
	}
}

// resourceSizes returns the resources of a configuration.
func resourceSizes(s *ledger.State, shortReserve float64) map[quota.Resource]int {
	out := make(map[quota.Resource]int)
	for i := range s.Usage.Upstreams {
		u := &s.Usage.Upstreams[i]
		long, short := quota.SplitWindow(u.Window, shortReserve)
		out[quota.Resource{Kind: quota.KindLong, Name: string(u.ID)}] = long
		out[quota.Resource{Kind: quota.KindShort, Name: string(u.ID)}] = short
	}
	for i := range s.Usage.Usages {
		if u := &s.Usage.Usages[i]; u.Concurrency > 0 {
			out[quota.Resource{Kind: quota.KindPlan, Name: string(u.Plan)}] = u.Concurrency
		}
	}
	return out
}

func (o *owner) handleReply(m answeredMsg) {
	o.idleCallers = append(o.idleCallers, m.caller)
	if m.err != nil {
		metrics.Add("calls_failed", 1)
		o.table.RequestsFailed(m.batch)
		return
	}
	o.table.HandleGrants(m.batch, m.grants, o.handle.cfg.Now())
}

// sendDue makes the asks that are due and publishes the shares.
func (o *owner) sendDue() {
	for _, b := range o.table.DueRequests(len(o.idleCallers), o.handle.cfg.Now()) {
		o.send(b)
	}
	o.publish()
}

// send gives a batch to an idle caller; there must be one.
func (o *owner) send(b quota.RequestBatch) {
	metrics.Add("calls", 1)
	metrics.Add("asks_sent", int64(len(b.Requests)))
	last := len(o.idleCallers) - 1
	i := o.idleCallers[last]
	o.idleCallers = o.idleCallers[:last]
	_ = o.handle.callers[i].Post(call{address: o.addresses[b.Target], batch: b}) // an idle caller's ring has room
}

// publish replaces the snapshot and tells of new numbers; a mere renewal is
// published quietly.
func (o *owner) publish() {
	next, generation := o.table.PublishShares(o.handle.cfg.Now())
	old := o.handle.snapshot.Load()
	o.handle.snapshot.Store(&snapshot{generation: generation, shares: next})
	if o.handle.cfg.OnChange != nil && generation != old.generation {
		o.handle.cfg.OnChange()
	}
}
