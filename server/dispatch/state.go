package dispatch

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/carrier"
)

// flight is a job between Submit and Finish.
type flight struct {
	job           *work.Job
	short         bool
	running       map[uint64]*attempt
	attempts      int // attempts made
	maybeSent     bool
	answered      bool
	cancelled     bool
	hedged        bool
	newConnection bool // the next attempt takes a new connection
	queued        bool
	crashes       int
	// aloneCrashes counts those with no other request of this daemon in flight.
	aloneCrashes int
	text         string // of ended attempts of this answer
	tokens       int
	versions     []api.WeightVersion
	tried        []api.UpstreamID
	lastErr      error
}

// attempt is one call in progress.
type attempt struct {
	id              uint64
	flight          *flight
	upstream        *upstreamState
	cancel          context.CancelFunc
	started         time.Time
	task            *carrier.Task
	reportedTokens  int64     // tokens that had come at seenAt
	reportedAt      time.Time // when progress was last reported
	stallReportedAt time.Time // when a stall was last reported
}

// upstreamState is what this daemon knows of one upstream.
type upstreamState struct {
	info                api.Upstream
	draining            bool
	removed             bool
	window              *admission.Window
	observer            *routing.Observer // of its group
	running             map[uint64]*attempt
	suspendedUntil      time.Time // no calls before then
	consecutiveRefusals int       // in a row
	runsIsolated        bool      // a suspect runs here alone
	reservedFor         api.RequestID
	crashCheck          *crashCheck
	slow                bool // as of the last tick or start
	share               windowShare
	observed            map[api.ModelName]observedVersion // versions that answers named
}

type eligibleKey struct {
	plan  api.PlanName
	model api.ModelName
}

// observedGroup is a set of upstreams whose times can be compared.
type observedGroup struct {
	kind  api.UpstreamKind
	model api.ModelName
}

func (h *handler) observerOf(info *api.Upstream) *routing.Observer {
	g := observedGroup{kind: info.Kind, model: info.Models[0]}
	o, ok := h.observers[g]
	if !ok {
		o = routing.NewObserver()
		h.observers[g] = o
	}
	return o
}
