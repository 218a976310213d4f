package harness

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["poison"] = poison }

// poison plays five steps of a trainer. One group isn't complete in any of them, since one of
// its items is larger than the memory of the servers, and comes again in the next step. With
// trouble, two of its other items fail at each run, with 422 and with 500.
func poison(r *rig) (string, error) {
	const (
		steps    = 5
		events   = 12
		interval = 20 * time.Millisecond
		training = 500 * time.Millisecond
	)
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", engineConfig())
	for n := range 3 {
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "coach-models", map[string]int{model: 1}, func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) int {
			id := q.Header.Get("X-Request-Id")
			switch {
			case strings.HasPrefix(id, "huge"):
				return notRun(w)
			case r.trouble && strings.HasPrefix(id, "invalid"):
				return signed(w, q, http.StatusUnprocessableEntity, "")
			case r.trouble && strings.HasPrefix(id, "failing"):
				return signed(w, q, http.StatusInternalServerError, "")
			}
			return s.stream(w, q, events, interval)
		})
		if err != nil {
			return "", err
		}
	}
	if err := r.startDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(contact)
	again := []item{newItem("huge-1", "g-again"), newItem("invalid-1", "g-again"), newItem("failing-1", "g-again"), newItem("sound-1", "g-again")}
	for step := 1; step <= steps; step++ {
		items := append([]item(nil), again...)
		for n := range 8 {
			items = append(items, newItem(fmt.Sprintf("s%d-%d", step, n), fmt.Sprintf("g%d-%d", step, n/4)))
		}
		id := fmt.Sprintf("job-%d", step)
		if err := r.submit(id, step, max(1, step-1), 3, items); err != nil {
			return "", err
		}
		got := r.read(id, stepDeadline, func(m map[string]result) bool { return len(m) == len(items) })
		r.end(id)
		if len(got) < 8 {
			return "", fmt.Errorf("%s has %d results: %w", id, len(got), errNoResult)
		}
		time.Sleep(training)
		r.nameVersion(step + 1)
		time.Sleep(300 * time.Millisecond)
	}
	failed := map[string]map[int]int{"invalid-1": {}, "failing-1": {}}
	for _, s := range r.servers {
		for _, a := range s.arrivals() {
			if m := failed[a.id]; m != nil {
				m[a.status]++
			}
		}
	}
	r.rec.printf("answers of 422 to invalid-1: %d; answers of 500 to failing-1: %d", failed["invalid-1"][422], failed["failing-1"][500])
	var broken []string
	if n := failed["invalid-1"][422]; n > 3 {
		broken = append(broken, fmt.Sprintf("invalid-1 reached servers again after three answers of 422: %d in all", n))
	}
	if n := failed["failing-1"][500]; n > 3*attempts {
		broken = append(broken, fmt.Sprintf("failing-1 reached servers again after %d answers of 500: %d in all", 3*attempts, n))
	}
	return join(broken), nil
}
