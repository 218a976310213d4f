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
		s := ledger.StrikeState{
			Alone:     rapid.IntRange(0, 2).Draw(t, "alone"),
			Shared:    rapid.IntRange(0, 50).Draw(t, "shared"),
			Upstreams: []api.UpstreamID{"a", "b", "c"},
		}
		few := s.Alone+s.Shared < quarantine.RefusalStrikes
		now := rapid.Int64Range(0, quarantine.RefusalDuration.Milliseconds()-1).Draw(t, "now")
		assert.Equal(t, quarantine.Decide(s, now) != quarantine.Refused, few)
	})
}

func TestRefusalIsFollowedByIsolation(t *testing.T) {
	s := ledger.StrikeState{Alone: 3, Upstreams: []api.UpstreamID{"a", "b"}, LastMillis: 1000}
	refusal, isolation := quarantine.RefusalDuration.Milliseconds(), quarantine.IsolationDuration.Milliseconds()
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Refused, "clock behind the last strike")
	assert.Equal(t, quarantine.Decide(s, 999+refusal), quarantine.Refused)
	assert.Equal(t, quarantine.Decide(s, 1000+refusal), quarantine.Isolated)
	assert.Equal(t, quarantine.Decide(s, 1000+refusal+isolation), quarantine.Unrestricted)
}

func TestStrikesOnOneUpstreamAreNotRefused(t *testing.T) {
	s := ledger.StrikeState{Alone: 5, Upstreams: []api.UpstreamID{"a"}}
	assert.Equal(t, quarantine.Decide(s, 1), quarantine.Isolated)
}

func TestIsolationExpires(t *testing.T) {
	s := ledger.StrikeState{Shared: 2, Upstreams: []api.UpstreamID{"a", "b"}}
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
	assert.Equal(t, quarantine.Decide(s, quarantine.IsolationDuration.Milliseconds()), quarantine.Unrestricted)
	assert.Equal(t, quarantine.Decide(ledger.StrikeState{}, 0), quarantine.Unrestricted)
}

// The daemon of the request that caused a crash may be killed before it records a
// strike, so that an unrelated request seems to have been alone, even twice.
func TestTwoStrikesAloneAreNotRefused(t *testing.T) {
	s := ledger.StrikeState{Alone: 2, Upstreams: []api.UpstreamID{"a", "b"}}
	assert.Equal(t, quarantine.Decide(s, 0), quarantine.Isolated)
}
