package cases

import (
	"fmt"
	"syscall"
	"time"
)

// engineConfig is a configuration with services of engines, all of which have one model.
func engineConfig(version int, services ...string) map[string]any {
	var routes, rows []any
	for _, name := range services {
		routes = append(routes, map[string]any{
			"name": "rollouts-" + name, "host": "trainers.example", "path_prefix": "/" + name + "/", "type": "rollout", "service": name,
			"timeout_ms": 10000, "full_value_ms": 400, "priority": 0, "attempts": 3, "max_queue_s": 40.0, "result_target_ms": 7500,
			"single_version": false, "sticky": true, "resumable": true,
		})
		rows = append(rows, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 170,
			"engine": map[string]any{"slots": 12, "kv_capacity": 96986, "stride": 60, "models": []any{map[string]any{"name": "m1"}}},
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": rows,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// announce names a weight version, as a trainer does.
func announce(s *store, version int) {
	note("version %d is named", version)
	s.put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": version})
}

// lostPacket is the delay of an answer whose packet is lost once: TCP sends it again after
// 200 ms.
const lostPacket = 200 * time.Millisecond

// lossy is how long the link loses packets.
const lossy = 5 * time.Second

// lateOrder: a daemon is stopped while it asks an engine, over a link that loses packets, for the
// report on which its order is based.
func lateOrder() {
	s := newStore()
	s.put("keyed.op", "config", engineConfig(3, "large", "middle", "small", "spare", "trial"))
	s.put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 1})
	e := newEngine(s, "i-1", "large", "m1", 12)
	all := []*engine{e, newEngine(s, "i-2", "middle", "m1", 12), newEngine(s, "i-3", "small", "m1", 12), newEngine(s, "i-4", "spare", "m1", 12), newEngine(s, "i-5", "trial", "m1", 12)}
	byName := make(map[string]*daemon)
	var ds []*daemon
	for _, name := range []string{"front-1", "front-2", "front-3", "front-4", "front-5"} {
		d := newDaemon(name, s)
		byName[name] = d
		ds = append(ds, d)
	}
	awaitReady(ds...)
	time.Sleep(2 * time.Second)
	version := 1
	rounds := 0
	for ; rounds < 3 && len(lowerFences(e)) == 0; rounds++ {
		version++
		announce(s, version)
		holder := awaitVersion(e, version)
		for _, other := range all {
			awaitVersion(other, version)
		}
		time.Sleep(4 * time.Second) // longer than lease_ms: no orders meanwhile
		version++
		asked := make(chan struct{}, 1)
		first := true
		e.mu.Lock()
		e.onReport = func() {
			e.mu.Lock()
			mine := first
			first = false
			e.mu.Unlock()
			if !mine {
				return
			}
			asked <- struct{}{}
			if trouble {
				note("the packet with the report to %s is lost once", holder)
				time.Sleep(lostPacket)
				note("the report reaches %s", holder)
			}
		}
		e.mu.Unlock()
		if trouble {
			note("the link between %s and %s loses packets for %v", holder, e.id, lossy)
			time.AfterFunc(lossy, func() { note("the link between %s and %s is sound again", holder, e.id) })
		}
		announce(s, version)
		select {
		case <-asked:
		case <-time.After(10 * time.Second):
			cannotRun("the holder asks for no report")
		}
		d := byName[holder]
		d.signal(syscall.SIGTERM)
		for _, other := range all {
			awaitVersion(other, version)
		}
		<-d.done
		time.Sleep(time.Second)
		d.start()
		awaitReady(d)
		time.Sleep(2 * time.Second)
	}
	broken := lowerFences(e)
	time.Sleep(time.Second)
	for _, line := range broken {
		note("BROKEN: ONE: %s", line)
	}
	verdict(len(broken) > 0, "%d rounds, %d orders, with a fencing token below an earlier one: %d", rounds, len(e.orders), len(broken))
}

// lowerFences describes the orders with a fencing token below that of an earlier one.
func lowerFences(e *engine) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	highest := 0
	for i, o := range e.orders {
		if o.fence < highest {
			out = append(out, fmt.Sprintf("order %d of %s has fencing token %d, after one with %d", i+1, o.owner, o.fence, highest))
		}
		highest = max(highest, o.fence)
	}
	return out
}

// awaitVersion waits until the engine has a version, and returns the owner of the last order.
func awaitVersion(e *engine, version int) string {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		loaded, n := e.version >= version, len(e.orders)
		owner := ""
		if n > 0 {
			owner = e.orders[n-1].owner
		}
		e.mu.Unlock()
		if loaded {
			return owner
		}
	}
	cannotRun("the engine doesn't load version %d", version)
	return ""
}
