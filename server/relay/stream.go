package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
	"go.uber.org/zap"
)

// streamRingSize is the maximum number of events buffered for a slow caller.
const streamRingSize = 64

// stream passes a response's events from workers to the front end. Its head is
// that of its first upstream, even if another upstream resumes it.
type stream struct {
	head      *ring.Slot[*opaque.Response]
	events    *ring.Ring[opaque.Event]
	headSent  atomic.Bool
	lastEvent atomic.Int64 // number of the last event forwarded
	// software is the version of the upstream that generated the first event, or that of
	// the stream that the request resumes; empty: no event was forwarded. One attempt
	// at a time accesses it.
	software string
	counted  bool // worker.onBegan was told; accessed as software
}

// StreamIndex knows which software began the streams of all daemons. It is safe for
// concurrent use.
type StreamIndex interface {
	// Began records the software of a stream. It returns when that is stored or takes too
	// long; it is then stored later.
	Began(ctx context.Context, q *opaque.Request, software string)
	// Origin returns where the stream began that a request resumes. It fails if
	// that is unknown.
	Origin(ctx context.Context, q *opaque.Request) (opaque.StreamOrigin, error)
}

// Stream forwards a request with a streamed response. It calls onHead with the
// response's head and onEvent with the data of each event until the stream is
// complete. If there was no head, the returned response is an upstream's failure,
// or nil. Errors: those of Forward; an error of onHead or onEvent ends the stream
// and is returned as *opaque.FailedError.
func (r *Relay) Stream(ctx context.Context, q *opaque.Request, onHead func(*opaque.Response) error, onEvent func([]byte) error) (*opaque.Response, api.UpstreamID, error) {
	return r.streamTo(ctx, q, funcSink{onHead, onEvent})
}

// funcSink implements opaque.StreamSink on functions.
type funcSink struct {
	onHead  func(*opaque.Response) error
	onEvent func([]byte) error
}

// Head implements opaque.StreamSink.
func (s funcSink) Head(head *opaque.Response) error { return s.onHead(head) }

// Event implements opaque.StreamSink.
func (s funcSink) Event(e opaque.Event, _ string) error { return s.onEvent(e.Data) }

// streamTo is as Stream, with a sink.
func (r *Relay) streamTo(ctx context.Context, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := newJob(ctx, q)
	j.stream = &stream{head: ring.NewSlot[*opaque.Response](), events: ring.New[opaque.Event](streamRingSize), software: q.Software}
	if q.LastEvent > 0 && q.Route.Resumable && q.Software == "" {
		if err := r.bindToOrigin(ctx, j); err != nil {
			return nil, "", err
		}
	}
	if err := r.submit(j); err != nil {
		return nil, "", err
	}
	head, err := j.stream.head.Wait(ctx)
	if err == nil && head != nil {
		err = sink.Head(head)
	}
	for err == nil {
		var event opaque.Event
		if event, err = j.stream.events.Pop(ctx); err == nil {
			err = sink.Event(event, j.stream.software)
		}
	}
	var closed *ring.ClosedError
	if !errors.As(err, &closed) {
		return nil, "", &opaque.FailedError{Reason: err.Error(), DeadlineExceeded: ctx.Err() != nil}
	}
	return r.wait(j)
}

// bindToOrigin binds a job to the service and software that began the stream that its caller
// resumes. Errors: *opaque.NotRunError if they are unknown or the route leads to
// other services now.
func (r *Relay) bindToOrigin(ctx context.Context, j *job) error {
	q := j.request
	origin, err := r.cfg.Streams.Origin(ctx, q)
	if err == nil && !q.Route.RoutesTo(origin.Service) {
		err = &opaque.FailedError{Reason: "the route doesn't lead to service " + origin.Service}
	}
	r.log.Info("stream resumed by its caller", zap.String("request", string(q.ID)), zap.String("resumes", string(q.Resumes)), zap.Int("after", q.LastEvent),
		zap.String("service", origin.Service), zap.String("software", origin.Software), zap.Error(err))
	if err != nil {
		return &opaque.NotRunError{Reason: err.Error(), RetryAfter: r.cfg.RetryAfter}
	}
	q.Service, j.stream.software = origin.Service, origin.Software
	return nil
}

// close marks the end of the events.
func (s *stream) close() {
	s.head.Put(nil) // has no effect if there is a head
	s.events.Close()
}

// begun reports whether the caller has a head, after which no other response can follow.
func (s *stream) begun() bool { return s.headSent.Load() }

// lastEvent returns the number of the last event forwarded; 0: none.
func (j *job) lastEvent() int64 {
	if j.stream == nil {
		return 0
	}
	return j.stream.lastEvent.Load()
}

// sendHead passes on the head of the first upstream; others have no effect.
func (s *stream) sendHead(head *opaque.Response) {
	s.headSent.Store(true)
	s.head.Put(head)
}

// rejectLateResponse makes an attempt fail that got a response other than the rest of a
// stream that has begun.
func (a *attempt) rejectLateResponse() {
	s := a.job.stream
	if s == nil || !s.begun() {
		return
	}
	a.job.failureResponse = nil // of an upstream before the stream began
	if a.streamed || a.err != nil {
		return
	}
	cause := &opaque.FailedError{Reason: fmt.Sprintf("status %d instead of the rest of a stream", a.response.Status)}
	a.response, a.err = nil, &opaque.AttemptError{Execution: opaque.ExecutionUnknown, Cause: cause}
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
	// An upstream may have restarted with other software under its ID.
	if s.software != "" || a.job.request.Route.Resumable && !w.current() {
		if a.err = w.exchanger.CheckIncarnation(ctx, a.upstream); a.err != nil {
			return
		}
	}
	a.streamed = true
	s.sendHead(head)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			a.response = head
			return
		}
		if err == nil {
			w.countStream(a)
			w.fixSoftware(ctx, a)
			err = s.events.Push(ctx, event)
		}
		if err != nil {
			a.err = err
			return
		}
		s.lastEvent.Store(int64(event.Number))
	}
}

// fixSoftware records the software of a stream before its first event is forwarded.
func (w *worker) fixSoftware(ctx context.Context, a *attempt) {
	s, q := a.job.stream, a.job.request
	if s.software != "" {
		return
	}
	s.software = a.upstream.Software
	if q.Route.Resumable {
		w.streams.Began(ctx, q, s.software)
	}
}
