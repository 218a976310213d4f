package appender

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"github.com/cenkalti/backoff/v5"
)

// Bounds of the backoff between two attempts on one stream.
const (
	retryInitial = 20 * time.Millisecond
	retryMax     = time.Second
)

// pendingRequest is a request without a result.
type pendingRequest struct {
	Request
	ambiguous bool // an attempt may have appended it
}

// streamQueue holds one stream's pending requests, oldest first.
type streamQueue struct {
	name         string
	waiting      []*pendingRequest
	notBefore    time.Time // earliest next attempt
	failing      bool      // the last attempt failed
	retryBackoff *backoff.ExponentialBackOff
}

// batcher decides which requests are appended when. It calls neither the log nor
// Done.
type batcher struct {
	maxBatch      int
	flushInterval time.Duration
	streams       map[string]*streamQueue
	pending       int // requests of all streams
}

func newBatcher(maxBatch int, flushInterval time.Duration) *batcher {
	return &batcher{maxBatch: maxBatch, flushInterval: flushInterval, streams: make(map[string]*streamQueue)}
}

// add appends a request to its stream's queue.
func (b *batcher) add(r Request) {
	q := b.streams[r.Stream]
	if q == nil {
		q = &streamQueue{name: r.Stream, retryBackoff: newRetryBackoff()}
		b.streams[r.Stream] = q
	}
	q.waiting = append(q.waiting, &pendingRequest{Request: r})
	b.pending++
}

// takeExpired removes and returns the requests whose deadline has passed.
func (b *batcher) takeExpired(now time.Time) []*pendingRequest {
	var expired []*pendingRequest
	for _, q := range b.streams {
		kept := q.waiting[:0]
		for _, p := range q.waiting {
			if now.Before(p.Deadline) {
				kept = append(kept, p)
				continue
			}
			expired = append(expired, p)
		}
		clear(q.waiting[len(kept):])
		q.waiting = kept
	}
	b.pending -= len(expired)
	return expired
}

// next returns the stream that has been ready for the longest time and its oldest
// requests, at most maxBatch, or nil if no stream is ready.
func (b *batcher) next(now time.Time) (*streamQueue, []*pendingRequest) {
	var chosen *streamQueue
	for _, q := range b.streams {
		if len(q.waiting) == 0 || now.Before(q.notBefore) {
			continue
		}
		if chosen == nil || q.less(chosen) {
			chosen = q
		}
	}
	if chosen == nil {
		return nil, nil
	}
	return chosen, chosen.waiting[:min(b.maxBatch, len(chosen.waiting))]
}

// less orders streams by the time at which they became ready, then by name.
func (q *streamQueue) less(o *streamQueue) bool {
	if !q.notBefore.Equal(o.notBefore) {
		return q.notBefore.Before(o.notBefore)
	}
	return q.name < o.name
}

// appended removes the first n requests of a stream after their append succeeded.
func (b *batcher) appended(q *streamQueue, n int, now time.Time) {
	clear(q.waiting[:n])
	q.waiting = q.waiting[n:]
	b.pending -= n
	q.retryBackoff = newRetryBackoff()
	q.failing = false
	q.notBefore = now.Add(b.flushInterval)
}

// failed keeps the first n requests of a stream for another attempt.
func (b *batcher) failed(q *streamQueue, n int, ambiguous bool, now time.Time) {
	for _, p := range q.waiting[:n] {
		p.ambiguous = p.ambiguous || ambiguous
	}
	q.failing = true
	q.notBefore = now.Add(q.retryBackoff.NextBackOff())
}

// wakeAt returns the next time at which a stream becomes ready or a request
// expires; false if no request is pending.
func (b *batcher) wakeAt() (time.Time, bool) {
	var times []time.Time
	for _, q := range b.streams {
		for i, p := range q.waiting {
			if i == 0 {
				times = append(times, q.notBefore)
			}
			times = append(times, p.Deadline)
		}
	}
	if len(times) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(times, time.Time.Compare), true
}

// dropIdle removes streams without requests, so that the map does not grow without
// bound.
func (b *batcher) dropIdle(now time.Time) {
	for name, q := range b.streams {
		if len(q.waiting) == 0 && now.After(q.notBefore) {
			delete(b.streams, name)
		}
	}
}

// takeAll removes and returns all requests.
func (b *batcher) takeAll() []*pendingRequest {
	var all []*pendingRequest
	for _, q := range b.streams {
		all = append(all, q.waiting...)
	}
	clear(b.streams)
	b.pending = 0
	return all
}

// flushNow disables the flush interval. Streams that wait for a retry still wait.
func (b *batcher) flushNow() {
	b.flushInterval = 0
	for _, q := range b.streams {
		if !q.failing {
			q.notBefore = time.Time{}
		}
	}
}

// failure returns the final error of a request without a successful attempt.
func (p *pendingRequest) failure(reason string) error {
	if p.ambiguous {
		return api.Errorf(api.CodeUnknownResult, "record %s of stream %s may be in the log: %s", p.Record.ID, p.Stream, reason)
	}
	return api.Errorf(api.CodeLogUnavailable, "record %s of stream %s was not appended: %s", p.Record.ID, p.Stream, reason)
}

func records(batch []*pendingRequest) []eventlog.Record {
	list := make([]eventlog.Record, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.Record)
	}
	return list
}

// latestDeadline returns the latest deadline in a batch.
func latestDeadline(batch []*pendingRequest) time.Time {
	var latest time.Time
	for _, p := range batch {
		if p.Deadline.After(latest) {
			latest = p.Deadline
		}
	}
	return latest
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = retryInitial
	p.MaxInterval = retryMax
	p.Reset()
	return p
}
