package duty

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/ring"
	"github.com/asynkron/protoactor-go/actor"
)

// tick is the message that calls a handler's Tick method.
type tick struct{}

// mailbox implements actor.Mailbox with a bounded ring. System messages have a
// separate unbounded queue, so that a full ring does not block or drop them.
type mailbox struct {
	cfg      Config
	queue    *ring.Ring[any]
	rejected atomic.Uint64
	invoker  actor.MessageInvoker
	dropped  func(any) // nil: messages queued at the stop are discarded
	done     chan struct{}

	// Used only by the duty's thread.
	idle        func() bool // nil: never idle
	timer       *time.Timer
	idleTicking bool // the next tick comes after Config.IdleTick

	mu           sync.Mutex
	ready        sync.Cond
	system       []any
	pendingPosts int  // posts not yet processed
	tickDue      bool // a tick is pending
}

func newMailbox(cfg Config) *mailbox {
	m := &mailbox{cfg: cfg, queue: ring.New[any](cfg.RingSize), done: make(chan struct{})}
	m.ready.L = &m.mu
	return m
}

// PostUserMessage implements actor.Mailbox. If the ring is full it drops and
// counts the message.
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

// drain closes the ring and passes the remaining messages to dropped.
func (m *mailbox) drain() {
	m.queue.Close()
	for message, ok := m.queue.TryPop(); ok; message, ok = m.queue.TryPop() {
		if m.dropped != nil {
			m.dropped(message)
		}
	}
}

// step waits for work and processes it. It returns false when the duty is stopped.
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

// wait blocks until there is a system message, a tick or a queued message. It
// returns the system messages and whether a tick is due.
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

// startTicks starts the periodic tick and returns a function that stops it. Both
// are called on the duty's thread.
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

// tick handles a tick and schedules the next one, which is due one interval after
// the start of this one.
func (m *mailbox) tick() {
	start := time.Now()
	m.invoker.InvokeUserMessage(tick{})
	interval := m.cfg.Tick
	m.idleTicking = m.idle != nil && m.idle()
	if m.idleTicking {
		interval = m.cfg.IdleTick
	}
	m.timer.Reset(max(0, interval-time.Since(start)))
}

// handle handles a message. A duty that is no longer idle returns to Config.Tick.
func (m *mailbox) handle(message any) {
	m.invoker.InvokeUserMessage(message)
	if m.idleTicking && !m.idle() {
		m.idleTicking = false
		m.timer.Reset(m.cfg.Tick)
	}
}
