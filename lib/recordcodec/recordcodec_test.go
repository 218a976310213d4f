package recordcodec_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/recordcodec"
	"gotest.tools/v3/assert"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	bodies := []api.RecordBody{
		api.PublishPlanList{Base: 3, List: api.PlanList{Plans: []api.Plan{{Name: "p", StalenessBound: 2}}}},
		api.PublishUsageList{Base: 4, List: api.UsageList{Upstreams: []api.Upstream{{ID: "u", Kind: api.KindPlain, Window: 3}}}},
		api.MarkUpstream{Base: 1, Upstream: "u", Mark: api.MarkDraining},
		api.AnnounceWeights{Model: "m", Version: 9},
		api.Strike{Fingerprint: 77, Upstream: "u", Alone: true, AtMillis: 5},
		api.LiftQuarantine{Fingerprint: 77},
		api.Claim{Customer: "c", Key: "k", Holder: "d"},
		api.Settle{Customer: "c", Key: "k", Claim: "x", Outcome: api.OutcomeComplete, Status: 200, Response: []byte("a")},
		api.Checkpoint{AppliedOffset: 12, State: []byte("{}")},
	}
	for _, b := range bodies {
		want := api.Record{ID: "id", Actor: "op", AppendedBy: "d", CreatedMillis: 5, Body: b}
		payload, err := recordcodec.Encode(want)
		assert.NilError(t, err)
		got, err := recordcodec.Decode("id", payload)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","body":{"key":"k"}}`))
	f.Add([]byte(`{"kind":"checkpoint","body":{"through":1}}`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		rec, err := recordcodec.Decode("id", payload)
		if err != nil {
			assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
			return
		}
		_, err = recordcodec.Encode(rec)
		assert.NilError(t, err)
	})
}
