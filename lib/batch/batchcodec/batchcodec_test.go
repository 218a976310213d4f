package batchcodec

import (
	"errors"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

var records = []batch.Record{
	&batch.JobAccepted{Job: batch.Job{ID: "j", Host: "h", Model: "m", MinVersion: 3, Items: []batch.Item{{ID: "i", Body: batch.Chunk{Part: 2, First: 1 << 40, Count: 1, Bytes: 2}, Fields: []batch.Field{{Name: "n", Value: "v"}}}}}},
	&batch.JobEnded{ID: "j"},
	&batch.TextAdded{Job: "j", Item: "i", Run: "r", Start: 2, From: 4, Events: 2, Chunk: batch.Chunk{Part: 3, First: 7, Count: 1, Bytes: 9}, Versions: []api.WeightVersion{3}, Done: true},
	&batch.ItemFailed{Job: "j", Item: "i", Status: 500},
	&batch.ItemExpired{Job: "j", Item: "i"},
	&batch.ItemMoved{Job: "j", Item: "i", From: "u"},
	&batch.DaemonAlive{Daemon: "d", Starts: 5, Config: 6},
	&batch.DaemonLeft{Daemon: "d"},
	&batch.LeaseTaken{Upstream: "u", Daemon: "d", Previous: 9, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 2}},
	&batch.UpstreamGone{Upstream: "u", Daemon: "d"},
	&batch.UpstreamChanged{Upstream: "u", Daemon: "d", Condition: batch.ConditionSlow, Versions: map[api.ModelName]api.WeightVersion{"m": 2}},
	&batch.PaceMeasured{Upstream: "u", Daemon: "d", Micros: 39000},
	&batch.RequestCrashed{Content: 1 << 63, Lost: 3, Process: "d/1"},
}

func TestEveryRecordIsDecodedAsItWas(t *testing.T) {
	kinds := make(map[byte]bool)
	for _, r := range records {
		data, err := Encode(r)
		assert.NilError(t, err)
		assert.Assert(t, !kinds[data[0]], "kind %d twice", data[0])
		kinds[data[0]] = true
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, r)
	}
	assert.Equal(t, len(kinds), len(decoders))
}

func FuzzDecode(f *testing.F) {
	for _, r := range records {
		data, err := Encode(r)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		var format *FormatError
		assert.Assert(t, (err == nil) == (r != nil))
		assert.Assert(t, err == nil || errors.As(err, &format))
		if err == nil {
			batch.New().Apply(1, r) // whatever it says, the fold must not fail
		}
	})
}
