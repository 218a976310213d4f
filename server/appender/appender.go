// Package appender runs the duty that appends records to the platform's log in
// batches and retries failed appends until the records' deadlines.
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
	// controlSlots is the capacity reserved in the ring for messages other than
	// requests.
	controlSlots = 8
	// abortTimeout bounds the time that Stop takes after draining has ended, mainly
	// for a cancelled append call to return.
	abortTimeout = 5 * time.Second
	// defaultCallTimeout applies if Config.CallTimeout is not set.
	defaultCallTimeout = 2 * time.Second
)

// Config configures an Appender.
type Config struct {
	RingSize      int           // maximum number of outstanding requests
	MaxBatch      int           // maximum number of records in one append
	FlushInterval time.Duration // minimum time between two appends to one stream; zero: none
	// CallTimeout bounds one append call. A call blocks the duty's thread, so it
	// also bounds how long a slow stream delays the others.
	CallTimeout time.Duration
}

// Request is a request to append one record.
type Request struct {
	Stream   string
	Record   eventlog.Record
	Deadline time.Time // no attempt starts after it
	// Done is called exactly once, on the duty's thread, and must not block. Its
	// argument is nil when the record is in the log at least once, an error with
	// CodeLogUnavailable when it is not and never will be, and one with
	// CodeUnknownResult when it may be. Done is called at most CallTimeout after
	// the deadline.
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
	outstanding int // accepted, Done not called yet
}

// message is a message to the duty.
type message struct {
	kind    messageKind
	request Request
}

type messageKind uint8

const (
	kindRequest messageKind = iota
	kindWake                // a retry, a flush or a deadline is due
	kindDrain               // report when no request is pending
	kindAbort               // fail the pending requests
)

// Start starts the duty.
func Start(sys *duty.System, log eventlog.Log, cfg Config) *Appender {
	cfg.RingSize = max(1, cfg.RingSize)
	cfg.MaxBatch = max(1, cfg.MaxBatch)
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	callCtx, cancel := context.WithCancel(context.Background())
	a := &Appender{capacity: cfg.RingSize, cancel: cancel}
	a.handler = &handler{
		appender: a, log: log, cfg: cfg, callCtx: callCtx,
		batcher: newBatcher(cfg.MaxBatch, cfg.FlushInterval),
		drained: ring.NewSlot[struct{}](),
		aborted: ring.NewSlot[struct{}](),
	}
	// Append and the handler take the lock to post a message, so a.duty is set before
	// they use it.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.duty = duty.Start(sys, duty.Config{Name: dutyName, RingSize: cfg.RingSize + controlSlots}, duty.Handler[message](a.handler))
	return a
}

// Append queues a request without waiting. Errors: *duty.FullError when RingSize
// requests are outstanding, CodeNotReady after Stop; Done is not called then.
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

// Outstanding returns the number of accepted requests whose Done was not called.
func (a *Appender) Outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outstanding
}

// Stop rejects new requests, completes the accepted ones until ctx ends, fails
// the rest and ends the duty. A second call returns at once. Errors: ctx.Err()
// when it ended before all requests were completed.
func (a *Appender) Stop(ctx context.Context) error {
	a.mu.Lock()
	first := !a.closed
	a.closed = true
	a.mu.Unlock()
	if !first {
		return nil
	}
	abortCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	var drainErr error
	if err := a.duty.PostWait(ctx, message{kind: kindDrain}); err != nil {
		drainErr = err
	} else {
		_, drainErr = a.handler.drained.Wait(ctx)
	}
	a.cancel()
	if err := a.duty.PostWait(abortCtx, message{kind: kindAbort}); err != nil {
		return err
	}
	if _, err := a.handler.aborted.Wait(abortCtx); err != nil {
		return err
	}
	if err := a.duty.Stop(abortCtx); err != nil {
		return err
	}
	return drainErr
}

func (a *Appender) release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outstanding -= n
}

// postInternal posts a message from a timer or from the duty itself. If the ring is
// full, the message is not needed: handling the queued ones has the same effect.
func (a *Appender) postInternal(m message) {
	a.mu.Lock()
	d := a.duty
	a.mu.Unlock()
	_ = d.Post(m)
}

// handler is the duty's handler; only the duty's thread accesses it.
type handler struct {
	appender *Appender
	log      eventlog.Log
	cfg      Config
	callCtx  context.Context // parent of the contexts of all append calls
	batcher  *batcher
	drained  *ring.Slot[struct{}]
	aborted  *ring.Slot[struct{}]
	draining bool
	timer    *time.Timer
}

// Handle implements duty.Handler. It makes at most one append call, so that
// requests queued meanwhile join the next batch.
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
	if h.appender.ringDepth() > 0 {
		return // the append follows the last queued message
	}
	h.failExpired()
	h.appendNext()
	h.scheduleWake()
	if h.draining && h.batcher.pending == 0 {
		h.drained.Put(struct{}{})
	}
}

// appendNext appends the batch of one ready stream, if any.
func (h *handler) appendNext() {
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
		done := append([]*pendingRequest(nil), batch...)
		h.batcher.appended(q, len(batch), now)
		h.complete(done, func(*pendingRequest) error { return nil })
		return
	}
	var unavailable *eventlog.UnavailableError
	h.batcher.failed(q, len(batch), !errors.As(err, &unavailable), now)
}

func (h *handler) appendBatch(stream string, batch []*pendingRequest) error {
	deadline := latestDeadline(batch)
	if limit := time.Now().Add(h.cfg.CallTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(h.callCtx, deadline)
	defer cancel()
	_, err := h.log.Append(ctx, stream, records(batch))
	return err
}

func (h *handler) failExpired() {
	expired := h.batcher.takeExpired(time.Now())
	h.complete(expired, func(p *pendingRequest) error { return p.failure("deadline passed") })
}

// scheduleWake sets the timer to the next time at which the batcher needs a call.
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
		h.appender.postInternal(message{kind: kindWake})
		return
	}
	h.timer = time.AfterFunc(at.Sub(now), func() { h.appender.postInternal(message{kind: kindWake}) })
}

// abort fails all pending requests. Stop has already rejected new ones and the
// ring is ordered, so no request follows the abort message.
func (h *handler) abort() {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.complete(h.batcher.takeAll(), func(p *pendingRequest) error { return p.failure("appender stopped") })
	h.aborted.Put(struct{}{})
}

func (h *handler) complete(requests []*pendingRequest, result func(*pendingRequest) error) {
	h.appender.release(len(requests))
	for _, p := range requests {
		p.Done(result(p))
	}
}

func (a *Appender) ringDepth() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.duty.Depth()
}
