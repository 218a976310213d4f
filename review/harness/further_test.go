package harness

import (
	"fmt"
	"net/http"
	"time"
)

// These two are no cases of the review, because no rule names what they show.
func init() {
	cases["refused-for-good"] = refusedForGood
	cases["large-bodies"] = largeBodies
}

// refusedForGood: the store is busy for 2 s while no batch job runs, and trainers submit
// theirs meanwhile.
func refusedForGood(r *Rig) {
	const model, prefix, outage, rounds = "daka510000", "/pufi791/", 2 * time.Second, 20
	r.startStore(300 * time.Second)
	r.configure(config{Version: 1, Routes: []route{batchRoute("r1", prefix, "engines")}, Services: []service{engineService("engines", model)}})
	var daemons []*Daemon
	for i := range 3 {
		r.NewServer(fmt.Sprintf("i-a%d", i), "engines", model)
		daemons = append(daemons, r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	for _, d := range daemons {
		r.waitReady(d)
	}
	r.sleep(4 * time.Second)
	j := newJob(prefix, model, 2, 4)
	r.submit(j, model, 0, 1, daemons...)
	r.sleep(5 * time.Second)
	mode := gateServes
	if r.trouble {
		mode = gateBusy
	}
	for _, d := range daemons {
		d.Gate.SetMode(mode)
	}
	for _, d := range daemons {
		r.submitOnce(newJob(prefix, model, 2, 4), model, 1, 1, d)
	}
	r.sleep(outage)
	for _, d := range daemons {
		d.Gate.SetMode(gateServes)
	}
	r.logf("the store serves")
	accepted := 0
	for range rounds {
		r.sleep(3 * time.Second)
		for _, d := range daemons {
			if r.submitOnce(newJob(prefix, model, 2, 4), model, 1, 1, d) == http.StatusAccepted {
				accepted++
			}
		}
	}
	var broken []string
	if accepted == 0 {
		broken = append(broken, fmt.Sprintf("none of %d batch jobs was accepted in the minute after the outage", rounds*len(daemons)))
	}
	r.judge(broken, fmt.Sprintf("%d of %d batch jobs accepted", accepted, rounds*len(daemons)))
}

// largeBodies: batch jobs with one item each, whose body is below the limits of the
// configuration and of an append. TROUBLE=0 sends the small ones only.
func largeBodies(r *Rig) {
	const model, prefix = "daka510000", "/pufi791/"
	r.startStore(300 * time.Second)
	r.configure(config{Version: 1, Routes: []route{batchRoute("r1", prefix, "engines")}, Services: []service{engineService("engines", model)}})
	for i := range 3 {
		r.NewServer(fmt.Sprintf("i-a%d", i), "engines", model)
	}
	d := r.StartDaemon("front-0")
	r.waitReady(d)
	r.sleep(4 * time.Second)
	sizes := []int{100, 900}
	if r.trouble {
		sizes = append(sizes, 1100, 1500)
	}
	var broken []string
	for _, kb := range sizes {
		j := newJob(prefix, model, 1, 1)
		j.Items[0].Body = make([]byte, kb<<10)
		r.submit(j, model, 0, 1, d)
		r.sleep(12 * time.Second)
		results, _ := r.read(j, d)
		a := r.send(call{Method: "GET", Address: d.Front, Host: host, Path: "/api/items/" + j.ID + "?id=" + j.Items[0].ID, Timeout: 3 * time.Second})
		r.logf("body of %d KB: %d results, its body: %d with %d bytes", kb, len(results), a.Status, len(a.Body))
		if len(results) == 0 {
			broken = append(broken, fmt.Sprintf("an accepted item with a body of %d KB never runs", kb))
		}
	}
	r.judge(broken, "all items ran")
}
