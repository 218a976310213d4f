package upgrade

import (
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

const silence = 40 * time.Second

var now = time.Unix(1000, 0)

func input(daemons map[api.DaemonID]batch.Daemon, silentFor map[api.DaemonID]time.Duration, followed time.Duration) Input {
	in := Input{Daemons: daemons, LastRenewals: make(map[api.DaemonID]time.Time), Now: now}
	for id := range daemons {
		in.LastRenewals[id] = now.Add(-silentFor[id])
	}
	if followed > 0 {
		in.FollowedSince = now.Add(-followed)
	}
	return in
}

// Guards against records that daemons of an older build skip: the replicas of both builds
// would differ.
func TestLevelIsInForceOnlyWhenAllLiveDaemonsReadIt(t *testing.T) {
	newer, older, sure := batch.Daemon{RecordLevel: 1}, batch.Daemon{}, batch.Daemon{RecordLevel: 1, LevelInForce: 1}
	for name, c := range map[string]struct {
		daemons   map[api.DaemonID]batch.Daemon
		silentFor map[api.DaemonID]time.Duration
		followed  time.Duration // 0: since the first record
		want      int
	}{
		"all read it":                         {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": newer}, want: 1},
		"one does not":                        {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": older}},
		"one does not and is silent":          {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": older}, silentFor: map[api.DaemonID]time.Duration{"b": silence - 1}},
		"one does not and is gone":            {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": older}, silentFor: map[api.DaemonID]time.Duration{"b": silence}, want: 1},
		"a later build reads more":            {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": {RecordLevel: 5, LevelInForce: 5}}, want: 1},
		"history began before this daemon":    {daemons: map[api.DaemonID]batch.Daemon{"a": newer}, followed: silence - 1},
		"followed long enough":                {daemons: map[api.DaemonID]batch.Daemon{"a": newer}, followed: silence, want: 1},
		"another daemon knows all":            {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": sure}, followed: 1, want: 1},
		"an old daemon came after that":       {daemons: map[api.DaemonID]batch.Daemon{"a": sure, "b": sure, "c": older}, followed: 1},
		"one that is gone knew the level":     {daemons: map[api.DaemonID]batch.Daemon{"a": newer, "b": sure}, silentFor: map[api.DaemonID]time.Duration{"b": time.Hour}, followed: 1, want: 1},
		"no renewal read yet, from the start": {want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Config{Silence: silence}.LevelInForce(1, input(c.daemons, c.silentFor, c.followed)), c.want)
		})
	}
}
