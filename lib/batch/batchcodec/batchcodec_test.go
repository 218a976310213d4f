package batchcodec

import (
	"errors"
	"fmt"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"gotest.tools/v3/assert"
)

var records = []batch.Record{
	&batch.JobAccepted{Job: batch.Job{ID: "j", Host: "h", Model: "m", MinVersion: 3, Items: []batch.Item{{ID: "i", Body: batch.ChunkRef{Partition: 2, FirstOffset: 1 << 40, Records: 1, Bytes: 2}, Headers: []batch.HeaderField{{Name: "n", Value: "v"}}}}}},
	&batch.JobAccepted{Job: batch.Job{ID: "s", Items: []batch.Item{{ID: "i", Scorer: &batch.Scorer{ID: "r", Host: "h", Path: "/p?q", Body: batch.ChunkRef{Records: 1, Bytes: 4}, MaxAttempts: 4}}}}},
	&batch.JobEnded{ID: "j"},
	&batch.TextAdded{Job: "j", Item: "i", RunID: "r", RunStart: 2, FirstEvent: 4, EventCount: 2, Chunk: batch.ChunkRef{Partition: 3, FirstOffset: 7, Records: 1, Bytes: 9}, Versions: []api.WeightVersion{3}, Software: "v1", Done: true},
	&batch.ItemFailed{Job: "j", Item: "i", Status: 500},
	&batch.ItemExpired{Job: "j", Item: "i"},
	&batch.ItemMoved{Job: "j", Item: "i", FromUpstream: "u"},
	&batch.DaemonAlive{Daemon: "d", StartMillis: 5, ConfigVersion: 6, RecordLevel: 1, LevelInForce: 1},
	&batch.DaemonLeft{Daemon: "d"},
	&batch.LeaseAcquired{Upstream: "u", Daemon: "d", PreviousLease: 9, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 2}},
	&batch.UpstreamRemoved{Upstream: "u", Daemon: "d"},
	&batch.UpstreamChanged{Upstream: "u", Daemon: "d", Condition: batch.ConditionSlow, Versions: map[api.ModelName]api.WeightVersion{"m": 2}},
	&batch.EventIntervalMeasured{Upstream: "u", Daemon: "d", Micros: 39000},
	&batch.ItemScored{Job: "j", Item: "i", Score: "3e1b.07"},
	&batch.RewardFailed{Job: "j", Item: "i", Status: 500},
	&batch.UpstreamLeaving{Upstream: "u", StartMillis: 5},
	&batch.JobRerouted{Job: "j", Service: "s", ConfigVersion: 6},
	&batch.TextDropped{Job: "j", Item: "i", EventCount: 3},
	&batch.StateReset{Process: "d/1", After: 7},
	&batch.RulesRaised{Rules: 1},
	&batch.HomesSwapped{First: "u", FirstModel: "m", Second: "v", SecondModel: "n"},
	&batch.StreamBegan{Request: "r", Service: "s", Software: "v1", AtMillis: 5},
	&batch.RequestLimitNamed{Upstream: "u", PerSecond: 2.5},
	&batch.DemandReported{Daemon: "d", PerSecond: map[api.UpstreamID]float64{"u": 1.5}},
	&batch.RequestCrashed{ContentHash: 1 << 63, UpstreamsLost: 3, Process: "d/1"},
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	kinds := make(map[byte]string)
	for _, r := range records {
		data, err := Encode(r)
		assert.NilError(t, err)
		name, taken := kinds[data[0]]
		assert.Assert(t, !taken || name == fmt.Sprintf("%T", r), "kind %d is used twice", data[0])
		kinds[data[0]] = fmt.Sprintf("%T", r)
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
			batch.New().Apply(1, r) // must not panic on any decoded record
		}
	})
}
