// Package upgrade decides which records of the journal may be written. While hosts are
// upgraded one after the other, daemons of two builds run side by side, and each computes
// placements and leases by itself: a record that only some of them read would make their
// states differ. The package does no I/O.
package upgrade

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// Config configures the decision.
type Config struct {
	// Silence is the time after a daemon's last renewal after which it is gone. It must
	// exceed the longest interval between two renewals.
	Silence time.Duration
}

// Input is what a daemon knows of the others.
type Input struct {
	// Daemons are the daemons that have not left, as of their last renewals.
	Daemons      map[api.DaemonID]batch.Daemon
	LastRenewals map[api.DaemonID]time.Time
	// FollowedSince is since when the journal was followed without a gap; zero: since its
	// first record.
	FollowedSince time.Time
	Now           time.Time
}

// LevelInForce returns the highest level of records that all live daemons read, at most own.
// It is 0 while the journal was followed for too short a time to know all daemons, unless
// another daemon knew the level in force.
func (c Config) LevelInForce(own int, in Input) int {
	common, known := own, 0
	if in.FollowedSince.IsZero() || in.Now.Sub(in.FollowedSince) >= c.Silence {
		known = own
	}
	for id, d := range in.Daemons {
		known = max(known, d.LevelInForce)
		if in.Now.Sub(in.LastRenewals[id]) < c.Silence {
			common = min(common, d.RecordLevel)
		}
	}
	return min(common, known)
}
