// Package gossip runs the membership protocol between daemons: one duty owns the
// state, several others make the blocking calls to peers. It also distributes
// configuration records, so that a daemon that can reach its peers but not the
// platform's log stays up to date.
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
// refutations, pauses, pulls, records_pulled, images_pulled, strikes_shared,
// strikes_unshared, calls_unsent, events_dropped.
var counters = expvar.NewMap("gossip")

const (
	tickInterval        = 100 * time.Millisecond
	stateRingSize       = 256
	callRingSize        = 8
	seedRefreshInterval = 5 * time.Second // between two reads of the seed source
	callTimeout         = time.Second     // of a page, a tail or an image
	strikeRingSize      = 64
	strikeCallTimeout   = 250 * time.Millisecond // an unreachable daemon must not delay the report to the others for long
	maxTailRecords      = 128                    // in one pull
)

// ConfigReplica is the daemon's replica of the configuration stream. It is safe for
// concurrent use.
type ConfigReplica interface {
	// AppliedOffset returns the offset of the last applied record.
	AppliedOffset() api.Offset
	// Tail returns up to limit applied records starting at an offset; none when
	// the record at that offset is no longer held.
	Tail(from api.Offset, limit int) []eventlog.Entry
	// Offer adds records received from a peer, contiguous and in order.
	// Applied ones are ignored.
	Offer(entries []eventlog.Entry)
	// Image returns the encoded state, for a peer that needs records that are no
	// longer held. Errors: CodeNotReady, CodeDeadlineExceeded.
	Image(ctx context.Context) ([]byte, error)
	// InstallImage installs a peer's image. One that is not ahead is ignored.
	InstallImage(image []byte)
}

// SeedSource provides addresses of other daemons, such as the platform's host list,
// which lags. It is safe for concurrent use and does not block.
type SeedSource interface{ Seeds() []string }

// PeerClient makes calls to other daemons. A call blocks until the response arrives
// or ctx ends.
type PeerClient interface {
	// Probe sends a gossip message and returns the response.
	Probe(ctx context.Context, addr string, m membership.Message) (membership.Message, error)
	// IndirectProbe asks the daemon at addr to probe target.
	IndirectProbe(ctx context.Context, addr, target string, timeout time.Duration) (bool, error)
	// Members fetches a page of the member list.
	Members(ctx context.Context, addr string, after api.DaemonID, limit int) (membership.Page, error)
	// Tail fetches records of the configuration stream.
	Tail(ctx context.Context, addr string, from api.Offset, limit int) ([]eventlog.Entry, error)
	// Image fetches the state of the configuration stream.
	Image(ctx context.Context, addr string) ([]byte, error)
	// ReportStrike reports a strike that is not in the log.
	ReportStrike(ctx context.Context, addr string, s api.Strike) error
}

// Config configures the gossip of a daemon.
type Config struct {
	// Self is this daemon; its incarnation is the start time in Unix milliseconds.
	Self       membership.Member
	Seeds      []string   // peer addresses (ip:port) of some other daemons
	SeedSource SeedSource // provides further seeds; may be nil
	CallDuties int        // number of duties that call peers; 0 means DefaultCallDuties
	Protocol   membership.Config
	// OnPeerStrike takes a strike that another daemon could not log yet. It must not
	// block; its error is returned to that daemon.
	OnPeerStrike func(api.Strike) error
	// Rand is the source of all random choices; nil means a randomly seeded one.
	Rand membership.Rand
}

// DefaultCallDuties suffices for a daemon's probes while some time out.
const DefaultCallDuties = 4

// Validate checks the configuration. Errors: CodeInvalid.
func (c *Config) Validate() error {
	switch {
	case c.Self.ID == "":
		return api.Errorf(api.CodeInvalid, "name of this daemon is empty")
	case c.Self.PeerAddress == "":
		return api.Errorf(api.CodeInvalid, "peer address of this daemon is empty")
	case c.Self.Incarnation == 0:
		return api.Errorf(api.CodeInvalid, "incarnation of this daemon is 0; it must be the start time")
	case c.OnPeerStrike == nil:
		return api.Errorf(api.CodeInvalid, "no function takes the strikes of other daemons")
	case c.CallDuties < 0:
		return api.Errorf(api.CodeInvalid, "number of call duties is %d; it must not be negative", c.CallDuties)
	}
	return c.Protocol.Validate()
}

// withDefaults returns the configuration with defaults for unset fields.
func (c Config) withDefaults() Config {
	if c.CallDuties == 0 {
		c.CallDuties = DefaultCallDuties
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}
