// Package ratelimit decides how many requests a daemon may send to upstreams that limit
// the requests a second of all daemons together. It does no I/O and takes the current
// time as an argument.
package ratelimit

import (
	"maps"
	"time"

	"dotterelmount.example/api"
)

// clearDelay is how long after the last response that named a limit a response without
// one lifts it. Responses on different connections may be read out of order.
const clearDelay = time.Second

// Named holds the limits that upstreams name in their responses.
type Named struct{ limits map[api.UpstreamID]namedLimit }

type namedLimit struct {
	perSecond float64
	at        time.Time // of the last response that named it
}

// NewNamed returns a Named without limits.
func NewNamed() *Named { return &Named{limits: make(map[api.UpstreamID]namedLimit)} }

// Limit returns the limit of an upstream, in requests a second; false if it has none.
func (n *Named) Limit(id api.UpstreamID) (float64, bool) {
	l, ok := n.limits[id]
	return l.perSecond, ok
}

// Set sets the limit of an upstream and reports whether it changed. A limit below the
// least one that is used counts as that one.
func (n *Named) Set(id api.UpstreamID, perSecond float64, now time.Time) bool {
	perSecond = max(minLimit, perSecond)
	old, ok := n.limits[id]
	n.limits[id] = namedLimit{perSecond: perSecond, at: now}
	return !ok || old.perSecond != perSecond
}

// Learn sets a limit that another daemon reports.
func (n *Named) Learn(id api.UpstreamID, perSecond float64) {
	l := n.limits[id]
	n.limits[id] = namedLimit{perSecond: perSecond, at: l.at}
}

// NamedRecently reports whether a response named the limit of an upstream within
// clearDelay.
func (n *Named) NamedRecently(id api.UpstreamID, now time.Time) bool {
	l, ok := n.limits[id]
	return ok && now.Sub(l.at) < clearDelay
}

// Retain removes the limits of all upstreams for which keep returns false.
func (n *Named) Retain(keep func(api.UpstreamID) bool) {
	maps.DeleteFunc(n.limits, func(id api.UpstreamID, _ namedLimit) bool { return !keep(id) })
}

// Lift removes an upstream's limit, unless a response named it within clearDelay. It
// reports whether the upstream had one.
func (n *Named) Lift(id api.UpstreamID, now time.Time) bool {
	if _, ok := n.limits[id]; !ok || n.NamedRecently(id, now) {
		return false
	}
	delete(n.limits, id)
	return true
}

// All returns the limits, in requests a second.
func (n *Named) All() map[api.UpstreamID]float64 {
	out := make(map[api.UpstreamID]float64, len(n.limits))
	for id, l := range n.limits {
		out[id] = l.perSecond
	}
	return out
}
