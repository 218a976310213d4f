package main

import (
	"fmt"
	"sync"
	"time"

	"dotterelmount.example/standin/platform"
)

// probeRouteCount is the number of probe routes in a configuration, newest first.
const probeRouteCount = 2

// operator publishes configurations. Each version adds its own probe route and
// removes an older one, so that requests to probe routes show which version is
// in force.
type operator struct {
	store *platform.Store

	mu           sync.Mutex
	version      int
	publishTimes []time.Time // of version i+1
}

func probePath(version int) string { return fmt.Sprintf("/probes/%d/", version) }

// publish publishes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	routes := []platform.Route{
		{Name: "steps", PathPrefix: batchPath, Kind: "rollout", Service: engineService, TimeoutMillis: 20000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true, ItemTimeoutSeconds: 90, ResultTargetMillis: 7500},
		{Name: "check-ins", PathPrefix: safePath, Kind: "safe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3},
		{Name: "slips", PathPrefix: oncePath, Kind: "unsafe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3},
		{Name: "voices", PathPrefix: streamPath, Kind: "stream", Service: engineService, TimeoutMillis: 5000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true},
	}
	for v := o.version; v > 0 && v > o.version-probeRouteCount; v-- {
		routes = append(routes, platform.Route{Name: fmt.Sprintf("probe-%d", v), PathPrefix: probePath(v), Kind: "safe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3})
	}
	for i := range routes {
		routes[i].Host = host
	}
	o.store.PublishConfig(o.version, routes, []platform.Service{{Name: engineService, Models: models}, {Name: plainService}})
	o.publishTimes = append(o.publishTimes, time.Now())
}

// newestVersion returns the newest version.
func (o *operator) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// publishedAt returns the time at which a version was published.
func (o *operator) publishedAt(version int) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.publishTimes[version-1]
}
