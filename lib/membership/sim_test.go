package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
)

const (
	tickEvery = 200 * time.Millisecond
	// callOverhead is an estimate of the DRPC framing of a message, in bytes.
	callOverhead = 30
)

// node is a simulated daemon. Events of earlier runs are dropped after a restart.
type node struct {
	id        api.DaemonID
	addr      string
	run       uint64
	up        bool
	paused    bool
	partition int // side of the network partition
	state     *membership.State
	delayed   []func() // deliveries that arrived during a pause
	bytes     int      // sent and received
}

type scheduledEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim is a network of nodes in virtual time.
type sim struct {
	cfg   membership.Config
	rng   *rand.Rand
	now   time.Time
	seq   uint64
	queue eventQueue
	nodes []*node
	loss  float64
}

func newSim(seed uint64, cfg membership.Config) *sim {
	return &sim{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_000_000)}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, scheduledEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *sim) add(id, addr string, seeds ...string) *node {
	n := &node{id: api.DaemonID(id), addr: addr}
	s.nodes = append(s.nodes, n)
	s.start(n, seeds...)
	return n
}

func (s *sim) start(n *node, seeds ...string) {
	self := membership.Member{
		ID: n.id, PeerAddress: n.addr, CallerAddress: n.addr, DataCentre: "sapporo-a", Incarnation: uint64(s.now.UnixMilli()),
	}
	n.run++
	n.up, n.paused, n.delayed = true, false, nil
	n.state = membership.New(s.cfg, self, seeds, s.now)
	s.after(time.Duration(s.rng.Int64N(int64(tickEvery))), s.ticker(n, n.run))
}

func (s *sim) ticker(n *node, run uint64) func() {
	return func() {
		if n.run != run || !n.up {
			return
		}
		if !n.paused {
			s.step(n, membership.Tick{})
		}
		s.after(tickEvery, s.ticker(n, run))
	}
}

func (s *sim) resume(n *node) {
	n.paused = false
	delayed := n.delayed
	n.delayed = nil
	for _, do := range delayed {
		do()
	}
}

// deliver runs do at n after a random latency, after the pause if n is paused, and
// not at all if n has restarted since.
func (s *sim) deliver(n *node, do func()) {
	run := n.run
	s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() {
		if n.run != run || !n.up {
			return
		}
		if n.paused {
			n.delayed = append(n.delayed, do)
			return
		}
		do()
	})
}

func (s *sim) nodeAt(addr string) *node {
	for _, n := range s.nodes {
		if n.up && n.addr == addr {
			return n
		}
	}
	return nil
}

// route returns the node at addr, or nil if the message is lost.
func (s *sim) route(from *node, addr string) *node {
	n := s.nodeAt(addr)
	if n == nil || n.partition != from.partition || s.rng.Float64() < s.loss {
		return nil
	}
	return n
}

func (s *sim) step(n *node, e membership.Event) {
	for _, a := range n.state.Step(e, s.now, s.rng) {
		s.perform(n, a)
	}
}

func (s *sim) perform(n *node, a membership.Action) {
	switch a := a.(type) {
	case membership.SendProbe:
		s.probe(n, a.Address, a.Message, a.Timeout,
			func(m membership.Message) { s.step(n, membership.ProbeAcked{Seq: a.Seq, Message: m}) },
			func() { s.step(n, membership.ProbeFailed{Seq: a.Seq}) })
	case membership.SendIndirectProbe:
		if via := s.route(n, a.RelayAddress); via != nil {
			s.deliver(via, func() { s.probeIndirectly(n, via, a) })
		}
	case membership.FetchPage:
		s.fetch(n, a)
	case membership.PullTail:
		s.pull(n, a)
	}
}

func (s *sim) probeIndirectly(n, via *node, a membership.SendIndirectProbe) {
	m := via.state.Compose("", s.rng)
	s.probe(via, a.TargetAddress, m, a.Timeout, func(membership.Message) {
		if s.route(via, n.addr) == n {
			s.deliver(n, func() { s.step(n, membership.IndirectProbeAcked{Seq: a.Seq}) })
		}
	}, func() {})
}

// probe sends a message to addr, sometimes twice, and passes the reply or the
// failure to n.
func (s *sim) probe(n *node, addr string, m membership.Message, timeout time.Duration,
	answered func(membership.Message), failed func(),
) {
	s.count(n, m.Size())
	copies := 1
	if s.loss > 0 && s.rng.IntN(10) == 0 {
		copies = 2
	}
	done := false
	for range copies {
		target := s.route(n, addr)
		if target == nil {
			continue
		}
		s.deliver(target, func() {
			s.count(target, m.Size())
			for _, a := range target.state.Step(membership.ProbeReceived{Message: m}, s.now, s.rng) {
				reply, ok := a.(membership.Reply)
				if !ok {
					s.perform(target, a)
					continue
				}
				s.count(target, reply.Message.Size())
				if s.route(target, n.addr) != n {
					continue
				}
				s.deliver(n, func() {
					done = true
					s.count(n, reply.Message.Size())
					answered(reply.Message)
				})
			}
		})
	}
	run := n.run
	s.after(timeout, func() {
		if !done && n.run == run && n.up && !n.paused {
			failed()
		}
	})
}

func (s *sim) fetch(n *node, a membership.FetchPage) {
	target := s.route(n, a.Address)
	if target == nil || target.paused {
		s.deliver(n, func() { s.step(n, membership.PageFailed{}) })
		return
	}
	page := target.state.Page(a.AfterID, a.Limit)
	size := 0
	for i := range page.Members {
		size += page.Members[i].Size()
	}
	s.count(n, size)
	s.count(target, size)
	s.deliver(n, func() { s.step(n, membership.PageReceived{Page: page}) })
}

func (s *sim) pull(n *node, a membership.PullTail) {
	const recordBytes = 300
	if target := s.route(n, a.Address); target != nil && !target.paused {
		applied := target.state.Self().AppliedOffset
		s.count(n, recordBytes)
		s.count(target, recordBytes)
		s.deliver(n, func() { s.step(n, membership.OffsetAdvanced{AppliedOffset: applied}) })
	}
	s.deliver(n, func() { s.step(n, membership.TailDone{}) })
}

func (s *sim) count(n *node, size int) { n.bytes += size + callOverhead }

// disagreement describes the first live node whose member list is wrong; empty if
// there is none.
func (s *sim) disagreement() string {
	actual := map[api.DaemonID]uint64{}
	for _, n := range s.nodes {
		if n.up && n.state.Self().Status != membership.Left {
			actual[n.id] = n.state.Self().Incarnation
		}
	}
	for _, n := range s.nodes {
		if actual[n.id] == 0 || !n.up {
			continue
		}
		live := 0
		for _, m := range n.state.Members() {
			if m.Status == membership.Dead || m.Status == membership.Left {
				continue
			}
			live++
			if m.Status != membership.Alive || actual[m.ID] != m.Incarnation {
				return fmt.Sprintf("%s has %s as %v at incarnation %d, actual incarnation %d", n.id, m.ID, m.Status, m.Incarnation, actual[m.ID])
			}
		}
		if live != len(actual) {
			return fmt.Sprintf("%s has %d of %d live members", n.id, live, len(actual))
		}
	}
	return ""
}

// settle runs the simulation until all live nodes agree, or up to a limit. It
// returns the time taken and the remaining disagreement.
func (s *sim) settle(limit time.Duration) (time.Duration, string) {
	start := s.now
	for s.now.Sub(start) < limit {
		if s.disagreement() == "" {
			return s.now.Sub(start), ""
		}
		s.runFor(tickEvery)
	}
	return s.now.Sub(start), s.disagreement()
}
