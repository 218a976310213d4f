package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CloudMode selects the fault that the platform's API injects into calls.
type CloudMode int

// The modes of the platform's API.
const (
	CloudUp     CloudMode = iota // no fault
	CloudBusy                    // responds with 429 and does nothing
	CloudSilent                  // does nothing and never responds
	CloudLate                    // never responds, and executes the call after lateDelay
)

// Cloud is the platform's API. It checks what it receives: no two reports of usage for one
// window may differ, no two holders may have one fence, and unless it checks fences, none may be
// lower than one before. It is safe for concurrent use.
type Cloud struct {
	*httptest.Server
	// PerSecond is the limit of calls; 0: none.
	PerSecond int
	// OnOrder, if set, is called when an order of servers is executed.
	OnOrder       func(service string, spot bool, count int)
	fencesChecked bool
	closing       chan struct{}

	mu         sync.Mutex
	mode       CloudMode
	none       map[string]bool
	calls      []time.Time
	subjects   map[string]*subject
	usage      map[int64]map[string]int64
	orders     map[string]int
	faults     int
	violations []string
}

// subject is what a fence protects.
type subject struct {
	fence   uint64
	holders map[uint64]string // by fence
}

// cloudCall is the body of a call.
type cloudCall struct {
	Window  int64            `json:"window"`
	Counts  map[string]int64 `json:"counts"`
	Service string           `json:"service"`
	Zone    string           `json:"zone"`
	Groups  int              `json:"target_groups"`
	Spot    bool             `json:"spot"`
}

// NewCloud starts the platform's API.
func NewCloud(fencesChecked bool) *Cloud {
	c := &Cloud{
		fencesChecked: fencesChecked, closing: make(chan struct{}), none: make(map[string]bool), subjects: make(map[string]*subject),
		usage: make(map[int64]map[string]int64), orders: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) { c.receive(w, r, true) })
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) { c.receive(w, r, false) })
	c.Server = httptest.NewServer(mux)
	return c
}

// Close stops the API and closes its connections.
func (c *Cloud) Close() {
	close(c.closing)
	c.CloseClientConnections()
	c.Server.Close()
}

// FencesChecked reports whether the API refuses fences that are too low.
func (c *Cloud) FencesChecked() bool { return c.fencesChecked }

// Address returns the API's ip:port.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.URL, "http://") }

// SetMode changes the fault injected.
func (c *Cloud) SetMode(m CloudMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

// SetNone sets whether orders of servers for a service in a zone are refused, because there are
// none at the moment.
func (c *Cloud) SetNone(service, zone string, spot, none bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.none[orderKey(service, zone, spot)] = none
}

// Usage returns the counts that were reported, by window.
func (c *Cloud) Usage() map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.usage)
}

// Ordered returns the number of servers that was ordered last.
func (c *Cloud) Ordered(service, zone string, spot bool) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.orders[orderKey(service, zone, spot)]
	return n, ok
}

// Fences returns the fences under which calls about usage were accepted, in rising order.
func (c *Cloud) Fences() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.subjects["usage"]; s != nil {
		return slices.Sorted(maps.Keys(s.holders))
	}
	return nil
}

// Violations returns what broke a rule.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func orderKey(service, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%t", service, zone, spot)
}

func (c *Cloud) receive(w http.ResponseWriter, r *http.Request, usage bool) {
	var call cloudCall
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if bad := json.NewDecoder(r.Body).Decode(&call); bad != nil || err != nil || holder == "" {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "the body can't be read"})
		return
	}
	mode := c.nextMode()
	switch {
	case mode == CloudBusy || c.overLimit():
		writeJSON(w, http.StatusTooManyRequests, map[string]any{"error": "too many calls"})
	case mode == CloudSilent || mode == CloudLate:
		if mode == CloudLate {
			time.AfterFunc(lateDelay, func() { c.execute(call, usage, holder, fence) })
		}
		select {
		case <-r.Context().Done():
		case <-c.closing:
		}
		panic(http.ErrAbortHandler)
	default:
		status, reason := c.execute(call, usage, holder, fence)
		writeJSON(w, status, map[string]any{"error": reason})
	}
}

// nextMode returns the mode, and counts a call that meets a fault.
func (c *Cloud) nextMode() CloudMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode != CloudUp {
		c.faults++
	}
	return c.mode
}

// Faults returns the number of calls that met a fault.
func (c *Cloud) Faults() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// overLimit counts a call, and reports whether there were too many in the last second.
func (c *Cloud) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.calls = slices.DeleteFunc(c.calls, func(t time.Time) bool { return now.Sub(t) > time.Second })
	c.calls = append(c.calls, now)
	return c.PerSecond > 0 && len(c.calls) > c.PerSecond
}

// execute executes a call and returns the response's status and error.
func (c *Cloud) execute(call cloudCall, usage bool, holder string, fence uint64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := "usage"
	if !usage {
		name = call.Service + "/" + call.Zone
	}
	s, ok := c.subjects[name]
	if !ok {
		s = &subject{holders: make(map[uint64]string)}
		c.subjects[name] = s
	}
	switch {
	case fence < s.fence && c.fencesChecked:
		return http.StatusConflict, "a higher fence was seen"
	case fence < s.fence:
		c.violate("%s: fence %d of %s after %d", name, fence, holder, s.fence)
	case s.holders[fence] != "" && s.holders[fence] != holder:
		c.violate("%s: fence %d of %s and of %s", name, fence, s.holders[fence], holder)
	}
	s.fence, s.holders[fence] = max(s.fence, fence), holder
	if usage {
		if before, ok := c.usage[call.Window]; ok && !maps.Equal(before, call.Counts) {
			c.violate("window %d reported with %v and %v", call.Window, before, call.Counts)
		}
		c.usage[call.Window] = call.Counts
		return http.StatusOK, ""
	}
	key := orderKey(call.Service, call.Zone, call.Spot)
	if c.none[key] {
		return http.StatusConflict, "none is available"
	}
	c.orders[key] = call.Groups
	if c.OnOrder != nil {
		c.OnOrder(call.Service, call.Spot, call.Groups)
	}
	return http.StatusOK, ""
}

// violate records what broke a rule. The caller holds the lock.
func (c *Cloud) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
