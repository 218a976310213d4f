package harness

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// bodies plays two trainers, each with a batch job each 4 s, whose connections the platform gives to
// one machine. With trouble, the bodies of their items are large, within the limit of a request.
// Then the first batch jobs are read once more.
func bodies(r *rig) (string, error) {
	const (
		items      = 104
		events     = 25
		interval   = 10 * time.Millisecond
		every      = 4 * time.Second
		steps      = 12
		largeBytes = 120_000
		smallBytes = 600
		rereadTime = 10 * time.Second
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
	for n := range 6 {
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "coach-models", map[string]int{model: 1}, func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) int {
			return s.stream(w, q, events, interval)
		})
		if err != nil {
			return "", err
		}
	}
	time.Sleep(contact)
	size := smallBytes
	if r.trouble {
		size = largeBytes
	}
	type finished struct {
		id  string
		at  time.Time // submitted
		got map[string]result
	}
	var mu sync.Mutex
	var read []finished
	var trainers sync.WaitGroup
	for t := range 2 {
		trainers.Add(1)
		go func() {
			defer trainers.Done()
			for step := range steps {
				begin := time.Now()
				id := fmt.Sprintf("job-%d-%02d", t+1, step)
				var all []item
				for n := range items {
					i := newItem(fmt.Sprintf("%s-%03d", id, n), fmt.Sprintf("%s-g%02d", id, n/4))
					i.Body = bytes.Repeat([]byte{byte('a' + n%26)}, size)
					all = append(all, i)
				}
				one := &rig{rec: r.rec, daemons: r.daemons[:1]}
				if err := one.submit(id, step, 1, 23, all); err != nil {
					r.rec.printf("trainer %d: %v", t+1, err)
					return
				}
				got := r.read(id, stepDeadline, func(m map[string]result) bool { return len(m) == items })
				r.end(id)
				r.rec.printf("trainer %d: step %d has %d of %d results after %.1f s", t+1, step, len(got), items, time.Since(begin).Seconds())
				mu.Lock()
				read = append(read, finished{id, begin, got})
				mu.Unlock()
				time.Sleep(time.Until(begin.Add(every)))
			}
		}()
	}
	trainers.Wait()
	if len(read) < 4 {
		return "", fmt.Errorf("%d steps were played: %w", len(read), errNoResult)
	}
	r.store.mu.Lock()
	r.rec.printf("the store holds %d MB", r.store.total()>>20)
	r.store.mu.Unlock()
	var broken []string
	for _, f := range read[:2] {
		again := r.read(f.id, rereadTime, func(m map[string]result) bool { return len(m) >= len(f.got) })
		r.rec.printf("%s: %d results had been read, %d come again, %.0f s after it was submitted (status_s is %d)", f.id, len(f.got), len(again), time.Since(f.at).Seconds(), statusS)
		if len(again) < len(f.got) && time.Since(f.at) < statusS*time.Second {
			broken = append(broken, fmt.Sprintf("%s: of %d results that had been read %d come again", f.id, len(f.got), len(again)))
		}
	}
	return join(broken), nil
}
