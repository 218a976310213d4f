package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routing"
)

// Kind tells what a Resource is a part of.
type Kind uint8

// The kinds of resources.
const (
	KindLong  Kind = iota // slots of an upstream's window for any work
	KindShort             // slots of an upstream's window that only short work may use
	KindPlan              // a plan's requests in progress
)

// Resource names slots that daemons share: the name is an upstream's or a plan's.
type Resource struct {
	Kind Kind
	Name string
}

// key is the same on all daemons. Both parts of a window have one keeper, so
// that one call asks for both.
func (r Resource) key() uint64 {
	if r.Kind == KindPlan {
		return routing.Key("plan/" + r.Name)
	}
	return routing.Key("upstream/" + r.Name)
}

// Demand is a daemon's demand for a resource.
type Demand struct {
	Wanted   int // slots there is work for, with the calls in progress and Spare
	Headroom int // slots wanted ahead of work
	InUse    int // calls in progress
}

// ResourceDemand is a daemon's need of one resource.
type ResourceDemand struct {
	Resource Resource
	Demand   Demand
}

// ResourceRequest is an ask about one resource.
type ResourceRequest struct {
	Resource Resource
	Request  LeaseRequest
}

// ResourceGrant answers a ResourceAsk.
type ResourceGrant struct {
	Resource Resource
	Grant    Grant
}

// RequestBatch is what to send to one daemon in one call.
type RequestBatch struct {
	Target    api.DaemonID
	CreatedAt time.Time // when the asks were made
	Requests  []ResourceRequest
}

const (
	// renewPart is the part of a lease after which satisfied slots are renewed.
	renewPart = 0.5
	// sparePart is the part of a lease between two asks of a daemon that holds
	// nothing and has no work.
	sparePart = 2.0
	// changePart is the part of a lease between two asks when the need changes.
	changePart = 1.0 / 40
	// earlyFactor is the part of its interval after which an ask joins a call
	// that is made anyway.
	earlyFactor = 0.7
	// floorPart is the part of a lease for which an ask stays unanswered before
	// the daemon uses its floor.
	floorPart = 1.0 / 40
)

// Table is one daemon's part in sharing many resources: a Holding of each and
// the Keeper of those for which rendezvous hashing chooses this daemon. It
// belongs to one duty: it is not safe for concurrent use.
type Table struct {
	self    api.DaemonID
	lease   time.Duration
	seq     uint64
	members []string
	single  bool // no other member was ever seen
	entries map[Resource]*entry
	// generation numbers the published shares that differ from earlier ones.
	generation uint64
}

type entry struct {
	resource Resource
	size     int
	floor    int // slots without a grant while no keeper can give one
	keeper   api.DaemonID
	own      *Allocator // nil when another daemon is the keeper
	holding  *SlotLease
	need     Demand
	asked    int       // slots wanted in the latest ask
	peak     int       // most slots wanted since the latest ask
	sent     time.Time // latest ask; zero: none of the present keeper
	waiting  time.Time // first ask without an answer; zero: none
	pending  bool      // an ask is on its way
	unsure   bool      // the latest answer came from a new keeper

	published int    // slots in the latest published shares
	loose     int    // slots published before, which may be used until the user of the shares confirms
	looseTo   uint64 // generation that ends loose
	believed  int    // slots that the latest ask told beyond those held and in use; zero: none
}

// NewTable returns a table without resources. seq must be above any number
// that an earlier life of this daemon used; wall-clock milliseconds serve.
func NewTable(self api.DaemonID, lease time.Duration, seq uint64) *Table {
	return &Table{self: self, lease: lease, seq: seq, single: true, members: []string{string(self)}, entries: make(map[Resource]*entry)}
}

// SetSizes takes over the resources that exist, with their slots.
func (t *Table) SetSizes(sizes map[Resource]int, now time.Time) {
	maps.DeleteFunc(t.entries, func(r Resource, e *entry) bool {
		_, ok := sizes[r]
		t.seq = max(t.seq, e.holding.seq) // should the resource come back
		return !ok
	})
	for r, n := range sizes {
		e, ok := t.entries[r]
		if !ok {
			e = &entry{resource: r, holding: NewSlotLease(t.self, t.seq)}
			t.entries[r] = e
		}
		if ok && e.size == n {
			continue
		}
		e.size = n
		t.place(e, now)
	}
	t.deal()
}

// SetMembers takes over the live daemons; this one always counts as live.
func (t *Table) SetMembers(ids []api.DaemonID, now time.Time) {
	members := []string{string(t.self)}
	for _, id := range ids {
		members = append(members, string(id))
	}
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, t.members) {
		return
	}
	t.members = members
	t.single = t.single && len(members) == 1
	for _, e := range t.entries {
		t.place(e, now)
	}
	t.deal()
}

// place finds an entry's keeper among the live members.
func (t *Table) place(e *entry, now time.Time) {
	keeper := api.DaemonID(routing.First(e.resource.key(), t.members))
	if keeper != e.keeper {
		e.keeper = keeper
		e.own = nil
		e.sent, e.pending = time.Time{}, false // the new keeper is told at once
	}
	switch {
	case keeper != t.self:
	case e.own == nil:
		e.own = NewAllocator(e.size, t.lease, now)
	default:
		e.own.SetWindow(e.size)
	}
}

// deal gives the slots of all resources that have floors to the members in
// turn, so that each member gets as many as any other. The floors of one
// resource add up to its size.
func (t *Table) deal() {
	resources := slices.SortedFunc(maps.Keys(t.entries), compareResources)
	n := len(t.members)
	self := slices.Index(t.members, string(t.self))
	dealt := 0
	for _, r := range resources {
		e := t.entries[r]
		e.floor = 0
		if r.Kind == KindLong {
			continue
		}
		first := ((self-dealt)%n + n) % n // of this resource's slots, the first for this member
		e.floor = (e.size - first + n - 1) / n
		dealt += e.size
	}
}

func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SetDemand tells the demand for a resource; unknown resources are ignored.
func (t *Table) SetDemand(r Resource, need Demand) {
	if e, ok := t.entries[r]; ok {
		e.need = Demand{Wanted: max(0, need.Wanted, need.InUse), Headroom: max(0, need.Headroom), InUse: max(0, need.InUse)}
		e.peak = max(e.peak, e.need.Wanted)
		e.holding.SetInUse(e.need.InUse)
	}
}

// DueRequests makes the asks that are due and returns those for other daemons, at most
// limit batches. Asks to this daemon's own keepers are answered at once.
// Answered or Failed must follow for each batch.
func (t *Table) DueRequests(limit int, now time.Time) []RequestBatch {
	t.beat(now)
	due := make(map[api.DaemonID]bool)
	for _, e := range t.entries {
		if !t.isDue(e, 1, now) {
			continue
		}
		if e.own != nil {
			t.askOwn(e, now)
			continue
		}
		due[e.keeper] = true
	}
	batches := make([]RequestBatch, 0, min(limit, len(due)))
	for _, to := range t.order(due) {
		if len(batches) == limit {
			break
		}
		batches = append(batches, t.batch(to, now))
	}
	return batches
}

// Idle reports whether this daemon needs and holds nothing and waits for no
// answer. Due must still be called often enough for the keepers' Beat.
func (t *Table) Idle() bool {
	for _, e := range t.entries {
		if e.need != (Demand{}) || e.pending || e.holding.slots > 0 || e.loose > 0 {
			return false
		}
	}
	return true
}

func (t *Table) beat(now time.Time) {
	for _, e := range t.entries {
		switch {
		case e.own == nil:
		case t.single:
			e.own.AssumeNoPredecessor(now)
		default:
			e.own.Heartbeat(now)
		}
	}
}

// order returns the daemons to be asked, each time from another one on, so
// that a limit passes none over for good.
func (t *Table) order(due map[api.DaemonID]bool) []api.DaemonID {
	ids := slices.Sorted(maps.Keys(due))
	if len(ids) == 0 {
		return nil
	}
	t.seq++
	first := int(t.seq % uint64(len(ids)))
	return append(ids[first:], ids[:first]...)
}

// batch makes the asks for one daemon, with those that would soon be due.
func (t *Table) batch(to api.DaemonID, now time.Time) RequestBatch {
	b := RequestBatch{Target: to, CreatedAt: now}
	for _, e := range t.entries {
		if e.keeper == to && t.isDue(e, earlyFactor, now) {
			e.pending = true
			b.Requests = append(b.Requests, ResourceRequest{Resource: e.resource, Request: t.ask(e, now)})
		}
	}
	return b
}

// ask makes an ask. It wants what was wanted at most since the latest one, so
// that a need that goes up and down costs no ask each time; nothing once the
// need is over. Without a grant that is good the floor may come to be used, so
// it is told like calls in progress.
func (t *Table) ask(e *entry, now time.Time) LeaseRequest {
	want := e.need.Wanted
	if want > 0 {
		want = max(want, e.peak)
	}
	lapsed := !now.Before(e.holding.until)
	floored := e.unsure || lapsed
	e.unsure = e.unsure && !lapsed
	e.sent, e.asked, e.peak = now, want, e.need.Wanted
	if e.waiting.IsZero() {
		e.waiting = now
	}
	a := e.holding.NextRequest(want, now)
	believed := max(e.loose, e.published)
	if floored {
		believed = max(believed, e.floor)
	}
	e.believed = 0
	if believed > max(a.Held, a.InUse) {
		e.believed, a.InUse = believed, believed
	}
	return a
}

// askOwn asks this daemon's own keeper.
func (t *Table) askOwn(e *entry, now time.Time) {
	g := e.own.Handle(t.ask(e, now), now)
	t.take(e, g, now, now)
}

// isDue reports whether the time since the latest ask passed factor times the
// interval that the entry's state calls for.
func (t *Table) isDue(e *entry, factor float64, now time.Time) bool {
	held := e.holding.Slots(now)
	if e.pending || (held == 0 && e.believed == 0 && e.need == Demand{}) {
		return false
	}
	if e.sent.IsZero() || (e.holding.Shrunk() && e.confirmed()) {
		return true
	}
	return now.Sub(e.sent) >= t.part(factor*t.interval(e, held))
}

// interval returns the part of a lease between two asks.
func (t *Table) interval(e *entry, held int) float64 {
	work := e.need.Wanted - e.need.Headroom
	freed := held > 0 && (e.need.Wanted == 0 || 2*e.peak < held)
	switch {
	case freed, work > held && work > e.asked:
		return changePart
	case e.believed > 0 && e.confirmed():
		return 1.0 / RequestsPerLease
	case work > held, e.need.InUse > held, e.need.Wanted > max(held, e.asked):
		return 1.0 / RequestsPerLease
	case held == 0:
		return sparePart
	default:
		return renewPart
	}
}

// confirmed reports whether the user of the shares knows the present ones.
func (e *entry) confirmed() bool { return e.loose == 0 && e.published <= e.holding.slots }

func (t *Table) part(share float64) time.Duration {
	return time.Duration(share * float64(t.lease))
}

// Handle answers other daemons' asks, but for resources of which this daemon
// is not the keeper: those are left out.
func (t *Table) Handle(asks []ResourceRequest, now time.Time) []ResourceGrant {
	grants := make([]ResourceGrant, 0, len(asks))
	for _, a := range asks {
		e, ok := t.entries[a.Resource]
		if !ok || e.own == nil {
			continue
		}
		grants = append(grants, ResourceGrant{Resource: a.Resource, Grant: e.own.Handle(a.Request, now)})
	}
	return grants
}

// HandleGrants takes in the answer to a batch.
func (t *Table) HandleGrants(b RequestBatch, grants []ResourceGrant, now time.Time) {
	t.RequestsFailed(b)
	for _, g := range grants {
		if e, ok := t.entries[g.Resource]; ok && e.keeper == b.Target {
			t.take(e, g.Grant, b.CreatedAt, now)
		}
	}
}

// RequestsFailed tells that a batch got no answer; its asks are made anew when due.
func (t *Table) RequestsFailed(b RequestBatch) {
	for _, a := range b.Requests {
		if e, ok := t.entries[a.Resource]; ok {
			e.pending = false
		}
	}
}

func (t *Table) take(e *entry, g Grant, askedAt, now time.Time) {
	e.holding.Apply(g, askedAt, now)
	e.unsure = g.RenewOnly
	if g.Slots >= e.believed {
		e.believed = 0 // the keeper counts no more than it granted
	}
	e.waiting = time.Time{}
}

// Share is what a daemon may use of a resource over time.
type Share struct {
	Slots         int
	ExpiresAt     time.Time // Slots lapse then
	FallbackSlots int
	FallbackFrom  time.Time // the floor may be used from then on; zero: never
	FallbackUntil time.Time // and until then; zero: for good
}

// SlotsAt returns the number of slots at a moment.
func (s Share) SlotsAt(now time.Time) int {
	n := 0
	if now.Before(s.ExpiresAt) {
		n = s.Slots
	}
	started := !s.FallbackFrom.IsZero() && !now.Before(s.FallbackFrom)
	if started && (s.FallbackUntil.IsZero() || now.Before(s.FallbackUntil)) {
		n = max(n, s.FallbackSlots)
	}
	return n
}

// PublishShares returns this daemon's share of each resource of which it may have
// one, and the generation of these numbers. Their user confirms a generation
// once it has told its needs by it; until then an ask tells the keeper of slots
// that were taken back as if calls were in progress in them, because the user
// may have started some before it knew.
func (t *Table) PublishShares(now time.Time) (map[Resource]Share, uint64) {
	out := make(map[Resource]Share)
	next := t.generation + 1
	for r, e := range t.entries {
		s := t.shareOf(e)
		n := s.SlotsAt(now)
		if n < e.published {
			e.loose = max(e.loose, e.published)
			e.looseTo = next
		}
		if n != e.published {
			t.generation = next
		}
		e.published = n
		if n > 0 || !s.FallbackFrom.IsZero() {
			out[r] = s
		}
	}
	return out, t.generation
}

// ConfirmShares tells that the needs set so far were found by the shares of a
// generation or later ones.
func (t *Table) ConfirmShares(generation uint64) {
	for _, e := range t.entries {
		if e.looseTo <= generation {
			e.loose = 0
		}
	}
}

func (t *Table) shareOf(e *entry) Share {
	s := Share{Slots: e.holding.slots, ExpiresAt: e.holding.until, FallbackSlots: e.floor}
	switch {
	case e.unsure:
		s.FallbackFrom = e.holding.until.Add(-t.lease)
		if e.waiting.IsZero() {
			s.FallbackUntil = e.holding.until
		}
	case !e.waiting.IsZero():
		s.FallbackFrom = later(e.waiting.Add(t.part(floorPart)), e.holding.until)
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
