package harness

import (
	"fmt"
	"time"
)

func init() { cases["behind"] = configurationBehind }

// configurationBehind: the store turns one machine away for some seconds. Meanwhile a
// configuration adds a route, and other daemons accept batch jobs on it.
func configurationBehind(r *Rig) {
	const model, cycles, jobs = "daka510000", 6, 6
	const configApply, turnedAway = 2 * time.Second, 3200 * time.Millisecond
	r.startStore(300 * time.Second)
	c := config{Version: 1, Routes: []route{batchRoute("r0", "/pufi0/", "engines")}, Services: []service{engineService("engines", model)}}
	r.configure(c)
	for i := range 4 {
		s := r.NewServer(fmt.Sprintf("i-a%d", i), "engines", model)
		s.Events = 60
	}
	var daemons []*Daemon
	for i := range 3 {
		daemons = append(daemons, r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	for _, d := range daemons {
		r.waitReady(d)
	}
	r.sleep(4 * time.Second)
	var all []*job
	for n := range cycles {
		away := daemons[n%3]
		others := []*Daemon{daemons[(n+1)%3], daemons[(n+2)%3]}
		begin := time.Now()
		if r.trouble {
			r.logf("the store turns %s away: no response", away.Name)
			away.Gate.SetMode(gateSilent)
		}
		r.sleep(300 * time.Millisecond)
		c.Version++
		prefix := fmt.Sprintf("/pufi%d/", c.Version)
		c.Routes = append(c.Routes, batchRoute(fmt.Sprintf("r%d", c.Version), prefix, "engines"))
		r.configure(c)
		r.sleep(configApply + 200*time.Millisecond)
		for range jobs {
			j := newJob(prefix, model, 2, 4)
			r.submit(j, model, n, 1, others...)
			all = append(all, j)
		}
		r.sleep(time.Until(begin.Add(turnedAway)))
		if r.trouble {
			away.Gate.SetMode(gateServes)
			r.logf("the store serves %s again", away.Name)
		}
		r.sleep(6 * time.Second)
	}
	r.sleep(5 * time.Second)
	var broken []string
	completed := 0
	for _, j := range all {
		results, _ := r.read(j, daemons[0])
		for _, res := range results {
			switch res.State {
			case "completed":
				completed++
			case "errored":
				broken = append(broken, fmt.Sprintf("MIXED: item %s of job %s is errored; no server answered 422 or 500, its job is open, its route is there, max_queue_s is 40", res.ID, j.ID))
			}
		}
		r.logf("job %s: %d results of %d items", j.ID, len(results), len(j.Items))
	}
	r.judge(broken, fmt.Sprintf("%d items of %d jobs completed, none errored", completed, len(all)))
}
