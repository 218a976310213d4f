package checkpoint

import (
	"cmp"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

// Policy decides when a daemon writes a checkpoint, and when one without a state begins a
// new one.
type Policy struct {
	// Interval is the time between two checkpoints. It must be a small part of the time for
	// which the journal keeps its records; zero: none are written.
	Interval time.Duration
	// Silence is the time after a daemon's last renewal after which it is gone. It must
	// exceed the longest interval between two renewals.
	Silence time.Duration
}

// Members are the daemons as the journal tells.
type Members struct {
	Daemons map[api.DaemonID]batch.Daemon // that have not left
	// Live are the daemons whose leases are valid.
	Live         map[api.DaemonID]bool
	LastRenewals map[api.DaemonID]time.Time
}

// Writer returns the daemon that writes the checkpoints: of the live ones that write
// images of the lowest level, so that all can read them, the one whose process is the
// oldest, so that a daemon that restarts again and again doesn't get the turn. It is empty
// if there is none.
func (p Policy) Writer(m Members) api.DaemonID {
	var writer api.DaemonID
	var best batch.Daemon
	for id, d := range m.Daemons {
		if d.ImageLevel == 0 || !m.Live[id] {
			continue
		}
		before := cmp.Or(cmp.Compare(d.ImageLevel, best.ImageLevel), cmp.Compare(d.StartMillis, best.StartMillis), cmp.Compare(id, writer))
		if writer == "" || before < 0 {
			writer, best = id, d
		}
	}
	return writer
}

// Due reports whether self writes a checkpoint now. last is when it wrote one, or its
// start.
func (p Policy) Due(self api.DaemonID, m Members, last, now time.Time) bool {
	return p.Interval > 0 && now.Sub(last) >= p.Interval && p.Writer(m) == self
}

// MayReset reports whether a daemon without a state may begin a new one: no daemon that
// may have one has renewed its leases for Silence, as a daemon knows that has followed the
// journal since a time.
func (p Policy) MayReset(m Members, since, now time.Time) bool {
	if now.Sub(since) < p.Silence {
		return false
	}
	for id := range m.Daemons {
		if now.Sub(m.LastRenewals[id]) < p.Silence {
			return false
		}
	}
	return true
}
