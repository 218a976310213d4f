// Package quarantine decides how requests may run whose fingerprint was involved
// in upstream crashes. It does no I/O and takes the current time as an argument.
package quarantine

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

const (
	// RefusalStrikes is the number of strikes at which a fingerprint is refused if
	// they occurred on more than one upstream; a single upstream may itself be
	// faulty. A strike of a request that was alone on the upstream counts the same
	// as a shared one: the request that caused the crash may have run there as
	// well, if its daemon died before it recorded a strike. The strikes of a
	// fingerprint are cleared when one of its requests completes, which a request
	// that crashes upstreams never does.
	RefusalStrikes = 3
	// RefusalDuration is how long a fingerprint is refused after its last strike.
	RefusalDuration = 10 * time.Minute
	// IsolationDuration is how long a fingerprint runs isolated after its last
	// strike, or after the end of its refusal.
	IsolationDuration = 2 * time.Minute
	// SeriesDuration is the time within which crashes of SeriesOthers other upstreams
	// make a crash one of a series with one cause.
	SeriesDuration = 2 * time.Second
	SeriesOthers   = 2
	// MaxExcused bounds the strikes that aren't counted because they were in series:
	// requests that crash upstreams at the same time would otherwise excuse each other
	// for good.
	MaxExcused = 1
)

// Evidence is what is known against a fingerprint: its strikes and how many of them
// were in series. Strikes in series count as shared.
type Evidence struct {
	ledger.StrikeState
	InSeries int
}

// ExcuseSeries counts the crashes that were in series. Those that were counted as alone,
// which are listed in alone, count as shared. others lists the crashes without a request
// of the fingerprint.
func (e *Evidence) ExcuseSeries(alone, others []ledger.CrashRef) {
	for _, c := range e.Crashes {
		if !InSeries(c, others) {
			continue
		}
		e.InSeries++
		if e.Alone > 0 && slices.Contains(alone, c) {
			e.Alone--
			e.Shared++
		}
	}
}

// InSeries reports whether a crash under a fingerprint was one of a series: several
// other upstreams crashed at about the same time without a request of the fingerprint,
// so that the requests that ran are not likely to be the cause. others lists the
// crashes without one.
func InSeries(crash ledger.CrashRef, others []ledger.CrashRef) bool {
	var near []api.UpstreamID
	for _, o := range others {
		apart := max(o.AtMillis-crash.AtMillis, crash.AtMillis-o.AtMillis)
		if o.Upstream != crash.Upstream && apart < SeriesDuration.Milliseconds() && !slices.Contains(near, o.Upstream) {
			near = append(near, o.Upstream)
		}
	}
	return len(near) >= SeriesOthers
}

// Decision says how requests with a fingerprint may run.
type Decision uint8

// Decisions. An isolated request runs on an upstream without other requests in
// flight, so that a crash can be attributed to it alone.
const (
	Unrestricted Decision = iota
	Isolated
	Refused
)

// String returns the decision's name in logs and metrics, which is stable and
// differs from the constant's.
func (d Decision) String() string {
	switch d {
	case Unrestricted:
		return "free"
	case Isolated:
		return "solo"
	case Refused:
		return "condemned"
	default:
		return "invalid"
	}
}

// Decide returns the decision for a fingerprint with evidence s at nowMillis (Unix
// milliseconds). A last strike in the future, which is possible as clocks differ
// between daemons, is treated as one at nowMillis. At most MaxExcused strikes in series
// aren't counted.
func Decide(s Evidence, nowMillis int64) Decision {
	if s.Alone == 0 && s.Shared == 0 {
		return Unrestricted
	}
	age := max(0, nowMillis-s.LastMillis)
	isolatedFor := IsolationDuration.Milliseconds()
	if s.Alone+s.Shared-min(s.InSeries, MaxExcused) >= RefusalStrikes && len(s.Upstreams) > 1 {
		if age < RefusalDuration.Milliseconds() {
			return Refused
		}
		isolatedFor += RefusalDuration.Milliseconds()
	}
	if age < isolatedFor {
		return Isolated
	}
	return Unrestricted
}
