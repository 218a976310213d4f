package quarantine_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/quarantine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestThreeStrikesAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := quarantine.Evidence{StrikeState: ledger.StrikeState{
			Alone:     rapid.IntRange(0, 2).Draw(t, "alone"),
			Shared:    rapid.IntRange(0, 50).Draw(t, "shared"),
			Upstreams: []api.UpstreamID{"a", "b", "c"},
		}}
		few := s.Alone+s.Shared < quarantine.RefusalStrikes
		now := rapid.Int64Range(0, quarantine.RefusalDuration.Milliseconds()-1).Draw(t, "now")
		assert.Equal(t, quarantine.Decide(s, now) != quarantine.Refused, few)
	})
}

func TestRefusalIsFollowedByIsolation(t *testing.T) {
	s := quarantine.Evidence{StrikeState: ledger.StrikeState{Alone: 3, Upstreams: []api.UpstreamID{"a", "b"}, LastMillis: 1000}}
	refusal, isolation := quarantine.RefusalDuration.Milliseconds(), quarantine.IsolationDuration.Milliseconds()
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Refused, "clock behind the last strike")
	assert.Equal(t, quarantine.Decide(s, 999+refusal), quarantine.Refused)
	assert.Equal(t, quarantine.Decide(s, 1000+refusal), quarantine.Isolated)
	assert.Equal(t, quarantine.Decide(s, 1000+refusal+isolation), quarantine.Unrestricted)
}

func TestStrikesOnOneUpstreamAreNotRefused(t *testing.T) {
	s := quarantine.Evidence{StrikeState: ledger.StrikeState{Alone: 5, Upstreams: []api.UpstreamID{"a"}}}
	assert.Equal(t, quarantine.Decide(s, 1), quarantine.Isolated)
}

func TestIsolationExpires(t *testing.T) {
	s := quarantine.Evidence{StrikeState: ledger.StrikeState{Shared: 2, Upstreams: []api.UpstreamID{"a", "b"}}}
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
	assert.Equal(t, quarantine.Decide(s, quarantine.IsolationDuration.Milliseconds()), quarantine.Unrestricted)
	assert.Equal(t, quarantine.Decide(quarantine.Evidence{}, 0), quarantine.Unrestricted)
}

// The daemon of the request that caused a crash may be killed before it records a
// strike, so that an unrelated request seems to have been alone, even twice.
func TestTwoStrikesAloneAreNotRefused(t *testing.T) {
	s := quarantine.Evidence{StrikeState: ledger.StrikeState{Alone: 2, Upstreams: []api.UpstreamID{"a", "b"}}}
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
}

// Upstreams that crash one after another say nothing of the requests that ran there,
// but two requests that crash upstreams don't excuse each other for good.
func TestStrikesInSeriesAreRefusedLater(t *testing.T) {
	s := quarantine.Evidence{StrikeState: ledger.StrikeState{Shared: 3, Upstreams: []api.UpstreamID{"a", "b", "c"}}, InSeries: 1}
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
	s.InSeries = 3
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
	s.Shared, s.InSeries = 4, 4
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Refused)
}

func TestCrashInSeries(t *testing.T) {
	crash := ledger.CrashRef{Upstream: "a", AtMillis: 10_000}
	series := quarantine.SeriesDuration.Milliseconds()
	second := ledger.CrashRef{Upstream: "c", AtMillis: 10_100}
	for _, c := range []struct {
		other ledger.CrashRef
		want  bool
	}{
		{ledger.CrashRef{Upstream: "b", AtMillis: 10_000 + series - 1}, true},
		{ledger.CrashRef{Upstream: "b", AtMillis: 10_000 - series + 1}, true},
		{ledger.CrashRef{Upstream: "b", AtMillis: 10_000 + series}, false},
		{ledger.CrashRef{Upstream: "b", AtMillis: 10_000 - series}, false},
		{ledger.CrashRef{Upstream: "a", AtMillis: 10_500}, false},
		{ledger.CrashRef{Upstream: "c", AtMillis: 10_500}, false},
	} {
		assert.Equal(t, quarantine.InSeries(crash, []ledger.CrashRef{second, c.other}), c.want, "%v", c.other)
	}
	assert.Assert(t, !quarantine.InSeries(crash, []ledger.CrashRef{second}))
}

// Of three crashes, two are in series: the first counted as alone, the second as shared.
func TestSeriesExcusesCrashes(t *testing.T) {
	crashes := []ledger.CrashRef{{Upstream: "a", AtMillis: 10_000}, {Upstream: "b", AtMillis: 10_300}, {Upstream: "c", AtMillis: 60_000}}
	e := quarantine.Evidence{StrikeState: ledger.StrikeState{Alone: 2, Shared: 1, Crashes: crashes}}
	e.ExcuseSeries([]ledger.CrashRef{crashes[0], crashes[2]}, []ledger.CrashRef{{Upstream: "x", AtMillis: 10_600}, {Upstream: "y", AtMillis: 10_900}})
	assert.Equal(t, e.InSeries, 2)
	assert.Equal(t, e.Alone, 1)
	assert.Equal(t, e.Shared, 2)
}
