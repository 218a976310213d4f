// Package directory contains the externally managed state of a deployment: its
// configuration, the announced weight versions and the registered upstreams. A Feed
// delivers changes, and a View is the resulting state.
package directory

import (
	"context"
	"fmt"
	"maps"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/routes"
)

// Upstream is an upstream's description of one of its incarnations, each of which
// is a run of its process.
type Upstream struct {
	ID         api.UpstreamID
	Service    string
	Address    string // ip:port
	DataCentre api.DataCentre
	Slots      int
	Draining   bool
	// Reclaimable is set if the platform may take the upstream away, with all others of its
	// kind in its data centre.
	Reclaimable bool
	// LeavesIn is the time until a draining upstream goes, as of its description; 0: not
	// known. LeavesAt is when it goes, by the clock of this process; zero: not known.
	LeavesIn time.Duration
	LeavesAt time.Time
	// Software is the version of the upstream's software. What two versions generate does
	// not fit together.
	Software string
	// StartMillis is the start of this incarnation in Unix milliseconds; zero:
	// unknown.
	StartMillis int64
	// Revision is the number of the description within its incarnation, by which
	// descriptions that arrive late are detected.
	Revision uint64
	// Versions are the loaded weight versions by model.
	Versions map[api.ModelName]api.WeightVersion
}

// Change is a change delivered by a feed: one of the types below.
type Change interface{ change() }

// ConfigChanged replaces the configuration.
type ConfigChanged struct{ Config routes.Config }

// WeightsAnnounced announces the weight version that a model's upstreams should
// load.
type WeightsAnnounced struct {
	Model   api.ModelName
	Version api.WeightVersion
}

// UpstreamListed replaces the description of an upstream.
type UpstreamListed struct{ Upstream Upstream }

// UpstreamUnlisted removes an upstream.
type UpstreamUnlisted struct{ ID api.UpstreamID }

// UpstreamLeaving reports that an incarnation of an upstream has said that it leaves. It
// counts as draining from then on, whatever its descriptions say.
type UpstreamLeaving struct {
	ID          api.UpstreamID
	StartMillis int64 // of the incarnation, as in Upstream
}

// MalformedRecord reports a record that cannot be decoded.
type MalformedRecord struct {
	Key   string
	Cause error
}

func (ConfigChanged) change()    {}
func (WeightsAnnounced) change() {}
func (UpstreamListed) change()   {}
func (UpstreamUnlisted) change() {}
func (UpstreamLeaving) change()  {}
func (MalformedRecord) change()  {}

// Cursor is a position in a feed.
type Cursor uint64

// Feed delivers changes in order. It is safe for concurrent use.
type Feed interface {
	// Load returns the newest change of each key, and the cursor after them.
	Load(ctx context.Context) ([]Change, Cursor, error)
	// Next returns the changes after a cursor, and waits up to wait until there
	// is one. Errors: *GapError if changes are no longer retained; the caller
	// must call Load again.
	Next(ctx context.Context, from Cursor, wait time.Duration) (Page, error)
}

// Page is the result of a read of a feed.
type Page struct {
	Changes []Change
	Next    Cursor // where the next read continues
	AtEnd   bool   // there were no changes after Next
}

// GapError is returned if changes after a cursor are no longer retained.
type GapError struct{ From Cursor }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes after %d are no longer retained", e.From)
}

// View is the state after a series of changes. It is immutable once published.
type View struct {
	Table             *routes.Table // nil before the first configuration
	Customers         *access.Index // of Table; nil before the first configuration
	AnnouncedVersions map[api.ModelName]api.WeightVersion
	Upstreams         map[api.UpstreamID]*Upstream
	// ConfigAsOf and UpstreamsAsOf are when the last read that reached the end of the feed
	// of Table, or of Upstreams, began: the view has all that was written before. They
	// are zero before the first such read.
	ConfigAsOf, UpstreamsAsOf time.Time
	// newest is the newest description of each upstream ever listed, so that a
	// late description neither replaces a newer one nor restores an upstream
	// that was removed.
	newest map[api.UpstreamID]incarnationRevision
	// leaving are the incarnations that have said that they leave, by their starts.
	leaving map[api.UpstreamID]int64
}

// incarnationRevision orders the descriptions of an upstream.
type incarnationRevision struct {
	startMillis int64
	revision    uint64
}

func (r incarnationRevision) before(b incarnationRevision) bool {
	if r.startMillis != b.startMillis {
		return r.startMillis < b.startMillis
	}
	return r.revision < b.revision
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		AnnouncedVersions: make(map[api.ModelName]api.WeightVersion),
		Upstreams:         make(map[api.UpstreamID]*Upstream),
		newest:            make(map[api.UpstreamID]incarnationRevision),
		leaving:           make(map[api.UpstreamID]int64),
	}
}

// Apply returns the view after changes. Configurations and announcements with a
// lower version than the current one are ignored.
func (v *View) Apply(changes []Change) *View {
	next := &View{
		Table: v.Table, Customers: v.Customers, AnnouncedVersions: maps.Clone(v.AnnouncedVersions),
		Upstreams: maps.Clone(v.Upstreams), newest: maps.Clone(v.newest),
		leaving: maps.Clone(v.leaving), ConfigAsOf: v.ConfigAsOf, UpstreamsAsOf: v.UpstreamsAsOf,
	}
	for _, c := range changes {
		switch c := c.(type) {
		case ConfigChanged:
			if next.Table == nil || c.Config.Version > next.Table.Version() {
				next.Table, next.Customers = routes.NewTable(c.Config), access.NewIndex(c.Config.Customers)
			}
		case WeightsAnnounced:
			next.AnnouncedVersions[c.Model] = max(next.AnnouncedVersions[c.Model], c.Version)
		case UpstreamListed:
			next.listUpstream(c.Upstream)
		case UpstreamUnlisted:
			delete(next.Upstreams, c.ID)
		case UpstreamLeaving:
			next.markLeaving(c)
		}
	}
	return next
}

// ReadAt returns the view with the times of newer reads. Zero times change nothing.
func (v *View) ReadAt(configAsOf, upstreamsAsOf time.Time) *View {
	next := *v
	if configAsOf.After(v.ConfigAsOf) {
		next.ConfigAsOf = configAsOf
	}
	if upstreamsAsOf.After(v.UpstreamsAsOf) {
		next.UpstreamsAsOf = upstreamsAsOf
	}
	return &next
}

// listUpstream sets an upstream's description unless a newer one is known.
func (v *View) listUpstream(u Upstream) {
	at := incarnationRevision{u.StartMillis, u.Revision}
	if at.before(v.newest[u.ID]) {
		return
	}
	v.newest[u.ID] = at
	// A description is read late, never early.
	if old := v.Upstreams[u.ID]; old != nil && old.StartMillis == u.StartMillis && !old.LeavesAt.IsZero() && u.Draining &&
		(u.LeavesAt.IsZero() || old.LeavesAt.Before(u.LeavesAt)) {
		u.LeavesAt = old.LeavesAt
	}
	if startMillis, ok := v.leaving[u.ID]; ok && startMillis == u.StartMillis {
		u.Draining = true
	}
	v.Upstreams[u.ID] = &u
}

// markLeaving marks an incarnation as leaving, unless a later one is known.
func (v *View) markLeaving(c UpstreamLeaving) {
	if startMillis, ok := v.leaving[c.ID]; ok && startMillis > c.StartMillis {
		return
	}
	v.leaving[c.ID] = c.StartMillis
	if u, ok := v.Upstreams[c.ID]; ok && u.StartMillis == c.StartMillis {
		draining := *u
		draining.Draining = true
		v.Upstreams[c.ID] = &draining
	}
}

// UpstreamsOf returns the upstreams of a service, in no particular order.
func (v *View) UpstreamsOf(service string) []*Upstream {
	var out []*Upstream
	for _, u := range v.Upstreams {
		if u.Service == service {
			out = append(out, u)
		}
	}
	return out
}
