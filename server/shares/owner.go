package shares

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/lib/ring"
)

// message is a message to the owner duty.
type message interface{ isMessage() }

type (
	startMsg  struct{}
	demandMsg struct {
		demands    []quota.ResourceDemand
		generation uint64
	}
	leaseRequestMsg struct {
		requests []quota.ResourceRequest
		reply    *ring.Slot[[]quota.ResourceGrant]
	}
	replyMsg struct {
		caller int
		batch  quota.RequestBatch
		grants []quota.ResourceGrant
		err    error
	}
)

func (startMsg) isMessage()        {}
func (demandMsg) isMessage()       {}
func (leaseRequestMsg) isMessage() {}
func (replyMsg) isMessage()        {}

// owner implements the owner duty.
type owner struct {
	handle         *Shares
	state          func() *ledger.State
	members        func() []MemberAddr
	table          *quota.Table
	appliedState   *ledger.State // configuration that the table's resources come from
	addresses      map[api.DaemonID]string
	idleCallDuties []int // indexes of callers without a call
}

func newOwner(s *Shares, state func() *ledger.State, members func() []MemberAddr) *owner {
	firstSeq := uint64(s.cfg.Now().UnixMilli()) // above every number used by an earlier process of this daemon
	o := &owner{
		handle: s, state: state, members: members,
		table:     quota.NewTable(s.cfg.Daemon, s.cfg.LeaseDuration, firstSeq),
		addresses: make(map[api.DaemonID]string),
	}
	for i := range s.cfg.CallDuties {
		o.idleCallDuties = append(o.idleCallDuties, i)
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
		metrics.Add("asks_handled", int64(len(m.requests)))
		m.reply.Put(o.table.Handle(m.requests, o.handle.cfg.Now()))
		return
	case replyMsg:
		o.handleReply(m)
	}
	o.sendDue()
}

// Tick updates the members and the configuration and sends the requests that are
// due.
func (o *owner) Tick(context.Context) {
	o.refresh()
	o.sendDue()
}

// Idle implements duty.Idler. It reports whether no share is demanded, held or
// requested.
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
	if s := o.state(); s != nil && s != o.appliedState {
		o.appliedState = s
		o.table.SetSizes(resourceSizes(s, o.handle.cfg.ShortReserve), now)
	}
}

// resourceSizes returns the sizes of a configuration's resources.
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

func (o *owner) handleReply(m replyMsg) {
	o.idleCallDuties = append(o.idleCallDuties, m.caller)
	if m.err != nil {
		metrics.Add("calls_failed", 1)
		o.table.RequestsFailed(m.batch)
		return
	}
	o.table.HandleGrants(m.batch, m.grants, o.handle.cfg.Now())
}

// sendDue sends the lease requests that are due and publishes the shares.
func (o *owner) sendDue() {
	for _, b := range o.table.DueRequests(len(o.idleCallDuties), o.handle.cfg.Now()) {
		o.send(b)
	}
	o.publish()
}

// send assigns a batch to an idle caller. There must be one.
func (o *owner) send(b quota.RequestBatch) {
	metrics.Add("calls", 1)
	metrics.Add("asks_sent", int64(len(b.Requests)))
	last := len(o.idleCallDuties) - 1
	i := o.idleCallDuties[last]
	o.idleCallDuties = o.idleCallDuties[:last]
	_ = o.handle.callers[i].Post(call{address: o.addresses[b.Target], batch: b}) // an idle caller's ring is empty
}

// publish replaces the snapshot. It calls OnChange if the generation changed, so
// not for mere renewals.
func (o *owner) publish() {
	next, generation := o.table.PublishShares(o.handle.cfg.Now())
	old := o.handle.snapshot.Load()
	o.handle.snapshot.Store(&snapshot{generation: generation, shares: next})
	if o.handle.cfg.OnChange != nil && generation != old.generation {
		o.handle.cfg.OnChange()
	}
}
