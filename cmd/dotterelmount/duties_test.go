package main

import (
	"encoding/json"
	"testing"

	"dotterelmount.example/lib/usage"
	platform "dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
)

func TestHostedDutiesAndUsage(t *testing.T) {
	s := platform.NewStore()
	defer s.Close()
	s.PutJSON("keyed.duty-metering", "metering", map[string]any{"holder": "d1", "process": "d1/1", "fence": 7, "renewal": 3, "millis": 1_700_000_000_000})
	s.Put("keyed.usage-reports", "done", []byte("41"))
	s.PutJSON("keyed.usage-reports", "42", usage.Counts{"a": 3, "b": 1})
	s.PutJSON("keyed.usage-counts", "42/d1/1", usage.Counts{"a": 4})
	s.PutJSON("keyed.usage-counts", "43/d1/2", usage.Counts{"a": 1})
	s.PutJSON("keyed.usage-counts", "43/d2/1", usage.Counts{"a": 1, "b": 5})

	out, err := runHosted(t, s.Address(), "duties")
	assert.NilError(t, err)
	var held dutiesReport
	assert.NilError(t, json.Unmarshal([]byte(out), &held))
	assert.Equal(t, len(held.Duties), 1)
	assert.Equal(t, held.Duties[0].Fence, uint64(7))
	assert.Equal(t, held.Duties[0].Renewed.UnixMilli(), int64(1_700_000_000_000))

	out, err = runHosted(t, s.Address(), "usage")
	assert.NilError(t, err)
	var got usageReport
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.DeepEqual(t, got, usageReport{Done: 41, Windows: []windowReport{
		{Window: 42, Fixed: true, Requests: 4, Counts: usage.Counts{"a": 3, "b": 1}},
		{Window: 43, Requests: 7, Counts: usage.Counts{"a": 2, "b": 5}},
	}})
}
