package ledger_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
	"gotest.tools/v3/assert"
)

// settledClaims returns a state machine with n claims settled with short responses.
func settledClaims(tb testing.TB, n int) *ledger.ClaimsFSM {
	c := ledger.NewClaimsFSM()
	for i := range n {
		key := fmt.Sprintf("slip-%032d", i)
		id := api.RecordID(fmt.Sprintf("0190aaaa-0000-7000-8000-%012d", i))
		claim := api.Claim{Customer: "library-app", Key: key, Fingerprint: 1, Holder: "daemon-12"}
		v := c.Apply(api.Offset(2*i+1), int64(i), api.Record{ID: id, Body: claim})
		assert.NilError(tb, v.Err)
		response := fmt.Appendf(nil, `{"slip":"slip-%d","issued":true}`, i)
		settle := api.Settle{
			Customer: "library-app", Key: key, Claim: id, Outcome: api.OutcomeComplete, Status: 200,
			Response: response, ResponseBytes: len(response), ContentType: "application/json",
		}
		v = c.Apply(api.Offset(2*i+2), int64(i), api.Record{ID: id + "s", Body: settle})
		assert.NilError(tb, v.Err)
	}
	return c
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // a second collection empties sync.Pool
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkClaimsMemory reports the size of a remembered claim in memory and in a
// checkpoint, in bytes.
func BenchmarkClaimsMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heap()
		c := settledClaims(b, n)
		b.ReportMetric((heap()-before)/n, "B/claim")
		data, err := json.Marshal(c.Image())
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data))/n, "checkpoint-B/claim")
		runtime.KeepAlive(c)
	}
}
