// Package outstanding bounds what a daemon has outstanding at one upstream. It does no I/O and
// takes the current time as an argument.
//
// The load that it answers: many daemons send to few upstreams at once, and none sees what
// the others have there. An upstream refuses what doesn't fit into its queue, and crashes if
// the requests that it holds exceed its memory.
package outstanding

import "time"

const (
	// minPause is the least time for which nothing is sent to an upstream that refused a
	// request. It doubles with each further refusal, up to maxPause.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// minBytes is the least bound on bytes: requests below it don't exhaust a server's memory.
	minBytes = 1 << 20
)

// Window bounds the requests, and the bytes of their bodies, that a daemon has outstanding at
// one upstream. Refusals halve it, at most once in the time of a response, and timely
// responses raise it again by one in each round, up to the upstream's slots: more would
// wait there, where nobody orders them.
type Window struct {
	limit      float64
	bytes      int // 0: no bound
	refusals   int // in a row
	heldUntil  time.Time
	cutAt      time.Time
	roundBytes int // bytes answered since the bound on bytes was last raised
}

// New returns the window of an upstream without any observations: all of its slots, as a daemon
// may be the only one that uses it.
func New(slots int) *Window { return &Window{limit: float64(max(1, slots))} }

// Load is what a daemon has outstanding at an upstream.
type Load struct{ Requests, Bytes int }

// Limit returns the bound on the number of requests.
func (w *Window) Limit() int { return max(1, int(w.limit)) }

// BytesLimit returns the bound on the bytes of the bodies; 0: none.
func (w *Window) BytesLimit() int { return w.bytes }

// Wait returns the expected time until a request with a body of some bytes can be sent; 0: now.
// response is the usual time of a response. A request that would be alone at the upstream is
// held back only after refusals.
func (w *Window) Wait(now time.Time, load Load, bytes int, response time.Duration) time.Duration {
	if held := w.heldUntil.Sub(now); held > 0 {
		return held
	}
	fits := load.Requests < w.Limit() && (w.bytes == 0 || load.Bytes+bytes <= w.bytes)
	if fits || load.Requests == 0 {
		return 0
	}
	return max(time.Millisecond, response/time.Duration(load.Requests))
}

// Refused takes a refusal of the upstream, which has not run the request. load is what remains
// outstanding there. Nothing more is sent until a response shows that there is room, or until
// a pause has passed that doubles with each further refusal. Refusals within the time of a
// response count as one.
func (w *Window) Refused(now time.Time, load Load, response time.Duration) {
	response = max(minPause, response)
	if now.Sub(w.cutAt) < response {
		return
	}
	w.refusals++
	w.cutAt, w.heldUntil = now, now.Add(min(maxPause, response<<min(w.refusals-1, 8)))
	w.limit = max(1, min(w.limit, float64(load.Requests+1))/2)
}

// Answered takes a response to a request with a body of some bytes. load is what was
// outstanding with it.
func (w *Window) Answered(load Load, bytes, slots int, inTime bool) {
	w.refusals, w.heldUntil = 0, time.Time{}
	if !inTime {
		return
	}
	if load.Requests >= w.Limit() {
		w.limit = min(float64(max(1, slots)), w.limit+1/w.limit)
	}
	if w.bytes == 0 {
		return
	}
	if w.roundBytes += bytes; w.roundBytes >= w.bytes {
		w.bytes, w.roundBytes = w.bytes+minBytes, 0
	}
}

// Lost takes a loss of the upstream while load was outstanding there: it may have been too
// much for its memory.
func (w *Window) Lost(load Load) {
	if load.Requests < 2 || load.Bytes <= minBytes {
		return // the window can't be smaller than one request
	}
	w.bytes, w.roundBytes = max(minBytes, load.Bytes/2), 0
}
