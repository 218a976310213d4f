package hosted

import (
	"time"

	"dotterelmount.example/lib/latency"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/pace"
	"dotterelmount.example/server/book"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"dotterelmount.example/server/follow"
	"dotterelmount.example/server/keeper"
	"dotterelmount.example/server/relay"
	"dotterelmount.example/server/runner"
	"dotterelmount.example/server/upkeep"
)

// Times and sizes of the parts.
const (
	operatorPace   = 50 * time.Millisecond   // a fortieth of the bound for a configuration
	serversPace    = 150 * time.Millisecond  // an eighth of the upstreams' heartbeat
	journalSilence = 2 * time.Second         // without a whole read the daemon asks for no new connections
	relayBusyAt    = 2                       // requests in flight at an upstream before the next one is used
	retryAfter     = 100 * time.Millisecond  // another daemon can usually serve at once
	headerTimeout  = 10 * time.Second        // above what the platform allows its clients
	idleTimeout    = 2 * time.Minute         // above what the platform allows its clients
	linger         = 2500 * time.Millisecond // two readiness polls, one a second, and the delay of new connections
	crashNews      = 3 * time.Second         // until a request that crashes upstreams is known everywhere
	journalShare   = 0.4                     // of the store's reads; the rest is for the feeds, restarts and bursts
	stopMargin     = 500 * time.Millisecond  // for the process's own end
	feedWait       = time.Second             // with its time-out within the bound for a configuration
	feedTimeout    = 600 * time.Millisecond  // a healthy store answers within some milliseconds
	logCallTimeout = time.Second             // a healthy store answers within some milliseconds
)

var recorder = latency.New()

var followConfig = follow.Config{
	Wait: feedWait, Timeout: feedTimeout, RetryEvery: 100 * time.Millisecond,
	Doubt: 2 * time.Second, // the platform's word for entries that lapsed in an outage
	Now:   time.Now,
}

var committerConfig = committer.Config{
	RingSize: 4096, Timeout: logCallTimeout, RetryEvery: 50 * time.Millisecond, Patience: 300 * time.Millisecond, Now: time.Now,
}

var chunksConfig = chunks.Config{
	Readers:  8, // some seven milliseconds each, so that a hundred pieces take a tenth of a second
	RingSize: 256, Timeout: logCallTimeout,
}

var bookConfig = book.Config{
	RingSize: 1024, Wait: feedWait, Timeout: feedTimeout, Pace: 15 * time.Millisecond, RetryEvery: 100 * time.Millisecond,
	ResultBytes: 900 << 10, // the platform's clients take 1 MB
	Now:         time.Now,
}

var keeperConfig = keeper.Config{
	Tick: 100 * time.Millisecond, RenewEvery: 350 * time.Millisecond,
	Expire: 1500 * time.Millisecond, // four renewals
	Turn:   500 * time.Millisecond,  // a proposal comes back within some tens of milliseconds
	Stale:  700 * time.Millisecond,  // two renewals
	Repeat: time.Second, SweepEvery: time.Second, Now: time.Now,
}

var upkeepConfig = upkeep.Config{
	Callers: 4, RingSize: 1024, Tick: 50 * time.Millisecond, Timeout: 700 * time.Millisecond,
	LeaseHold: 1200 * time.Millisecond, // below the expiry of a lease
	LoadPoll:  150 * time.Millisecond,  // above the age of reports
	Settle:    250 * time.Millisecond,  // a trainer asks for its step some tens of milliseconds after
	Repeat:    time.Second, FailLimit: 3, Probe: time.Second, SlowTime: 4 * time.Second, Now: time.Now,
}

var runnerConfig = runner.Config{
	RingSize: 1024, Tick: 50 * time.Millisecond,
	FirstEvent: 3 * time.Second, EventGap: time.Second, // an event takes some tens of milliseconds
	// Upstreams have slow phases of some 600 ms as a matter of course.
	Pace:      pace.Config{Window: 1800 * time.Millisecond, LeastEvents: 12, Factor: 2.2, LeastPeers: 2},
	PaceEvery: 200 * time.Millisecond, PaceChange: 0.3,
	FlushEvery: 1500 * time.Millisecond, Retry: 100 * time.Millisecond, BusyLimit: 3,
	PromptRetry: 400 * time.Millisecond, // the store is away then, and its calls are limited
	Now:         time.Now,
}

var relayConfig = relay.Config{
	Patience: opaque.Patience{Least: 250 * time.Millisecond, Targets: 2}, Carriers: 48, RingSize: 1024,
	Rest: 500 * time.Millisecond, MaxRest: 4 * time.Second, RetryAfter: retryAfter, Now: time.Now,
}
