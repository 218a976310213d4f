package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string // X-Request-Id
	path   string
	after  int // Last-Event-Id
	status int // 0: the server crashed or broke off
}

// server is a stand-in of a server of the platform. With models it is an engine.
type server struct {
	rig     *rig
	id      string
	service string
	models  map[string]int // weight version by model
	// handle answers a request that is to be run; it returns the status for the record.
	handle func(s *server, w http.ResponseWriter, r *http.Request, body []byte) int

	address string
	mu      sync.Mutex
	http    *http.Server
	seq     int
	born    int64
	down    bool
	orders  int
	fence   int
	closed  bool
	seen    []arrival
}

func (r *rig) startServer(id, service string, models map[string]int, handle func(*server, http.ResponseWriter, *http.Request, []byte) int) (*server, error) {
	s := &server{rig: r, id: id, service: service, models: models, handle: handle}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.serveOn(l)
	r.servers = append(r.servers, s)
	go s.beat()
	return s, nil
}

func (s *server) serveOn(l net.Listener) {
	s.mu.Lock()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.born, s.seq, s.orders, s.fence, s.down = time.Now().UnixMilli(), 0, 0, 0, false
	h := s.http
	s.mu.Unlock()
	go h.Serve(l)
	s.register()
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.closed {
		return
	}
	s.seq++
	doc := map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": 12, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": s.modelList(), "seq": s.seq, "born": s.born,
	}
	s.rig.store.put("keyed.servers", s.id, doc)
}

func (s *server) modelList() []map[string]any {
	out := []map[string]any{}
	for m, v := range s.models {
		out = append(out, map[string]any{"name": m, "version": v, "adapters": []string{}})
	}
	return out
}

func (s *server) beat() {
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		s.register()
	}
}

// crash ends the server without a word; it is back under its id after some time.
func (s *server) crash(downtime time.Duration) {
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down = true
	h := s.http
	s.mu.Unlock()
	s.rig.rec.printf("%s: crashes", s.id)
	go func() {
		_ = h.Close()
		time.Sleep(downtime)
		for range 20 {
			l, err := net.Listen("tcp", s.address)
			if err == nil {
				s.serveOn(l)
				s.rig.rec.printf("%s: is back", s.id)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.http.Close()
}

func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.seen...)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.mu.Lock()
		doc := map[string]any{"stage": "both", "models": s.modelList(), "busy": false, "seq": s.orders, "born": s.born, "num_waiting": 0, "num_running": 0}
		s.mu.Unlock()
		reply(w, http.StatusOK, doc)
		return
	case "/api/order":
		s.order(w, r)
		return
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	a := arrival{at: time.Now(), server: s.id, id: id, path: r.URL.Path, after: after}
	s.mu.Lock()
	s.seen = append(s.seen, a)
	n := len(s.seen) - 1
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	status := s.handle(s, w, r, body)
	s.mu.Lock()
	s.seen[n].status = status
	s.mu.Unlock()
	s.rig.rec.printf("%s: ran %s %s after event %d: %d", s.id, id, r.URL.Path, after, status)
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Owner        string `json:"owner"`
		FenceToken   int    `json:"fence_token"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.FenceToken < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Precondition != nil && *o.Precondition != s.orders:
		w.WriteHeader(http.StatusConflict)
	case s.models[o.Model] >= o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		s.fence = o.FenceToken
		s.orders++
		s.models[o.Model] = o.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// signed writes a complete answer.
func signed(w http.ResponseWriter, r *http.Request, status int, body string) int {
	w.Header().Set("X-Response-Signature", "signed."+r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	return status
}

// notRun answers that the server is full.
func notRun(w http.ResponseWriter) int {
	w.Header().Set("X-Request-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return http.StatusServiceUnavailable
}

// eventData is the data of an event of an item.
func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// stream generates the events of a request for tokens.
func (s *server) stream(w http.ResponseWriter, r *http.Request, events int, interval time.Duration) int {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.models[r.Header.Get("X-Model")]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "signed."+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.WriteHeader(http.StatusOK)
	for n := after + 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(r.Header.Get("X-Request-Id"), n))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return 0
		case <-time.After(interval):
		}
	}
	return http.StatusOK
}

func wholeText(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}
