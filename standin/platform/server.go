package platform

import (
	"context"
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
	crashDowntime     = time.Second // the platform restarts a crashed server after a few seconds
	slowFactor        = 10          // multiple of the event interval under FaultSlow
	weightLoadTime    = 100 * time.Millisecond
	serversTopic      = "keyed.servers"
)

// Server is a server that registers itself in the store. If it has models, it is
// an engine. It is safe for concurrent use.
type Server struct {
	*httptest.Server
	ID      string // instance id; changed by Restart
	Service string
	// EventsPerItem is the number of server-sent events that make up an item's text.
	EventsPerItem int
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	// Intercept, if set, may handle a request; if it returns false, the server
	// handles it.
	Intercept func(w http.ResponseWriter, r *http.Request) bool
	// CrashText, if set, makes the server restart, as after a crash, when a
	// request's body contains it.
	CrashText string

	store             *Store
	mu                sync.Mutex
	advertisedAddress string         // in the server's entry
	software          string         // version of the software
	incarnation       int            // number of starts
	versions          map[string]int // weight version by model
	entrySeq          int            // sequence number of the entry
	acceptedOrders    int            // load orders accepted since the start; precondition of the next one
	highestFence      int            // highest fencing token accepted
	loading           bool           // weights are being loaded
	modelRuns         int            // runs in progress that need a model
	draining          bool
	leaving           bool      // all responses say so
	spot              bool      // may be reclaimed
	goesAt            time.Time // zero: it wasn't reclaimed
	downUntil         time.Time
	fault             Fault
	requestLimit      float64        // named in each response, in requests a second; 0: none
	received          []time.Time    // arrivals of all requests while there is a limit
	runCounts         map[string]int // by request id
	arrivals          []Arrival
	receivedOrders    []LoadOrder
	cuts              map[string]*cut // by the caller's IP address
	duty              *duty.Duty[struct{}]
}

// Arrival is a request that a server started to run.
type Arrival struct {
	RequestID     string
	InstanceID    string
	StartedAt     time.Time
	Tenant        string // as the daemon named it; empty: none
	KeyShown      bool   // the request had credentials
	LastEventID   int    // number of the last event that the caller has; zero: none
	EventVersions []int  // weight versions of the events generated
}

// LoadOrder is an order to load a weight version that a server received.
type LoadOrder struct {
	Incarnation string // "<instance id>/<number of the start>"
	Owner       string
	FenceToken  int
	ReceivedAt  time.Time
}

// NewServer starts a server of a service, with its models at weight version 1.
func NewServer(store *Store, id, service string, models ...string) *Server {
	s := &Server{
		ID: id, Service: service, EventsPerItem: 5, EventInterval: time.Millisecond, store: store,
		versions: make(map[string]int), runCounts: make(map[string]int), cuts: make(map[string]*cut), incarnation: 1, software: FirstSoftware,
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.Config.ConnContext = withConnStart
	s.Listener = &copyingListener{s.Listener, s.sendsCopies}
	s.Server.Start()
	s.advertisedAddress = strings.TrimPrefix(s.URL, "http://")
	s.writeEntry()
	s.duty = duty.Start(duty.NewSystem(nil), duty.Config{Name: "heartbeat", RingSize: 1, Tick: heartbeatInterval}, duty.Handler[struct{}](s))
	return s
}

// Handle does nothing; the heartbeat duty receives only ticks.
func (s *Server) Handle(context.Context, struct{}) {}

// Tick writes the server's entry as a heartbeat.
func (s *Server) Tick(context.Context) { s.writeEntry() }

// writeEntry writes the server's entry to the store, or removes it while the
// server is down.
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
	entry := map[string]any{
		"service": s.Service, "address": s.advertisedAddress, "zone": "z1", "version": s.software, "slots": 4,
		"state": state, "cold_left_ms": 0, "models": s.models(), "seq": s.entrySeq, "born": s.incarnation,
	}
	if s.spot {
		entry["spot"] = true
	}
	if !s.goesAt.IsZero() {
		entry["leaves_ms"] = max(1, time.Until(s.goesAt).Milliseconds())
	}
	s.store.PutJSON(serversTopic, s.ID, entry)
}

func (s *Server) models() []map[string]any {
	out := []map[string]any{}
	for m, v := range s.versions {
		out = append(out, map[string]any{"name": m, "version": v, "adapters": []string{}})
	}
	return out
}

// Advertise changes the address (ip:port) in the server's entry, for example to
// that of a proxy.
func (s *Server) Advertise(address string) {
	s.mu.Lock()
	s.advertisedAddress = address
	s.mu.Unlock()
	s.writeEntry()
}

// SetDraining sets the state in the server's entry to draining or ready.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.mu.Unlock()
	s.writeEntry()
}

// Draining reports whether the server's entry has the state draining.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Restart aborts all requests and takes the server down for the given duration. It
// then starts again with the given instance id; of its state, only the weights are
// kept.
func (s *Server) Restart(down time.Duration, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(serversTopic, s.ID, nil)
	s.ID, s.downUntil, s.incarnation = id, time.Now().Add(down), s.incarnation+1
	s.acceptedOrders, s.highestFence, s.loading, s.draining, s.leaving = 0, 0, false, false, false
}

// Crash closes the server and its connections permanently and removes its entry.
func (s *Server) Crash() {
	_ = s.duty.Stop(context.Background()) // no error: the context does not end
	s.CloseClientConnections()
	s.Server.Close()
	s.store.Put(serversTopic, s.ID, nil)
}

// RunCount returns how often the server started to run a request.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// FenceTokens returns the fencing tokens of the load orders, in order of arrival.
func (s *Server) FenceTokens() []int {
	var out []int
	for _, o := range s.LoadOrders() {
		out = append(out, o.FenceToken)
	}
	return out
}

// LoadOrders returns the load orders received, in order of arrival.
func (s *Server) LoadOrders() []LoadOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.receivedOrders)
}

// Arrivals returns the requests that the server started to run, oldest first.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.arrivals)
	for i := range out {
		out[i].EventVersions = slices.Clone(out[i].EventVersions)
	}
	return out
}

// SetSoftware changes the version of the server's software, as a release does together
// with a restart.
func (s *Server) SetSoftware(version string) {
	s.mu.Lock()
	s.software = version
	s.mu.Unlock()
	s.writeEntry()
}

// Software returns the version of the server's software.
func (s *Server) Software() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software
}

// InstanceID returns the current instance id. Unlike the field ID, it may be used
// while the server restarts.
func (s *Server) InstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID
}

// SetRequestLimit sets the limit that the server names in its responses, in requests a
// second; 0 removes it. The server doesn't enforce it.
func (s *Server) SetRequestLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimit = perSecond
}

// MostReceived returns the most requests of all kinds that arrived within a window between
// two times while the server named a limit, from grace after the first of them.
func (s *Server) MostReceived(begin, end time.Time, grace, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var at []time.Time
	for _, t := range s.received {
		if t.After(begin) && t.Before(end) {
			at = append(at, t)
		}
	}
	most, first := 0, 0
	for i, t := range at {
		if t.Sub(at[0]) < grace {
			first = i + 1
			continue
		}
		for t.Sub(at[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Leaving reports whether the server says that it leaves.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// SetLeaving makes the server say in all its responses whether it leaves. Its entry doesn't
// change.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// announce adds to a response what the server says in all of them: that it leaves, and its
// request limit.
func (s *Server) announce(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.requestLimit > 0 {
		s.received = append(s.received, time.Now())
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.requestLimit, 'f', -1, 64))
	}
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
	s.suffer(r)
	s.announce(w)
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

// runRequest runs a request, or refuses it if it needs a model while weights are
// being loaded, or under FaultBusy.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body) // an error means that the caller disconnected
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	busy, fault := s.loading && r.Header.Get("X-Model") != "" || s.fault == FaultBusy, s.fault
	if !busy {
		s.runCounts[id]++
		s.arrivals = append(s.arrivals, Arrival{
			RequestID: id, InstanceID: s.ID, StartedAt: time.Now(), LastEventID: after,
			Tenant: strings.Join(r.Header.Values("X-Tenant"), ","), KeyShown: r.Header.Get("Authorization") != "",
		})
	}
	run := len(s.arrivals) - 1
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
	if fault.inject(w, r) {
		return
	}
	if r.Header.Get("X-Model") == "" {
		response := fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		if fault == FaultCut {
			response = response[:len(response)/2]
		}
		_, _ = io.WriteString(w, response) // the caller may have disconnected
		return
	}
	s.mu.Lock()
	s.modelRuns++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.modelRuns--
		s.mu.Unlock()
	}()
	s.stream(w, r, id, run, after, fault)
}

// FirstSoftware is the version of the software of new servers.
const FirstSoftware = "v1"

// EventData returns the data of event n of an item's text, which differs between
// versions of the software.
func EventData(software, id string, n int) string { return fmt.Sprintf("%s-%d@%s", id, n, software) }

// recordEvent records that an event of a run was generated and returns its weight
// version.
func (s *Server) recordEvent(run int, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[run].EventVersions = append(s.arrivals[run].EventVersions, s.versions[model])
	return s.versions[model]
}

// stream generates and writes the events with numbers above after. If the weight
// version changes midway, a line with the new version precedes the first event
// generated by it.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, run, after int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	instance, software, sentVersion := s.InstanceID(), s.Software(), 0
	interval := s.EventInterval
	if fault == FaultSlow {
		interval *= slowFactor
	}
	for n := after + 1; n <= s.EventsPerItem; n++ {
		version := s.recordEvent(run, r.Header.Get("X-Model"))
		switch {
		case sentVersion == 0:
			w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
		case sentVersion != version:
			_, _ = fmt.Fprintf(w, "x-weight-versions: %d\n", version)
		}
		sentVersion = version
		if fault == FaultCut && n > after+1 {
			cut := "da"
			if run%2 == 0 {
				cut = "panic: runtime error: index out of range\n\n"
			}
			_, _ = fmt.Fprintf(w, "id: %d\n%s", n, cut)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(software, id, n))
		w.(http.Flusher).Flush()
		timer := time.NewTimer(interval)
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s.suffer(r)
		if s.down() || s.InstanceID() != instance {
			panic(http.ErrAbortHandler)
		}
	}
}

// handleReport responds with the state of the server's weights.
func (s *Server) handleReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": s.models(), "busy": s.loading, "seq": s.acceptedOrders, "born": s.incarnation})
}
