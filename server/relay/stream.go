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

// flowRing bounds the pieces on their way to a client that reads slowly.
const flowRing = 64

// flow carries a stream's pieces from carriers to the front end. Its head is
// that of its first upstream, also when others go on with it.
type flow struct {
	head   *ring.Slot[*opaque.Answer]
	pieces *ring.Ring[opaque.Piece]
	last   atomic.Int64 // number of the last piece handed on
}

// Stream passes a stream on: begin gets its head, piece each of its pieces,
// until it is whole. Without a head the answer, if there is one, is an
// upstream's own failure. Errors: those of Pass, and those of begin and piece.
func (r *Relay) Stream(ctx context.Context, q *opaque.Request, begin func(*opaque.Answer) error, piece func([]byte) error) (*opaque.Answer, api.UpstreamID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := newJob(ctx, q)
	j.flow = &flow{head: ring.NewSlot[*opaque.Answer](), pieces: ring.New[opaque.Piece](flowRing)}
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	head, err := j.flow.head.Wait(ctx)
	if err == nil && head != nil {
		err = begin(head)
	}
	for err == nil {
		var p opaque.Piece
		if p, err = j.flow.pieces.Pop(ctx); err == nil {
			err = piece(p.Data)
		}
	}
	var closed *ring.ClosedError
	if !errors.As(err, &closed) {
		return nil, "", &opaque.FailedError{Reason: err.Error(), Expired: ctx.Err() != nil}
	}
	return r.wait(j)
}

// end tells the front end that no more pieces come.
func (f *flow) end() {
	f.head.Put(nil) // kept only if no head came before
	f.pieces.Close()
}

// stream makes one attempt at a stream, after what came of it before.
func (c *carrier) stream(ctx context.Context, a *attempt) {
	f := a.job.flow
	answer, source, err := c.exchanger.Open(ctx, a.upstream, a.job.request, int(f.last.Load()))
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
		f.last.Store(int64(p.Number))
	}
}
