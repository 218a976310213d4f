// Package quarantine decides how a request whose fingerprint was part of
// crashes may run. It is pure.
package quarantine

import (
	"time"

	"dotterelmount.example/lib/ledger"
)

const (
	// Strikes is the number of crashes, alone or not, that condemns a
	// fingerprint, if they hit more than one upstream: a single upstream may
	// itself be at fault. A crash counts the same whether its strike is the only
	// one: the daemon of the guilty request may have died before it wrote one.
	// An innocent request is cleared when it completes, which a guilty one
	// never does.
	Strikes = 3
	// CondemnedTime is how long a condemned fingerprint is refused after its
	// last strike.
	CondemnedTime = 10 * time.Minute
	// SoloTime is how long a suspect runs alone after its last strike, and
	// after a condemnation ended.
	SoloTime = 2 * time.Minute
)

// Verdict says how a fingerprint may run.
type Verdict uint8

// The verdicts. A suspect runs alone, on an upstream with nothing else in
// flight, so that an innocent one completes there and a guilty one earns a
// strike that blames nobody else.
const (
	Free Verdict = iota
	Solo
	Condemned
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Free:
		return "free"
	case Solo:
		return "solo"
	case Condemned:
		return "condemned"
	default:
		return "invalid"
	}
}

// Decide returns the verdict on a fingerprint with strikes s at nowMillis
// (Unix milliseconds). A last strike in the future, which clocks that differ
// produce, counts as one of this moment.
func Decide(s ledger.StrikeState, nowMillis int64) Verdict {
	if s.Alone == 0 && s.Shared == 0 {
		return Free
	}
	age := max(0, nowMillis-s.LastMillis)
	suspectUntil := SoloTime.Milliseconds()
	if s.Alone+s.Shared >= Strikes && len(s.Upstreams) > 1 {
		if age < CondemnedTime.Milliseconds() {
			return Condemned
		}
		suspectUntil += CondemnedTime.Milliseconds()
	}
	if age < suspectUntil {
		return Solo
	}
	return Free
}
