package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
)

// instantUpstream is an upstream that immediately responds with one token.
type instantUpstream struct{ upstream.Client }

// Generate implements upstream.Client.
func (instantUpstream) Generate(_ context.Context, _ upstream.Target, _ api.RequestID, _ api.ModelName, _ *work.Generate,
	delta func(work.Chunk) error,
) (upstream.Finish, error) {
	return upstream.Finish{Reason: "length", Tokens: 1}, delta(work.Chunk{Text: "x ", Tokens: 1, Version: 1})
}

func entryState() *ledger.State {
	c := ledger.NewConfigFSM()
	usage := api.UsageList{Usages: []api.Usage{{Plan: memberPlan, Models: []api.ModelName{model}}}}
	for i := range 12 {
		usage.Upstreams = append(usage.Upstreams, api.Upstream{
			ID: engineID(i), Kind: api.KindEngine, Address: "127.0.0.1:1", Models: []api.ModelName{model}, Window: 64,
		})
	}
	plans := api.PlanList{Plans: []api.Plan{{Name: memberPlan}}, Customers: []api.Customer{{ID: "c", Plan: memberPlan}}}
	c.Apply(1, 0, api.Record{ID: "1", Body: api.PublishPlanList{List: plans}})
	c.Apply(2, 0, api.Record{ID: "2", Body: api.PublishUsageList{List: usage}})
	return c.Snapshot()
}

// BenchmarkEntry measures the cost of a request in the daemon: decoding, queueing,
// routing among 12 upstreams and the response, without network.
func BenchmarkEntry(b *testing.B) {
	state := entryState()
	d, err := dispatch.Start(duty.NewSystem(nil), instantUpstream{}, dispatch.Config{
		Workers: 64, RingSize: 4096, QueueLimit: 512, Routing: "affinity", ProgressDeadline: time.Second,
		ShortTokens: 64, ShortReserve: 0.25, LaneWeights: [api.LaneCount]int{8, 4, 1}, RolloutShare: 0.5,
		Now: time.Now, Rand: rand.IntN,
	}, state)
	assert.NilError(b, err)
	var ids atomic.Int64
	mux := http.NewServeMux()
	httpapi.Register(mux, httpapi.Deps{
		Submitter: d, State: func() *ledger.State { return state }, Ready: func() error { return nil },
		NewID: func() api.RequestID { return api.RequestID(strconv.FormatInt(ids.Add(1), 10)) },
		Now:   time.Now, MaxBodyBytes: 1 << 20, DefaultDeadline: time.Minute,
	})
	const body = `{"model":"coach","messages":[{"role":"user","content":"hello"}],"max_tokens":1}`
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			req.Header.Set(httpapi.HeaderCustomer, "c")
			res := httptest.NewRecorder()
			mux.ServeHTTP(res, req)
			if res.Code != http.StatusOK {
				b.Errorf("status %d: %s", res.Code, res.Body)
			}
		}
	})
	assert.NilError(b, d.Stop(context.Background()))
}
