package ledger

import (
	"maps"
	"slices"

	"dotterelmount.example/api"
)

const (
	// CrashGroupingMillis is the time within which strikes at one upstream count as
	// one crash, in milliseconds of the daemons' clocks: the time of a probe and the
	// usual difference between clocks. An upstream takes longer to crash again.
	CrashGroupingMillis = 1000
	// logGroupingMillis is the same for strikes without a time, in milliseconds of log
	// time, which includes the delay of their records.
	logGroupingMillis = 5 * 1000
	// CrashRetentionMillis is how long crashes are remembered, so that strikes
	// delayed by a log outage join theirs, in milliseconds of log time.
	CrashRetentionMillis = 10 * 60 * 1000
	// StrikeRetentionMillis is how long strikes are remembered after the last one of a
	// fingerprint, in milliseconds of log time.
	StrikeRetentionMillis = 60 * 60 * 1000
	// maxCrashRefs bounds the crashes listed for one fingerprint.
	maxCrashRefs = 8
)

// Crash is a crash of an upstream: the time of its first strike, in Unix
// milliseconds, and the fingerprints of the requests that were running. Alone is set
// while one strike is known, which was reported as alone.
type Crash struct {
	TimeMillis   int64             `json:"time_millis"`
	Fingerprints []api.Fingerprint `json:"fingerprints"`
	Alone        bool              `json:"alone,omitempty"`
}

// CrashRef identifies a crash by its upstream and time, in Unix milliseconds.
type CrashRef struct {
	Upstream api.UpstreamID `json:"upstream"`
	AtMillis int64          `json:"at_millis"`
}

// SameCrash reports whether two strikes at one upstream belong to one crash, by the
// times at which they were noticed, in Unix milliseconds.
func SameCrash(aMillis, bMillis int64) bool {
	return max(aMillis-bMillis, bMillis-aMillis) < CrashGroupingMillis
}

// HasCrash reports whether a strike's crash is counted.
func (s *StrikeState) HasCrash(strike api.Strike) bool {
	return slices.ContainsFunc(s.Crashes, func(c CrashRef) bool {
		return c.Upstream == strike.Upstream && SameCrash(c.AtMillis, strike.AtMillis)
	})
}

// recordStrike counts a crash for a fingerprint. A daemon sees only its own
// requests, so it may report a request as alone although another daemon's request
// was part of the same crash; here both count as shared.
func (c *ConfigFSM) recordStrike(timeMillis int64, b api.Strike) {
	c.state.Strikes = c.unexpiredStrikes(timeMillis)
	c.crashes = maps.Clone(c.crashes) // snapshots share the old map
	c.expireCrashes(timeMillis)
	crash := c.crashOf(timeMillis, &b)
	if slices.Contains(crash.Fingerprints, b.Fingerprint) {
		return
	}
	if len(crash.Fingerprints) > 0 {
		if crash.Alone {
			c.shareLastStrike(crash.Fingerprints[0])
		}
		b.Alone = false
	}
	crash.Alone = b.Alone
	crash.Fingerprints = append(slices.Clone(crash.Fingerprints), b.Fingerprint)
	s := c.state.Strikes[b.Fingerprint]
	if b.Alone {
		s.Alone++
	} else {
		s.Shared++
	}
	if !slices.Contains(s.Upstreams, b.Upstream) {
		s.Upstreams = append(slices.Clone(s.Upstreams), b.Upstream)
	}
	s.Crashes = append(slices.Clone(s.Crashes), CrashRef{Upstream: b.Upstream, AtMillis: crash.TimeMillis})
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-maxCrashRefs):]
	s.LastMillis = timeMillis
	c.state.Strikes[b.Fingerprint] = s
}

// crashOf returns the crash that a strike belongs to. It adds one if the crash is not
// known yet.
func (c *ConfigFSM) crashOf(timeMillis int64, b *api.Strike) *Crash {
	at, window := b.AtMillis, int64(CrashGroupingMillis)
	if at == 0 {
		at, window = timeMillis, logGroupingMillis
	}
	list := slices.Clone(c.crashes[b.Upstream])
	i := slices.IndexFunc(list, func(k Crash) bool { return max(at-k.TimeMillis, k.TimeMillis-at) < window })
	if i < 0 {
		i = len(list)
		list = append(list, Crash{TimeMillis: at})
	}
	c.crashes[b.Upstream] = list
	return &list[i]
}

// expireCrashes forgets old crashes.
func (c *ConfigFSM) expireCrashes(nowMillis int64) {
	for id, list := range c.crashes {
		kept := slices.DeleteFunc(slices.Clone(list), func(k Crash) bool { return k.TimeMillis < nowMillis-CrashRetentionMillis })
		if len(kept) == 0 {
			delete(c.crashes, id)
		} else {
			c.crashes[id] = kept
		}
	}
}

// shareLastStrike changes one strike of a fingerprint from alone to shared, unless its
// strikes were cleared.
func (c *ConfigFSM) shareLastStrike(f api.Fingerprint) {
	s, ok := c.state.Strikes[f]
	if !ok || s.Alone == 0 {
		return
	}
	s.Alone--
	s.Shared++
	c.state.Strikes[f] = s
}

func (c *ConfigFSM) unexpiredStrikes(nowMillis int64) map[api.Fingerprint]StrikeState {
	kept := make(map[api.Fingerprint]StrikeState, len(c.state.Strikes))
	for f, s := range c.state.Strikes {
		if s.LastMillis >= nowMillis-StrikeRetentionMillis {
			kept[f] = s
		}
	}
	return kept
}
