package dispatch_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/dispatch"
	"gotest.tools/v3/assert"
)

// instantClient is an upstream.Client that responds immediately.
type instantClient struct{ upstream.Client }

func (instantClient) Generate(context.Context, upstream.Target, api.RequestID, api.ModelName, *work.Generate,
	func(work.Chunk) error,
) (upstream.Finish, error) {
	return upstream.Finish{Reason: "stop"}, nil
}

// endSink is a work.Sink that signals each result.
type endSink struct{ ended chan struct{} }

func (endSink) WriteChunk(context.Context, work.Chunk) error { return nil }
func (s endSink) Finish(work.Result)                         { s.ended <- struct{}{} }

// BenchmarkEntryPath measures one request from Submit through a worker to Finish,
// alone and with others in progress.
func BenchmarkEntryPath(b *testing.B) {
	for _, size := range []struct{ upstreams, atOnce int }{{12, 1}, {12, 16}, {650, 1}} {
		b.Run(strconv.Itoa(size.upstreams)+"-upstreams-"+strconv.Itoa(size.atOnce)+"-at-once", func(b *testing.B) {
			benchEntryPath(b, size.upstreams, size.atOnce)
		})
	}
}

func benchEntryPath(b *testing.B, upstreams, atOnce int) {
	var ids []api.UpstreamID
	for u := range upstreams {
		ids = append(ids, api.UpstreamID("u"+strconv.Itoa(u)))
	}
	d, err := dispatch.Start(duty.NewSystem(nil), instantClient{}, dispatch.Config{
		Workers: 32, RingSize: 1024, QueueLimit: 256, Routing: "affinity", ProgressDeadline: time.Second,
		ShortTokens: 16, LaneWeights: [api.LaneCount]int{8, 4, 1}, RetryRatio: 0.5, Now: time.Now,
		Rand: func(n int) int { return n / 2 },
	}, state(16, ids...))
	assert.NilError(b, err)
	sink := endSink{ended: make(chan struct{}, atOnce)}
	deadline := time.Now().Add(time.Hour)
	call := work.Call{Generate: &work.Generate{MaxTokens: 4}}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		if n >= atOnce {
			<-sink.ended
		}
		err := d.Submit(&work.Job{
			ID: api.RequestID(strconv.Itoa(n)), Customer: "c", Plan: "p", Model: "m", Repeatable: true, CostTokens: 4,
			Fingerprint: api.Fingerprint(n), Prefix: uint64(n), Deadline: deadline, Sink: sink, Call: call,
		})
		assert.NilError(b, err)
	}
	for range min(b.N, atOnce) {
		<-sink.ended
	}
	b.StopTimer()
	assert.NilError(b, d.Stop(context.Background()))
}
