package api

import "time"

// PlanList says which plan each customer has. A list replaces its predecessor whole.
type PlanList struct {
	Plans     []Plan     `json:"plans" yaml:"plans"`
	Customers []Customer `json:"customers" yaml:"customers"`
}

// Plan is what customers subscribe to.
type Plan struct {
	Name PlanName `json:"name" yaml:"name"`
	// StalenessBound is the most weight versions that a sample handed to a
	// trainer of this plan may be behind the version in force.
	StalenessBound uint64 `json:"staleness_bound" yaml:"staleness_bound"`
}

// Customer is one customer and its plan.
type Customer struct {
	ID   CustomerID `json:"id" yaml:"id"`
	Plan PlanName   `json:"plan" yaml:"plan"`
}

// UsageList says what exists and what each plan may use of it.
type UsageList struct {
	Upstreams []Upstream `json:"upstreams" yaml:"upstreams"`
	Usages    []Usage    `json:"usages" yaml:"usages"`
}

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine UpstreamKind = "engine"
	KindPlain  UpstreamKind = "plain"
)

// Upstream is one model engine or plain service.
type Upstream struct {
	ID         UpstreamID   `json:"id" yaml:"id"`
	Kind       UpstreamKind `json:"kind" yaml:"kind"`
	Address    string       `json:"address" yaml:"address"` // host:port, HTTP
	DataCentre DataCentre   `json:"data_centre" yaml:"data_centre"`
	// Models an engine serves; for a plain service the names callers use for it.
	Models []ModelName `json:"models" yaml:"models"`
	// Window is the most requests in progress from all daemons together.
	Window int `json:"window" yaml:"window"`
	// Fenced is true where the upstream refuses orders with an old fencing number.
	Fenced bool `json:"fenced" yaml:"fenced"`
}

// Usage is what one plan may use.
type Usage struct {
	Plan      PlanName     `json:"plan" yaml:"plan"`
	Models    []ModelName  `json:"models" yaml:"models"`
	Upstreams []UpstreamID `json:"upstreams,omitempty" yaml:"upstreams,omitempty"` // empty: all that serve the model
	// RequestsPerSecond of all daemons together; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	// Concurrency is the most requests in progress of all daemons together; zero means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Weights of the lanes when they compete; a missing lane has weight 1.
	Weights LaneWeights `json:"weights,omitzero" yaml:"weights,omitempty"`
}

// LaneWeights are the shares of the lanes when all of them have work queued.
type LaneWeights struct {
	Interactive int `json:"interactive,omitempty" yaml:"interactive,omitempty"`
	Once        int `json:"once,omitempty" yaml:"once,omitempty"`
	Rollout     int `json:"rollout,omitempty" yaml:"rollout,omitempty"`
}

// Mark says whether an upstream takes new work.
type Mark string

// The marks of an upstream.
const (
	MarkActive   Mark = "active"
	MarkDraining Mark = "draining"
)

// UnixMillis converts a wall-clock time to the milliseconds since the Unix epoch that records carry.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }
