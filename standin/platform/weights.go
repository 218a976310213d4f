package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// WeightVersion returns the weight version of a model.
func (s *Server) WeightVersion(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

// handleLoadOrder accepts a load order (202), unless it is malformed (400), its
// fencing token is stale (412), the version is loaded already (200), or another
// load is in progress or the precondition fails (409).
func (s *Server) handleLoadOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model        string `json:"model"`
		Version      int    `json:"version"`
		Mode         string `json:"mode"`
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
		s.load(o.Model, o.Version, o.Mode == "wait", s.incarnation)
		w.WriteHeader(http.StatusAccepted)
	}
}

// load finishes a load after weightLoadTime. If wait is set, runs in progress end first.
func (s *Server) load(model string, version int, wait bool, incarnation int) {
	time.AfterFunc(weightLoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case s.incarnation != incarnation:
		case wait && s.modelRuns > 0:
			s.load(model, version, wait, incarnation)
		default:
			s.loading, s.versions[model] = false, version
		}
	})
}

// SetWeightVersion sets the weight version of a model, as for a server that starts later.
func (s *Server) SetWeightVersion(model string, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[model] = version
}
