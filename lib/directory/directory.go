// Package directory describes what an outside authority says of a
// deployment: its configuration, the weight versions it announced and the
// upstreams that are there. A Feed delivers it, View is the state it leads to.
package directory

import (
	"context"
	"fmt"
	"maps"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routes"
)

// Upstream is one incarnation of an upstream, as it describes itself.
type Upstream struct {
	ID         api.UpstreamID
	Service    string
	Address    string // ip:port
	DataCentre api.DataCentre
	Slots      int
	Draining   bool
	// StartMillis is the start of this incarnation, in Unix milliseconds; zero
	// when it says none.
	StartMillis int64
	// Revision counts the descriptions of one incarnation; a late one has a
	// lower number than the newest.
	Revision uint64
	// Versions are the weights loaded, by model.
	Versions map[api.ModelName]api.WeightVersion
}

// Change is one thing that a feed reports.
type Change interface{ change() }

// ConfigChanged replaces the configuration.
type ConfigChanged struct{ Config routes.Config }

// WeightsAnnounced names the weight version that a model's upstreams are to load.
type WeightsAnnounced struct {
	Model   api.ModelName
	Version api.WeightVersion
}

// UpstreamListed replaces what is known of one upstream.
type UpstreamListed struct{ Upstream Upstream }

// UpstreamUnlisted removes an upstream.
type UpstreamUnlisted struct{ ID api.UpstreamID }

// MalformedRecord reports a record that can't be used.
type MalformedRecord struct {
	Key   string
	Cause error
}

func (ConfigChanged) change()    {}
func (WeightsAnnounced) change() {}
func (UpstreamListed) change()   {}
func (UpstreamUnlisted) change() {}
func (MalformedRecord) change()  {}

// Cursor is where to read on in a feed.
type Cursor uint64

// Feed delivers changes in order. Its methods may be called from any thread.
type Feed interface {
	// Load returns the newest change of every key, and where to read on.
	Load(ctx context.Context) ([]Change, Cursor, error)
	// Next returns the changes after a cursor, waiting up to wait for one.
	// Errors: *GapError when changes are no longer there: load again.
	Next(ctx context.Context, from Cursor, wait time.Duration) ([]Change, Cursor, error)
}

// GapError reports that changes after a cursor are no longer retained.
type GapError struct{ From Cursor }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes after %d are no longer retained", e.From)
}

// View is the state that changes led to. It is immutable once published.
type View struct {
	Table             *routes.Table // nil before the first configuration
	AnnouncedVersions map[api.ModelName]api.WeightVersion
	Upstreams         map[api.UpstreamID]*Upstream
	// newest holds the newest description of every upstream ever listed, so
	// that a late one neither replaces it nor brings back what has gone.
	newest map[api.UpstreamID]incarnationRevision
}

// incarnationRevision orders the descriptions of an upstream.
type incarnationRevision struct {
	startMillis int64
	revision    uint64
}

func (a incarnationRevision) before(b incarnationRevision) bool {
	if a.startMillis != b.startMillis {
		return a.startMillis < b.startMillis
	}
	return a.revision < b.revision
}

// NewView returns a view in which nothing is known.
func NewView() *View {
	return &View{
		AnnouncedVersions: make(map[api.ModelName]api.WeightVersion),
		Upstreams:         make(map[api.UpstreamID]*Upstream),
		newest:            make(map[api.UpstreamID]incarnationRevision),
	}
}

// Apply returns the view after changes. Configurations and announcements
// with a lower version than known ones are ignored.
func (v *View) Apply(changes []Change) *View {
	next := &View{
		Table: v.Table, AnnouncedVersions: maps.Clone(v.AnnouncedVersions),
		Upstreams: maps.Clone(v.Upstreams), newest: maps.Clone(v.newest),
	}
	for _, c := range changes {
		switch c := c.(type) {
		case ConfigChanged:
			if next.Table == nil || c.Config.Version > next.Table.Version() {
				next.Table = routes.NewTable(c.Config)
			}
		case WeightsAnnounced:
			next.AnnouncedVersions[c.Model] = max(next.AnnouncedVersions[c.Model], c.Version)
		case UpstreamListed:
			next.listUpstream(c.Upstream)
		case UpstreamUnlisted:
			delete(next.Upstreams, c.ID)
		}
	}
	return next
}

// listUpstream takes a description unless a newer one is known.
func (v *View) listUpstream(u Upstream) {
	at := incarnationRevision{u.StartMillis, u.Revision}
	if at.before(v.newest[u.ID]) {
		return
	}
	v.newest[u.ID] = at
	v.Upstreams[u.ID] = &u
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
