package replay_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"gotest.tools/v3/assert"
)

// example returns a checkpoint that uses every field of an image.
func example() *replay.Checkpoint {
	s := batch.New()
	for n, r := range []batch.Record{
		&batch.DaemonAlive{Daemon: "d", StartMillis: 5, ConfigVersion: 2, Capacity: 3, Address: "a", DataCentre: "z", RecordLevel: 3, LevelInForce: 2, ImageLevel: 1},
		&batch.LeaseAcquired{Upstream: "u", Service: "s", Daemon: "d", Slots: 1, Models: []api.ModelName{"m"}, Software: "v", Versions: map[api.ModelName]api.WeightVersion{"m": 2}},
		&batch.EventIntervalMeasured{Upstream: "u", Daemon: "d", Micros: 25},
		&batch.RequestLimitNamed{Upstream: "u", PerSecond: 1.5},
		&batch.StreamBegan{Request: "q", Service: "s", Software: "v", AtMillis: 9},
		&batch.JobAccepted{Job: batch.Job{ID: "e", Service: "s", Model: "m", MaxAttempts: 1, Items: []batch.Item{{ID: "x"}}}},
		&batch.TextAdded{Job: "e", Item: "x", RunID: "r", EventCount: 3, Versions: []api.WeightVersion{2}, Software: "v", Done: true},
		&batch.JobEnded{ID: "e"},
		&batch.JobAccepted{Job: batch.Job{ID: "j", Service: "s", Model: "m", MaxAttempts: 2, SubmittedMillis: 8, Items: []batch.Item{
			{ID: "a", Path: "/p", Headers: []batch.HeaderField{{Name: "n", Value: "v"}}, Group: "g"},
			{ID: "b", Scorer: &batch.Scorer{ID: "r", MaxAttempts: 3}},
			{ID: "c"},
		}}},
		&batch.JobRerouted{Job: "e", Service: "t", ConfigVersion: 3},
		&batch.TextAdded{Job: "j", Item: "b", RunID: "r", EventCount: 1, Chunk: batch.ChunkRef{Partition: 1, Records: 1, Bytes: 2}, Versions: []api.WeightVersion{2}, Software: "v", Done: true},
		&batch.RewardFailed{Job: "j", Item: "b", Status: 500},
		&batch.ItemFailed{Job: "j", Item: "c", Status: 500, Final: true},
		&batch.ItemMoved{Job: "j", Item: "a", FromUpstream: "u"},
	} {
		s.Apply(batch.Offset(n+1), r)
	}
	return &replay.Checkpoint{Next: 14, Image: s.Image(), Recent: []batch.Record{&batch.RequestCrashed{ContentHash: 1, UpstreamsLost: 2}}}
}

func TestCheckpointRoundTrip(t *testing.T) {
	want := example()
	data, err := want.Encode()
	assert.NilError(t, err)
	got, err := replay.DecodeCheckpoint(data)
	assert.NilError(t, err)
	state, err := batch.FromImage(got.Image)
	assert.NilError(t, err)
	again, err := batch.FromImage(want.Image)
	assert.NilError(t, err)
	assert.DeepEqual(t, state.Image(), again.Image())
	assert.Equal(t, got.Next, want.Next)
	assert.DeepEqual(t, got.Recent, want.Recent)
}

func TestOddCheckpointsAreRefused(t *testing.T) {
	data, err := example().Encode()
	assert.NilError(t, err)
	later := append([]byte{batch.ImageLevel + 1}, data[1:]...)
	_, err = replay.DecodeCheckpoint(later)
	var level *replay.LevelError
	assert.Assert(t, errors.As(err, &level))
	assert.Equal(t, int(level.Level), batch.ImageLevel+1)
	for n := range len(data) {
		_, err := replay.DecodeCheckpoint(data[:n])
		var format *replay.FormatError
		assert.Assert(t, errors.As(err, &format), "cut at %d: %v", n, err)
	}
}

// FuzzCheckpoint decodes what another build or a fault may have written. Whatever is
// accepted can go on.
func FuzzCheckpoint(f *testing.F) {
	data, err := example().Encode()
	assert.NilError(f, err)
	z, err := gzip.NewReader(bytes.NewReader(data[1:]))
	assert.NilError(f, err)
	var plain bytes.Buffer
	_, err = plain.ReadFrom(z)
	assert.NilError(f, err)
	f.Add(plain.Bytes())
	f.Fuzz(func(t *testing.T, plain []byte) {
		out := bytes.NewBuffer([]byte{batch.ImageLevel})
		z := gzip.NewWriter(out)
		_, err := z.Write(plain)
		assert.NilError(t, err)
		assert.NilError(t, z.Close())
		c, err := replay.DecodeCheckpoint(out.Bytes())
		if err != nil {
			var format *replay.FormatError
			var record *batchcodec.FormatError
			assert.Assert(t, errors.As(err, &format) || errors.As(err, &record), "%v", err)
			return
		}
		s, err := batch.FromImage(c.Image)
		if err != nil {
			var image *batch.ImageError
			assert.Assert(t, errors.As(err, &image), "%v", err)
			return
		}
		s.Rewards()
		s.OpenItems()
		s.JobReports()
		for n, r := range []batch.Record{
			&batch.LeaseAcquired{Upstream: "w", Service: "s", Daemon: "d", Slots: 2, Models: []api.ModelName{"m"}, Versions: map[api.ModelName]api.WeightVersion{"m": 9}},
			&batch.JobAccepted{Job: batch.Job{ID: "k", Service: "s", Model: "m", MaxAttempts: 1, Items: []batch.Item{{ID: "a"}, {ID: "b"}}}},
			&batch.RewardFailed{Job: "j", Item: "b", Status: 500}, &batch.ItemScored{Job: "j", Item: "b", Score: "1"},
			&batch.UpstreamChanged{Upstream: "u", Daemon: "d", Versions: map[api.ModelName]api.WeightVersion{"m": 3}},
			&batch.JobEnded{ID: "j"}, &batch.UpstreamRemoved{Upstream: "u", Daemon: "d"},
		} {
			s.Apply(batch.Offset(1000+n), r)
		}
	})
}
