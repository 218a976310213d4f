// Package routes holds the operator's configuration of routes and services,
// and selects the route of a request. It is pure: the configuration comes in
// decoded, and the random numbers as arguments.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
)

// Kind says what a route's requests are and whether they may be repeated.
type Kind uint8

// The kinds of routes.
const (
	KindOnce       Kind = iota // runs at most once for each attempt of the client
	KindIdempotent             // may run more than once
	KindStream                 // answers with a stream of events
	KindBatch                  // submits batch jobs
)

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says where requests of a host below a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may be continued on another upstream.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth all it can be.
	LatencyTarget time.Duration
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts      int
	Priority         int // 0 is the most urgent
	WeightedServices []WeightedService
	// ItemTimeout is how long after its submission an item of a batch job is kept trying.
	ItemTimeout time.Duration
	// ResultTarget is how long after its submission the results of a job are due.
	ResultTarget time.Duration
	// SingleVersion asks that one weight version makes the whole text of an item.
	SingleVersion bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// PickService returns the service that draw, a random number, selects by weight.
func (r *Route) PickService(draw uint64) string {
	total := uint64(0)
	for _, s := range r.WeightedServices {
		total += uint64(max(0, s.Weight))
	}
	if total == 0 {
		return ""
	}
	at := draw % total
	for _, s := range r.WeightedServices {
		if at < uint64(max(0, s.Weight)) {
			return s.Service
		}
		at -= uint64(max(0, s.Weight))
	}
	return ""
}

// RoutesTo reports whether the route sends requests to a service.
func (r *Route) RoutesTo(service string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the model servers of a service.
type Engine struct {
	Models []api.ModelName
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name   string
	Engine *Engine // nil for plain services
}

// Limits bounds what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds routes of one configuration. It is immutable.
type Table struct {
	config   Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{config: c, byHost: make(map[string][]*Route), services: make(map[string]*Service)}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.config.Services {
		s := &t.config.Services[i]
		t.services[s.Name] = s
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route with the longest prefix of path at a host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
