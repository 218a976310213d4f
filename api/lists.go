package api

import "time"

// PlanList assigns a plan to each customer. A published list replaces the
// previous one completely.
type PlanList struct {
	Plans     []Plan     `json:"plans" yaml:"plans"`
	Customers []Customer `json:"customers" yaml:"customers"`
}

// Plan is a subscription plan.
type Plan struct {
	Name PlanName `json:"name" yaml:"name"`
	// StalenessBound is the maximum number of weight versions by which a sample
	// delivered to a trainer of this plan may lag behind the current version.
	StalenessBound uint64 `json:"staleness_bound" yaml:"staleness_bound"`
}

// Customer is one customer and its plan.
type Customer struct {
	ID   CustomerID `json:"id" yaml:"id"`
	Plan PlanName   `json:"plan" yaml:"plan"`
}

// UsageList lists the upstreams and what each plan may use.
type UsageList struct {
	Upstreams []Upstream `json:"upstreams" yaml:"upstreams"`
	Usages    []Usage    `json:"usages" yaml:"usages"`
}

// UpstreamKind distinguishes engines, which serve models, from plain services, which
// are any other HTTP services.
type UpstreamKind string

// Upstream kinds.
const (
	KindEngine UpstreamKind = "engine"
	KindPlain  UpstreamKind = "plain"
)

// Upstream is one engine or plain service.
type Upstream struct {
	ID         UpstreamID   `json:"id" yaml:"id"`
	Kind       UpstreamKind `json:"kind" yaml:"kind"`
	Address    string       `json:"address" yaml:"address"` // host:port, HTTP
	DataCentre DataCentre   `json:"data_centre" yaml:"data_centre"`
	// Models are the models that an engine serves or, for a plain service, the
	// names by which callers address it.
	Models []ModelName `json:"models" yaml:"models"`
	// Window is the maximum number of requests in progress, summed over all daemons.
	Window int `json:"window" yaml:"window"`
	// Fenced is true if the upstream rejects load orders with an outdated
	// fencing token.
	Fenced bool `json:"fenced" yaml:"fenced"`
}

// Usage defines what one plan may use.
type Usage struct {
	Plan      PlanName     `json:"plan" yaml:"plan"`
	Models    []ModelName  `json:"models" yaml:"models"`
	Upstreams []UpstreamID `json:"upstreams,omitempty" yaml:"upstreams,omitempty"` // empty: all upstreams that serve the model
	// RequestsPerSecond is the rate limit over all daemons; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	// Concurrency is the maximum number of requests in progress over all
	// daemons; zero means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Weights are the scheduling weights of the lanes; a missing lane has weight 1.
	Weights LaneWeights `json:"weights,omitzero" yaml:"weights,omitempty"`
}

// LaneWeights are the shares of the lanes while all of them have queued work.
type LaneWeights struct {
	Interactive int `json:"interactive,omitempty" yaml:"interactive,omitempty"`
	Once        int `json:"once,omitempty" yaml:"once,omitempty"`
	Rollout     int `json:"rollout,omitempty" yaml:"rollout,omitempty"`
}

// Mark is the administrative state of an upstream: whether it accepts new work.
type Mark string

// Upstream marks.
const (
	MarkActive   Mark = "active"
	MarkDraining Mark = "draining"
)

// UnixMillis returns t in milliseconds since the Unix epoch, the unit used in records.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }
