// Package memlog implements eventlog.Log in memory, with injection of the faults
// that the platform's log can have. It is used by tests and the stand-in log.
package memlog

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
)

// Options configures a Log. With the zero value entries do not expire.
type Options struct {
	Clock      func() time.Time // nil: time.Now
	Retention  time.Duration    // age at which entries expire; zero: never
	MaxEntries int              // per stream; the oldest entries expire first; zero: no limit
}

// OutageError is the cause of a call that failed during an outage.
type OutageError struct{}

// Error implements error.
func (*OutageError) Error() string { return "outage" }

// LostResponseError is the cause of an append that took effect but whose response
// was dropped.
type LostResponseError struct{}

// Error implements error.
func (*LostResponseError) Error() string { return "response lost" }

// Log implements eventlog.Log. It is safe for concurrent use.
type Log struct {
	opts Options

	mu              sync.Mutex
	changed         sync.Cond
	streams         map[string]*stream
	outage          bool
	responsesToDrop int
	delay           time.Duration
	appends         uint64
}

// stream holds the retained entries; entries[0] has the offset oldest.
type stream struct {
	entries    []eventlog.Entry
	oldest     api.Offset
	lastMillis int64
}

// New returns an empty log.
func New(opts Options) *Log {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	l := &Log{opts: opts, streams: make(map[string]*stream)}
	l.changed.L = &l.mu
	return l
}

// SetOutage starts or ends an outage, during which appends and reads fail.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
	l.changed.Broadcast()
}

// DropResponses makes the next n appends take effect but fail with
// *eventlog.AmbiguousError.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// SetDelay delays the effect of each following call by d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// AppendCount returns the number of appends that took effect, including those
// whose response was dropped.
func (l *Log) AppendCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Streams returns the sorted names of the streams with appends.
func (l *Log) Streams() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.streams))
	for name := range l.streams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Append implements eventlog.Log. The records are appended in one critical section
// and therefore at consecutive offsets.
func (l *Log) Append(ctx context.Context, name string, records []eventlog.Record) (api.Offset, error) {
	if err := l.waitDelay(ctx); err != nil {
		return 0, &eventlog.UnavailableError{Op: "append", Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, &eventlog.UnavailableError{Op: "append", Cause: &OutageError{}}
	}
	first := l.appendLocked(name, records)
	if l.responsesToDrop > 0 {
		l.responsesToDrop--
		return 0, &eventlog.AmbiguousError{Cause: &LostResponseError{}}
	}
	return first, nil
}

// Read implements eventlog.Log.
func (l *Log) Read(ctx context.Context, positions []eventlog.Position, limit int, wait time.Duration) ([]eventlog.Batch, error) {
	if err := l.waitDelay(ctx); err != nil {
		return nil, &eventlog.UnavailableError{Op: "read", Cause: err}
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	stop := context.AfterFunc(waitCtx, l.wake)
	defer stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if l.outage {
			return nil, &eventlog.UnavailableError{Op: "read", Cause: &OutageError{}}
		}
		if err := ctx.Err(); err != nil {
			return nil, &eventlog.UnavailableError{Op: "read", Cause: err}
		}
		batches, found := l.readLocked(positions, limit)
		if found || waitCtx.Err() != nil {
			return batches, nil
		}
		l.changed.Wait()
	}
}

// waitDelay blocks for the configured delay or until ctx ends.
func (l *Log) waitDelay(ctx context.Context) error {
	l.mu.Lock()
	d := l.delay
	l.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

func (l *Log) appendLocked(name string, records []eventlog.Record) api.Offset {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1}
		l.streams[name] = s
	}
	s.lastMillis = max(s.lastMillis, l.opts.Clock().UnixMilli())
	first := s.next()
	for _, r := range records {
		s.entries = append(s.entries, eventlog.Entry{Offset: s.next(), TimeMillis: s.lastMillis, Record: r})
	}
	l.appends++
	l.expireLocked(s)
	l.changed.Broadcast()
	return first
}

func (l *Log) readLocked(positions []eventlog.Position, limit int) ([]eventlog.Batch, bool) {
	found := false
	batches := make([]eventlog.Batch, 0, len(positions))
	for _, p := range positions {
		b := eventlog.Batch{Stream: p.Stream, Oldest: 1, Next: 1}
		if s := l.streams[p.Stream]; s != nil {
			l.expireLocked(s)
			b.Oldest, b.Next = s.oldest, s.next()
			b.Entries = s.from(p.Offset, limit)
		}
		found = found || len(b.Entries) > 0
		batches = append(batches, b)
	}
	return batches, found
}

// expireLocked drops the entries beyond the retention or the entry limit.
func (l *Log) expireLocked(s *stream) {
	drop := 0
	if l.opts.MaxEntries > 0 {
		drop = max(0, len(s.entries)-l.opts.MaxEntries)
	}
	if l.opts.Retention > 0 {
		limit := l.opts.Clock().Add(-l.opts.Retention).UnixMilli()
		for drop < len(s.entries) && s.entries[drop].TimeMillis < limit {
			drop++
		}
	}
	s.entries = s.entries[drop:]
	s.oldest += api.Offset(drop)
}

func (s *stream) next() api.Offset { return s.oldest + api.Offset(len(s.entries)) }

// from returns a copy of up to limit entries, starting at offset or at oldest.
func (s *stream) from(offset api.Offset, limit int) []eventlog.Entry {
	if offset < s.oldest {
		offset = s.oldest
	}
	if offset >= s.next() || limit <= 0 {
		return nil
	}
	rest := s.entries[offset-s.oldest:]
	rest = rest[:min(limit, len(rest))]
	return append([]eventlog.Entry(nil), rest...)
}

// String describes the injected faults.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("outage %t, responses to drop %d, delay %s", l.outage, l.responsesToDrop, l.delay)
}
