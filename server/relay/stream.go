package relay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
)

// streamRingSize bounds the pieces on their way to a client that reads slowly.
const streamRingSize = 64

// stream carries a stream's pieces from carriers to the front end. Its head is
// that of its first upstream, also when others go on with it.
type stream struct {
	head       *ring.Slot[*opaque.Response]
	pieces     *ring.Ring[opaque.Event]
	lastNumber atomic.Int64 // number of the last piece handed on
}

// Stream passes a stream on: begin gets its head, piece each of its pieces,
// until it is whole. Without a head the answer, if there is one, is an
// upstream's own failure. Errors: those of Pass, and those of begin and piece.
func (r *Relay) Stream(ctx context.Context, q *opaque.Request, begin func(*opaque.Response) error, piece func([]byte) error) (*opaque.Response, api.UpstreamID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := newJob(ctx, q)
	j.stream = &stream{head: ring.NewSlot[*opaque.Response](), pieces: ring.New[opaque.Event](streamRingSize)}
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	head, err := j.stream.head.Wait(ctx)
	if err == nil && head != nil {
		err = begin(head)
	}
	for err == nil {
		var p opaque.Event
		if p, err = j.stream.pieces.Pop(ctx); err == nil {
			err = piece(p.Data)
		}
	}
	var closed *ring.ClosedError
	if !errors.As(err, &closed) {
		return nil, "", &opaque.FailedError{Reason: err.Error(), DeadlineExceeded: ctx.Err() != nil}
	}
	return r.wait(j)
}

// close tells the front end that no more pieces come.
func (f *stream) close() {
	f.head.Put(nil) // kept only if no head came before
	f.pieces.Close()
}

// stream makes one attempt at a stream, after what came of it before.
func (c *worker) stream(ctx context.Context, a *attempt) {
	f := a.job.stream
	answer, source, err := c.exchanger.Open(ctx, a.upstream, a.job.request, int(f.lastNumber.Load()))
	if err != nil || source == nil {
		a.answer, a.err = answer, err
		return
	}
	defer source.Close()
	a.streamed = true
	f.head.Put(answer) // the first upstream's head stays
	for {
		p, err := source.Next()
		if errors.Is(err, io.EOF) {
			a.answer = answer
			return
		}
		if err == nil {
			err = f.pieces.Push(ctx, p)
		}
		if err != nil {
			a.err = err
			return
		}
		f.lastNumber.Store(int64(p.Number))
	}
}
