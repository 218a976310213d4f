// Package routes contains the operator's configuration of routes and services,
// and selects the route of a request. It does no I/O; the decoded configuration
// and random numbers are arguments.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
)

// Kind is the kind of a route's requests, which determines whether they may be
// repeated.
type Kind uint8

// Route kinds.
const (
	KindOnce       Kind = iota // runs at most once per client attempt
	KindIdempotent             // may run more than once
	KindStream                 // responds with an event stream
	KindBatch                  // submits batch jobs
)

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route assigns the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable allows streams to be continued on another upstream.
	Resumable bool
	// Timeout is the maximum time to wait for a response.
	Timeout time.Duration
	// LatencyTarget is the response time above which a response is worth less to
	// the client.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of upstreams a request may be sent to.
	MaxAttempts      int
	Priority         int // 0 is the most urgent
	WeightedServices []WeightedService
	// ItemTimeout is how long after its submission an item of a batch job is
	// retried.
	ItemTimeout time.Duration
	// ResultTarget is how long after its submission the results of a batch job
	// are due.
	ResultTarget time.Duration
	// SingleVersion requires that the whole text of an item is generated with one
	// weight version.
	SingleVersion bool
	// Public routes take requests without a key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// PickService selects a service by weight, using the random number draw. It
// returns "" if no service has a positive weight.
func (r *Route) PickService(draw uint64) string {
	total := uint64(0)
	for _, s := range r.WeightedServices {
		total += uint64(max(0, s.Weight))
	}
	if total == 0 {
		return ""
	}
	offset := draw % total
	for _, s := range r.WeightedServices {
		if offset < uint64(max(0, s.Weight)) {
			return s.Service
		}
		offset -= uint64(max(0, s.Weight))
	}
	return ""
}

// RoutesTo reports whether the route sends requests to the service.
func (r *Route) RoutesTo(service string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Engine describes the engines of a service.
type Engine struct {
	Models []api.ModelName
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name      string
	Engine    *Engine    // nil: a plain service
	Autoscale *Autoscale // nil: the number of upstreams is not ours to decide
}

// Autoscale bounds the number of a service's upstreams that may be ordered.
type Autoscale struct {
	Min, Max int           // upstreams in each data centre, reclaimable ones included
	BootTime time.Duration // from the order until a new upstream serves
	// SpotPrice is the price of a reclaimable upstream as a fraction of that of others; 0:
	// there are none.
	SpotPrice float64
	// Prices are the relative prices of an upstream for each data centre that may have some.
	Prices map[api.DataCentre]float64
}

// Customer is a customer whose callers identify themselves by a key.
type Customer struct {
	Name string
	Keys []string // in clear
	// Priority takes precedence over that of the route; nil: the customer has none.
	Priority *int
}

// Limits are the limits on requests. Zero values mean that there is no limit.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64         // of the request line and the headers
	HeaderTimeout  time.Duration // from the start of a request to the end of its headers
	IdleTimeout    time.Duration // of a connection between two requests
}

// Config is a version of the operator's configuration.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer // empty: callers need no key
}

// Table looks up the routes and services of a configuration. It is immutable.
type Table struct {
	config   Config
	byHost   map[string]*hostRoutes
	services map[string]*Service
}

// hostRoutes are the routes of a host.
type hostRoutes struct {
	byPrefix   map[string]*Route // those with a prefix that ends with a slash
	others     []*Route          // longest prefix first
	publicJobs bool              // a route takes batch jobs without a key
}

// NewTable returns a table of the configuration.
func NewTable(c Config) *Table {
	t := &Table{config: c, byHost: make(map[string]*hostRoutes), services: make(map[string]*Service)}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		h, ok := t.byHost[r.Host]
		if !ok {
			h = &hostRoutes{byPrefix: make(map[string]*Route)}
			t.byHost[r.Host] = h
		}
		h.add(r)
	}
	for _, h := range t.byHost {
		slices.SortStableFunc(h.others, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.config.Services {
		s := &t.config.Services[i]
		t.services[s.Name] = s
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// add adds a route. Of two with the same prefix, the first one counts.
func (h *hostRoutes) add(r *Route) {
	h.publicJobs = h.publicJobs || r.Public && r.Kind == KindBatch
	if !strings.HasSuffix(r.Prefix, "/") {
		h.others = append(h.others, r)
		return
	}
	if _, ok := h.byPrefix[r.Prefix]; !ok {
		h.byPrefix[r.Prefix] = r
	}
}

// match returns the route with the longest prefix of path, or nil. The effort grows with
// the number of slashes in the path, not with that of routes.
func (h *hostRoutes) match(path string) *Route {
	var found *Route
	for end := len(path); end > 0 && found == nil; {
		end = strings.LastIndexByte(path[:end], '/')
		found = h.byPrefix[path[:end+1]]
	}
	for _, r := range h.others {
		if (found == nil || len(r.Prefix) > len(found.Prefix)) && strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return found
}

// Match returns the route of the host with the longest prefix of path, or false if
// there is none.
func (t *Table) Match(host, path string) (*Route, bool) {
	h, ok := t.byHost[host]
	if !ok {
		return nil, false
	}
	r := h.match(path)
	return r, r != nil
}

// PublicJobs reports whether a route of the host takes batch jobs without a key.
func (t *Table) PublicJobs(host string) bool {
	h, ok := t.byHost[host]
	return ok && h.publicJobs
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Autoscaled returns the services with engines whose number of upstreams is ours to decide,
// in the order of the configuration.
func (t *Table) Autoscaled() []*Service {
	var out []*Service
	for i := range t.config.Services {
		if s := &t.config.Services[i]; s.Autoscale != nil && s.Engine != nil {
			out = append(out, s)
		}
	}
	return out
}
