package httpapi

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
)

// chunkRingSize is the number of pieces of an answer that wait for a slow caller.
const chunkRingSize = 64

// sink brings one job's answer from the duties to the connection that waits.
type sink struct {
	chunks *ring.Ring[work.Chunk]
	result *ring.Slot[work.Result]
}

func newSink(stream bool) *sink {
	s := &sink{result: ring.NewSlot[work.Result]()}
	if stream {
		s.chunks = ring.New[work.Chunk](chunkRingSize)
	}
	return s
}

// WriteChunk implements work.Sink.
func (s *sink) WriteChunk(ctx context.Context, c work.Chunk) error {
	if err := s.chunks.Push(ctx, c); err != nil {
		return api.Errorf(api.CodeCancelled, "the caller takes no more: %w", err)
	}
	return nil
}

// Finish implements work.Sink.
func (s *sink) Finish(a work.Result) {
	s.result.Put(a)
	if s.chunks != nil {
		s.chunks.Close()
	}
}

// wait returns the answer. It always comes: a job that was taken is finished,
// if need be by its deadline.
func (s *sink) wait() work.Result {
	a, err := s.result.Wait(context.Background())
	if err != nil {
		return work.Result{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeInternal, "no answer: %w", err)}
	}
	return a
}
