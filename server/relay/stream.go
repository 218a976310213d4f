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

// streamRingSize is the maximum number of events buffered for a slow caller.
const streamRingSize = 64

// stream passes a response's events from workers to the front end. Its head is
// that of its first upstream, even if another upstream resumes it.
type stream struct {
	head      *ring.Slot[*opaque.Response]
	events    *ring.Ring[opaque.Event]
	lastEvent atomic.Int64 // number of the last event forwarded
	// software is the version of the upstream that generated the first event; empty: none
	// was forwarded. One attempt at a time accesses it.
	software string
}

// Stream forwards a request with a streamed response. It calls onHead with the
// response's head and onEvent with the data of each event until the stream is
// complete. If there was no head, the returned response is an upstream's failure,
// or nil. Errors: those of Forward; an error of onHead or onEvent ends the stream
// and is returned as *opaque.FailedError.
func (r *Relay) Stream(ctx context.Context, q *opaque.Request, onHead func(*opaque.Response) error, onEvent func([]byte) error) (*opaque.Response, api.UpstreamID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := newJob(ctx, q)
	j.stream = &stream{head: ring.NewSlot[*opaque.Response](), events: ring.New[opaque.Event](streamRingSize)}
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	head, err := j.stream.head.Wait(ctx)
	if err == nil && head != nil {
		err = onHead(head)
	}
	for err == nil {
		var event opaque.Event
		if event, err = j.stream.events.Pop(ctx); err == nil {
			err = onEvent(event.Data)
		}
	}
	var closed *ring.ClosedError
	if !errors.As(err, &closed) {
		return nil, "", &opaque.FailedError{Reason: err.Error(), DeadlineExceeded: ctx.Err() != nil}
	}
	return r.wait(j)
}

// close marks the end of the events.
func (s *stream) close() {
	s.head.Put(nil) // has no effect if there is a head
	s.events.Close()
}

// stream makes one attempt at a stream and resumes after the last event forwarded.
func (w *worker) stream(ctx context.Context, a *attempt) {
	s := a.job.stream
	head, events, err := w.exchanger.OpenStream(ctx, a.upstream, a.job.request, int(s.lastEvent.Load()))
	if err != nil || events == nil {
		a.response, a.err = head, err
		return
	}
	defer events.Close()
	a.streamed = true
	s.head.Put(head) // has no effect after the first upstream's head
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			a.response = head
			return
		}
		if err == nil {
			s.software = a.upstream.Software
			err = s.events.Push(ctx, event)
		}
		if err != nil {
			a.err = err
			return
		}
		s.lastEvent.Store(int64(event.Number))
	}
}
