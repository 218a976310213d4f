package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// order is an order that an engine received.
type order struct {
	at      time.Time
	owner   string
	fence   int
	version int
	answer  int
}

// engine is a model server, as PROTOCOL.md describes it. It checks no fencing tokens, as in
// the deployments where `fencing` is false.
type engine struct {
	id, address string
	model       string
	born        int64 // of all that it says of itself
	loadTime    time.Duration
	// onReport is called for each report that is asked for, before the answer is sent; onOrder
	// for each order. Either may be nil.
	onReport func()
	onOrder  func(order)
	// handle answers requests for tokens; nil: a stream of events.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)

	mu      sync.Mutex
	version int
	seq     int
	busy    bool
	orders  []order
	events  int
	pause   time.Duration // between two events
}

func newEngine(s *store, id, service, model string, slots int) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e := &engine{id: id, address: l.Addr().String(), model: model, loadTime: 900 * time.Millisecond, version: 1, events: 10, pause: 20 * time.Millisecond}
	e.born = time.Now().UnixMilli()
	go http.Serve(l, http.HandlerFunc(e.serve))
	go func() {
		for seq := 1; ; seq++ {
			e.mu.Lock()
			models := e.models()
			e.mu.Unlock()
			s.put("keyed.servers", id, map[string]any{
				"service": service, "address": e.address, "zone": "z1", "version": "v1", "slots": slots, "state": "ready",
				"cold_left_ms": 0, "stage": "both", "models": models, "seq": seq, "born": e.born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": e.model, "version": e.version, "adapters": []string{}}}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		report := map[string]any{"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.seq, "num_waiting": 0, "num_running": 0, "born": e.born}
		onReport := e.onReport
		e.mu.Unlock()
		if onReport != nil {
			onReport()
		}
		answerJSON(w, http.StatusOK, report)
	case "/api/order":
		e.takeOrder(w, body)
	default:
		if e.handle != nil {
			e.handle(w, r, body)
			return
		}
		e.stream(w, r)
	}
}

func (e *engine) takeOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Owner        string `json:"owner"`
		FenceToken   int    `json:"fence_token"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Owner == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case e.version >= o.Version:
		status = http.StatusOK
	case e.busy || o.Precondition != nil && *o.Precondition != e.seq:
		status = http.StatusConflict
	default:
		e.busy = true
		e.seq++
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.version = false, o.Version
		})
	}
	received := order{time.Now(), o.Owner, o.FenceToken, o.Version, status}
	e.orders = append(e.orders, received)
	onOrder := e.onOrder
	e.mu.Unlock()
	note("engine %s gets an order for version %d from %s with fencing token %d: %d", e.id, o.Version, o.Owner, o.FenceToken, status)
	if onOrder != nil {
		onOrder(received)
	}
	answerJSON(w, status, map[string]any{})
}

// stream generates the events of a request for tokens.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	version, events, pause := e.version, e.events, e.pause
	e.mu.Unlock()
	note("engine %s runs %s after event %d", e.id, id, after)
	w.Header().Set("X-Response-Signature", "signed-"+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}

func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// itemText is the whole text of an item.
func itemText(id string, events int) string {
	text := ""
	for n := 1; n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += eventData(id, n)
	}
	return text
}
