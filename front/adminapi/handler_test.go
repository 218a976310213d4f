package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/ledger"
)

type fakeService struct {
	state   ledger.State
	verdict ledger.Verdict
	err     error
	body    api.RecordBody
	actor   string
	from    api.Offset
	limit   int
}

func newFakeService() *fakeService {
	return &fakeService{
		state: ledger.State{
			AppliedOffset: 9, Plans: &api.PlanList{}, PlansRevision: 3, Usage: &api.UsageList{}, UsageRevision: 4,
			Marks:   map[api.UpstreamID]ledger.MarkState{"u2": {Mark: api.MarkDraining, Revision: 8}},
			Strikes: map[api.Fingerprint]ledger.StrikeState{0xab: {Alone: 2}},
		},
		verdict: ledger.Verdict{ID: "r1", Offset: 10},
	}
}

func (f *fakeService) State() *ledger.State { return &f.state }

func (f *fakeService) Propose(_ context.Context, b api.RecordBody, actor string) (ledger.Verdict, error) {
	f.body, f.actor = b, actor
	return f.verdict, f.err
}

func (f *fakeService) Status(context.Context) Status { return Status{Daemon: "d1", ConfigOffset: 9} }

func (f *fakeService) Audit(_ context.Context, from api.Offset, limit int) ([]AuditEntry, error) {
	f.from, f.limit = from, limit
	return []AuditEntry{{Offset: from, Verdict: VerdictInForce}}, f.err
}

func call(f *fakeService, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set(HeaderOperator, "hana")
	rec := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(rec, req)
	return rec
}

func TestChangesAreProposed(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		want               api.RecordBody
	}{
		{
			"PUT", PathPlanList, `{"base":3,"list":{"plans":[{"name":"p"}]}}`,
			api.PublishPlanList{Base: 3, List: api.PlanList{Plans: []api.Plan{{Name: "p"}}}},
		},
		{"PUT", PathUsageList, `{"base":0,"list":{}}`, api.PublishUsageList{}},
		{
			"POST", PathUpstreams + "u1/mark", `{"base":0,"mark":"draining"}`,
			api.MarkUpstream{Upstream: "u1", Mark: api.MarkDraining},
		},
		{"POST", PathWeights, `{"model":"m","version":2}`, api.AnnounceWeights{Model: "m", Version: 2}},
		{"POST", PathQuarantine + "ab/lift", ``, api.LiftQuarantine{Fingerprint: 0xab}},
	} {
		f := newFakeService()
		rec := call(f, c.method, c.path, c.body)
		assert.Equal(t, rec.Code, http.StatusOK, rec.Body.String())
		assert.DeepEqual(t, f.body, c.want)
		assert.Equal(t, f.actor, "hana")
		var got ChangeResponse
		assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &got))
		assert.Equal(t, got, ChangeResponse{RecordID: "r1", Revision: 10})
	}
}

func TestInvalidRequestsAreNotProposed(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{"PUT", PathPlanList, `{"base":3,"list":{"plans":[{"name":""}]}}`},
		{"PUT", PathPlanList, `{"list":{}}`},
		{"PUT", PathPlanList, `{"base":3,"list":{},"extra":1}`},
		{"PUT", PathPlanList, `{"base":3,"li`},
		{"PUT", PathPlanList, `{"base":3,"list":{}} {}`},
		{"PUT", PathUsageList, `{"base":3}`},
		{"POST", PathUpstreams + "u1/mark", `{"base":0,"mark":"gone"}`},
		{"POST", PathWeights, `{"model":"m","version":0}`},
		{"POST", PathQuarantine + "xyz/lift", ``},
		{"GET", PathAudit + "?limit=0", ``},
		{"GET", PathAudit + "?from=x", ``},
	} {
		f := newFakeService()
		rec := call(f, c.method, c.path, c.body)
		assert.Equal(t, rec.Code, http.StatusBadRequest, c.body)
		assert.Equal(t, rec.Header().Get(errmap.HeaderOutcome), "not-run")
		assert.Assert(t, f.body == nil)
	}
}

func TestFailureOutcomes(t *testing.T) {
	const body = `{"model":"m","version":2}`
	for _, c := range []struct {
		err     error
		verdict error
		status  int
		outcome string
	}{
		{api.Errorf(api.CodeLogUnavailable, "down"), nil, 503, "not-run"},
		{api.Errorf(api.CodeUnknownResult, "lost"), nil, 504, "unknown"},
		{context.DeadlineExceeded, nil, 500, "unknown"},
		{nil, api.Errorf(api.CodeStaleVersion, "1 is in force"), 409, "not-run"},
	} {
		f := newFakeService()
		f.err, f.verdict.Err = c.err, c.verdict
		rec := call(f, "POST", PathWeights, body)
		assert.Equal(t, rec.Code, c.status)
		assert.Equal(t, rec.Header().Get(errmap.HeaderOutcome), c.outcome)
	}
}

func TestGetRequests(t *testing.T) {
	f := newFakeService()
	assert.Equal(t, call(f, "GET", PathPlanList, "").Body.String(),
		`{"revision":3,"list":{"plans":null,"customers":null}}`+"\n")
	assert.Equal(t, call(f, "GET", PathAudit+"?from=5&limit=7", "").Code, http.StatusOK)
	assert.Equal(t, f.from, api.Offset(5))
	assert.Equal(t, f.limit, 7)
	var v StateView
	assert.NilError(t, json.Unmarshal(call(f, "GET", PathState, "").Body.Bytes(), &v))
	assert.Equal(t, v.Mark("u2"), f.state.Marks["u2"])
	assert.Equal(t, v.Mark("u1").Revision, api.Revision(0))
	assert.Equal(t, v.Strikes[0].Fingerprint, "ab")
	assert.Equal(t, call(f, "GET", PathStatus, "").Code, http.StatusOK)
	assert.Equal(t, call(f, "GET", PathUsageList, "").Code, http.StatusOK)
}

func TestOperatorHeaderIsRequired(t *testing.T) {
	f := newFakeService()
	req := httptest.NewRequest("POST", PathWeights, strings.NewReader(`{"model":"m","version":2}`))
	rec := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(rec, req)
	assert.Equal(t, rec.Code, http.StatusBadRequest)
	assert.Assert(t, f.body == nil)
}
