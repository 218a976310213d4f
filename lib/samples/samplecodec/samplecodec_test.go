package samplecodec_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	slot := samples.SlotRef{Step: "s", Group: "g", Index: 3}
	group := samples.GroupSpec{ID: "g", Messages: []work.Message{{Role: "user", Content: "x"}}, N: 4, MaxTokens: 9}
	bodies := []samples.RecordBody{
		samples.StepOpened{Step: "s", Model: "m", Customer: "c", Plan: "p", Groups: []samples.GroupSpec{group}},
		samples.SampleDone{
			Slot: slot, Model: "m", Attempt: 2, Daemon: "d",
			Sample: samples.Sample{Text: "t", Tokens: 1, Versions: []api.WeightVersion{4, 5}, FinishReason: "stop"},
		},
		samples.HandOver{
			PullNumber: 7, Cursor: 5, Limits: []samples.StepLimit{{Step: "s", Model: "m", InForce: 5, StalenessBound: 1}},
			Groups: []samples.GroupRef{{Step: "s", Group: "g"}}, Dropped: []samples.SlotRef{slot},
		},
		samples.StepRunner{Step: "s", Daemon: "d"},
		samples.StepAbandoned{Step: "s", Actor: "hana"},
		samples.Checkpoint{Key: "k", AppliedOffset: 9, Part: 1, Parts: 2, State: []byte("{}")},
	}
	for _, b := range bodies {
		want := samples.Record{ID: "id", Body: b}
		payload, err := samplecodec.Encode(want)
		assert.NilError(t, err)
		got, err := samplecodec.Decode("id", payload)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// FuzzImage restores a stream from any decoded image and applies a record to it.
func FuzzImage(f *testing.F) {
	f.Add([]byte(`{"through":3,"steps":[{"opened":{"step":"s","groups":[{"id":"g","n":1}]},"slots":[[{"state":2}]]}]}`))
	f.Add([]byte(`{"steps":[{"opened":{"groups":[{"n":-1}]},"slots":[[]]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := samplecodec.DecodeImage(text)
		assert.Assert(t, err == nil || api.CodeOf(err) == api.CodeInvalid)
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err = z.Write(text)
		assert.NilError(t, errors.Join(err, z.Close()))
		img, err := samplecodec.DecodeImage(packed.Bytes())
		if err != nil {
			return
		}
		s, err := samples.StreamFromImage(&img)
		if err != nil {
			assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
			return
		}
		s.Apply(img.AppliedOffset+1, samples.Record{ID: "x", Body: samples.HandOver{PullNumber: img.PullNumber + 1}})
	})
}

// FuzzDecode also applies decoded records, none of which may cause a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"step-opened","body":{"step":"s","model":"m","customer":"c","groups":[{"id":"g","n":1,"max_tokens":1,"messages":[{}]}]}}`))
	f.Add([]byte(`{"kind":"hand-over","body":{"pull":1,"groups":[{"step":"s","group":"g"}],"limits":[{"step":"s"}]}}`))
	f.Add([]byte(`{"kind":"sample-done","body":{"slot":{"step":"s","group":"g","index":-1}}}`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		rec, err := samplecodec.Decode("id", payload)
		if err != nil {
			assert.Equal(t, api.CodeOf(err), api.CodeInvalid)
			return
		}
		_, err = samplecodec.Encode(rec)
		assert.NilError(t, err)
		s := samples.NewStream()
		s.Apply(1, rec)
		s.Apply(2, rec)
	})
}
