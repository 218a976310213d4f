package harness

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["streams"] = streams }

const streamPath = "/voice/"

// streamConfig is a configuration with one route of kind stream whose streams may be resumed.
func streamConfig() map[string]any {
	c := engineConfig()
	c["routes"] = []any{map[string]any{
		"name": "voice", "host": host, "path_prefix": streamPath, "type": "stream", "timeout_ms": 10000, "full_value_ms": 400, "priority": 0, "service": "coach-models",
		"attempts": attempts, "sticky": true, "resumable": true,
	}}
	return c
}

// streams requests streams that may be resumed. With trouble, an engine breaks off one of them
// between two events and sends bytes that are no event: what a program prints that crashes.
func streams(r *rig) (string, error) {
	const (
		requests  = 40 // one spoiled answer is 2.5 in 100
		events    = 12
		spoiledAt = 5
		crashText = "panic: runtime error: index out of range [5] with length 5\n\n"
		interval  = 20 * time.Millisecond
	)
	if err := r.startStore(); err != nil {
		return "", err
	}
	r.store.put("keyed.op", "config", streamConfig())
	var spoils, sent atomic.Int32
	for n := range 2 {
		_, err := r.startServer(fmt.Sprintf("i-%02d", n), "coach-models", map[string]int{model: 1}, func(s *server, w http.ResponseWriter, q *http.Request, _ []byte) int {
			after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			if !r.trouble || after > 0 || sent.Load() < requests/2 || !spoils.CompareAndSwap(0, 1) {
				return s.stream(w, q, events, interval)
			}
			id := q.Header.Get("X-Request-Id")
			r.rec.printf("%s: breaks off the answer to %s after event %d", s.id, id, spoiledAt)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Response-Signature", "signed."+id)
			w.Header().Set("X-Weight-Versions", "1")
			for e := 1; e <= spoiledAt; e++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e, eventData(id, e))
				w.(http.Flusher).Flush()
				time.Sleep(interval)
			}
			_, _ = io.WriteString(w, crashText)
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
	if err := r.awaitStreams(); err != nil {
		return "", err
	}
	var broken []string
	for n := range requests {
		sent.Add(1)
		id := fmt.Sprintf("voice-%02d", n)
		d := r.daemons[n%len(r.daemons)]
		a := d.call(http.MethodPost, host, streamPath+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "9000", "X-Model": model, "X-Token-Usage": "540,400"}, []byte("hello"), 10*time.Second)
		ids := eventIDs(a.body)
		r.rec.printf("client: %s from %s: %v, events %v", id, d.name, a, ids)
		if a.err != nil || a.status != http.StatusOK {
			continue // a stream that does not end as complete
		}
		var want []int
		for e := 1; e <= events; e++ {
			want = append(want, e)
		}
		if !slices.Equal(ids, want) {
			broken = append(broken, fmt.Sprintf("the stream of %s ends as complete with the events %v of %d", id, ids, events))
		}
	}
	if r.trouble && spoils.Load() == 0 {
		return "", fmt.Errorf("no answer was spoiled")
	}
	return join(broken), nil
}

// awaitStreams waits until each daemon serves streams.
func (r *rig) awaitStreams() error {
	for _, d := range r.daemons {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			id := "probe-" + d.name
			a := d.call(http.MethodPost, host, streamPath+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000", "X-Model": model}, nil, 3*time.Second)
			if a.err == nil && a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve streams: %v", d.name, a)
			}
		}
	}
	return nil
}

// eventIDs returns the ids of the events of a stream that have one and data, in order.
func eventIDs(body []byte) []int {
	var out []int
	for _, block := range strings.Split(string(body), "\n\n") {
		id, hasData := 0, false
		for _, line := range strings.Split(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				id, _ = strconv.Atoi(value)
			case "data":
				hasData = true
			}
		}
		if id > 0 && hasData {
			out = append(out, id)
		}
	}
	return out
}
