package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func cluster(seed uint64, size int) *sim {
	s := newSim(seed, membership.DefaultConfig())
	for i := range size {
		s.add(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), "10.1.0.0:7000", "10.1.0.1:7000")
	}
	return s
}

// After any mix of message loss, crashes, restarts, replacements, pauses,
// partitions and leaves, all live daemons agree on the members, and no live daemon
// stays marked dead.
func TestEventuallyAllAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := cluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "size"))
		s.runFor(10 * time.Second)
		some := func(t *rapid.T) *node { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
		// The sort order of the names decides which action a seed draws.
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				s.runFor(time.Duration(rapid.IntRange(50, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"loss":   func(t *rapid.T) { s.loss = float64(rapid.IntRange(0, 40).Draw(t, "percent")) / 100 },
			"crash":  func(t *rapid.T) { some(t).up = false },
			"freeze": func(t *rapid.T) { some(t).paused = true },
			"thaw":   func(t *rapid.T) { s.resume(some(t)) },
			"split":  func(t *rapid.T) { some(t).partition = rapid.IntRange(0, 1).Draw(t, "partition") },
			"stop":   func(t *rapid.T) { s.step(some(t), membership.StopStarted{}) },
			"restart": func(t *rapid.T) {
				n := some(t)
				n.up = false
				s.now = s.now.Add(time.Millisecond)
				if s.nodeAt(n.addr) == nil {
					s.start(n, "10.1.0.0:7000", "10.1.0.1:7000")
				}
			},
			"replace": func(t *rapid.T) {
				old := some(t)
				old.up = false
				s.now = s.now.Add(time.Millisecond)
				if s.nodeAt(old.addr) == nil && len(s.nodes) < 14 {
					s.add(fmt.Sprintf("new-%02d", len(s.nodes)), old.addr, "10.1.0.0:7000", "10.1.0.1:7000")
				}
			},
			"leave": func(t *rapid.T) {
				if n := some(t); n.up && !n.paused {
					s.step(n, membership.Leave{})
					n.up = false
				}
			},
		})
		s.loss = 0
		for _, n := range s.nodes {
			n.partition = 0
			s.resume(n)
		}
		// At least one seed must be up, as the platform's host list ensures.
		if s.nodeAt("10.1.0.0:7000") == nil {
			s.start(s.nodes[0], "10.1.0.1:7000")
		}
		_, wrong := s.settle(10 * time.Minute)
		assert.Equal(t, wrong, "")
	})
}

func TestOffsetReachesAllMembersAndNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := cluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 13).Draw(t, "size"))
		s.runFor(20 * time.Second)
		s.loss = float64(rapid.IntRange(0, 20).Draw(t, "percent")) / 100
		offset := api.Offset(rapid.IntRange(1, 1000).Draw(t, "offset"))
		s.step(s.nodes[0], membership.OffsetAdvanced{AppliedOffset: offset})
		s.step(s.nodes[0], membership.OffsetAdvanced{AppliedOffset: offset - 1})
		s.runFor(time.Minute)
		for _, n := range s.nodes {
			for _, m := range n.state.Members() {
				assert.Equal(t, m.AppliedOffset, offset, "list of %s, member %s", n.id, m.ID)
			}
		}
	})
}

func TestMessagesStayBounded(t *testing.T) {
	cfg := membership.DefaultConfig()
	self := membership.Member{ID: "entry-000", PeerAddress: "10.1.0.1:7000", Incarnation: 1}
	s := newSim(1, cfg)
	n := s.add("entry-000", self.PeerAddress)
	for i := range 2000 {
		m := membership.Member{ID: api.DaemonID(fmt.Sprintf("other-%d", i)), PeerAddress: fmt.Sprintf("10.2.%d.%d:1", i/250, i%250), Incarnation: 1}
		s.step(n, membership.ProbeReceived{Message: membership.Message{Sender: m}})
	}
	m := n.state.Compose("other-1", s.rng)
	assert.Assert(t, len(m.Updates) > 0 && len(m.Updates) <= cfg.PiggybackRecords)
	assert.Assert(t, m.Size() <= cfg.PiggybackBytes+m.Sender.Size()+64, "%d bytes", m.Size())
	page := n.state.Page("", 1_000_000)
	assert.Equal(t, len(page.Members), cfg.PageMembers)
	assert.Equal(t, page.NextID, page.Members[len(page.Members)-1].ID)
}

func TestConfigValidate(t *testing.T) {
	cfg := membership.DefaultConfig()
	assert.NilError(t, cfg.Validate())
	cfg.ProbeInterval = 0
	assert.Equal(t, api.CodeOf(cfg.Validate()), api.CodeInvalid)
}

// Guards against a partitioned daemon that believes it has contact: messages that
// waited unread while the process was paused do not show that their senders are
// reachable now, and the reply to a probe shows it only for the time of the probe.
func TestStaleMessagesDoNotCountAsContact(t *testing.T) {
	start := time.Unix(100, 0)
	self := membership.Member{ID: "a", PeerAddress: "10.1.0.1:7000", Incarnation: 1}
	other := membership.Member{ID: "b", PeerAddress: "10.1.0.2:7000", Incarnation: 1}
	s := membership.New(membership.DefaultConfig(), self, nil, start)
	r := rand.New(rand.NewPCG(1, 1))
	hello := membership.ProbeReceived{Message: membership.Message{Sender: other, RecipientID: "a"}}
	s.Step(hello, start.Add(2*time.Second), r)
	s.Step(hello, start.Add(2100*time.Millisecond), r)
	assert.Assert(t, s.LastContact().IsZero()) // just after a pause
	before := start.Add(3200 * time.Millisecond)
	for at := start.Add(2200 * time.Millisecond); !at.After(before); at = at.Add(100 * time.Millisecond) {
		s.Step(membership.Tick{}, at, r)
	}
	s.Step(hello, before, r)
	assert.Equal(t, s.LastContact(), before)
	after := start.Add(20 * time.Second)
	s.Step(hello, after, r)
	s.Step(membership.Tick{}, after, r)
	assert.Equal(t, s.LastContact(), before)
}
