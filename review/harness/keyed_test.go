package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["keyed"] = keyedRequests }

// keyedRequests: servers lose answers to requests that may run once and carry an
// Idempotency-Key and no body.
func keyedRequests(r *Rig) {
	const prefix, requests, lossShare = "/slip20/", 1200, 0.05
	r.startStore(300 * time.Second)
	slips := route{Name: "r1", Host: host, Prefix: prefix, Type: "unsafe", Timeout: 2000, FullValue: 150, Service: "library", Attempts: 2}
	r.configure(config{Version: 1, Routes: []route{slips}, Services: []service{{Name: "library", HealthPath: "/health", MaxConns: 110}}})
	var losing atomic.Bool
	var servers []*Server
	for i := range 4 {
		s := r.NewServer(fmt.Sprintf("i-s%d", i), "library")
		s.LoseAnswer = func() bool { return losing.Load() && i < 2 && rand.Float64() < lossShare }
		servers = append(servers, s)
	}
	var daemons []*Daemon
	for i := range 3 {
		daemons = append(daemons, r.StartDaemon(fmt.Sprintf("front-%d", i)))
	}
	for _, d := range daemons {
		r.waitReady(d)
	}
	statuses := make(map[int]int)
	answered := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	const interval, lossAfter, lossTime = 10 * time.Millisecond, 4 * time.Second, 3900 * time.Millisecond
	begin := time.Now()
	for n := range requests {
		since := time.Since(begin) - lossAfter
		losing.Store(r.trouble && since >= 0 && since < lossTime)
		wg.Go(func() {
			id := newID()
			a := r.send(call{
				Method: "POST", Address: daemons[n%3].Front, Host: host, Path: prefix + id[:4], ID: id, Timeout: 3 * time.Second,
				Header: map[string]string{"X-Deadline-Ms": "2000", "Idempotency-Key": `"` + id + `"`},
			})
			r.logf("request %s at %s: %d, signature %q, %v", id, daemons[n%3].Name, a.Status, a.Signature, a.Err)
			mu.Lock()
			statuses[a.Status]++
			answered[id] = a.Status
			mu.Unlock()
		})
		time.Sleep(interval)
	}
	wg.Wait()
	r.logf("answers by status: %v", statuses)
	runs := make(map[string][]Run)
	for _, s := range servers {
		r.logf("server %s ran %d requests", s.ID, len(s.Runs()))
		for _, run := range s.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	var broken []string
	for id, rs := range runs {
		if len(rs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s, which isn't idempotent, ran %d times: at %s and, %s later, at %s; the client got %d",
				id, len(rs), rs[0].Server, rs[1].At.Sub(rs[0].At).Round(time.Millisecond), rs[1].Server, answered[id]))
		}
		if s := answered[id]; s == 429 || s == 503 || s == 408 || s == 421 {
			broken = append(broken, fmt.Sprintf("REFUSED: request %s got %d and ran", id, s))
		}
	}
	r.judge(broken, fmt.Sprintf("%d requests ran once at most", len(runs)))
}
