package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/access"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/explain"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/platform/store"
	platform "dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

func runHosted(t *testing.T, address string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := newCommand()
	c.Writer = &out
	err := c.Run(t.Context(), append([]string{"dotterelmount"}, append([]string{"--output", "json", "hosted", "--store", address}, args...)...))
	return out.String(), err
}

func TestHostedReports(t *testing.T) {
	s := platform.NewStore()
	defer s.Close()
	var parts [][]byte
	for _, r := range []batch.Record{
		&batch.DaemonAlive{Daemon: "d1", StartMillis: 5, ConfigVersion: 7},
		&batch.LeaseAcquired{Upstream: "u1", Service: "s", Daemon: "d1", Slots: 2, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 3}},
		&batch.JobAccepted{Job: batch.Job{ID: "j1", Service: "s", Model: "m", MaxAttempts: 3, Items: []batch.Item{{ID: "a"}, {ID: "b"}, {ID: "c"}}}},
		&batch.TextAdded{Job: "j1", Item: "a", EventCount: 1, Versions: []api.WeightVersion{3}, Done: true},
		&batch.ItemExpired{Job: "j1", Item: "b"},
		&batch.JobEnded{ID: "j1"},
	} {
		data, err := batchcodec.Encode(r)
		assert.NilError(t, err)
		parts = append(parts, journal.Split(data, 1<<20)...)
	}
	_, err := store.New(s.Address()).Partition(replay.Topic, 0).Append(t.Context(), journal.Sequence{Producer: "test", Number: 1}, parts)
	assert.NilError(t, err)

	out, err := runHosted(t, s.Address(), "jobs", "--missing")
	assert.NilError(t, err)
	var jobs jobsReport
	assert.NilError(t, json.Unmarshal([]byte(out), &jobs))
	assert.Equal(t, len(jobs.Jobs), 1)
	assert.Equal(t, jobs.Jobs[0].Completed, 1)
	assert.DeepEqual(t, jobs.Jobs[0].Errored, []batch.ItemID{"b"})
	assert.DeepEqual(t, jobs.Jobs[0].Open, []batch.ItemID{"c"})

	out, err = runHosted(t, s.Address(), "upstreams")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, `"holder":"d1"`) && strings.Contains(out, `"versions":{"m":3}`), out)
	out, err = runHosted(t, s.Address(), "daemons")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, `"config":7`), out)
	out, err = runHosted(t, s.Address(), "audit", "--job", "j1")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(out, `"offset"`), 4, out)
}

func TestHostedRequiresAvailableStore(t *testing.T) {
	_, err := runHosted(t, "", "jobs")
	assert.Equal(t, exitCode(err), exitUsage)
	s := platform.NewStore()
	defer s.Close()
	s.SetMode(platform.ModeBusy)
	_, err = runHosted(t, s.Address(), "jobs")
	assert.Equal(t, exitCode(err), exitUnavailable, "%v", err)
}

func TestHostedKeys(t *testing.T) {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == access.ReportPath)
		x := access.NewIndex([]routes.Customer{{Name: "c1", Keys: []string{"secret"}}, {Name: "c2", Keys: []string{"secret"}}})
		assert.Check(t, json.NewEncoder(w).Encode(access.Report{Daemon: "d1", ConfigVersion: 7, Required: true, Customers: x.Report(), Ignored: x.Ignored()}))
	}))
	defer daemon.Close()
	address := strings.TrimPrefix(daemon.URL, "http://")
	for _, format := range []string{"json", "text"} {
		var out bytes.Buffer
		c := newCommand()
		c.Writer = &out
		assert.NilError(t, c.Run(t.Context(), []string{"dotterelmount", "--output", format, "hosted", "keys", "--metrics", address, "--metrics", address}))
		assert.Equal(t, strings.Count(out.String(), "c1, which")+strings.Count(out.String(), "c2, which"), 2, out.String())
		assert.Assert(t, strings.Contains(out.String(), access.NewKey("secret").Fingerprint()) && !strings.Contains(out.String(), "secret"), out.String())
	}
	daemon.Close()
	err := newCommand().Run(t.Context(), []string{"dotterelmount", "hosted", "keys", "--metrics", address})
	assert.Equal(t, exitCode(err), exitUnavailable, "%v", err)
}

func TestHostedExplain(t *testing.T) {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == explain.Path && r.URL.Query().Get("customer") == "c1" && r.URL.Query().Get("path") == "/p/1")
		assert.Check(t, json.NewEncoder(w).Encode(explain.Report{
			Daemon: "d1", Route: "r1", Decision: explain.Decision{Outcome: explain.Waits, To: "u1", WaitSeconds: 0.25, Candidates: []explain.Candidate{{ID: "u1", State: "at its limit"}}},
		}))
	}))
	defer daemon.Close()
	var out bytes.Buffer
	c := newCommand()
	c.Writer = &out
	address := strings.TrimPrefix(daemon.URL, "http://")
	assert.NilError(t, c.Run(t.Context(), []string{"dotterelmount", "hosted", "explain", "--metrics", address, "--host", "h", "--path", "/p/1", "--customer", "c1"}))
	for _, want := range []string{"waits to u1, in 0.250 s", "at its limit", "route r1"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}
