package httpapi

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
)

// chunkRingSize is the number of chunks buffered for a slow caller.
const chunkRingSize = 64

// sink passes one job's chunks and result from the duties to the goroutine that
// serves the connection.
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
		return api.Errorf(api.CodeCancelled, "the caller accepts no more chunks: %w", err)
	}
	return nil
}

// Finish implements work.Sink.
func (s *sink) Finish(result work.Result) {
	s.result.Put(result)
	if s.chunks != nil {
		s.chunks.Close()
	}
}

// wait returns the result. It needs no timeout, because every accepted job is
// finished, at the latest at its deadline.
func (s *sink) wait() work.Result {
	result, err := s.result.Wait(context.Background())
	if err != nil {
		return work.Result{Outcome: api.OutcomeUnknown, Err: api.Errorf(api.CodeInternal, "no result: %w", err)}
	}
	return result
}
