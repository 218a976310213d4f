// Package gossip runs the membership decisions between daemons: one duty owns
// the state, and a few caller duties make the blocking calls to peers. It also
// spreads records of the configuration stream, so that a daemon which is cut
// off from the platform's log but not from its peers keeps up.
package gossip

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
)

// counters of this process: probes, indirect_probes, suspicions, deaths,
// refutations, pauses, pulls, records_pulled, calls_unsent, events_dropped.
var counters = expvar.NewMap("gossip")

const (
	tickInterval        = 100 * time.Millisecond
	stateRingSize       = 256
	callerRingSize      = 8
	seedRefreshInterval = 5 * time.Second // between two looks at the seed source
	callTimeout         = time.Second     // of a page or a tail
	maxTailRecords      = 128             // records pulled at a time
)

// ConfigReplica is the daemon's ledger of the configuration stream. Its methods
// may be called from any thread.
type ConfigReplica interface {
	// AppliedOffset returns the offset of the last record in force.
	AppliedOffset() api.Offset
	// Tail returns up to limit records in force, from an offset on; none when
	// that offset is no longer held.
	Tail(from api.Offset, limit int) []eventlog.Entry
	// Offer hands over records learned from a peer, contiguous and in order.
	// Those already in force are ignored.
	Offer(entries []eventlog.Entry)
	// Image returns the encoded state, for a peer that needs records which are
	// no longer held.
	Image(ctx context.Context) ([]byte, error)
	// InstallImage hands over a peer's image. One that is not ahead is ignored.
	InstallImage(image []byte)
}

// SeedSource yields addresses of further daemons, such as the platform's host
// list, which lags. It may be called from any thread and does not block.
type SeedSource interface{ Seeds() []string }

// PeerClient makes the calls to other daemons. Calls block until the answer or
// the end of ctx.
type PeerClient interface {
	// Probe sends a gossip message and returns the answer.
	Probe(ctx context.Context, addr string, m membership.Message) (membership.Message, error)
	// IndirectProbe asks the daemon at addr to probe target.
	IndirectProbe(ctx context.Context, addr, target string, timeout time.Duration) (bool, error)
	// Members fetches a page of the member list.
	Members(ctx context.Context, addr string, after api.DaemonID, limit int) (membership.Page, error)
	// Tail fetches records of the configuration stream.
	Tail(ctx context.Context, addr string, from api.Offset, limit int) ([]eventlog.Entry, error)
	// Image fetches the state of the configuration stream.
	Image(ctx context.Context, addr string) ([]byte, error)
}

// Config describes this daemon and how it gossips.
type Config struct {
	// Self is this daemon; its incarnation is the start time in Unix milliseconds.
	Self       membership.Member
	Seeds      []string   // ip:port of some other daemons
	SeedSource SeedSource // further seeds; may be nil
	Callers    int        // threads that make blocking calls; 0 means DefaultCallers
	Protocol   membership.Config
	// Rand draws all random choices; nil means one seeded at random.
	Rand membership.Rand
}

// DefaultCallers is enough for the probes of one daemon while some time out.
const DefaultCallers = 4

// Validate checks the configuration. Errors: CodeInvalid.
func (c *Config) Validate() error {
	switch {
	case c.Self.ID == "":
		return api.Errorf(api.CodeInvalid, "own daemon name is empty")
	case c.Self.PeerAddress == "":
		return api.Errorf(api.CodeInvalid, "own peer address is empty")
	case c.Self.Incarnation == 0:
		return api.Errorf(api.CodeInvalid, "own incarnation is 0; it must be the start time")
	case c.Callers < 0:
		return api.Errorf(api.CodeInvalid, "callers is %d; it must not be negative", c.Callers)
	}
	return c.Protocol.Validate()
}

// withDefaults fills in what was left open.
func (c Config) withDefaults() Config {
	if c.Callers == 0 {
		c.Callers = DefaultCallers
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}
