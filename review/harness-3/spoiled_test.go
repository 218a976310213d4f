package harness

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["spoiled"] = spoiled }

// spoiled submits a batch job. With trouble, an engine breaks off one answer in the middle of
// an event and sends bytes that are no part of one: what a program prints that crashes.
func spoiled(r *rig) (string, error) {
	const (
		items      = 40 // one spoiled answer is 2.5 in 100
		events     = 12
		spoiledAt  = 5
		crashText  = "panic: runtime error: index out of range [5] with length 5\n\n"
		interval   = 20 * time.Millisecond
		resultWait = 30 * time.Second
	)
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", engineConfig())
	var spoils atomic.Int32
	for n := range 2 {
		first := n == 0
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "coach-models", map[string]int{model: 1}, func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) int {
			after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			if !r.trouble || !first || after > 0 || !spoils.CompareAndSwap(0, 1) {
				return s.stream(w, q, events, interval)
			}
			id := q.Header.Get("X-Request-Id")
			r.rec.printf("%s: breaks off the answer to %s in event %d", s.id, id, spoiledAt)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Response-Signature", "signed."+id)
			w.Header().Set("X-Weight-Versions", "1")
			for e := 1; e < spoiledAt; e++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e, eventData(id, e))
				w.(http.Flusher).Flush()
				time.Sleep(interval)
			}
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\n", spoiledAt)+crashText)
			w.(http.Flusher).Flush()
			time.Sleep(interval)
			panic(http.ErrAbortHandler)
		})
		if err != nil {
			return "", err
		}
	}
	if err := r.startDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(contact)
	var all []item
	for n := range items {
		all = append(all, newItem(fmt.Sprintf("item-%02d", n), fmt.Sprintf("g%02d", n/4)))
	}
	if err := r.submit("job-1", 1, 1, 9, all); err != nil {
		return "", err
	}
	got := r.read("job-1", resultWait, func(m map[string]result) bool { return len(m) == items })
	r.end("job-1")
	if r.trouble && spoils.Load() == 0 {
		return "", fmt.Errorf("no answer was spoiled")
	}
	if len(got) < items {
		return "", fmt.Errorf("%d of %d results: %w", len(got), items, errNoResult)
	}
	var broken []string
	for _, i := range all {
		f := got[i.ID]
		if f.State == "completed" && f.Text != wholeText(i.ID, events) {
			r.rec.printf("%s is completed with the text %q", i.ID, f.Text)
			broken = append(broken, fmt.Sprintf("%s is completed and its text isn't the whole output", i.ID))
		}
	}
	return join(broken), nil
}
