// Package weights plans which load orders one daemon sends to the engines so
// that all of them come to run the announced weight versions. It is pure: the
// clock is an argument.
//
// Rendezvous hashing ranks the live daemons for each engine. The first one
// sends the orders; the others in turn take over while the engine's read-back
// stays behind the announcement. An order carries the offset of the
// announcement as its fencing number and is valid for a short time only. What
// an engine runs is known from its read-back alone, never from an order, and
// an order never names a version below the last read-back.
package weights

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Config tunes a Planner.
type Config struct {
	MaxLoads int // load orders in progress at this daemon at most
	MaxReads int // read-backs in progress at this daemon at most
	// ReadersPerEngine is the number of daemons, in rendezvous order, that read back
	// each engine; zero means all.
	ReadersPerEngine int
	ReadInterval     time.Duration // between two read-backs of an engine by its first daemon
	// MaxReadAge is the age up to which a read-back is good enough to base an order on.
	MaxReadAge time.Duration
	// OrderTTL is the time from the decision within which an order may be sent.
	OrderTTL time.Duration
	// TakeoverDelay is the time for which each daemon in rendezvous order is given
	// the chance to bring an engine up to date before the next one tries.
	TakeoverDelay time.Duration
	// WaveSize engines start to fetch a new version together, the next ones
	// WaveInterval later, over all daemons, because the weight store is rate limited.
	WaveSize     int
	WaveInterval time.Duration
	// MaxSpread is the time within which the last wave of an announcement begins;
	// waves grow beyond WaveSize to keep it. Zero: they never do.
	MaxSpread  time.Duration
	BackoffMin time.Duration // after the first failed load of an engine
	BackoffMax time.Duration
}

// DefaultConfig returns the settings for up to some hundreds of engines.
func DefaultConfig() Config {
	return Config{
		MaxLoads:         4,
		MaxReads:         4,
		ReadersPerEngine: 3,
		ReadInterval:     time.Second,
		MaxReadAge:       time.Second,
		OrderTTL:         500 * time.Millisecond,
		TakeoverDelay:    3 * time.Second,
		WaveSize:         8,
		WaveInterval:     250 * time.Millisecond,
		MaxSpread:        4 * time.Second,
		BackoffMin:       250 * time.Millisecond,
		BackoffMax:       5 * time.Second,
	}
}

// View is what a daemon knows of the announcements, the engines and the live
// daemons. The planner keeps it and does not change it.
type View struct {
	Announced map[api.ModelName]ledger.WeightState
	Upstreams []api.Upstream
	Members   []api.DaemonID
}

// Order is a load order to one engine.
type Order struct {
	Upstream  api.UpstreamID
	Model     api.ModelName
	Version   api.WeightVersion
	Fence     api.Offset
	DecidedAt time.Time
	TTL       time.Duration
}

// Valid reports whether the order may still be sent. It is asked right before
// sending: a holder that was paused may be holding an order that others have
// overtaken.
func (o Order) Valid(now time.Time) bool { return now.Sub(o.DecidedAt) <= o.TTL }

// Action is a Read or a Load to be started now. Each is reported back once.
type Action interface{ action() }

// Read asks for a read-back; report it with Planner.ReadDone or Planner.ReadFailed.
type Read struct {
	Upstream api.UpstreamID
	Address  string // host:port
}

// Load asks to send an order; report it with Planner.LoadDone.
type Load struct {
	Order   Order
	Address string // host:port
}

func (Read) action() {}
func (Load) action() {}

// Result is how sending an order ended.
type Result uint8

// The results. Whatever the result, the engine is read back next.
const (
	// Accepted: the engine says that it loaded the version.
	Accepted Result = iota + 1
	// Failed: the engine refused or failed, or its answer was lost.
	Failed
	// Expired: the order was too old and was not sent.
	Expired
)
