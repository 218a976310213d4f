package dispatch

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/admission"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/worker"
)

// flight is an in-flight job, from Submit to Finish.
type flight struct {
	job           *work.Job
	short         bool
	running       map[uint64]*attempt
	attempts      int // number of attempts started
	maybeSent     bool
	responded     bool
	cancelled     bool
	hedged        bool
	newConnection bool // the next attempt must not reuse a connection
	queued        bool
	crashes       int // upstreams that crashed while they ran it
	// attributedAt is when a request held after a crash is refused or retried; zero:
	// not held.
	attributedAt time.Time
	text         string // output of ended attempts
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
	task            *worker.Task
	reportedTokens  int64     // tokens received at reportedAt
	reportedAt      time.Time // when progress was last reported
	stallReportedAt time.Time // when a stall was last reported
}

// upstreamState is this daemon's state of one upstream.
type upstreamState struct {
	info                api.Upstream
	draining            bool
	removed             bool
	window              *admission.Window
	observer            *routing.Observer // shared by its observedGroup
	running             map[uint64]*attempt
	suspendedUntil      time.Time // no calls before then
	consecutiveRefusals int       // refused connections
	runsIsolated        bool      // runs a flight that must be alone
	reservedFor         api.RequestID
	crashCheck          *crashCheck // nil: none in progress
	slow                bool        // as of the last tick or start
	share               windowShare
	observed            map[api.ModelName]observedVersion // from responses
}

type eligibleKey struct {
	plan  api.PlanName
	model api.ModelName
}

// observedGroup identifies upstreams whose latencies are comparable.
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
