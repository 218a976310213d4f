package admission

import (
	"math"
	"time"

	"dotterelmount.example/api"
)

const (
	// latencySmoothing is the weight of a new latency in the moving average.
	latencySmoothing = 0.2
	// congestedFactor is the multiple of the minimum latency above which an
	// upstream counts as congested. At a full batch, where throughput is highest,
	// an engine takes two to four times as long per token as for a single request.
	congestedFactor = 4.0
	// decreaseFactor and failureDecreaseFactor multiply the window on congestion
	// and on failure.
	decreaseFactor        = 0.85
	failureDecreaseFactor = 0.7
	// decreaseInterval is the minimum time between two decreases, so that the
	// calls of one burst shrink the window only once.
	decreaseInterval = 100 * time.Millisecond
	// minimumLatencyMaxAge is the period after which the minimum latency is
	// measured anew, so that the window of an upstream that has become
	// permanently slower does not keep shrinking.
	minimumLatencyMaxAge = 30 * time.Second
	// sizeEpsilon compensates rounding errors, which would otherwise cost a slot.
	sizeEpsilon = 1e-6
)

// WindowConfig configures a Window.
type WindowConfig struct {
	Limit        int     // maximum number of calls in progress
	Floor        int     // lower bound of the adapted window; below 1 counts as 1
	ShortReserve float64 // fraction reserved for members' short calls, 0 to 1
}

// Window limits the calls in progress at one upstream. It grows by one per
// window of calls while the latency stays near its minimum, and otherwise
// shrinks by a factor (AIMD). It is not safe for concurrent use.
type Window struct {
	cfg          WindowConfig
	size         float64 // adapted window size, in calls
	inFlight     int
	longInFlight int // calls in progress other than members' short calls

	hasLongShare bool // longShare is set
	longShare    int  // part of the limit available to long calls

	latency          time.Duration // moving average per token
	minLatency       time.Duration // minimum of the average over this and the previous period
	periodMinLatency time.Duration // minimum of the average over this period
	periodStart      time.Time
	lastDecrease     time.Time
}

// NewWindow returns a window that starts at its limit.
func NewWindow(cfg WindowConfig) *Window {
	cfg.Floor = max(1, cfg.Floor)
	return &Window{cfg: cfg, size: float64(cfg.Limit)}
}

// Admits reports whether one more call may start. Rollouts and long calls may
// use the part that is not reserved for short calls, but at least one slot.
func (w *Window) Admits(lane api.Lane, short bool) bool {
	if w.Free() <= 0 {
		return false
	}
	return !isLong(lane, short) || w.longInFlight < w.longLimit()
}

// Start records the start of a call.
func (w *Window) Start(lane api.Lane, short bool) {
	w.inFlight++
	if isLong(lane, short) {
		w.longInFlight++
	}
}

// Done records the end of a call with its mean time per token (or per call); ok
// is false if the upstream failed the call. A zero latency is ignored.
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

// Limit returns the current maximum number of calls in progress.
func (w *Window) Limit() int {
	return min(w.cfg.Limit, max(w.cfg.Floor, int(w.size+sizeEpsilon)))
}

// InFlight returns the number of calls in progress.
func (w *Window) InFlight() int { return w.inFlight }

// Long returns the number of calls in progress other than members' short calls.
func (w *Window) Long() int { return w.longInFlight }

// Free returns the number of calls that may still start. It is negative after
// the limit has dropped below the number of calls in progress.
func (w *Window) Free() int { return w.Limit() - w.inFlight }

// SetLimit changes the maximum number of calls in progress; zero admits none.
// The window keeps the fraction of the limit to which it has adapted.
func (w *Window) SetLimit(n int) {
	n = max(0, n)
	if w.cfg.Limit > 0 {
		w.size *= float64(n) / float64(w.cfg.Limit)
	} else {
		w.size = float64(n)
	}
	w.cfg.Limit = n
}

// SetShares changes the maximum number of calls in progress to long plus short,
// of which long calls may use at most long. It replaces ShortReserve where the long
// and the short part of a window are divided between daemons separately: of a
// daemon's share of one or two slots no fraction can be reserved.
func (w *Window) SetShares(long, short int) {
	w.SetLimit(long + short)
	w.hasLongShare = true
	w.longShare = max(0, long)
}

func (w *Window) longLimit() int {
	if w.hasLongShare {
		return w.scaledLongShare()
	}
	limit := math.Floor((1-w.cfg.ShortReserve)*float64(w.Limit()) + sizeEpsilon)
	return max(1, int(limit))
}

// scaledLongShare scales the long share with the adapted window.
func (w *Window) scaledLongShare() int {
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
		w.minLatency, w.periodMinLatency = w.latency, w.latency
	}
	w.periodMinLatency = min(w.periodMinLatency, w.latency)
	w.minLatency = min(w.minLatency, w.latency)
	if now.Sub(w.periodStart) >= minimumLatencyMaxAge {
		w.minLatency, w.periodMinLatency = w.periodMinLatency, w.latency
		w.periodStart = now
	}
}

func (w *Window) adapt(used int, now time.Time) {
	if float64(w.latency) > congestedFactor*float64(w.minLatency) {
		w.shrink(decreaseFactor, now)
		return
	}
	// Grow only if at least half of the window is used: the latency of a mostly
	// idle window does not show that a larger one would be sustained.
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
