package harness

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["ghosts"] = ghosts }

// ghosts plays one step of a trainer. With trouble, another writer writes one entry under the id of
// each engine, of a service that the configuration doesn't name. The engines go on writing theirs.
func ghosts(r *rig) (string, error) {
	const (
		engines  = 3
		slots    = 12
		items    = 104
		events   = 24
		interval = 80 * time.Millisecond
		absent   = 5 * time.Second // at no server, as the rule has it
	)
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", engineConfig())
	if err := r.startDaemons(3); err != nil {
		return "", err
	}
	var running atomic.Int32
	for n := range engines {
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "coach-models", map[string]int{model: 1}, func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) int {
			running.Add(1)
			defer running.Add(-1)
			return s.stream(w, q, events, interval)
		})
		if err != nil {
			return "", err
		}
	}
	time.Sleep(3 * contact)
	var all []item
	for n := range items {
		all = append(all, newItem(fmt.Sprintf("item-%03d", n), fmt.Sprintf("g%02d", n/4)))
	}
	if err := r.submit("job-1", 1, 1, 23, all); err != nil {
		return "", err
	}
	submitted := time.Now()
	if r.trouble {
		time.Sleep(time.Second)
		for _, s := range r.servers {
			r.store.put("keyed.servers", s.id, map[string]any{
				"service": "another-service", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0,
				"seq": 1, "born": time.Now().UnixMilli(),
			})
			r.rec.printf("another writer: an entry of the service another-service under %s", s.id)
		}
	}
	got := r.read("job-1", stepDeadline-time.Since(submitted), func(m map[string]result) bool { return len(m) == items })
	ended := time.Now()
	newest := make(map[string]time.Time) // arrival of each item
	last := time.Time{}
	for _, s := range r.servers {
		for _, a := range s.arrivals() {
			if a.at.After(newest[a.id]) {
				newest[a.id] = a.at
			}
			if a.at.After(last) {
				last = a.at
			}
		}
	}
	never := 0
	for _, i := range all {
		if _, ok := newest[i.ID]; !ok && got[i.ID].State == "" {
			never++
		}
	}
	r.rec.printf("step of %d items: %d listed and %d begun after %.1f s, the last one %.1f s before the end; %d were at no server all the time; %d of %d places are taken",
		items, len(got), len(newest), ended.Sub(submitted).Seconds(), ended.Sub(last).Seconds(), never, running.Load(), engines*slots)
	r.end("job-1")
	if never > 0 && len(newest) > 0 && ended.Sub(last) > absent && int(running.Load())*2 < engines*slots {
		return fmt.Sprintf("the step ran out of time while %d of its items had been at no server for %.0f s", never, ended.Sub(submitted).Seconds()), nil
	}
	return "", nil
}
