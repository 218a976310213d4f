package harness

import (
	"fmt"
	"time"
)

func init() { cases["stuck"] = singleVersionStuck }

// singleVersionStuck: a version of the weights is named while a batch job runs on a route
// with single_version.
func singleVersionStuck(r *Rig) {
	const model, prefix, deadline = "daka510000", "/pufi791/", 12 * time.Second
	r.startStore(300 * time.Second)
	single := batchRoute("r1", prefix, "engines")
	single.SingleVersion = true
	r.configure(config{Version: 1, Routes: []route{single}, Services: []service{engineService("engines", model)}})
	for i := range 5 {
		s := r.NewServer(fmt.Sprintf("i-a%d", i), "engines", model)
		s.EventsOf, s.EventInterval = func(id string) int { return 45 + int(id[15])%20 }, 100*time.Millisecond
	}
	var daemons []*Daemon
	for i := range 3 {
		daemons = append(daemons, r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	for _, d := range daemons {
		r.waitReady(d)
	}
	r.sleep(5 * time.Second) // leases
	j := newJob(prefix, model, 15, 4)
	r.submit(j, model, 0, 1, daemons...)
	r.sleep(time.Second)
	steady := time.Now()
	if r.trouble {
		steady = r.nameVersion(model, 2)
	}
	results := r.readUntil(j, deadline, daemons)
	r.judgeStep(j, results, steady, r.servers)
}
