package harness

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

// Run is a request that a server began to work on.
type Run struct {
	ID, Server, Method, Path string
	At                       time.Time
	After                    int         // Last-Event-Id
	Ended                    time.Time   // zero: still running
	Versions                 map[int]int // weight version by event
	Complete                 bool
}

// Order is an order to load a weight version that a server received.
type Order struct {
	Server, Owner string
	Fence         int
	Version       int
	Status        int
	At            time.Time
}

// Server is a stand-in of a model server or of a plain service.
type Server struct {
	rig           *Rig
	ID, Service   string
	Address       string
	Slots         int
	Models        []string            // empty: a plain service
	Events        int                 // of a stream
	EventsOf      func(id string) int // if set, replaces Events
	EventInterval time.Duration       // between two events
	WorkTime      time.Duration       // of a plain request
	LoadTime      time.Duration
	// LoseAnswer, if set, says whether a plain request's answer is lost after the run.
	LoseAnswer func() bool
	mu         sync.Mutex
	born       int64
	seq        int
	orders     int
	fence      int
	loading    bool
	versions   map[string]int
	running    int
	runs       []*Run
	received   []Order
}

// NewServer starts a server.
func (r *Rig) NewServer(id, service string, models ...string) *Server {
	l := r.listen(r.ip())
	s := &Server{
		rig: r, ID: id, Service: service, Address: l.Addr().String(), Slots: 12, Models: models, Events: 25, EventInterval: 60 * time.Millisecond,
		WorkTime: 20 * time.Millisecond, LoadTime: 900 * time.Millisecond, born: time.Now().UnixMilli(),
		versions: make(map[string]int),
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	r.servers = append(r.servers, s)
	go func() { _ = http.Serve(l, s) }()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	return s
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// beat writes the server's entry.
func (s *Server) beat() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.Service, "address": s.Address, "zone": "z1", "version": "v1", "slots": s.Slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": s.modelsLocked(), "seq": s.seq, "born": s.born,
	}
	s.mu.Unlock()
	s.rig.store.Put("keyed.servers", s.ID, entry)
}

func (s *Server) modelsLocked() []map[string]any {
	out := []map[string]any{}
	for _, m := range s.Models {
		out = append(out, map[string]any{"name": m, "version": s.versions[m], "adapters": []string{}})
	}
	return out
}

// Runs returns copies of the runs so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
		out[i].Versions = make(map[int]int)
		for n, v := range r.Versions {
			out[i].Versions[n] = v
		}
	}
	return out
}

// Orders returns the orders received.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.received...)
}

// Running returns the number of requests being run.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.report(w)
	case "/api/order":
		s.order(w, r)
	default:
		s.run(w, r)
	}
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	doc := map[string]any{
		"stage": "both", "models": s.modelsLocked(), "busy": s.loading, "seq": s.orders, "num_waiting": 0, "num_running": s.running,
		"kv_used": 0, "kv_total": 90000, "handles": 0, "born": s.born,
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, doc)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Mode         string `json:"mode"`
		Owner        string `json:"owner"`
		Fence        int    `json:"fence_token"`
		Precondition *int   `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < s.fence:
		status = http.StatusPreconditionFailed
	case s.versions[o.Model] == o.Version:
		status = http.StatusOK
	case s.loading, o.Precondition != nil && *o.Precondition != s.orders:
		status = http.StatusConflict
	}
	s.fence = max(s.fence, o.Fence)
	if status == http.StatusAccepted {
		s.orders, s.loading = s.orders+1, true
		time.AfterFunc(s.LoadTime, func() {
			s.mu.Lock()
			s.loading, s.versions[o.Model] = false, o.Version
			s.mu.Unlock()
			s.rig.logf("server %s has version %d of %s (mode %s)", s.ID, o.Version, o.Model, o.Mode)
			s.beat()
		})
	}
	order := Order{s.ID, o.Owner, o.Fence, o.Version, status, time.Now()}
	s.received = append(s.received, order)
	s.mu.Unlock()
	s.rig.logf("server %s: order of %s, fencing token %d, version %d of %s, answered %d", s.ID, o.Owner, o.Fence, o.Version, o.Model, status)
	w.WriteHeader(status)
}

// run runs a request, unless all slots are taken or weights are being loaded.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	if s.running >= s.Slots || s.loading {
		s.mu.Unlock()
		w.Header().Set("X-Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	run := &Run{ID: id, Server: s.ID, Method: r.Method, Path: r.URL.Path, At: time.Now(), After: after, Versions: make(map[int]int)}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.rig.logf("server %s runs %s: %s %s after event %d", s.ID, id, r.Method, r.URL.Path, after)
	defer func() {
		s.mu.Lock()
		s.running--
		run.Ended = time.Now()
		s.mu.Unlock()
	}()
	w.Header().Set("X-Response-Signature", "sig."+id)
	if len(s.Models) > 0 {
		s.stream(w, r, run)
		return
	}
	time.Sleep(s.WorkTime)
	s.mu.Lock()
	run.Complete = true
	s.mu.Unlock()
	if s.LoseAnswer != nil && s.LoseAnswer() {
		s.rig.logf("server %s ran %s; its answer is lost: the connection is reset", s.ID, id)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	body := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func eventData(id string, n int) string { return fmt.Sprintf("%s:%d", id, n) }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *Run) {
	model := r.Header.Get("X-Model")
	w.Header().Set("Content-Type", "text/event-stream")
	sent, events := 0, s.Events
	if s.EventsOf != nil {
		events = s.EventsOf(run.ID)
	}
	for n := run.After + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.EventInterval):
		}
		s.mu.Lock()
		version := s.versions[model]
		run.Versions[n] = version
		s.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(run.ID, n))
		switch {
		case sent == 0:
			w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
		case sent != version:
			event = fmt.Sprintf("x-weight-versions: %d\n", version) + event
		}
		sent = version
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	s.mu.Lock()
	run.Complete = true
	s.mu.Unlock()
}
