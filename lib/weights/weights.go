// Package weights plans the load orders that one daemon sends to engines, so that
// all engines load the announced weight versions. It does no I/O and takes the time
// as an argument.
//
// Rendezvous hashing ranks the live daemons for each engine. The first daemon sends
// the orders. The others take over in turn while the engine's read-back shows an
// older version than announced. An order carries the offset of the announcement as
// its fencing token and is valid for a short time only. The version that an engine
// runs is known only from read-backs, which ask the engine for it, never from orders,
// and an order never names a version below the last read-back.
package weights

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ledger"
)

// Config configures a Planner.
type Config struct {
	MaxLoads int // maximum load orders in progress on this daemon
	MaxReads int // maximum read-backs in progress on this daemon
	// ReadersPerEngine is the number of daemons, in rendezvous order, that read back
	// each engine; zero means all.
	ReadersPerEngine int
	ReadInterval     time.Duration // between read-backs of an engine by its first daemon
	// MaxReadAge is the maximum age of a read-back that an order is based on.
	MaxReadAge time.Duration
	// OrderTTL is how long after the decision an order may be sent.
	OrderTTL time.Duration
	// TakeoverDelay is how long each daemon in rendezvous order has to update an
	// engine before the next daemon tries.
	TakeoverDelay time.Duration
	// WaveSize is the number of engines, over all daemons, that load a new version
	// at once. The next wave starts WaveInterval later. The weight store is rate
	// limited.
	WaveSize     int
	WaveInterval time.Duration
	// MaxSpread is the time within which the last wave of an announcement starts.
	// Waves exceed WaveSize if that is necessary. Zero means no limit.
	MaxSpread  time.Duration
	BackoffMin time.Duration // after the first failed load of an engine
	BackoffMax time.Duration // after consecutive failed loads
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

// View is a daemon's view of the announcements, the engines and the live daemons.
// The planner retains it and does not change it.
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
	Fence     api.Offset // fencing token: offset of the announcement
	DecidedAt time.Time
	TTL       time.Duration // maximum time from DecidedAt to sending
}

// Valid reports whether the order may still be sent. It must be checked right before
// sending, because other daemons may have sent newer orders while this one was
// paused.
func (o Order) Valid(now time.Time) bool { return now.Sub(o.DecidedAt) <= o.TTL }

// Action is a Read or a Load to start now. The result of each must be reported once.
type Action interface{ action() }

// Read requests a read-back. Its result is reported with Planner.ReadDone or
// Planner.ReadFailed.
type Read struct {
	Upstream api.UpstreamID
	Address  string // host:port
}

// Load requests that an order is sent. Its result is reported with Planner.LoadDone.
type Load struct {
	Order   Order
	Address string // host:port
}

func (Read) action() {}
func (Load) action() {}

// Result is the result of an order. After any result the engine is read back.
type Result uint8

// The results of an order.
const (
	// Accepted means that the engine has confirmed the load.
	Accepted Result = iota + 1
	// Failed means that the engine refused or failed, or its response was lost.
	Failed
	// Expired means that the order was too old and was not sent.
	Expired
)
