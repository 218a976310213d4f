package scaling

import (
	"expvar"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/scaling"
	"dotterelmount.example/lib/singleton"
)

// Upstreams by service, data centre and kind, at the daemon that holds the duty.
var (
	presentUpstreams = expvar.NewMap("upstreams_present")
	orderedUpstreams = expvar.NewMap("upstreams_ordered")
)

// input returns the state of a service.
func input(service *routes.Service, v *directory.View, leased []batch.Upstream, work []batch.Workload) *scaling.Input {
	in := &scaling.Input{Service: service.Name, Models: service.Engine.Models, Autoscale: *service.Autoscale}
	leases := byID(leased)
	for _, u := range v.UpstreamsOf(service.Name) {
		out := scaling.Upstream{Place: scaling.Place{DataCentre: u.DataCentre, Reclaimable: u.Reclaimable}, Draining: u.Draining, Slots: u.Slots}
		if l := leases[u.ID]; l != nil {
			out.Model, out.Interval = l.AssignedModel, time.Duration(l.EventIntervalMicros)*time.Microsecond
		}
		in.Upstreams = append(in.Upstreams, out)
	}
	for _, w := range work {
		if w.Service == service.Name {
			in.Jobs = append(in.Jobs, w)
		}
	}
	return in
}

// byID returns the leases by upstream.
func byID(upstreams []batch.Upstream) map[api.UpstreamID]*batch.Upstream {
	out := make(map[api.UpstreamID]*batch.Upstream, len(upstreams))
	for n := range upstreams {
		out[upstreams[n].ID] = &upstreams[n]
	}
	return out
}

func metricName(service string, p scaling.Place) string {
	kind := "ordinary"
	if p.Reclaimable {
		kind = "reclaimable"
	}
	return service + "/" + string(p.DataCentre) + "/" + kind
}

// publish sets the metrics of the upstreams that are present.
func publish(in *scaling.Input) {
	counts := make(map[scaling.Place]int64)
	for _, u := range in.Upstreams {
		if !u.Draining {
			counts[u.Place]++
		}
	}
	for dc := range in.Autoscale.Prices {
		for _, reclaimable := range []bool{false, true} {
			p := scaling.Place{DataCentre: dc, Reclaimable: reclaimable}
			n := new(expvar.Int)
			n.Set(counts[p])
			presentUpstreams.Set(metricName(in.Service, p), n)
		}
	}
}

// publishTarget sets the metric of the upstreams ordered.
func publishTarget(o singleton.UpstreamOrder) {
	n := new(expvar.Int)
	n.Set(int64(o.Count))
	orderedUpstreams.Set(metricName(o.Service, scaling.PlaceOf(o)), n)
}

// unpublish removes the metrics when the duty is given up.
func unpublish() {
	presentUpstreams.Init()
	orderedUpstreams.Init()
}
