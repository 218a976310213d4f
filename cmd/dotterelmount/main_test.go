package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/lib/ledger"
)

// fakeDaemon has applied offset 10 and accepts every change at offset 11.
type fakeDaemon struct {
	state      ledger.State
	status     adminapi.Status
	proposed   []api.RecordBody
	actor      string
	err        error
	verdictErr error
	onStatus   func(*adminapi.Status) // called before each response; may be nil
}

func (f *fakeDaemon) State() *ledger.State { return &f.state }

func (f *fakeDaemon) Propose(_ context.Context, b api.RecordBody, actor string) (ledger.Verdict, error) {
	f.proposed = append(f.proposed, b)
	f.actor = actor
	return ledger.Verdict{ID: "r", Offset: 11, Err: f.verdictErr}, f.err
}

func (f *fakeDaemon) Status(context.Context) adminapi.Status {
	if f.onStatus != nil {
		f.onStatus(&f.status)
	}
	return f.status
}

func (f *fakeDaemon) Audit(context.Context, api.Offset, int) ([]adminapi.AuditEntry, error) {
	return []adminapi.AuditEntry{{Offset: 7, Actor: "hana", Verdict: adminapi.VerdictInForce}}, nil
}

func start(t *testing.T) (*fakeDaemon, string) {
	t.Helper()
	f := &fakeDaemon{state: ledger.State{
		AppliedOffset: 10, Plans: &api.PlanList{}, PlansRevision: 3, UsageRevision: 4,
		Usage: &api.UsageList{Upstreams: []api.Upstream{
			{ID: "u1", Kind: api.KindEngine, Models: []api.ModelName{"m"}},
			{ID: "u2", Kind: api.KindEngine, Models: []api.ModelName{"m"}},
		}},
		Marks:   map[api.UpstreamID]ledger.MarkState{"u2": {Mark: api.MarkDraining, Revision: 8}},
		Weights: map[api.ModelName]ledger.WeightState{"m": {Version: 2, Revision: 9}},
		Strikes: map[api.Fingerprint]ledger.StrikeState{0xab: {Alone: 2}},
	}}
	mux := http.NewServeMux()
	mux.Handle("/v1/admin/", adminapi.NewHandler(f))
	mux.HandleFunc("GET /v1/trainers/{name}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"trainer":"` + r.PathValue("name") + `"}`))
	})
	mux.HandleFunc("POST /v1/trainers/{name}/steps/{step}/abandon", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"step":"` + r.PathValue("step") + `","offset":9,"lost":[{"step":"s","group":"g4","index":2}]}`))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	address := srv.Listener.Addr().String()
	f.status = adminapi.Status{
		Daemon: "d1", Ready: true, ConfigOffset: 10,
		Members: []adminapi.MemberStatus{{Name: "d1", Address: address, State: adminapi.MemberAlive}},
		Upstreams: []adminapi.UpstreamStatus{
			{ID: "u1", Mark: api.MarkActive, LoadedVersions: map[api.ModelName]api.WeightVersion{"m": 2}},
			{ID: "u2", Mark: api.MarkDraining, InFlight: 1},
		},
	}
	return f, address
}

func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	c := newCommand()
	c.Writer, c.ErrWriter = &out, &out
	err := c.Run(context.Background(), append([]string{"dotterelmount", "--operator", "hana"}, args...))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), exitCode(err)
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestChangesHaveBaseRevision(t *testing.T) {
	f, address := start(t)
	plans := write(t, "plans: [{name: p, staleness_bound: 1}]\n")
	for _, args := range [][]string{
		{"plan-list", "publish", plans},
		{"plan-list", "publish", "--base", "2", plans},
		{"drain", "u1"},
		{"undrain", "u2"},
		{"weights", "announce", "m", "3"},
		{"quarantine", "lift", "ab"},
	} {
		out, code := run(t, append([]string{"--daemon", address, "--output", "json"}, args...)...)
		assert.Equal(t, code, exitOK, out)
		assert.Assert(t, strings.Contains(out, `"revision":11`), out)
	}
	list := api.PlanList{Plans: []api.Plan{{Name: "p", StalenessBound: 1}}}
	assert.DeepEqual(t, f.proposed, []api.RecordBody{
		api.PublishPlanList{Base: 3, List: list},
		api.PublishPlanList{Base: 2, List: list},
		api.MarkUpstream{Upstream: "u1", Mark: api.MarkDraining},
		api.MarkUpstream{Upstream: "u2", Base: 8, Mark: api.MarkActive},
		api.AnnounceWeights{Model: "m", Version: 3},
		api.LiftQuarantine{Fingerprint: 0xab},
	})
	assert.Equal(t, f.actor, "hana")
}

func TestExitCodes(t *testing.T) {
	f, address := start(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := closed.Addr().String()
	assert.NilError(t, closed.Close())
	announce := []string{"--daemon", address, "weights", "announce", "m", "3"}
	for _, c := range []struct {
		err, verdict error
		args         []string
		code         int
	}{
		{nil, nil, announce, exitOK},
		{nil, nil, append([]string{"--daemon", unreachable}, announce...), exitOK},
		{nil, nil, []string{"no-such-command"}, exitUsage},
		{nil, nil, []string{"weights", "no-such-command"}, exitUsage},
		{nil, nil, []string{"--daemon", address, "drain"}, exitUsage},
		{nil, nil, []string{"status"}, exitUsage},
		{nil, nil, []string{"--daemon", address, "trainer", "t1", "burn", "s"}, exitUsage},
		{nil, nil, []string{"--daemon", address, "--operator", "", "trainer", "t1", "abandon", "s"}, exitUsage},
		{nil, nil, []string{"--no-such-flag", "status"}, exitUsage},
		{nil, nil, []string{"--daemon", address, "--operator", "", "drain", "u1"}, exitUsage},
		{nil, api.Errorf(api.CodeStaleVersion, "older than %d", 4), announce, exitRefused},
		{nil, nil, []string{"settings", "check", write(t, "colour: red\n")}, exitRefused},
		{nil, nil, []string{"list", "check", "usage", write(t, "usages: [{plan: p}]\n")}, exitRefused},
		{nil, nil, []string{"list", "check", "plan", write(t, "plans: []\n")}, exitOK},
		{nil, nil, []string{"--daemon", unreachable, "status"}, exitUnavailable},
		{nil, nil, []string{"--daemon", unreachable, "weights", "announce", "m", "3"}, exitUnavailable},
		{api.Errorf(api.CodeLogUnavailable, "down since %d", 1), nil, announce, exitUnavailable},
		{api.Errorf(api.CodeUnknownResult, "lost at %d", 1), nil, announce, exitUnknown},
		{nil, nil, []string{"--daemon", address, "--timeout", "50ms", "in-force", "--offset", "11"}, exitTimeout},
		{nil, nil, []string{"--daemon", address, "--timeout", "50ms", "drain", "--wait", "u2"}, exitTimeout},
	} {
		f.err, f.verdictErr = c.err, c.verdict
		out, code := run(t, c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, out)
	}
}

func TestLostResponseIsUnknown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	out, code := run(t, "--daemon", srv.Listener.Addr().String(), "weights", "announce", "m", "3")
	assert.Equal(t, code, exitUnknown, out)
}

func TestWaitFlags(t *testing.T) {
	f, address := start(t)
	statusCalls := 0
	f.onStatus = func(s *adminapi.Status) {
		if statusCalls++; statusCalls > 2 {
			s.ConfigOffset = 11
			s.Upstreams[0].LoadedVersions["m"] = 3
			s.Upstreams[1].InFlight = 0
		}
	}
	for _, args := range [][]string{
		{"drain", "--wait", "u2"},
		{"in-force", "--offset", "11"},
		{"weights", "announce", "--wait", "m", "3"},
	} {
		out, code := run(t, append([]string{"--daemon", address}, args...)...)
		assert.Equal(t, code, exitOK, out)
	}
	assert.Assert(t, statusCalls > 2)
}

func TestUnreachedDaemonsAreReported(t *testing.T) {
	f, address := start(t)
	f.status.Members = append(f.status.Members,
		adminapi.MemberStatus{Name: "d2", Address: "127.0.0.1:1", State: adminapi.MemberSuspect},
		adminapi.MemberStatus{Name: "d3", Address: "127.0.0.1:1", State: adminapi.MemberDead})
	out, code := run(t, "--daemon", address, "status")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "d2 at 127.0.0.1:1: not reached, so not known"), out)
	assert.Assert(t, strings.Contains(out, "d3: dead"), out)
	assert.Assert(t, !strings.Contains(out, "no daemon knows"), out)
	out, code = run(t, "--daemon", "127.0.0.1:2", "--daemon", address, "status")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "127.0.0.1:2: no answer, and no daemon knows it"), out)
	out, code = run(t, "--daemon", address, "--timeout", "1s", "in-force", "--offset", "10")
	assert.Equal(t, code, exitTimeout)
	assert.Assert(t, strings.Contains(out, "missing or unknown: d2"), out)
}

func TestReadCommands(t *testing.T) {
	_, address := start(t)
	for _, c := range []struct {
		want string
		args []string
	}{
		{"# revision 3", []string{"plan-list", "get"}},
		{"id: u2", []string{"usage-list", "get"}},
		{"not known", []string{"weights", "status"}},
		{`"trainer": "t1"`, []string{"trainer", "t1"}},
		{"group g4 sample 2", []string{"trainer", "t1", "abandon", "s"}},
		{"hana", []string{"audit", "--from", "5"}},
		{"ab", []string{"quarantine", "list"}},
		{`"daemon":"d1"`, []string{"--output", "json", "status"}},
	} {
		out, code := run(t, append([]string{"--daemon", address}, c.args...)...)
		assert.Equal(t, code, exitOK, out)
		assert.Assert(t, strings.Contains(out, c.want), out)
	}
}
