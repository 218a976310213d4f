package settings

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const minimal = `daemon: d1
data_centre: sapporo-a
listen: {callers: "127.0.0.1:8080", peers: "127.0.0.1:8081"}
platform: {log: "127.0.0.1:9000"}
`

func TestParseFillsInDefaults(t *testing.T) {
	s, err := Parse([]byte(minimal + "dispatch:\n  routing: two-choice\n  progress_deadline: 2s\n  weights:\n    rollout: 3\n"))
	assert.NilError(t, err)
	want := Defaults().Dispatch
	want.Routing, want.ProgressDeadline, want.Weights.Rollout = "two-choice", 2*time.Second, 3
	assert.DeepEqual(t, s.Dispatch, want)
	assert.DeepEqual(t, s.Limits, Defaults().Limits)
	assert.Equal(t, s.Daemon, "d1")
}

func TestErrorsNameKeyValueAndAllowed(t *testing.T) {
	for _, c := range []struct{ yaml, key, value, allowed string }{
		{
			minimal + "dispatch:\n  routing: foo\n", "dispatch.routing", "foo",
			"affinity, two-choice, round-robin, random, least-in-flight",
		},
		{
			minimal + "dispatch:\n  routes: foo\n", "dispatch.routes", "routes",
			"carriers, queue_limit, routing, progress_deadline, default_deadline, short_tokens, short_reserve, weights",
		},
		{
			minimal + "colour: red\n", "colour", "colour",
			"daemon, data_centre, listen, platform, peers, dispatch, limits, host, fatal_invariants",
		},
		{minimal + "dispatch:\n  carriers: many\n", "dispatch.carriers", "many", "a number (int)"},
		{minimal + "dispatch:\n  carriers: 0\n", "dispatch.carriers", "0", "at least 1"},
		{minimal + "dispatch:\n  weights:\n    once: -2\n", "dispatch.weights.once", "-2", "at least 1"},
		{minimal + "limits:\n  cut_off: 1ms\n", "limits.cut_off", "1ms", "at least 100ms"},
		{minimal + "peers: [\"somewhere:1\"]\n", "peers[0]", "somewhere:1", "ip:port"},
		{minimal + "daemon: d2\n", "daemon", "daemon", "each key once"},
		{minimal + "limits:\n  cut_off: soon\n", "limits.cut_off", "soon", "a duration such as 5s or 250ms"},
		{"", "", "", "a YAML mapping"},
	} {
		_, err := Parse([]byte(c.yaml))
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%q: %v", c.yaml, err)
		assert.Equal(t, e.Key, c.key, c.yaml)
		assert.Equal(t, e.Value, c.value, c.yaml)
		assert.Equal(t, e.Allowed, c.allowed, c.yaml)
		assert.Assert(t, e.Error() != "")
	}
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	for _, text := range []string{
		"daemon: d1\n", "[1, 2]", "{", minimal + "---\ndaemon: d2\n",
		"\x00", minimal + "limits: 3\n",
	} {
		_, err := Parse([]byte(text))
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%q: %v", text, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(minimal + "dispatch:\n  routing: foo\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			var e *Error
			assert.Assert(t, errors.As(err, &e))
			return
		}
		assert.NilError(t, s.Validate())
	})
}

const hosted = `daemon: "front-1"
data_centre: "sapporo-a"
callers: "10.1.0.10:8161"
readiness: "10.1.0.10:8167"
store: "10.200.1.7:8169"
`

func TestHostedSettings(t *testing.T) {
	h, err := ParseHosted([]byte(hosted + "retention: 300s\ngrace: 8s\nlease_wait: 3000ms\n"))
	assert.NilError(t, err)
	assert.Equal(t, h.Retention, 5*time.Minute)
	assert.Equal(t, h.MaxRuns, 0)
	for _, c := range []struct{ yaml, key string }{
		{hosted + "load_share: 0\n", "load_share"},
		{hosted + "load_share: 1.5\n", "load_share"},
		{hosted + "grace: 1ms\n", "grace"},
		{hosted + "store: somewhere\n", "store"},
		{hosted + "colour: red\n", "colour"},
		{"daemon: d\n", "data_centre"},
	} {
		_, err := ParseHosted([]byte(c.yaml))
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%q: %v", c.yaml, err)
		assert.Equal(t, e.Key, c.key)
	}
}
