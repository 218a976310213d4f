package membership

import (
	"time"

	"dotterelmount.example/api"
)

// Config configures the protocol. DefaultConfig returns values for the design
// size.
type Config struct {
	ProbeInterval          time.Duration // interval between direct probes
	ProbeTimeout           time.Duration // time after which indirect probes are sent
	IndirectProbes         int           // number of indirect probes
	ReconnectProbeEvery    int           // every n-th probe goes to a seed or a dead member
	MinSuspicion           time.Duration // minimum time from suspicion to death
	PiggybackBytes         int           // maximum size of the records attached to a message
	PiggybackRecords       int           // maximum number of records attached to a message
	PageMembers            int           // maximum number of records in a page of the member list
	PageInterval           time.Duration // interval between pages from random members, while lists agree
	PageDivergedInterval   time.Duration // the same, while lists differ
	ForgetAfter            time.Duration // time for which dead and left members are kept, and dead ones probed
	MaxDeadMembers         int           // maximum number of dead and left members kept
	PushFanout             int           // members probed at once after this daemon's offset advances
	PushInterval           time.Duration // minimum time between two pushes
	PullGrace              time.Duration // time to wait for the log before pulling records from a member
	PullTimeout            time.Duration // time after which an unfinished pull is repeated
	PauseAfter             time.Duration // gap between ticks above which this process was paused
	RetransmitFactor       int           // a record is sent RetransmitFactor*log2(members) times
	OffsetRetransmitFactor int           // the same for offset updates
	LeaveNotifications     int           // members probed when leaving
}

// DefaultConfig returns the values used in production.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:          time.Second,
		ProbeTimeout:           500 * time.Millisecond,
		IndirectProbes:         3,
		ReconnectProbeEvery:    8,
		MinSuspicion:           3 * time.Second,
		PiggybackBytes:         256,
		PiggybackRecords:       12,
		PageMembers:            8,
		PageInterval:           30 * time.Second,
		PageDivergedInterval:   2 * time.Second,
		ForgetAfter:            24 * time.Hour,
		MaxDeadMembers:         512,
		PushFanout:             3,
		PushInterval:           250 * time.Millisecond,
		PullGrace:              100 * time.Millisecond,
		PullTimeout:            2 * time.Second,
		PauseAfter:             2 * time.Second,
		RetransmitFactor:       2,
		OffsetRetransmitFactor: 1,
		LeaveNotifications:     4,
	}
}

// Validate checks the values. Errors: CodeInvalid.
func (c *Config) Validate() error {
	durations := map[string]time.Duration{
		"probe interval": c.ProbeInterval, "probe timeout": c.ProbeTimeout, "min suspicion": c.MinSuspicion,
		"page interval": c.PageInterval, "page diverged interval": c.PageDivergedInterval, "forget after": c.ForgetAfter,
		"pull timeout": c.PullTimeout, "pause after": c.PauseAfter,
	}
	for name, d := range durations {
		if d <= 0 {
			return api.Errorf(api.CodeInvalid, "%s is %v; it must be above 0", name, d)
		}
	}
	counts := map[string]int{
		"reconnect probe every": c.ReconnectProbeEvery, "piggyback bytes": c.PiggybackBytes, "piggyback records": c.PiggybackRecords,
		"page members": c.PageMembers, "max dead members": c.MaxDeadMembers, "retransmit factor": c.RetransmitFactor,
		"offset retransmit factor": c.OffsetRetransmitFactor, "push fanout": c.PushFanout,
	}
	for name, n := range counts {
		if n <= 0 {
			return api.Errorf(api.CodeInvalid, "%s is %d; it must be above 0", name, n)
		}
	}
	return nil
}
