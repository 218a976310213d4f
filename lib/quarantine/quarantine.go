// Package quarantine decides how requests may run whose fingerprint was involved
// in upstream crashes. It does no I/O and takes the current time as an argument.
package quarantine

import (
	"time"

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
)

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

// Decide returns the decision for a fingerprint with strikes s at nowMillis (Unix
// milliseconds). A last strike in the future, which is possible as clocks differ
// between daemons, is treated as one at nowMillis.
func Decide(s ledger.StrikeState, nowMillis int64) Decision {
	if s.Alone == 0 && s.Shared == 0 {
		return Unrestricted
	}
	age := max(0, nowMillis-s.LastMillis)
	isolatedFor := IsolationDuration.Milliseconds()
	if s.Alone+s.Shared >= RefusalStrikes && len(s.Upstreams) > 1 {
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
