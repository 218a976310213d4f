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
	operatorReadInterval = 50 * time.Millisecond   // a fortieth of the bound for a configuration
	serversReadInterval  = 150 * time.Millisecond  // an eighth of the upstreams' heartbeat
	maxJournalReadAge    = 2 * time.Second         // without a whole read the daemon asks for no new connections
	relayBusyThreshold   = 2                       // requests in flight at an upstream before the next one is used
	retryAfter           = 100 * time.Millisecond  // another daemon can usually serve at once
	headerTimeout        = 10 * time.Second        // above what the platform allows its clients
	idleTimeout          = 2 * time.Minute         // above what the platform allows its clients
	lingerTime           = 2500 * time.Millisecond // two readiness polls, one a second, and the delay of new connections
	crashReportTimeout   = 3 * time.Second         // until a request that crashes upstreams is known everywhere
	journalShare         = 0.4                     // of the store's reads; the rest is for the feeds, restarts and bursts
	stopMargin           = 500 * time.Millisecond  // for the process's own end
	feedWait             = time.Second             // with its time-out within the bound for a configuration
	feedTimeout          = 600 * time.Millisecond  // a healthy store answers within some milliseconds
	logCallTimeout       = time.Second             // a healthy store answers within some milliseconds
)

var recorder = latency.New()

var followConfig = follow.Config{
	ReadWait: feedWait, CallTimeout: feedTimeout, RetryInterval: 100 * time.Millisecond,
	RemovalGrace: 2 * time.Second, // the platform's word for entries that lapsed in an outage
	Now:          time.Now,
}

var committerConfig = committer.Config{
	RingSize: 4096, CallTimeout: logCallTimeout, RetryInterval: 50 * time.Millisecond, FailFastAfter: 300 * time.Millisecond, Now: time.Now,
}

var chunksConfig = chunks.Config{
	Readers:  8, // some seven milliseconds each, so that a hundred pieces take a tenth of a second
	RingSize: 256, ReadTimeout: logCallTimeout,
}

var bookConfig = book.Config{
	RingSize: 1024, ReadWait: feedWait, ReadTimeout: feedTimeout, MinReadInterval: 15 * time.Millisecond, RetryInterval: 100 * time.Millisecond,
	MaxResultBytes: 900 << 10, // the platform's clients take 1 MB
	Now:            time.Now,
}

var keeperConfig = keeper.Config{
	Tick: 100 * time.Millisecond, RenewInterval: 350 * time.Millisecond,
	LeaseTTL:        1500 * time.Millisecond, // four renewals
	TurnTimeout:     500 * time.Millisecond,  // a proposal comes back within some tens of milliseconds
	MaxReadAge:      700 * time.Millisecond,  // two renewals
	ProposalTimeout: time.Second, SweepInterval: time.Second, Now: time.Now,
}

var upkeepConfig = upkeep.Config{
	Callers: 4, RingSize: 1024, Tick: 50 * time.Millisecond, CallTimeout: 700 * time.Millisecond,
	OrderLeaseAge:     1200 * time.Millisecond, // below the expiry of a lease
	LoadPollInterval:  150 * time.Millisecond,  // above the age of reports
	AnnouncementDelay: 250 * time.Millisecond,  // a trainer asks for its step some tens of milliseconds after
	ProposalTimeout:   time.Second, FailLimit: 3, ProbeInterval: time.Second, SlowDuration: 4 * time.Second, Now: time.Now,
}

var runnerConfig = runner.Config{
	RingSize: 1024, Tick: 50 * time.Millisecond,
	FirstEventTimeout: 3 * time.Second, EventTimeout: time.Second, // an event takes some tens of milliseconds
	// Upstreams have slow phases of some 600 ms as a matter of course.
	Pace:            pace.Config{Window: 1800 * time.Millisecond, MinEvents: 12, Factor: 2.2, MinPeers: 2},
	MeasureInterval: 200 * time.Millisecond, MinIntervalChange: 0.3,
	FlushInterval: 1500 * time.Millisecond, RetryDelay: 100 * time.Millisecond, BusyLimit: 3,
	PromptRetryDelay: 400 * time.Millisecond, // the store is away then, and its calls are limited
	Now:              time.Now,
}

var relayConfig = relay.Config{
	AttemptTimeouts: opaque.AttemptTimeouts{MinTimeout: 250 * time.Millisecond, TargetMultiple: 2}, Workers: 48, RingSize: 1024,
	Backoff: 500 * time.Millisecond, MaxBackoff: 4 * time.Second, RetryAfter: retryAfter, Now: time.Now,
}
