package admission

import (
	"math"
	"time"

	"dotterelmount.example/api"
)

const (
	// latencySmoothing is the weight of a new latency in the moving average.
	latencySmoothing = 0.2
	// congestedFactor is the multiple of the least latency at which an
	// upstream counts as congested. An engine with a full batch makes each token
	// two to four times as slowly as one alone and is at its best then.
	congestedFactor = 4.0
	// decreaseFactor and decreaseOnFailure are the factors by which a window shrinks.
	decreaseFactor        = 0.85
	failureDecreaseFactor = 0.7
	// decreaseInterval is the least time between two reductions, so that the
	// calls of one burst shrink the window once.
	decreaseInterval = 100 * time.Millisecond
	// minimumLatencyMaxAge is how long a least latency is trusted before it is measured
	// afresh: an upstream that got slower for good must not shrink for ever.
	minimumLatencyMaxAge = 30 * time.Second
	// sizeEpsilon keeps rounding errors of changed sizes from costing a slot.
	sizeEpsilon = 1e-6
)

// WindowConfig describes a Window.
type WindowConfig struct {
	Limit        int     // calls in progress at most
	Floor        int     // the window never adapts below it; below 1 counts as 1
	ShortReserve float64 // part kept free for short work of members, 0 to 1
}

// Window bounds the calls that are in progress at one upstream. It grows by
// one for each window of calls while latency stays near its own minimum and
// shrinks by a factor when it doesn't. It belongs to one duty: it is not safe
// for concurrent use.
type Window struct {
	cfg          WindowConfig
	size         float64 // the adapted window, in calls
	inFlight     int
	longInFlight int // calls in progress that are not members' short work

	hasLongShare bool // longShare is set
	longShare    int  // part of the limit that long work may use

	latency      time.Duration // moving average per token
	minimum      time.Duration // least average of this period and the one before
	candidate    time.Duration // least average of this period
	periodStart  time.Time
	lastDecrease time.Time
}

// NewWindow returns a window that is open to its limit.
func NewWindow(cfg WindowConfig) *Window {
	cfg.Floor = max(1, cfg.Floor)
	return &Window{cfg: cfg, size: float64(cfg.Limit)}
}

// Admits reports whether one more call may start. Rollouts and long work get
// at most the part that isn't kept for short work, but never less than one.
func (w *Window) Admits(lane api.Lane, short bool) bool {
	if w.Free() <= 0 {
		return false
	}
	return !isLong(lane, short) || w.longInFlight < w.longLimit()
}

// Start counts a call that starts.
func (w *Window) Start(lane api.Lane, short bool) {
	w.inFlight++
	if isLong(lane, short) {
		w.longInFlight++
	}
}

// Done counts a call that ended, with its mean time per token (or per call);
// ok is false when the upstream failed it. A zero latency is not counted.
func (w *Window) Done(lane api.Lane, short bool, latency time.Duration, ok bool, now time.Time) {
	used := w.inFlight
	w.inFlight--
	if isLong(lane, short) {
		w.longInFlight--
	}
	if !ok {
		w.shrink(failureDecreaseFactor, now)
		return
	}
	if latency > 0 {
		w.observe(latency, now)
		w.adapt(used, now)
	}
}

// Limit returns the number of calls that may be in progress now.
func (w *Window) Limit() int {
	return min(w.cfg.Limit, max(w.cfg.Floor, int(w.size+sizeEpsilon)))
}

// InFlight returns the number of calls in progress.
func (w *Window) InFlight() int { return w.inFlight }

// Long returns the number of calls in progress that are not members' short work.
func (w *Window) Long() int { return w.longInFlight }

// Free returns the number of calls that may still start; below zero after the
// limit fell under the calls in progress.
func (w *Window) Free() int { return w.Limit() - w.inFlight }

// SetLimit changes the most calls in progress; zero admits none. The window
// keeps the part of the limit to which it had adapted.
func (w *Window) SetLimit(n int) {
	n = max(0, n)
	if w.cfg.Limit > 0 {
		w.size *= float64(n) / float64(w.cfg.Limit)
	} else {
		w.size = float64(n)
	}
	w.cfg.Limit = n
}

// SetShares changes the most calls in progress to long plus short, of which
// long work gets long at most. It takes the place of ShortReserve where the
// parts of a window are shared out between daemons apart: of a share of one or
// two slots no part can be reserved.
func (w *Window) SetShares(long, short int) {
	w.SetLimit(long + short)
	w.hasLongShare = true
	w.longShare = max(0, long)
}

func (w *Window) longLimit() int {
	if w.hasLongShare {
		return w.splitLimit()
	}
	limit := math.Floor((1-w.cfg.ShortReserve)*float64(w.Limit()) + sizeEpsilon)
	return max(1, int(limit))
}

// splitLimit shrinks the share of long work as the window adapts.
func (w *Window) splitLimit() int {
	if w.longShare == 0 {
		return 0
	}
	part := float64(w.longShare) * float64(w.Limit()) / float64(w.cfg.Limit)
	return max(1, int(part+sizeEpsilon))
}

func (w *Window) observe(latency time.Duration, now time.Time) {
	if w.latency == 0 {
		w.latency = latency
	} else {
		w.latency += time.Duration(latencySmoothing * float64(latency-w.latency))
	}
	if w.periodStart.IsZero() {
		w.periodStart = now
		w.minimum, w.candidate = w.latency, w.latency
	}
	w.candidate = min(w.candidate, w.latency)
	w.minimum = min(w.minimum, w.latency)
	if now.Sub(w.periodStart) >= minimumLatencyMaxAge {
		w.minimum, w.candidate = w.candidate, w.latency
		w.periodStart = now
	}
}

func (w *Window) adapt(used int, now time.Time) {
	if float64(w.latency) > congestedFactor*float64(w.minimum) {
		w.shrink(decreaseFactor, now)
		return
	}
	// An idle window says nothing about a larger one.
	if 2*used >= w.Limit() {
		w.size = min(float64(w.cfg.Limit), w.size+1/max(1, w.size))
	}
}

func (w *Window) shrink(factor float64, now time.Time) {
	if now.Sub(w.lastDecrease) < decreaseInterval {
		return
	}
	w.lastDecrease = now
	floor := float64(min(w.cfg.Floor, w.cfg.Limit))
	w.size = max(floor, w.size*factor)
}

func isLong(lane api.Lane, short bool) bool { return lane == api.LaneRollout || !short }
