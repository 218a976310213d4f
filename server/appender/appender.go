// Package appender is the duty that appends records to the platform's log in
// groups and retries them until their deadlines.
package appender

import (
	"context"
	"errors"
	"sync"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/ring"
)

const (
	dutyName = "appender"
	// controlSlots is the ring's room for wake, drain and abort messages.
	controlSlots = 8
	// abortTimeout bounds how long Stop waits for a cancelled call to return.
	abortTimeout = 5 * time.Second
	// defaultCallTimeout replaces a zero Config.CallTimeout.
	defaultCallTimeout = 2 * time.Second
)

// Config configures the duty.
type Config struct {
	RingSize      int           // most requests accepted and not yet done
	MaxBatch      int           // most records in one append
	FlushInterval time.Duration // least time between two appends to one stream; zero: none
	// CallTimeout bounds one call of the log. A call occupies the duty's
	// thread, so it is also the longest time a slow stream delays the others.
	CallTimeout time.Duration
}

// Request asks to append one record.
type Request struct {
	Stream   string
	Record   eventlog.Record
	Deadline time.Time // no attempt starts after this
	// Done is called exactly once, on the appender's thread, and must not
	// block. Its argument is nil when the record is in the log at least once,
	// of CodeLogUnavailable when it surely is not and never will be, and of
	// CodeUnknownResult when the deadline passed and it may be. It comes at
	// most one call timeout after the deadline.
	Done func(error)
}

// Appender is the handle of the running duty.
type Appender struct {
	duty     *duty.Duty[message]
	capacity int
	cancel   context.CancelFunc
	handler  *handler

	mu          sync.Mutex
	closed      bool
	outstanding int // accepted and not done
}

// message is what the duty's ring carries.
type message struct {
	kind    messageKind
	request Request
}

type messageKind uint8

const (
	kindRequest messageKind = iota
	kindWake                // a retry, a flush or a deadline is due
	kindDrain               // tell when nothing is left
	kindAbort               // fail what is left
)

// Start spawns the duty.
func Start(sys *duty.System, log eventlog.Log, cfg Config) *Appender {
	cfg.RingSize = max(1, cfg.RingSize)
	cfg.MaxBatch = max(1, cfg.MaxBatch)
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	calls, cancel := context.WithCancel(context.Background())
	a := &Appender{capacity: cfg.RingSize, cancel: cancel}
	a.handler = &handler{
		owner: a, log: log, cfg: cfg, callCtx: calls,
		batcher: newBatcher(cfg.MaxBatch, cfg.FlushInterval),
		drained: ring.NewSlot[struct{}](),
		aborted: ring.NewSlot[struct{}](),
	}
	// The handle has to be in place before the first message, which only
	// Append and the handler itself post.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.duty = duty.Start(sys, duty.Config{Name: dutyName, RingSize: cfg.RingSize + controlSlots}, duty.Handler[message](a.handler))
	return a
}

// Append queues the request without waiting. Errors: *duty.FullError when
// RingSize requests are not done yet, CodeNotReady after Stop; in both cases
// Done is never called.
func (a *Appender) Append(r Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return api.Errorf(api.CodeNotReady, "appender is stopping")
	}
	if a.outstanding >= a.capacity {
		return &duty.FullError{Duty: dutyName, Capacity: a.capacity}
	}
	if err := a.duty.Post(message{request: r}); err != nil {
		return err
	}
	a.outstanding++
	return nil
}

// Outstanding returns the number of requests accepted and not done.
func (a *Appender) Outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outstanding
}

// Stop refuses new requests, finishes the accepted ones while ctx lasts, fails
// the rest and ends the duty; a second call returns at once. Errors: ctx.Err()
// when it had to cut short.
func (a *Appender) Stop(ctx context.Context) error {
	a.mu.Lock()
	first := !a.closed
	a.closed = true
	a.mu.Unlock()
	if !first {
		return nil
	}
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	var drainErr error
	if err := a.duty.PostWait(ctx, message{kind: kindDrain}); err != nil {
		drainErr = err
	} else {
		_, drainErr = a.handler.drained.Wait(ctx)
	}
	a.cancel()
	if err := a.duty.PostWait(bound, message{kind: kindAbort}); err != nil {
		return err
	}
	if _, err := a.handler.aborted.Wait(bound); err != nil {
		return err
	}
	if err := a.duty.Stop(bound); err != nil {
		return err
	}
	return drainErr
}

func (a *Appender) release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outstanding -= n
}

// post queues a message from a timer or from the duty itself. A full ring
// needs no wake: the messages in it lead to the same look at the batcher.
func (a *Appender) post(m message) {
	a.mu.Lock()
	d := a.duty
	a.mu.Unlock()
	_ = d.Post(m)
}

// handler runs on the duty's thread.
type handler struct {
	owner    *Appender
	log      eventlog.Log
	cfg      Config
	callCtx  context.Context // parent of all calls of the log
	batcher  *batcher
	drained  *ring.Slot[struct{}]
	aborted  *ring.Slot[struct{}]
	draining bool
	timer    *time.Timer
}

// Handle implements duty.Handler. It makes at most one call of the log, so
// that everything queued meanwhile joins the next batch.
func (h *handler) Handle(_ context.Context, m message) {
	switch m.kind {
	case kindRequest:
		h.batcher.add(m.request)
	case kindDrain:
		h.draining = true
		h.batcher.flushNow()
	case kindAbort:
		h.abort()
		return
	}
	if h.owner.depth() > 0 {
		return // the last queued message acts for all
	}
	h.expire()
	h.attempt()
	h.scheduleWake()
	if h.draining && h.batcher.count == 0 {
		h.drained.Put(struct{}{})
	}
}

// attempt appends the batch of one ready stream, if there is one.
func (h *handler) attempt() {
	if h.callCtx.Err() != nil {
		return
	}
	q, batch := h.batcher.next(time.Now())
	if q == nil {
		return
	}
	err := h.appendBatch(q.name, batch)
	now := time.Now()
	if err == nil {
		done := append([]*pending(nil), batch...)
		h.batcher.appended(q, len(batch), now)
		h.finish(done, func(*pending) error { return nil })
		return
	}
	var unavailable *eventlog.UnavailableError
	h.batcher.failed(q, len(batch), !errors.As(err, &unavailable), now)
}

func (h *handler) appendBatch(stream string, batch []*pending) error {
	until := latestDeadline(batch)
	if limit := time.Now().Add(h.cfg.CallTimeout); limit.Before(until) {
		until = limit
	}
	ctx, cancel := context.WithDeadline(h.callCtx, until)
	defer cancel()
	_, err := h.log.Append(ctx, stream, records(batch))
	return err
}

func (h *handler) expire() {
	past := h.batcher.expire(time.Now())
	h.finish(past, func(p *pending) error { return p.failure("deadline passed") })
}

// scheduleWake sets the timer to the next time at which there is something to do.
func (h *handler) scheduleWake() {
	now := time.Now()
	h.batcher.dropIdle(now)
	if h.timer != nil {
		h.timer.Stop()
	}
	at, ok := h.batcher.wakeAt()
	if !ok || h.callCtx.Err() != nil {
		return
	}
	if !now.Before(at) {
		h.owner.post(message{kind: kindWake})
		return
	}
	h.timer = time.AfterFunc(at.Sub(now), func() { h.owner.post(message{kind: kindWake}) })
}

// abort fails every request that is left. Stop has closed the way in, and the
// ring keeps order, so no request comes after it.
func (h *handler) abort() {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.finish(h.batcher.takeAll(), func(p *pending) error { return p.failure("appender stopped") })
	h.aborted.Put(struct{}{})
}

func (h *handler) finish(list []*pending, result func(*pending) error) {
	h.owner.release(len(list))
	for _, p := range list {
		p.Done(result(p))
	}
}

func (a *Appender) depth() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.duty.Depth()
}
