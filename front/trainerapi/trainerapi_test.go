package trainerapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/trainerapi"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/server/sampler"
	"gotest.tools/v3/assert"
)

type fakeService struct {
	step samples.StepOpened
	pull sampler.PullRequest
}

func (s *fakeService) OpenStep(_ context.Context, _ api.TrainerID, step samples.StepOpened) error {
	s.step = step
	return step.Validate()
}

func (s *fakeService) AbandonStep(_ context.Context, t api.TrainerID, step samples.StepID, actor string) (sampler.AbandonResult, error) {
	if actor != "trainer t1" {
		return sampler.AbandonResult{}, api.Errorf(api.CodeInternal, "by %s", actor)
	}
	return sampler.AbandonResult{Offset: 5, LostSamples: []samples.SlotRef{{Step: step, Group: "g"}}}, nil
}

func (s *fakeService) Pull(_ context.Context, r sampler.PullRequest) (sampler.PullResult, error) {
	s.pull = r
	sample := samples.Sample{Text: "x", Tokens: 1, Versions: []api.WeightVersion{3}, FinishReason: "stop"}
	g := samples.Group{GroupRef: samples.GroupRef{Step: "s", Group: "g"}, Samples: []samples.Sample{sample}}
	return sampler.PullResult{FromOffset: r.Cursor, NextOffset: r.Cursor + 1, PullNumber: r.PullNumber, Groups: []samples.Group{g}}, nil
}

func (s *fakeService) TrainerState(context.Context, api.TrainerID) (samples.Report, error) {
	return samples.Report{PullNumber: 9}, nil
}

func send(s *fakeService, method, path, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	cfg := trainerapi.Config{MaxBodyBytes: 300, CallTimeout: time.Second, MaxWait: time.Second}
	trainerapi.Register(mux, cfg, s, func(w http.ResponseWriter, err error) {
		http.Error(w, string(api.CodeOf(err)), http.StatusTeapot)
	})
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func TestPull(t *testing.T) {
	s := &fakeService{}
	w := send(s, "POST", "/v1/trainers/t1/pull", `{"cursor":4,"pull":7,"max_groups":2,"weight_version":3,"wait_ms":5000}`)
	assert.Equal(t, w.Header().Get("X-Outcome"), "complete")
	assert.Equal(t, w.Body.String(), `{"from":4,"next":5,"pull":7,"groups":[{"step":"s","id":"g","samples":[`+
		`{"index":0,"text":"x","tokens":1,"versions":[3],"finish_reason":"stop"}]}],"dropped":[],"step_whole":[]}`)
	assert.DeepEqual(t, s.pull, sampler.PullRequest{Trainer: "t1", PullNumber: 7, Cursor: 4, MaxGroups: 2, KnownVersion: 3, Wait: time.Second})
}

func TestOpenStepAndTrainerState(t *testing.T) {
	s := &fakeService{}
	body := `{"customer":"c","model":"m","step":"s","groups":[{"id":"g","messages":[{"role":"user","content":"x"}],"n":2,"max_tokens":3}]}`
	assert.Equal(t, send(s, "POST", "/v1/trainers/t1/steps", body).Body.String(), `{"step":"s","due":2}`)
	assert.Equal(t, s.step.Groups[0].MaxTokens, 3)
	var state trainerapi.StateResponse
	assert.NilError(t, json.Unmarshal(send(s, "GET", "/v1/trainers/t1", "").Body.Bytes(), &state))
	assert.Equal(t, state.PullNumber, uint64(9))
}

func TestAbandonStepListsLostSamples(t *testing.T) {
	w := send(&fakeService{}, "POST", "/v1/trainers/t1/steps/s%2F1/abandon", "")
	assert.Equal(t, w.Body.String(), `{"step":"s/1","offset":5,"lost":[{"step":"s/1","group":"g","index":0}]}`)
}

func TestInvalidRequests(t *testing.T) {
	cases := []struct{ path, body, code string }{
		{"/v1/trainers/t1/steps", `{`, "invalid"},
		{"/v1/trainers/t1/steps", `{}`, "invalid"},
		{"/v1/trainers/t1/pull", `{"pull":-1}`, "invalid"},
		{"/v1/trainers/t1/pull", `{"pull":1,"wait_ms":-1}`, "invalid"},
		{"/v1/trainers/a%20b/pull", `{"pull":1}`, "invalid"},
		{"/v1/trainers/t1/pull", `"` + strings.Repeat("x", 400) + `"`, "too-large"},
	}
	for _, c := range cases {
		w := send(&fakeService{}, "POST", c.path, c.body)
		assert.Equal(t, w.Code, http.StatusTeapot, c.body)
		assert.Equal(t, strings.TrimSpace(w.Body.String()), c.code, c.body)
	}
}

func FuzzPullBody(f *testing.F) {
	f.Add(`{"cursor":4,"pull":7,"wait_ms":9223372036854775807}`)
	f.Fuzz(func(t *testing.T, body string) {
		s := &fakeService{}
		w := send(s, "POST", "/v1/trainers/t1/pull", body)
		assert.Assert(t, w.Code == http.StatusOK || w.Code == http.StatusTeapot)
		assert.Assert(t, s.pull.Wait >= 0 && s.pull.Wait <= time.Second)
	})
}
