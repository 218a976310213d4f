package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelmount.example/standin/serve"
)

// hostState is the state of a host in the list.
type hostState string

const (
	stateLive    hostState = "live"
	stateLeaving hostState = "leaving"
)

// host is one entry of the host list.
type host struct {
	ID      string    `json:"id"`
	Address string    `json:"address"` // host:port
	State   hostState `json:"state"`
}

// invalidReason says why the entry is invalid; it returns "" for a valid one.
func (h *host) invalidReason() string {
	if h.ID == "" {
		return "id is empty"
	}
	if _, _, err := net.SplitHostPort(h.Address); err != nil {
		return fmt.Sprintf("address %q: %v", h.Address, err)
	}
	if h.State != stateLive && h.State != stateLeaving {
		return fmt.Sprintf("state %q; allowed: live, leaving", h.State)
	}
	return ""
}

// hostsBody is the response of GET /v1/hosts.
type hostsBody struct {
	Hosts []host `json:"hosts"` // sorted by id
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	host
	visibleAt time.Time
}

// handler serves the host list. A change becomes visible after the lag.
type handler struct {
	lag   time.Duration
	clock func() time.Time
	runID string // prefix of ETags, so that those of different runs differ

	mu      sync.Mutex
	visible map[string]host // by id
	pending []pendingChange // oldest first
	version int             // number of changes made visible
}

func newHandler(lag time.Duration, clock func() time.Time) http.Handler {
	h := &handler{lag: lag, clock: clock, runID: fmt.Sprint(clock().UnixNano()), visible: make(map[string]host)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hosts", h.post)
	mux.HandleFunc("GET /v1/hosts", h.get)
	return mux
}

func (h *handler) post(w http.ResponseWriter, r *http.Request) {
	var entry host
	if !serve.DecodeJSON(w, r, &entry) {
		return
	}
	if reason := entry.invalidReason(); reason != "" {
		serve.WriteError(w, http.StatusBadRequest, "invalid", reason)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.applyDue(now)
	h.pending = append(h.pending, pendingChange{host: entry, visibleAt: now.Add(h.lag)})
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	list, version := h.list()
	etag := fmt.Sprintf("%q", fmt.Sprintf("%s-%d", h.runID, version))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	serve.WriteJSON(w, http.StatusOK, list)
}

// list returns the visible hosts and the number of changes made visible so far.
func (h *handler) list() (hostsBody, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDue(h.clock())
	hosts := make([]host, 0, len(h.visible))
	for _, entry := range h.visible {
		hosts = append(hosts, entry)
	}
	slices.SortFunc(hosts, func(a, b host) int { return cmp.Compare(a.ID, b.ID) })
	return hostsBody{Hosts: hosts}, h.version
}

// applyDue makes visible the changes that are at least as old as the lag.
func (h *handler) applyDue(now time.Time) {
	for len(h.pending) > 0 && !now.Before(h.pending[0].visibleAt) {
		entry := h.pending[0].host
		h.visible[entry.ID] = entry
		h.version++
		h.pending = h.pending[1:]
	}
}
