package appender

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"github.com/cenkalti/backoff/v5"
)

// Bounds of the pause between two attempts on one stream.
const (
	retryInitial = 20 * time.Millisecond
	retryMax     = time.Second
)

// pending is a request that is not settled yet.
type pending struct {
	Request
	ambiguous bool // an attempt may have appended it
}

// streamQueue holds one stream's unsettled requests, oldest first.
type streamQueue struct {
	name         string
	waiting      []*pending
	readyAt      time.Time // no attempt before this
	failing      bool      // the last attempt failed
	retryBackoff *backoff.ExponentialBackOff
}

// batcher decides what is appended when. It calls neither the log nor Done.
type batcher struct {
	maxBatch      int
	flushInterval time.Duration
	streams       map[string]*streamQueue
	count         int
}

func newBatcher(maxBatch int, flushEvery time.Duration) *batcher {
	return &batcher{maxBatch: maxBatch, flushInterval: flushEvery, streams: make(map[string]*streamQueue)}
}

// add queues a request behind those of its stream.
func (b *batcher) add(r Request) {
	q := b.streams[r.Stream]
	if q == nil {
		q = &streamQueue{name: r.Stream, retryBackoff: newRetryBackoff()}
		b.streams[r.Stream] = q
	}
	q.waiting = append(q.waiting, &pending{Request: r})
	b.count++
}

// expire removes and returns the requests whose deadline is past.
func (b *batcher) expire(now time.Time) []*pending {
	var past []*pending
	for _, q := range b.streams {
		kept := q.waiting[:0]
		for _, p := range q.waiting {
			if now.Before(p.Deadline) {
				kept = append(kept, p)
				continue
			}
			past = append(past, p)
		}
		clear(q.waiting[len(kept):])
		q.waiting = kept
	}
	b.count -= len(past)
	return past
}

// next returns the stream that has been ready for the longest time and its
// oldest requests, or nil when none is ready.
func (b *batcher) next(now time.Time) (*streamQueue, []*pending) {
	var chosen *streamQueue
	for _, q := range b.streams {
		if len(q.waiting) == 0 || now.Before(q.readyAt) {
			continue
		}
		if chosen == nil || q.before(chosen) {
			chosen = q
		}
	}
	if chosen == nil {
		return nil, nil
	}
	return chosen, chosen.waiting[:min(b.maxBatch, len(chosen.waiting))]
}

// before orders streams by the time they became ready, then by name.
func (q *streamQueue) before(o *streamQueue) bool {
	if !q.readyAt.Equal(o.readyAt) {
		return q.readyAt.Before(o.readyAt)
	}
	return q.name < o.name
}

// appended removes the first n requests of the stream, which are in the log.
func (b *batcher) appended(q *streamQueue, n int, now time.Time) {
	clear(q.waiting[:n])
	q.waiting = q.waiting[n:]
	b.count -= n
	q.retryBackoff = newRetryBackoff()
	q.failing = false
	q.readyAt = now.Add(b.flushInterval)
}

// failed keeps the first n requests of the stream for another attempt.
func (b *batcher) failed(q *streamQueue, n int, ambiguous bool, now time.Time) {
	for _, p := range q.waiting[:n] {
		p.ambiguous = p.ambiguous || ambiguous
	}
	q.failing = true
	q.readyAt = now.Add(q.retryBackoff.NextBackOff())
}

// wakeAt returns the next time at which a stream becomes ready or a request
// expires; false when nothing waits.
func (b *batcher) wakeAt() (time.Time, bool) {
	var times []time.Time
	for _, q := range b.streams {
		for i, p := range q.waiting {
			if i == 0 {
				times = append(times, q.readyAt)
			}
			times = append(times, p.Deadline)
		}
	}
	if len(times) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(times, time.Time.Compare), true
}

// dropIdle forgets idle streams, so that the map does not grow with dead ones.
func (b *batcher) dropIdle(now time.Time) {
	for name, q := range b.streams {
		if len(q.waiting) == 0 && now.After(q.readyAt) {
			delete(b.streams, name)
		}
	}
}

// takeAll removes and returns every request.
func (b *batcher) takeAll() []*pending {
	var rest []*pending
	for _, q := range b.streams {
		rest = append(rest, q.waiting...)
	}
	clear(b.streams)
	b.count = 0
	return rest
}

// flushNow makes streams that only wait for their next flush ready at once.
func (b *batcher) flushNow() {
	b.flushInterval = 0
	for _, q := range b.streams {
		if !q.failing {
			q.readyAt = time.Time{}
		}
	}
}

// failure returns the final error of a request that was not seen to succeed.
func (p *pending) failure(reason string) error {
	if p.ambiguous {
		return api.Errorf(api.CodeUnknownResult, "record %s of stream %s may be in the log: %s", p.Record.ID, p.Stream, reason)
	}
	return api.Errorf(api.CodeLogUnavailable, "record %s of stream %s was not appended: %s", p.Record.ID, p.Stream, reason)
}

func records(batch []*pending) []eventlog.Record {
	list := make([]eventlog.Record, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.Record)
	}
	return list
}

// latestDeadline is the time until which an attempt of the batch is of use.
func latestDeadline(batch []*pending) time.Time {
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
