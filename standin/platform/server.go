package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	heartbeat   = 300 * time.Millisecond
	loadTime    = 100 * time.Millisecond
	serversName = "keyed.servers"
)

// Server is a server that registers itself in the store. With models it is a
// model server. It may be used from any thread.
type Server struct {
	*httptest.Server
	ID      string
	Service string
	// Events is the length of an item's text, Gap the time between two events.
	Events int
	Gap    time.Duration
	// Answer, if set, takes a request in place of the server.
	Answer func(w http.ResponseWriter, r *http.Request) bool

	store    *Store
	mu       sync.Mutex
	versions map[string]int
	seq      int // of the entry
	orders   int
	fence    int
	busy     bool
	draining bool
	runs     map[string]int // by request id
	fenced   []int          // tokens in the order in which orders came
	duty     *duty.Duty[struct{}]
}

// NewServer starts a server of a service, with its models at version 1.
func NewServer(store *Store, id, service string, models ...string) *Server {
	s := &Server{
		ID: id, Service: service, Events: 5, Gap: time.Millisecond, store: store,
		versions: make(map[string]int), runs: make(map[string]int),
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	s.beat()
	s.duty = duty.Start(duty.NewSystem(nil), duty.Config{Name: "heartbeat", RingSize: 1, Tick: heartbeat}, duty.Handler[struct{}](s))
	return s
}

// Handle does nothing: the duty that writes the entry has only ticks.
func (s *Server) Handle(context.Context, struct{}) {}

// Tick writes the server's entry.
func (s *Server) Tick(context.Context) { s.beat() }

// beat writes the server's entry.
func (s *Server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.store.PutJSON(serversName, s.ID, map[string]any{
		"service": s.Service, "address": strings.TrimPrefix(s.URL, "http://"), "zone": "z1", "version": "v1", "slots": 4,
		"state": state, "cold_left_ms": 0, "models": s.models(), "seq": s.seq, "born": 1,
	})
}

func (s *Server) models() []map[string]any {
	out := []map[string]any{}
	for m, v := range s.versions {
		out = append(out, map[string]any{"name": m, "version": v, "adapters": []string{}})
	}
	return out
}

// Drain says that the server is about to leave.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
}

// Crash ends the server without a word; its entry goes.
func (s *Server) Crash() {
	_ = s.duty.Stop(context.Background()) // ends when the duty has
	s.CloseClientConnections()
	s.Server.Close()
	s.store.Put(serversName, s.ID, nil)
}

// Runs returns how often a request was begun.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Version returns the weight version of a model.
func (s *Server) Version(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

// Fences returns the fencing tokens of the orders, as they came.
func (s *Server) Fences() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.fenced...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.ID {
		w.Header().Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.report(w)
		return
	case "/api/order":
		s.order(w, r)
		return
	}
	if s.Answer != nil && s.Answer(w, r) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.runs[id]++
	version, busy := s.versions[r.Header.Get("X-Model")], s.busy
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if busy {
		w.Header().Set("X-Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	if r.Header.Get("X-Model") == "" {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
		return
	}
	s.stream(w, r, id, version)
}

// Event returns the data of an event of an item's text.
func Event(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, version int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= s.Events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Event(id, n))
		w.(http.Flusher).Flush()
		t := time.NewTimer(s.Gap)
		select {
		case <-r.Context().Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"stage": "both", "models": s.models(), "busy": s.busy, "seq": s.orders})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Owner        string `json:"owner"`
		FenceToken   int    `json:"fence_token"`
		Precondition int    `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = append(s.fenced, o.FenceToken)
	switch {
	case o.FenceToken < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	case s.busy || o.Precondition != s.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		s.fence, s.busy = o.FenceToken, true
		s.orders++
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.busy, s.versions[o.Model] = false, o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
