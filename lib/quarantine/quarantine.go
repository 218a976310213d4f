// Package quarantine decides how a request whose fingerprint was part of
// crashes may run. It is pure.
package quarantine

import (
	"time"

	"dotterelmount.example/lib/ledger"
)

const (
	// RefusalStrikes is the number of crashes, alone or not, that condemns a
	// fingerprint, if they hit more than one upstream: a single upstream may
	// itself be at fault. A crash counts the same whether its strike is the only
	// one: the daemon of the guilty request may have died before it wrote one.
	// An innocent request is cleared when it completes, which a guilty one
	// never does.
	RefusalStrikes = 3
	// RefusalDuration is how long a condemned fingerprint is refused after its
	// last strike.
	RefusalDuration = 10 * time.Minute
	// IsolationDuration is how long a suspect runs alone after its last strike, and
	// after a condemnation ended.
	IsolationDuration = 2 * time.Minute
)

// Decision says how a fingerprint may run.
type Decision uint8

// The verdicts. A suspect runs alone, on an upstream with nothing else in
// flight, so that an innocent one completes there and a guilty one earns a
// strike that blames nobody else.
const (
	Unrestricted Decision = iota
	Isolated
	Refused
)

// String returns the verdict's name in logs and metrics.
func (v Decision) String() string {
	switch v {
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

// Decide returns the verdict on a fingerprint with strikes s at nowMillis
// (Unix milliseconds). A last strike in the future, which clocks that differ
// produce, counts as one of this moment.
func Decide(s ledger.StrikeState, nowMillis int64) Decision {
	if s.Alone == 0 && s.Shared == 0 {
		return Unrestricted
	}
	age := max(0, nowMillis-s.LastMillis)
	suspectUntil := IsolationDuration.Milliseconds()
	if s.Alone+s.Shared >= RefusalStrikes && len(s.Upstreams) > 1 {
		if age < RefusalDuration.Milliseconds() {
			return Refused
		}
		suspectUntil += RefusalDuration.Milliseconds()
	}
	if age < suspectUntil {
		return Isolated
	}
	return Unrestricted
}
