package main

import (
	"fmt"
	"sync"
	"time"

	"dotterelmount.example/standin/platform"
)

// probesKept is how many of the newest probe routes a configuration has.
const probesKept = 2

// operator publishes configurations. Each has a probe route of its own and
// drops an older one, so that asking for probes tells which one is in force.
type operator struct {
	store *platform.Store

	mu        sync.Mutex
	version   int
	published []time.Time // by version, from 1 on
}

func probePath(version int) string { return fmt.Sprintf("/probes/%d/", version) }

// publish publishes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	routes := []platform.Route{
		{Name: "steps", Prefix: batchPath, Kind: "rollout", Service: engines, Timeout: 20000, Objective: 400, Attempts: 3, Resumable: true, MaxQueue: 90, ResultsDue: 7500},
		{Name: "check-ins", Prefix: safePath, Kind: "safe", Service: plains, Timeout: 2000, Objective: 150, Attempts: 3},
		{Name: "slips", Prefix: oncePath, Kind: "unsafe", Service: plains, Timeout: 2000, Objective: 150, Attempts: 3},
		{Name: "voices", Prefix: streamPath, Kind: "stream", Service: engines, Timeout: 5000, Objective: 400, Attempts: 3, Resumable: true},
	}
	for v := o.version; v > 0 && v > o.version-probesKept; v-- {
		routes = append(routes, platform.Route{Name: fmt.Sprintf("probe-%d", v), Prefix: probePath(v), Kind: "safe", Service: plains, Timeout: 2000, Objective: 150, Attempts: 3})
	}
	for i := range routes {
		routes[i].Host = host
	}
	o.store.Configure(o.version, routes, []platform.Service{{Name: engines, Models: models}, {Name: plains}})
	o.published = append(o.published, time.Now())
}

// newest returns the newest version.
func (o *operator) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// when returns the time at which a version was published.
func (o *operator) when(version int) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.published[version-1]
}
