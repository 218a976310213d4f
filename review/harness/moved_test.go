package harness

import (
	"fmt"
	"time"
)

func init() { cases["moved"] = routeMoved }

// routeMoved: a configuration moves the route of a batch job to another service while
// most of its items are still to be run.
func routeMoved(r *Rig) {
	const model, prefix, deadline = "daka510000", "/pufi791/", 12 * time.Second
	r.startStore(300 * time.Second)
	both := []service{engineService("engines-a", model), engineService("engines-b", model)}
	r.configure(config{Version: 1, Routes: []route{batchRoute("r1", prefix, "engines-a")}, Services: both})
	var old, next []*Server
	for i := range 3 {
		old = append(old, r.NewServer(fmt.Sprintf("i-a%d", i), "engines-a", model))
		next = append(next, r.NewServer(fmt.Sprintf("i-b%d", i), "engines-b", model))
	}
	var daemons []*Daemon
	for i := range 3 {
		daemons = append(daemons, r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	for _, d := range daemons {
		r.waitReady(d)
	}
	r.sleep(5 * time.Second) // leases
	j := newJob(prefix, model, 26, 4)
	r.submit(j, model, 0, 1, daemons...)
	r.sleep(time.Second)
	begun := 0
	for _, s := range old {
		begun += len(s.Runs())
	}
	r.logf("%d items have begun", begun)
	steady := time.Now()
	if r.trouble {
		steady = r.configure(config{Version: 4, Routes: []route{batchRoute("r1", prefix, "engines-b")}, Services: both}).Add(2 * time.Second)
	}
	results := r.readUntil(j, deadline, daemons)
	r.judgeStep(j, results, steady, next)
}
