package harness

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["behind"] = configurationBehind }

// configurationBehind: the store turns one machine away for some seconds. Meanwhile a
// configuration adds a route, and other daemons accept batch jobs on it.
func configurationBehind(r *Rig) {
	const model, cycles, jobs = "daka510000", 8, 6
	const configApply, turnedAway, maxQueue = 2 * time.Second, 3200 * time.Millisecond, 40 * time.Second
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
	var broken []string
	completed, total := 0, 0
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
		var accepted []*job
		for range jobs {
			j := newJob(prefix, model, 2, 4)
			r.submit(j, model, n, 1, others...)
			accepted = append(accepted, j)
		}
		r.sleep(time.Until(begin.Add(turnedAway)))
		if r.trouble {
			away.Gate.SetMode(gateServes)
			r.logf("the store serves %s again", away.Name)
		}
		// A random pause, so that the phases of the daemons' polls don't repeat.
		r.sleep(6*time.Second + rand.N(time.Second))
		for _, j := range accepted {
			results, _ := r.read(j, others[0])
			age := time.Since(j.sent)
			if age >= maxQueue {
				r.exit(exitCannotRun, "a job was read too late to judge it")
			}
			total += len(j.Items)
			for _, res := range results {
				switch res.State {
				case "completed":
					completed++
				case "errored":
					broken = append(broken, fmt.Sprintf("MIXED: item %s of job %s is errored %.1f s after the submission; no server answered 422 or 500, its job is open, its route is there, max_queue_s is 40", res.ID, j.ID, age.Seconds()))
				}
			}
		}
	}
	r.judge(broken, fmt.Sprintf("%d of %d items completed, none errored", completed, total))
}
