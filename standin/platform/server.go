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
	heartbeatInterval = 300 * time.Millisecond
	crashDowntime     = time.Second // a crashed server is back after some seconds
	slowFactor        = 10
	weightLoadTime    = 100 * time.Millisecond
	serversTopic      = "keyed.servers"
)

// Server is a server that registers itself in the store. With models it is a
// model server. It may be used from any thread.
type Server struct {
	*httptest.Server
	ID      string
	Service string
	// EventsPerItem is the length of an item's text, Gap the time between two events.
	EventsPerItem int
	EventInterval time.Duration
	// Answer, if set, takes a request in place of the server.
	Intercept func(w http.ResponseWriter, r *http.Request) bool
	// Killer, if set, crashes the server when a request's body holds it.
	CrashText string

	store             *Store
	mu                sync.Mutex
	advertisedAddress string // that the entry names
	incarnation       int
	versions          map[string]int
	entrySeq          int // of the entry
	acceptedOrders    int
	highestFence      int
	loading           bool
	draining          bool
	downUntil         time.Time
	fault             Fault
	runCounts         map[string]int // by request id
	arrivals          []Arrival
	receivedOrders    []LoadOrder
	duty              *duty.Duty[struct{}]
}

// Arrival is a request that a server began to work on.
type Arrival struct {
	RequestID     string
	InstanceID    string // id of the incarnation
	StartedAt     time.Time
	LastEventID   int   // number of the event before the first that is asked for
	EventVersions []int // weight versions of the events made
}

// LoadOrder is an order that a server got.
type LoadOrder struct {
	Incarnation string // id and start of the incarnation
	Owner       string
	FenceToken  int
	ReceivedAt  time.Time
}

// NewServer starts a server of a service, with its models at version 1.
func NewServer(store *Store, id, service string, models ...string) *Server {
	s := &Server{
		ID: id, Service: service, EventsPerItem: 5, EventInterval: time.Millisecond, store: store,
		versions: make(map[string]int), runCounts: make(map[string]int), incarnation: 1,
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	s.advertisedAddress = strings.TrimPrefix(s.URL, "http://")
	s.writeEntry()
	s.duty = duty.Start(duty.NewSystem(nil), duty.Config{Name: "heartbeat", RingSize: 1, Tick: heartbeatInterval}, duty.Handler[struct{}](s))
	return s
}

// Handle does nothing: the duty that writes the entry has only ticks.
func (s *Server) Handle(context.Context, struct{}) {}

// Tick writes the server's entry.
func (s *Server) Tick(context.Context) { s.writeEntry() }

// writeEntry writes the server's entry, or removes that of a server that is down.
func (s *Server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		s.store.Put(serversTopic, s.ID, nil)
		return
	}
	s.entrySeq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.store.PutJSON(serversTopic, s.ID, map[string]any{
		"service": s.Service, "address": s.advertisedAddress, "zone": "z1", "version": "v1", "slots": 4,
		"state": state, "cold_left_ms": 0, "models": s.models(), "seq": s.entrySeq, "born": s.incarnation,
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
	s.advertisedAddress = address
	s.mu.Unlock()
	s.writeEntry()
}

// SetDraining says that the server is about to leave, or that it stays.
func (s *Server) SetDraining(leaving bool) {
	s.mu.Lock()
	s.draining = leaving
	s.mu.Unlock()
	s.writeEntry()
}

// Restart breaks all requests off; the server is down for a while and then
// starts under another id, with its weights and nothing else.
func (s *Server) Restart(down time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(serversTopic, s.ID, nil)
	s.ID, s.downUntil, s.incarnation = id, time.Now().Add(down), s.incarnation+1
	s.acceptedOrders, s.highestFence, s.loading, s.draining = 0, 0, false, false
}

// Crash ends the server without a word; its entry goes.
func (s *Server) Crash() {
	_ = s.duty.Stop(context.Background()) // ends when the duty has
	s.CloseClientConnections()
	s.Server.Close()
	s.store.Put(serversTopic, s.ID, nil)
}

// RunCount returns how often a request was begun.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// WeightVersion returns the weight version of a model.
func (s *Server) WeightVersion(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

// FenceTokens returns the fencing tokens of the orders, as they came.
func (s *Server) FenceTokens() []int {
	var out []int
	for _, o := range s.LoadOrders() {
		out = append(out, o.FenceToken)
	}
	return out
}

// LoadOrders returns the orders, as they came.
func (s *Server) LoadOrders() []LoadOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.receivedOrders)
}

// Arrivals returns what the server began to work on.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.arrivals)
	for i := range out {
		out[i].EventVersions = slices.Clone(out[i].EventVersions)
	}
	return out
}

// InstanceID returns the id of the present incarnation.
func (s *Server) InstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.InstanceID() {
		w.Header().Set("X-Instance-Id", s.InstanceID())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.handleReport(w)
		return
	case "/api/order":
		s.handleLoadOrder(w, r)
		return
	}
	if s.Intercept != nil && s.Intercept(w, r) {
		return
	}
	s.runRequest(w, r)
}

// runRequest works on a request, or refuses it while weights load.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body) // what a caller that left did not send is not needed
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	busy, trouble := s.loading && r.Header.Get("X-Model") != "" || s.fault == FaultBusy, s.fault
	if !busy {
		s.runCounts[id]++
		s.arrivals = append(s.arrivals, Arrival{RequestID: id, InstanceID: s.ID, StartedAt: time.Now(), LastEventID: after})
	}
	a := len(s.arrivals) - 1
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if busy {
		w.Header().Set("X-Request-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.CrashText != "" && strings.Contains(string(body), s.CrashText) {
		s.Restart(crashDowntime, s.InstanceID())
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	if trouble.inject(w, r) {
		return
	}
	if r.Header.Get("X-Model") == "" {
		answer := fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		if trouble == FaultCut {
			answer = answer[:len(answer)/2]
		}
		_, _ = io.WriteString(w, answer) // the caller may have left
		return
	}
	s.stream(w, r, id, a, after, trouble)
}

// EventData returns the data of an event of an item's text.
func EventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// recordEvent notes that an event of a run is made and returns its weight version.
func (s *Server) recordEvent(run int, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[run].EventVersions = append(s.arrivals[run].EventVersions, s.versions[model])
	return s.versions[model]
}

// stream makes the events of a run after those that its caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, run, after int, trouble Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	incarnation, named := s.InstanceID(), 0
	gap := s.EventInterval
	if trouble == FaultSlow {
		gap *= slowFactor
	}
	for n := after + 1; n <= s.EventsPerItem; n++ {
		version := s.recordEvent(run, r.Header.Get("X-Model"))
		switch {
		case named == 0:
			w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
		case named != version:
			_, _ = fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		named = version
		if trouble == FaultCut && n > after+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n))
		w.(http.Flusher).Flush()
		t := time.NewTimer(gap)
		select {
		case <-r.Context().Done():
			t.Stop()
			return
		case <-t.C:
		}
		if s.down() || s.InstanceID() != incarnation {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) handleReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": s.models(), "busy": s.loading, "seq": s.acceptedOrders})
}

func (s *Server) handleLoadOrder(w http.ResponseWriter, r *http.Request) {
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
	s.receivedOrders = append(s.receivedOrders, LoadOrder{Incarnation: fmt.Sprintf("%s/%d", s.ID, s.incarnation), Owner: o.Owner, FenceToken: o.FenceToken, ReceivedAt: time.Now()})
	switch {
	case o.FenceToken < s.highestFence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	case s.loading || o.Precondition != s.acceptedOrders:
		w.WriteHeader(http.StatusConflict)
	default:
		s.highestFence, s.loading = o.FenceToken, true
		s.acceptedOrders++
		incarnation := s.incarnation
		time.AfterFunc(weightLoadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.incarnation != incarnation {
				return
			}
			s.loading, s.versions[o.Model] = false, o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
