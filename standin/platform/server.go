package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
)

const (
	heartbeat   = 300 * time.Millisecond
	killedFor   = time.Second // a crashed server is back after some seconds
	slowFactor  = 10
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
	// Killer, if set, crashes the server when a request's body holds it.
	Killer string

	store    *Store
	mu       sync.Mutex
	address  string // that the entry names
	born     int
	versions map[string]int
	seq      int // of the entry
	orders   int
	fence    int
	busy     bool
	draining bool
	downTill time.Time
	trouble  Trouble
	runs     map[string]int // by request id
	history  []Arrival
	placed   []Order
	duty     *duty.Duty[struct{}]
}

// Arrival is a request that a server began to work on.
type Arrival struct {
	Request string
	Server  string // id of the incarnation
	At      time.Time
	After   int   // number of the event before the first that is asked for
	Made    []int // weight versions of the events made
}

// Order is an order that a server got.
type Order struct {
	Server string // id and start of the incarnation
	Owner  string
	Fence  int
	At     time.Time
}

// NewServer starts a server of a service, with its models at version 1.
func NewServer(store *Store, id, service string, models ...string) *Server {
	s := &Server{
		ID: id, Service: service, Events: 5, Gap: time.Millisecond, store: store,
		versions: make(map[string]int), runs: make(map[string]int), born: 1,
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	s.address = strings.TrimPrefix(s.URL, "http://")
	s.beat()
	s.duty = duty.Start(duty.NewSystem(nil), duty.Config{Name: "heartbeat", RingSize: 1, Tick: heartbeat}, duty.Handler[struct{}](s))
	return s
}

// Handle does nothing: the duty that writes the entry has only ticks.
func (s *Server) Handle(context.Context, struct{}) {}

// Tick writes the server's entry.
func (s *Server) Tick(context.Context) { s.beat() }

// beat writes the server's entry, or removes that of a server that is down.
func (s *Server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downTill) {
		s.store.Put(serversName, s.ID, nil)
		return
	}
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.store.PutJSON(serversName, s.ID, map[string]any{
		"service": s.Service, "address": s.address, "zone": "z1", "version": "v1", "slots": 4,
		"state": state, "cold_left_ms": 0, "models": s.models(), "seq": s.seq, "born": s.born,
	})
}

func (s *Server) models() []map[string]any {
	out := []map[string]any{}
	for m, v := range s.versions {
		out = append(out, map[string]any{"name": m, "version": v, "adapters": []string{}})
	}
	return out
}

// Advertise makes the entry name another address, such as that of a proxy.
func (s *Server) Advertise(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.beat()
}

// Drain says that the server is about to leave, or that it stays.
func (s *Server) Drain(leaving bool) {
	s.mu.Lock()
	s.draining = leaving
	s.mu.Unlock()
	s.beat()
}

// Restart breaks all requests off; the server is down for a while and then
// starts under another id, with its weights and nothing else.
func (s *Server) Restart(down time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(serversName, s.ID, nil)
	s.ID, s.downTill, s.born = id, time.Now().Add(down), s.born+1
	s.orders, s.fence, s.busy, s.draining = 0, 0, false, false
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
	var out []int
	for _, o := range s.Orders() {
		out = append(out, o.Fence)
	}
	return out
}

// Orders returns the orders, as they came.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.placed)
}

// History returns what the server began to work on.
func (s *Server) History() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.history)
	for i := range out {
		out[i].Made = slices.Clone(out[i].Made)
	}
	return out
}

// Current returns the id of the present incarnation.
func (s *Server) Current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downTill)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.Current() {
		w.Header().Set("X-Instance-Id", s.Current())
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
	s.run(w, r)
}

// run works on a request, or refuses it while weights load.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body) // what a caller that left did not send is not needed
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	busy, trouble := s.busy && r.Header.Get("X-Model") != "" || s.trouble == TroubleBusy, s.trouble
	if !busy {
		s.runs[id]++
		s.history = append(s.history, Arrival{Request: id, Server: s.ID, At: time.Now(), After: after})
	}
	a := len(s.history) - 1
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if busy {
		w.Header().Set("X-Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.Killer != "" && strings.Contains(string(body), s.Killer) {
		s.Restart(killedFor, s.Current())
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	if trouble.begin(w, r) {
		return
	}
	if r.Header.Get("X-Model") == "" {
		answer := fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		if trouble == TroubleCut {
			answer = answer[:len(answer)/2]
		}
		_, _ = io.WriteString(w, answer) // the caller may have left
		return
	}
	s.stream(w, r, id, a, after, trouble)
}

// Event returns the data of an event of an item's text.
func Event(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// made notes that an event of a run is made and returns its weight version.
func (s *Server) made(run int, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history[run].Made = append(s.history[run].Made, s.versions[model])
	return s.versions[model]
}

// stream makes the events of a run after those that its caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, run, after int, trouble Trouble) {
	w.Header().Set("Content-Type", "text/event-stream")
	incarnation, named := s.Current(), 0
	gap := s.Gap
	if trouble == TroubleSlow {
		gap *= slowFactor
	}
	for n := after + 1; n <= s.Events; n++ {
		version := s.made(run, r.Header.Get("X-Model"))
		switch {
		case named == 0:
			w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
		case named != version:
			_, _ = fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		named = version
		if trouble == TroubleCut && n > after+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Event(id, n))
		w.(http.Flusher).Flush()
		t := time.NewTimer(gap)
		select {
		case <-r.Context().Done():
			t.Stop()
			return
		case <-t.C:
		}
		if s.down() || s.Current() != incarnation {
			panic(http.ErrAbortHandler)
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
	s.placed = append(s.placed, Order{Server: fmt.Sprintf("%s/%d", s.ID, s.born), Owner: o.Owner, Fence: o.FenceToken, At: time.Now()})
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
		incarnation := s.born
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.born != incarnation {
				return
			}
			s.busy, s.versions[o.Model] = false, o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
