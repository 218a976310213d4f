package relay

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
	"gotest.tools/v3/assert"
)

// origins is a StreamIndex in memory.
type origins struct {
	known map[string]opaque.StreamOrigin
}

func (o *origins) Began(_ context.Context, q *opaque.Request, software string) {
	o.known[string(q.ID)] = opaque.StreamOrigin{Service: q.Service, Software: software}
}

func (o *origins) Origin(_ context.Context, q *opaque.Request) (opaque.StreamOrigin, error) {
	if origin, ok := o.known[string(q.Resumes)]; ok {
		return origin, nil
	}
	return opaque.StreamOrigin{}, &opaque.FailedError{Reason: "unknown"}
}

// streamingExchanger streams ten events whose data is the software of their upstream, and
// cuts the stream of the first attempt after half of them.
type streamingExchanger struct {
	scriptedExchanger
	attempts int
}

type scriptedStream struct {
	software  string
	next, end int
	cut       bool
}

func (s *scriptedStream) Next() (opaque.Event, error) {
	switch {
	case s.next <= s.end:
		s.next++
		return opaque.Event{Number: s.next - 1, Data: []byte(s.software)}, nil
	case s.cut:
		return opaque.Event{}, attemptError(opaque.ExecutionUnknown)
	default:
		return opaque.Event{}, io.EOF
	}
}

func (s *scriptedStream) Close() {}

func (s *streamingExchanger) OpenStream(_ context.Context, u *directory.Upstream, q *opaque.Request, last int) (*opaque.Response, opaque.EventStream, error) {
	s.attempts++
	events := &scriptedStream{software: u.Software, next: max(last, q.LastEvent) + 1, end: 10}
	if s.attempts == 1 {
		events.end, events.cut = 5, true
	}
	return &opaque.Response{Status: 200}, events, nil
}

func newStreamRequest() *opaque.Request {
	q := newRequest(routes.KindStream)
	q.Route.Resumable = true
	q.Route.WeightedServices = []routes.WeightedService{{Service: "s", Weight: 1}}
	return q
}

// readStream returns the software of the events.
func readStream(t *testing.T, r *Relay, q *opaque.Request) ([]string, error) {
	t.Helper()
	var got []string
	_, _, err := r.Stream(t.Context(), q, func(*opaque.Response) error { return nil }, func(data []byte) error {
		got = append(got, string(data))
		return nil
	})
	return got, err
}

func TestStreamHasEventsOfOneSoftwareVersion(t *testing.T) {
	for range 20 {
		r := start(t, &streamingExchanger{}, directory.Upstream{ID: "a", Software: "v1"}, directory.Upstream{ID: "b", Software: "v2"}, directory.Upstream{ID: "c", Software: "v1"})
		got, err := readStream(t, r, newStreamRequest())
		for _, software := range got {
			assert.Equal(t, software, got[0])
		}
		assert.Equal(t, err == nil, len(got) == 10)
		assert.Assert(t, len(got) == 10 || got[0] == "v2", "v1 has a second upstream: %v", err)
	}
}

func TestUnknownStreamIsNotResumed(t *testing.T) {
	s := &streamingExchanger{attempts: 1}
	r := start(t, s, directory.Upstream{ID: "a", Software: "v1"}, directory.Upstream{ID: "b", Software: "v2"})
	for origin, want := range map[opaque.StreamOrigin]int{
		{}:                                 0,
		{Service: "s", Software: "v2"}:     6,
		{Service: "s", Software: "v3"}:     0,
		{Service: "other", Software: "v2"}: 0,
	} {
		q := newStreamRequest()
		q.LastEvent, q.Resumes = 4, "r0"
		index := &origins{known: map[string]opaque.StreamOrigin{}}
		if origin.Service != "" {
			index.known["r0"] = origin
		}
		r.cfg.Streams = index
		begin := time.Now()
		got, err := readStream(t, r, q)
		assert.Equal(t, len(got), want, "%v", err)
		for _, software := range got {
			assert.Equal(t, software, origin.Software)
		}
		var notRun *opaque.NotRunError
		assert.Assert(t, want > 0 || errors.As(err, &notRun) && time.Since(begin) < 500*time.Millisecond, "%v", err)
	}
}

// Guards against a server's error in a stream that has begun, or in place of its end.
func TestErrorOfNextUpstreamDoesNotEndBegunStream(t *testing.T) {
	for _, status := range []int{404, 422, 500, 503} {
		s := &failingNext{status: status}
		r := start(t, s, threeUpstreams...)
		heads, text := 0, ""
		resp, _, err := r.Stream(t.Context(), newStreamRequest(), func(*opaque.Response) error { heads++; return nil }, func(data []byte) error { text += string(data); return nil })
		var failed *opaque.FailedError
		assert.Assert(t, errors.As(err, &failed), "status %d: the stream ends as complete, response %v", status, resp)
		assert.Equal(t, heads, 1)
		assert.Assert(t, !strings.Contains(text, "error"), "%s", text)
	}
}

// The same after a first upstream that failed before the stream began.
func TestErrorBeforeStreamBeganDoesNotEndIt(t *testing.T) {
	s := &failingNext{status: 500, failFirst: true}
	r := start(t, s, threeUpstreams...)
	_, _, err := r.Stream(t.Context(), newStreamRequest(), func(*opaque.Response) error { return nil }, func([]byte) error { return nil })
	var failed *opaque.FailedError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
}

// failingNext cuts the first stream and answers the next requests with an error.
type failingNext struct {
	streamingExchanger
	status    int
	failFirst bool // the first request too
}

func (s *failingNext) OpenStream(ctx context.Context, u *directory.Upstream, q *opaque.Request, last int) (*opaque.Response, opaque.EventStream, error) {
	if s.attempts > 0 || s.failFirst {
		s.failFirst = false
		return &opaque.Response{Status: s.status, Body: []byte("error"), Signature: "sig"}, nil, nil
	}
	return s.streamingExchanger.OpenStream(ctx, u, q, last)
}
