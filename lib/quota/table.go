package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routing"
)

// Kind is the kind of a Resource.
type Kind uint8

// The kinds of resources.
const (
	KindLong  Kind = iota // slots of an upstream's window for any work
	KindShort             // slots of an upstream's window reserved for short work
	KindPlan              // concurrent requests of a plan
)

// Resource identifies slots that daemons share. Name is the ID of the upstream or
// the name of the plan.
type Resource struct {
	Kind Kind
	Name string
}

// key returns the hash key for the choice of the allocator. Both parts of a
// window have the same key, so that one call requests slots of both.
func (r Resource) key() uint64 {
	if r.Kind == KindPlan {
		return routing.Key("plan/" + r.Name)
	}
	return routing.Key("upstream/" + r.Name)
}

// Demand is a daemon's demand for a resource.
type Demand struct {
	Wanted   int // slots wanted, calls in progress and Headroom included
	Headroom int // slots wanted ahead of work
	InUse    int // calls in progress
}

// ResourceDemand is the demand for one resource.
type ResourceDemand struct {
	Resource Resource
	Demand   Demand
}

// ResourceRequest is a request for slots of one resource.
type ResourceRequest struct {
	Resource Resource
	Request  LeaseRequest
}

// ResourceGrant is the response to a ResourceRequest.
type ResourceGrant struct {
	Resource Resource
	Grant    Grant
}

// RequestBatch holds the requests to send to one daemon in one call.
type RequestBatch struct {
	Target    api.DaemonID
	CreatedAt time.Time
	Requests  []ResourceRequest
}

const (
	// The fractions are of the lease duration.

	// renewFraction is the request interval while the demand is satisfied.
	renewFraction = 0.5
	// idleFraction is the request interval of a daemon without slots and work.
	idleFraction = 2.0
	// changeFraction is the request interval while the demand changes.
	changeFraction = 1.0 / 40
	// coalesceFactor is the fraction of its interval after which a request is
	// added to a call that is made for others.
	coalesceFactor = 0.7
	// fallbackFraction is the time without a grant after which a daemon uses its
	// fallback slots.
	fallbackFraction = 1.0 / 40
)

// Table manages a daemon's share of many resources. It has a SlotLease of each
// resource and the Allocator of those for which rendezvous hashing chooses this
// daemon. It is not safe for concurrent use.
type Table struct {
	self        api.DaemonID
	lease       time.Duration
	seq         uint64
	members     []string
	alwaysAlone bool // no other member has been seen
	entries     map[Resource]*entry
	// generation increases when the published shares change.
	generation uint64
}

type entry struct {
	resource        Resource
	size            int
	fallbackSlots   int // slots usable while no allocator can grant any
	allocatorID     api.DaemonID
	allocator       *Allocator // nil if another daemon is the allocator
	lease           *SlotLease
	demand          Demand
	requested       int       // slots wanted in the latest request
	peak            int       // most slots wanted since the latest request
	sentAt          time.Time // latest request; zero: none to the current allocator
	unansweredSince time.Time // first request without a grant; zero: none
	pending         bool      // a request is in flight
	renewOnly       bool      // the latest grant has RenewOnly set

	published     int    // slots in the latest published shares
	unconfirmed   int    // most slots published before, which may be in use until ConfirmShares
	unconfirmedTo uint64 // generation whose confirmation resets unconfirmed
	reported      int    // InUse of the latest request if above the slots held and in use; else zero
}

// NewTable returns a table without resources. seq must be above any number that
// an earlier process of this daemon used, for example the Unix time in
// milliseconds.
func NewTable(self api.DaemonID, lease time.Duration, seq uint64) *Table {
	return &Table{self: self, lease: lease, seq: seq, alwaysAlone: true, members: []string{string(self)}, entries: make(map[Resource]*entry)}
}

// SetSizes sets the resources and their numbers of slots.
func (t *Table) SetSizes(sizes map[Resource]int, now time.Time) {
	maps.DeleteFunc(t.entries, func(r Resource, e *entry) bool {
		_, ok := sizes[r]
		t.seq = max(t.seq, e.lease.seq) // in case the resource is added again
		return !ok
	})
	for r, n := range sizes {
		e, ok := t.entries[r]
		if !ok {
			e = &entry{resource: r, lease: NewSlotLease(t.self, t.seq)}
			t.entries[r] = e
		}
		if ok && e.size == n {
			continue
		}
		e.size = n
		t.assignAllocator(e, now)
	}
	t.assignFallbackSlots()
}

// SetMembers sets the live daemons. This daemon always counts as live.
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
	t.alwaysAlone = t.alwaysAlone && len(members) == 1
	for _, e := range t.entries {
		t.assignAllocator(e, now)
	}
	t.assignFallbackSlots()
}

// assignAllocator chooses the allocator of an entry among the live members.
func (t *Table) assignAllocator(e *entry, now time.Time) {
	allocatorID := api.DaemonID(routing.First(e.resource.key(), t.members))
	if allocatorID != e.allocatorID {
		e.allocatorID = allocatorID
		e.allocator = nil
		e.sentAt, e.pending = time.Time{}, false // send a request to the new allocator at once
	}
	switch {
	case allocatorID != t.self:
	case e.allocator == nil:
		e.allocator = NewAllocator(e.size, t.lease, now)
	default:
		e.allocator.SetWindow(e.size)
	}
}

// assignFallbackSlots assigns the slots of all resources with fallback slots to
// the members round-robin, so that all members get the same number, give or take
// one. The fallback slots of a resource add up to its size.
func (t *Table) assignFallbackSlots() {
	resources := slices.SortedFunc(maps.Keys(t.entries), compareResources)
	n := len(t.members)
	self := slices.Index(t.members, string(t.self))
	assigned := 0
	for _, r := range resources {
		e := t.entries[r]
		e.fallbackSlots = 0
		if r.Kind == KindLong {
			continue
		}
		first := ((self-assigned)%n + n) % n // index of this member's first slot of the resource
		e.fallbackSlots = (e.size - first + n - 1) / n
		assigned += e.size
	}
}

func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SetDemand sets the demand for a resource. Unknown resources are ignored.
func (t *Table) SetDemand(r Resource, d Demand) {
	if e, ok := t.entries[r]; ok {
		e.demand = Demand{Wanted: max(0, d.Wanted, d.InUse), Headroom: max(0, d.Headroom), InUse: max(0, d.InUse)}
		e.peak = max(e.peak, e.demand.Wanted)
		e.lease.SetInUse(e.demand.InUse)
	}
}

// DueRequests creates the requests that are due and returns those for other
// daemons, in at most limit batches. Requests to this daemon's own allocators are
// handled at once. HandleGrants or RequestsFailed must follow for each batch.
func (t *Table) DueRequests(limit int, now time.Time) []RequestBatch {
	t.heartbeat(now)
	due := make(map[api.DaemonID]bool)
	for _, e := range t.entries {
		if !t.isDue(e, 1, now) {
			continue
		}
		if e.allocator != nil {
			t.requestLocally(e, now)
			continue
		}
		due[e.allocatorID] = true
	}
	batches := make([]RequestBatch, 0, min(limit, len(due)))
	for _, to := range t.rotateTargets(due) {
		if len(batches) == limit {
			break
		}
		batches = append(batches, t.buildBatch(to, now))
	}
	return batches
}

// Idle reports whether this daemon has no demand, no slots and no request in
// flight. DueRequests must still be called as often as Allocator.Heartbeat
// requires.
func (t *Table) Idle() bool {
	for _, e := range t.entries {
		if e.demand != (Demand{}) || e.pending || e.lease.slots > 0 || e.unconfirmed > 0 {
			return false
		}
	}
	return true
}

func (t *Table) heartbeat(now time.Time) {
	for _, e := range t.entries {
		switch {
		case e.allocator == nil:
		case t.alwaysAlone:
			e.allocator.AssumeNoPredecessor(now)
		default:
			e.allocator.Heartbeat(now)
		}
	}
}

// rotateTargets returns the daemons with due requests, starting with a different
// one each time, so that no daemon is always cut off by the limit.
func (t *Table) rotateTargets(due map[api.DaemonID]bool) []api.DaemonID {
	ids := slices.Sorted(maps.Keys(due))
	if len(ids) == 0 {
		return nil
	}
	t.seq++
	first := int(t.seq % uint64(len(ids)))
	return append(ids[first:], ids[:first]...)
}

// buildBatch creates the requests for one daemon, including those that will soon
// be due.
func (t *Table) buildBatch(to api.DaemonID, now time.Time) RequestBatch {
	b := RequestBatch{Target: to, CreatedAt: now}
	for _, e := range t.entries {
		if e.allocatorID == to && t.isDue(e, coalesceFactor, now) {
			e.pending = true
			b.Requests = append(b.Requests, ResourceRequest{Resource: e.resource, Request: t.buildRequest(e, now)})
		}
	}
	return b
}

// buildRequest creates a request. It wants the peak since the latest request, so
// that a fluctuating demand does not cause a request for each change, or nothing
// if there is no demand. Without a valid grant the fallback slots may be in use,
// so they are reported like calls in progress.
func (t *Table) buildRequest(e *entry, now time.Time) LeaseRequest {
	wanted := e.demand.Wanted
	if wanted > 0 {
		wanted = max(wanted, e.peak)
	}
	expired := !now.Before(e.lease.expiresAt)
	usesFallback := e.renewOnly || expired
	e.renewOnly = e.renewOnly && !expired
	e.sentAt, e.requested, e.peak = now, wanted, e.demand.Wanted
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
	req := e.lease.NextRequest(wanted, now)
	reported := max(e.unconfirmed, e.published)
	if usesFallback {
		reported = max(reported, e.fallbackSlots)
	}
	e.reported = 0
	if reported > max(req.Held, req.InUse) {
		e.reported, req.InUse = reported, reported
	}
	return req
}

// requestLocally sends a request to this daemon's own allocator.
func (t *Table) requestLocally(e *entry, now time.Time) {
	g := e.allocator.Handle(t.buildRequest(e, now), now)
	t.applyGrant(e, g, now, now)
}

// isDue reports whether a request is due: at once to a new allocator or after a
// smaller grant, otherwise factor times the interval after the latest request.
func (t *Table) isDue(e *entry, factor float64, now time.Time) bool {
	held := e.lease.Slots(now)
	if e.pending || (held == 0 && e.reported == 0 && e.demand == Demand{}) {
		return false
	}
	if e.sentAt.IsZero() || (e.lease.Shrunk() && e.confirmed()) {
		return true
	}
	return now.Sub(e.sentAt) >= t.leaseFraction(factor*t.interval(e, held))
}

// interval returns the time between two requests, as a fraction of the lease
// duration.
func (t *Table) interval(e *entry, held int) float64 {
	work := e.demand.Wanted - e.demand.Headroom
	released := held > 0 && (e.demand.Wanted == 0 || 2*e.peak < held)
	switch {
	case released, work > held && work > e.requested:
		return changeFraction
	case e.reported > 0 && e.confirmed():
		return 1.0 / RequestsPerLease
	case work > held, e.demand.InUse > held, e.demand.Wanted > max(held, e.requested):
		return 1.0 / RequestsPerLease
	case held == 0:
		return idleFraction
	default:
		return renewFraction
	}
}

// confirmed reports whether the user of the shares has the current ones.
func (e *entry) confirmed() bool { return e.unconfirmed == 0 && e.published <= e.lease.slots }

func (t *Table) leaseFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.lease))
}

// Handle returns the grants for other daemons' requests. Requests for resources
// of which this daemon is not the allocator get no grant.
func (t *Table) Handle(requests []ResourceRequest, now time.Time) []ResourceGrant {
	grants := make([]ResourceGrant, 0, len(requests))
	for _, r := range requests {
		e, ok := t.entries[r.Resource]
		if !ok || e.allocator == nil {
			continue
		}
		grants = append(grants, ResourceGrant{Resource: r.Resource, Grant: e.allocator.Handle(r.Request, now)})
	}
	return grants
}

// HandleGrants applies the grants received for a batch.
func (t *Table) HandleGrants(b RequestBatch, grants []ResourceGrant, now time.Time) {
	t.RequestsFailed(b)
	for _, g := range grants {
		if e, ok := t.entries[g.Resource]; ok && e.allocatorID == b.Target {
			t.applyGrant(e, g.Grant, b.CreatedAt, now)
		}
	}
}

// RequestsFailed reports that a batch got no response. Its requests are created
// again when due.
func (t *Table) RequestsFailed(b RequestBatch) {
	for _, r := range b.Requests {
		if e, ok := t.entries[r.Resource]; ok {
			e.pending = false
		}
	}
}

func (t *Table) applyGrant(e *entry, g Grant, requestedAt, now time.Time) {
	e.lease.Apply(g, requestedAt, now)
	e.renewOnly = g.RenewOnly
	if g.Slots >= e.reported {
		e.reported = 0 // the allocator counts no more than it granted
	}
	e.unansweredSince = time.Time{}
}

// Share is the slots of a resource that a daemon may use over time.
type Share struct {
	Slots         int
	ExpiresAt     time.Time // expiry of Slots
	FallbackSlots int
	FallbackFrom  time.Time // start of the use of FallbackSlots; zero: never
	FallbackUntil time.Time // end of the use of FallbackSlots; zero: no end
}

// SlotsAt returns the number of slots that may be used at now.
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

// PublishShares returns this daemon's non-empty shares and their generation. The
// user of the shares confirms a generation after it has set its demands on the
// basis of it. Until then requests report slots that were taken back as in use,
// because the user may have started calls in them before it got the new shares.
func (t *Table) PublishShares(now time.Time) (map[Resource]Share, uint64) {
	out := make(map[Resource]Share)
	next := t.generation + 1
	for r, e := range t.entries {
		s := t.shareOf(e)
		n := s.SlotsAt(now)
		if n < e.published {
			e.unconfirmed = max(e.unconfirmed, e.published)
			e.unconfirmedTo = next
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

// ConfirmShares confirms that the demands set so far are based on the shares of a
// generation or of a later one.
func (t *Table) ConfirmShares(generation uint64) {
	for _, e := range t.entries {
		if e.unconfirmedTo <= generation {
			e.unconfirmed = 0
		}
	}
}

func (t *Table) shareOf(e *entry) Share {
	s := Share{Slots: e.lease.slots, ExpiresAt: e.lease.expiresAt, FallbackSlots: e.fallbackSlots}
	switch {
	case e.renewOnly:
		s.FallbackFrom = e.lease.expiresAt.Add(-t.lease)
		if e.unansweredSince.IsZero() {
			s.FallbackUntil = e.lease.expiresAt
		}
	case !e.unansweredSince.IsZero():
		s.FallbackFrom = later(e.unansweredSince.Add(t.leaseFraction(fallbackFraction)), e.lease.expiresAt)
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
