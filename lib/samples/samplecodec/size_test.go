package samplecodec_test

import (
	"strings"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
	"gotest.tools/v3/assert"
)

// BenchmarkSampleBytes reports the size of an encoded sample record without its
// text, in bytes.
func BenchmarkSampleBytes(b *testing.B) {
	done := samples.SampleDone{
		Slot: samples.SlotRef{Step: "step-001234", Group: "group-0512", Index: 3}, Model: "coach", Attempt: 1, Daemon: "daemon-123",
		Sample: samples.Sample{Text: strings.Repeat("w", 1000), Tokens: 255, Versions: []api.WeightVersion{41}, FinishReason: "stop"},
	}
	for b.Loop() {
		payload, err := samplecodec.Encode(samples.Record{ID: "0190aaaa-0000-7000-8000-000000000001", Body: done})
		assert.NilError(b, err)
		b.ReportMetric(float64(len(payload)-len(done.Sample.Text)), "B/sample")
	}
}
