// Package scaling decides how many upstreams of a service are ordered in each data centre. It
// does no I/O and reads no clock; times are arguments. It answers the load of batch jobs that
// arrive in steps: each step's results are due a set time after its submission, and nothing
// runs in the pauses between steps.
package scaling

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/singleton"
)

// Config configures the decisions.
type Config struct {
	// Window is how long after its submission a job counts as an example of later ones.
	Window time.Duration
	// MinHistory is for how long jobs must have been seen before upstreams are given back.
	MinHistory time.Duration
	// OnTime is the fraction of a job's time within which its work must be done, and
	// Utilisation the fraction of the slots that the work of all steps may fill.
	OnTime, Utilisation float64
	// DefaultTarget is when the results of a job without a target are due.
	DefaultTarget time.Duration
	// LoadTime is how long an upstream is busy with the load of a version.
	LoadTime time.Duration
	// Reserve is the number of upstreams kept for failures and slow upstreams, as a fraction
	// of those needed. Reclaimable ones serve for it.
	Reserve float64
	// Surplus is the fraction above the number needed that is not given back, and Shortage
	// the fraction below it that is not ordered while no job is late.
	Surplus, Shortage float64
	// ReduceInterval is the minimum time between two reductions of a service.
	ReduceInterval time.Duration
	// ConfirmTimeout is how long the directory may take to show the effect of an order, in
	// addition to the time in which upstreams boot.
	ConfirmTimeout time.Duration
	// RetryInterval is the time after which an order without a response is sent again.
	RetryInterval time.Duration
	// RefusalTime is how long nothing is ordered where none were available, or where
	// upstreams were reclaimed.
	RefusalTime time.Duration
	// SightTime is how long an upstream that is no longer listed counts as there in orders:
	// it may be listed again, and an order of fewer would take another one away.
	SightTime time.Duration
}

// Place is a data centre and the kind of its upstreams.
type Place struct {
	DataCentre  api.DataCentre
	Reclaimable bool
}

// Upstream is a listed upstream of a service.
type Upstream struct {
	Place
	Draining bool
	Model    api.ModelName // whose versions it loads; empty: not known yet
	Slots    int
	Interval time.Duration // mean time between two events of a run; 0: not measured
}

// Input is the state of a service on which a decision is based.
type Input struct {
	Service   string
	Models    []api.ModelName
	Autoscale routes.Autoscale
	Jobs      []batch.Workload // of the service
	Upstreams []Upstream
}

// Order is an order with its reason.
type Order struct {
	singleton.UpstreamOrder
	Present int // upstreams there that don't leave
	Repeat  bool
}

func (p Place) order(service string, count int) singleton.UpstreamOrder {
	return singleton.UpstreamOrder{Service: service, DataCentre: p.DataCentre, Reclaimable: p.Reclaimable, Count: count}
}

// PlaceOf returns the place that an order is for.
func PlaceOf(o singleton.UpstreamOrder) Place {
	return Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
}
