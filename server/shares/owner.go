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
	begin     struct{}
	demandMsg struct {
		demands    []quota.Demand
		generation uint64
	}
	askMsg struct {
		asks   []quota.ResourceAsk
		answer *ring.Slot[[]quota.ResourceGrant]
	}
	answeredMsg struct {
		caller int
		batch  quota.Batch
		grants []quota.ResourceGrant
		err    error
	}
)

func (begin) isMessage()       {}
func (demandMsg) isMessage()   {}
func (askMsg) isMessage()      {}
func (answeredMsg) isMessage() {}

// owner is the state of the owner duty.
type owner struct {
	s         *Shares
	state     func() *ledger.State
	members   func() []MemberAddr
	table     *quota.Table
	config    *ledger.State // whose resources the table has
	addresses map[api.DaemonID]string
	idle      []int // callers without a call
}

func newOwner(s *Shares, state func() *ledger.State, members func() []MemberAddr) *owner {
	first := uint64(s.cfg.Now().UnixMilli()) // above all that an earlier life counted to
	o := &owner{
		s: s, state: state, members: members,
		table:     quota.NewTable(s.cfg.Daemon, s.cfg.Lease, first),
		addresses: make(map[api.DaemonID]string),
	}
	for i := range s.cfg.Callers {
		o.idle = append(o.idle, i)
	}
	return o
}

// Handle processes one message.
func (o *owner) Handle(_ context.Context, m message) {
	switch m := m.(type) {
	case begin:
		o.refresh()
	case demandMsg:
		for _, d := range m.demands {
			o.table.SetNeed(d.Resource, d.Need)
		}
		o.table.Confirm(m.generation)
	case askMsg:
		metrics.Add("asks_handled", int64(len(m.asks)))
		m.answer.Put(o.table.Handle(m.asks, o.s.cfg.Now()))
		return
	case answeredMsg:
		o.answered(m)
	}
	o.advance()
}

// Tick looks at the members, the configuration and what is due.
func (o *owner) Tick(context.Context) {
	o.refresh()
	o.advance()
}

// Idle implements duty.Idler: no share is needed, held or asked for.
func (o *owner) Idle() bool { return o.table.Idle() }

func (o *owner) refresh() {
	now := o.s.cfg.Now()
	clear(o.addresses)
	var ids []api.DaemonID
	for _, m := range o.members() {
		o.addresses[m.ID] = m.Address
		ids = append(ids, m.ID)
	}
	o.table.SetMembers(ids, now)
	if s := o.state(); s != nil && s != o.config {
		o.config = s
		o.table.SetSizes(sizes(s, o.s.cfg.ShortReserve), now)
	}
}

// sizes returns the resources of a configuration.
func sizes(s *ledger.State, shortReserve float64) map[quota.Resource]int {
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

func (o *owner) answered(m answeredMsg) {
	o.idle = append(o.idle, m.caller)
	if m.err != nil {
		metrics.Add("calls_failed", 1)
		o.table.Failed(m.batch)
		return
	}
	o.table.Answered(m.batch, m.grants, o.s.cfg.Now())
}

// advance makes the asks that are due and publishes the shares.
func (o *owner) advance() {
	for _, b := range o.table.Due(len(o.idle), o.s.cfg.Now()) {
		o.send(b)
	}
	o.publish()
}

// send gives a batch to an idle caller; there must be one.
func (o *owner) send(b quota.Batch) {
	metrics.Add("calls", 1)
	metrics.Add("asks_sent", int64(len(b.Asks)))
	last := len(o.idle) - 1
	i := o.idle[last]
	o.idle = o.idle[:last]
	_ = o.s.callers[i].Post(call{address: o.addresses[b.To], batch: b}) // an idle caller's ring has room
}

// publish replaces the snapshot and tells of new numbers; a mere renewal is
// published quietly.
func (o *owner) publish() {
	next, generation := o.table.Publish(o.s.cfg.Now())
	old := o.s.snapshot.Load()
	o.s.snapshot.Store(&snapshot{generation: generation, shares: next})
	if o.s.cfg.Changed != nil && generation != old.generation {
		o.s.cfg.Changed()
	}
}
