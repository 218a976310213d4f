package duty

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/ring"
	"github.com/asynkron/protoactor-go/actor"
)

// tick is the message that a handler's Tick method stands for.
type tick struct{}

// mailbox implements actor.Mailbox over a bounded ring. System messages have
// an unbounded queue of their own, so a full ring never blocks or loses them.
type mailbox struct {
	cfg      Config
	queue    *ring.Ring[any]
	rejected atomic.Uint64
	invoker  actor.MessageInvoker
	dropped  func(any) // nil: messages left at the stop are lost
	done     chan struct{}

	// The duty's thread alone uses these.
	idle        func() bool // nil: never idle
	timer       *time.Timer
	idleTicking bool // the next tick comes after Config.IdleTick

	mu           sync.Mutex
	ready        sync.Cond
	system       []any
	pendingPosts int  // posts not yet looked at
	tickDue      bool // one tick waits
}

func newMailbox(cfg Config) *mailbox {
	m := &mailbox{cfg: cfg, queue: ring.New[any](cfg.RingSize), done: make(chan struct{})}
	m.ready.L = &m.mu
	return m
}

// PostUserMessage implements actor.Mailbox; it drops and counts on a full ring.
func (m *mailbox) PostUserMessage(message any) {
	if m.queue.TryPush(message) != nil {
		m.rejected.Add(1)
		return
	}
	m.wake()
}

// PostSystemMessage implements actor.Mailbox.
func (m *mailbox) PostSystemMessage(message any) {
	m.mu.Lock()
	m.system = append(m.system, message)
	m.mu.Unlock()
	m.ready.Signal()
}

// RegisterHandlers implements actor.Mailbox.
func (m *mailbox) RegisterHandlers(invoker actor.MessageInvoker, _ actor.Dispatcher) {
	m.invoker = invoker
}

// Start implements actor.Mailbox.
func (m *mailbox) Start() { go m.run() }

// UserMessageCount implements actor.Mailbox.
func (m *mailbox) UserMessageCount() int { return m.queue.Len() }

func (m *mailbox) wake() {
	m.mu.Lock()
	m.pendingPosts++
	m.mu.Unlock()
	m.ready.Signal()
}

func (m *mailbox) run() {
	if !m.cfg.Unlocked {
		runtime.LockOSThread()
	}
	defer close(m.done)
	defer m.drain()
	stopTicks := m.startTicks()
	defer stopTicks()
	for m.step() {
	}
}

// drain refuses further messages and hands back those that are left.
func (m *mailbox) drain() {
	m.queue.Close()
	for message, ok := m.queue.TryPop(); ok; message, ok = m.queue.TryPop() {
		if m.dropped != nil {
			m.dropped(message)
		}
	}
}

// step waits for work and does one round of it; false ends the duty.
func (m *mailbox) step() bool {
	system, due := m.wait()
	for _, message := range system {
		m.invoker.InvokeSystemMessage(message)
		if _, stop := message.(*actor.Stop); stop {
			return false
		}
	}
	if due {
		m.tick()
	}
	if message, ok := m.queue.TryPop(); ok {
		m.handle(message)
	}
	return true
}

// wait sleeps until there is a system message, a tick or a queued message.
func (m *mailbox) wait() ([]any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.system) == 0 && m.pendingPosts == 0 && !m.tickDue {
		m.ready.Wait()
	}
	if m.pendingPosts > 0 {
		m.pendingPosts--
	}
	system, due := m.system, m.tickDue
	m.system, m.tickDue = nil, false
	return system, due
}

// startTicks arms the periodic tick and returns the function that ends it.
// Both belong to the duty's thread.
func (m *mailbox) startTicks() func() {
	if m.cfg.Tick <= 0 {
		return func() {}
	}
	m.timer = time.AfterFunc(m.cfg.Tick, m.signalTick)
	return func() { m.timer.Stop() }
}

func (m *mailbox) signalTick() {
	m.mu.Lock()
	m.tickDue = true
	m.mu.Unlock()
	m.ready.Signal()
}

// tick handles a tick and arms the next one, which is due an interval after
// this one began.
func (m *mailbox) tick() {
	began := time.Now()
	m.invoker.InvokeUserMessage(tick{})
	interval := m.cfg.Tick
	m.idleTicking = m.idle != nil && m.idle()
	if m.idleTicking {
		interval = m.cfg.IdleTick
	}
	m.timer.Reset(max(0, interval-time.Since(began)))
}

// handle handles a message; a duty that has work again ticks at its full rate.
func (m *mailbox) handle(message any) {
	m.invoker.InvokeUserMessage(message)
	if m.idleTicking && !m.idle() {
		m.idleTicking = false
		m.timer.Reset(m.cfg.Tick)
	}
}
