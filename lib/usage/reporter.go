package usage

import (
	"maps"
	"slices"
	"time"
)

// Reporting configures a Reporter.
type Reporting struct {
	Window time.Duration
	// Settle is the time after the end of a window in which the daemons store their counts.
	Settle time.Duration
	// Delay is the time after the end of a window within which it must be reported.
	Delay time.Duration
	// Grace is how long the store must have responded before a window is fixed, so that
	// counts which waited for the store are part of it. Once Delay has nearly passed, no
	// window waits for that.
	Grace time.Duration
	// GiveUp is the time after the end of a window from which it is not reported any more.
	GiveUp time.Duration
	// RetryDelay is the time until the store is read again after a failure, and until a report
	// that failed is repeated. The latter doubles with each failure in a row, up to
	// MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
}

// Stored is what the store says about the reports. A window is fixed while it has numbers in
// Fixed: these are what is reported. Windows up to Done were reported or given up.
type Stored struct {
	Done  int64 // 0: nothing is stored yet
	Fixed map[int64]Counts
	End   uint64 // of the topic
}

func (s Stored) newest() int64 {
	newest := s.Done
	for w := range s.Fixed {
		newest = max(newest, w)
	}
	return newest
}

// Update is a change of Stored, which takes effect only if the topic ends at At.
type Update struct {
	At      uint64
	Done    int64
	Fix     map[int64]Counts
	Remove  []int64 // windows up to Done
	GivenUp []int64 // windows that are never reported
}

// Step is what a Reporter wants done; at most one field is set.
type Step struct {
	Read    bool    // Stored is to be read
	Collect bool    // the daemons' counts are to be read and passed to Fix
	Send    *Report // is to be reported
}

// Report is a window with its numbers.
type Report struct {
	Window int64
	Counts Counts
}

// Reporter decides for the holder of the duty which windows are fixed and reported. It fixes a
// window before the first report of it, under the condition that nobody has changed Stored
// meanwhile. So all holders report the same numbers. It is not safe for concurrent use.
type Reporter struct {
	cfg     Reporting
	first   int64 // window to begin with if nothing is stored
	stored  Stored
	known   bool
	sent    map[int64]bool
	retryAt time.Time
	retries int
	heldTo  time.Time // the store failed; no window is fixed until then
	readAt  time.Time // the store failed; it is not read until then
}

// NewReporter returns the Reporter of a term. Unless another window is stored, it begins with the
// window first.
func NewReporter(cfg Reporting, first int64) *Reporter {
	return &Reporter{cfg: cfg, first: first, sent: make(map[int64]bool)}
}

// Next returns what is to be done at a true time.
func (r *Reporter) Next(now time.Time) Step {
	if !r.known {
		return Step{Read: !now.Before(r.readAt)}
	}
	due := r.due(now)
	if len(due) > 0 && (!now.Before(r.heldTo) || r.late(due[0], now)) {
		return Step{Collect: true}
	}
	if now.Before(r.retryAt) {
		return Step{}
	}
	return Step{Send: r.nextReport(now)}
}

// nextReport returns the next report, the oldest one that is still in time before those that are
// late: of these, holders before have mostly sent what a new one repeats.
func (r *Reporter) nextReport(now time.Time) *Report {
	var late *Report
	for _, w := range slices.Sorted(maps.Keys(r.stored.Fixed)) {
		if w <= r.stored.Done || r.sent[w] || r.expired(w, now) {
			continue
		}
		report := &Report{Window: w, Counts: r.stored.Fixed[w]}
		if now.Sub(EndOf(w, r.cfg.Window)) <= r.cfg.Delay {
			return report
		}
		if late == nil {
			late = report
		}
	}
	return late
}

func (r *Reporter) expired(window int64, now time.Time) bool {
	return now.Sub(EndOf(window, r.cfg.Window)) >= r.cfg.GiveUp
}

// late reports whether a window can't wait any longer.
func (r *Reporter) late(window int64, now time.Time) bool {
	const reserve = 4 // a quarter of the delay is left for the report
	return now.Sub(EndOf(window, r.cfg.Window)) >= r.cfg.Delay-r.cfg.Delay/reserve
}

// due returns the windows that are to be fixed, without those that are too old.
func (r *Reporter) due(now time.Time) []int64 {
	last := WindowOf(now.Add(-r.cfg.Settle), r.cfg.Window) - 1
	begin := r.first
	if newest := r.stored.newest(); newest > 0 {
		begin = newest + 1
	}
	begin = max(begin, WindowOf(now.Add(-r.cfg.GiveUp), r.cfg.Window))
	var out []int64
	for w := begin; w <= last; w++ {
		out = append(out, w)
	}
	return out
}

// ReadDone notes what a read of the store has returned.
func (r *Reporter) ReadDone(s Stored) { r.stored, r.known = s, true }

// StoreFailed notes that a call to the store has failed, or that its condition wasn't met.
func (r *Reporter) StoreFailed(now time.Time) {
	r.known = false
	r.heldTo, r.readAt = now.Add(r.cfg.Grace), now.Add(r.cfg.RetryDelay)
}

// Collected returns the update that fixes the windows which are due, with the counts of the
// daemons by window. It returns false if none is due any more.
func (r *Reporter) Collected(now time.Time, counts map[int64]Counts) (Update, bool) {
	due := r.due(now)
	if !r.known || len(due) == 0 {
		return Update{}, false
	}
	if r.stored.newest() == 0 {
		// Nobody has reported yet: the daemons may have counted before this one started.
		for w := range counts {
			if w < due[0] && !r.expired(w, now) {
				due = append(due, w)
			}
		}
		slices.Sort(due)
		for w := due[0]; w < due[len(due)-1]; w++ {
			if !slices.Contains(due, w) {
				due = append(due, w)
			}
		}
		slices.Sort(due)
	}
	u := Update{At: r.stored.End, Fix: make(map[int64]Counts, len(due))}
	for _, w := range due {
		u.Fix[w] = make(Counts)
		u.Fix[w].Add(counts[w])
	}
	begin := due[0]
	if newest := r.stored.newest(); newest > 0 {
		begin = r.stored.Done + 1
	}
	u.Done = begin - 1
	for w := begin; w < due[0]; w++ {
		_, fixed := r.stored.Fixed[w]
		switch {
		case r.sent[w]:
		case r.expired(w, now) || !fixed:
			u.GivenUp = append(u.GivenUp, w)
		default:
			w = due[0] // it is still to be reported
			continue
		}
		u.Done = w
	}
	for w := range r.stored.Fixed {
		if w <= u.Done {
			u.Remove = append(u.Remove, w)
		}
	}
	slices.Sort(u.Remove)
	return u, true
}

// Updated notes that an update took effect, after which the topic ends at end.
func (r *Reporter) Updated(u Update, end uint64) {
	next := Stored{Done: u.Done, End: end, Fixed: maps.Clone(r.stored.Fixed)}
	if next.Fixed == nil {
		next.Fixed = make(map[int64]Counts)
	}
	maps.Copy(next.Fixed, u.Fix)
	for _, w := range u.Remove {
		delete(next.Fixed, w)
		delete(r.sent, w)
	}
	r.stored = next
}

// Done returns the window up to which nothing is to be reported any more.
func (r *Reporter) Done() int64 { return r.stored.Done }

// Fixed returns the numbers of a window; false if it isn't fixed.
func (r *Reporter) Fixed(window int64) (Counts, bool) {
	c, ok := r.stored.Fixed[window]
	return c, ok
}

// Sent notes that a window was reported, or that the platform won't take it.
func (r *Reporter) Sent(window int64) {
	r.sent[window] = true
	r.retries, r.retryAt = 0, time.Time{}
}

// SendFailed notes that a report failed and may be repeated.
func (r *Reporter) SendFailed(now time.Time) {
	r.retryAt = now.Add(min(r.cfg.MaxRetryDelay, r.cfg.RetryDelay<<min(r.retries, 10)))
	r.retries++
}
