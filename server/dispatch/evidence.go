package dispatch

import (
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quarantine"
)

// strikesOf returns the logged strikes of a fingerprint plus the unlogged ones.
func (h *handler) strikesOf(f api.Fingerprint) quarantine.Evidence {
	sum := quarantine.Evidence{StrikeState: h.state.Strikes[f]}
	sum.Crashes = slices.Clone(sum.Crashes)
	var alone []ledger.CrashRef
	for _, c := range sum.Crashes {
		if h.isLoggedAlone(c) {
			alone = append(alone, c)
		}
	}
	for _, s := range h.unloggedStrikes {
		if s.Fingerprint != f {
			continue
		}
		crash := ledger.CrashRef{Upstream: s.Upstream, AtMillis: s.AtMillis}
		sum.Crashes = append(sum.Crashes, crash)
		if s.Alone && !h.hasOtherStrike(s) {
			sum.Alone++
			alone = append(alone, crash)
		} else {
			sum.Shared++
		}
		if !slices.Contains(sum.Upstreams, s.Upstream) {
			sum.Upstreams = append(slices.Clone(sum.Upstreams), s.Upstream)
		}
		sum.LastMillis = max(sum.LastMillis, s.AtMillis)
	}
	if len(sum.Crashes) > 0 {
		sum.ExcuseSeries(alone, h.crashesWithout(f, sum.Crashes))
	}
	return sum
}

// isLoggedAlone reports whether the log has only one strike for a crash, which was
// reported as alone.
func (h *handler) isLoggedAlone(c ledger.CrashRef) bool {
	return slices.ContainsFunc(h.state.Crashes[c.Upstream], func(k ledger.Crash) bool { return k.TimeMillis == c.AtMillis && k.Alone })
}

// crashesWithout returns the known crashes in which no request of a fingerprint took
// part; own are those in which one did.
func (h *handler) crashesWithout(f api.Fingerprint, own []ledger.CrashRef) []ledger.CrashRef {
	var others []ledger.CrashRef
	for id, list := range h.state.Crashes {
		for _, k := range list {
			if !slices.Contains(k.Fingerprints, f) {
				others = append(others, ledger.CrashRef{Upstream: id, AtMillis: k.TimeMillis})
			}
		}
	}
	for _, s := range h.unloggedStrikes {
		if s.Fingerprint != f {
			others = append(others, ledger.CrashRef{Upstream: s.Upstream, AtMillis: s.AtMillis})
		}
	}
	return slices.DeleteFunc(others, func(o ledger.CrashRef) bool {
		return slices.ContainsFunc(own, func(c ledger.CrashRef) bool {
			return c.Upstream == o.Upstream && ledger.SameCrash(c.AtMillis, o.AtMillis)
		})
	})
}

// hasOtherStrike reports whether a request with another fingerprint was part of the
// same crash, according to the unlogged strikes.
func (h *handler) hasOtherStrike(s unloggedStrike) bool {
	return slices.ContainsFunc(h.unloggedStrikes, func(o unloggedStrike) bool {
		return o.Upstream == s.Upstream && o.Fingerprint != s.Fingerprint && ledger.SameCrash(o.AtMillis, s.AtMillis)
	})
}
