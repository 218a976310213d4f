package harness

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["survivor"] = survivor }

// survivor plays one step of a trainer. With trouble, two of three machines are lost for good
// before it.
func survivor(r *rig) (string, error) {
	const (
		engines  = 20
		slots    = 12
		items    = 240
		events   = 24
		interval = 300 * time.Millisecond
		absent   = 5 * time.Second // at no server, as the rule has it
	)
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", engineConfig())
	if err := r.startDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(contact)
	// The engines come when all machines run, so that each machine gets some of them.
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
	time.Sleep(contact)
	if r.trouble {
		for _, d := range r.daemons[1:] {
			d.kill()
		}
		r.daemons = r.daemons[:1]
	}
	time.Sleep(5 * contact) // steady state
	var all []item
	for n := range items {
		all = append(all, newItem(fmt.Sprintf("item-%03d", n), fmt.Sprintf("g%02d", n/4)))
	}
	if err := r.submit("job-1", 1, 1, 54, all); err != nil {
		return "", err
	}
	submitted := time.Now()
	var fullest atomic.Int32
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				n := running.Load()
				if time.Since(submitted) > stepDeadline-absent && n > fullest.Load() {
					fullest.Store(n)
				}
			}
		}
	}()
	got := r.read("job-1", stepDeadline, func(m map[string]result) bool { return len(m) == items })
	close(stop)
	ended := time.Now()
	begun := make(map[string]time.Time) // newest arrival of each item
	for _, s := range r.servers {
		for _, a := range s.arrivals() {
			if a.at.Before(ended) && a.at.After(begun[a.id]) {
				begun[a.id] = a.at
			}
		}
	}
	never := 0
	for _, i := range all {
		if _, ok := begun[i.ID]; !ok && got[i.ID].State == "" {
			never++
		}
	}
	r.rec.printf("step of %d items: %d listed and %d begun after %.1f s; %d were at no server all the time; in the last %v at most %d of %d places were taken",
		items, len(got), len(begun), ended.Sub(submitted).Seconds(), never, absent, fullest.Load(), engines*slots)
	r.end("job-1")
	if never > 0 && len(begun) > 0 && int(fullest.Load())*2 < engines*slots {
		return fmt.Sprintf("the step ran out of time while %d of its items had been at no server for %.0f s", never, ended.Sub(submitted).Seconds()), nil
	}
	return "", nil
}
