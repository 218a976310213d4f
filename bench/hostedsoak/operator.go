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
	// sameBuild is set if all daemons are of this build. Otherwise routes of jobs are neither
	// moved nor added, and no job is of one weight version: older builds leave items of such
	// jobs without a server.
	sameBuild bool

	mu           sync.Mutex
	jobsMoved    bool
	version      int
	publishTimes []time.Time // of version i+1
}

func probePath(version int) string { return fmt.Sprintf("/probes/%d/", version) }

// addedJobPath is the path of the route of jobs that a version adds. Later versions keep it.
func addedJobPath(version int) string { return fmt.Sprintf("/steps-of-%d/", version) }

// moveJobs publishes a version that moves the routes of jobs to the other service of engines.
func (o *operator) moveJobs() {
	o.mu.Lock()
	o.jobsMoved = o.sameBuild && !o.jobsMoved
	o.mu.Unlock()
	o.publish()
}

// jobRoutes returns the routes of jobs of the next version.
func (o *operator) jobRoutes() []platform.Route {
	service, paths := engineService, []string{batchPath}
	if o.jobsMoved {
		service = otherEngineService
	}
	if o.sameBuild {
		paths = append(paths, singlePath)
		for v := range o.version {
			paths = append(paths, addedJobPath(v+1))
		}
	}
	var out []platform.Route
	for _, path := range paths {
		out = append(out, platform.Route{
			Name: "steps" + path, PathPrefix: path, Kind: "rollout", Service: service, TimeoutMillis: 20000, LatencyTargetMillis: 400, Attempts: 3,
			Resumable: true, ItemTimeoutSeconds: 90, ResultTargetMillis: 7500, SingleVersion: path == singlePath,
		})
	}
	return out
}

// jobPath returns the path of a trainer's next job. By turns, it is on the route of one weight
// version, on the newest route that must be in force already, and on the one of all versions.
func (o *operator) jobPath(step int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.sameBuild {
		return batchPath
	}
	switch step % 3 {
	case 0:
		return singlePath
	case 1:
		for v := o.version; v > 0; v-- {
			if time.Since(o.publishTimes[v-1]) > maxApplyDelay {
				return addedJobPath(v)
			}
		}
	}
	return batchPath
}

// publish publishes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	routes := []platform.Route{
		{Name: "check-ins", PathPrefix: safePath, Kind: "safe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3},
		{Name: "slips", PathPrefix: oncePath, Kind: "unsafe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3},
		{Name: "voices", PathPrefix: streamPath, Kind: "stream", Service: engineService, TimeoutMillis: 5000, LatencyTargetMillis: 400, Attempts: 3, Resumable: true},
	}
	for v := o.version; v > 0 && v > o.version-probeRouteCount; v-- {
		routes = append(routes, platform.Route{Name: fmt.Sprintf("probe-%d", v), PathPrefix: probePath(v), Kind: "safe", Service: plainService, TimeoutMillis: 2000, LatencyTargetMillis: 150, Attempts: 3})
	}
	routes = append(routes, o.jobRoutes()...)
	for i := range routes {
		routes[i].Host = host
	}
	o.store.PublishConfig(o.version, routes, []platform.Service{{Name: engineService, Models: models}, {Name: otherEngineService, Models: models}, {Name: plainService}}, o.tenants()...)
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
