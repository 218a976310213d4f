package membership

import (
	"time"

	"dotterelmount.example/api"
)

// Config tunes the protocol. DefaultConfig returns values for the design size.
type Config struct {
	ProbeInterval          time.Duration // one direct probe each
	ProbeTimeout           time.Duration // until indirect probes are asked for
	IndirectProbes         int           // members asked to probe in our place
	ReconnectProbeEvery    int           // every n-th probe goes to a seed or a dead member
	MinSuspicion           time.Duration // shortest time from suspicion to death
	PiggybackBytes         int           // records attached to one message
	PiggybackRecords       int           // records attached to one message
	PageMembers            int           // records in one page of the member list
	PageInterval           time.Duration // one page from a random member each, while lists agree
	PageDivergedInterval   time.Duration // the same, while lists differ
	ForgetAfter            time.Duration // dead and left members are kept and probed this long
	MaxDeadMembers         int           // dead and left members kept at most
	PushFanout             int           // peers probed at once on a new own offset
	PushInterval           time.Duration // shortest time between two pushes
	PullGrace              time.Duration // wait for the log itself before pulling from a peer
	PullTimeout            time.Duration // until an unanswered pull is forgotten
	PauseAfter             time.Duration // a longer gap between ticks means that this process was frozen
	RetransmitFactor       int           // a record is sent RumourFactor*log2(members) times
	OffsetRetransmitFactor int           // the same for bare offsets
	LeaveNotifications     int           // peers told of a graceful leave
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
		"probe every": c.ProbeInterval, "probe timeout": c.ProbeTimeout, "min suspicion": c.MinSuspicion,
		"page every": c.PageInterval, "page busy every": c.PageDivergedInterval, "forget after": c.ForgetAfter,
		"pull timeout": c.PullTimeout, "pause after": c.PauseAfter,
	}
	for name, d := range durations {
		if d <= 0 {
			return api.Errorf(api.CodeInvalid, "%s is %v; it must be above 0", name, d)
		}
	}
	counts := map[string]int{
		"slow probe": c.ReconnectProbeEvery, "piggyback bytes": c.PiggybackBytes, "piggyback records": c.PiggybackRecords,
		"page members": c.PageMembers, "max forgettable": c.MaxDeadMembers, "rumour factor": c.RetransmitFactor,
		"offset factor": c.OffsetRetransmitFactor, "push fanout": c.PushFanout,
	}
	for name, n := range counts {
		if n <= 0 {
			return api.Errorf(api.CodeInvalid, "%s is %d; it must be above 0", name, n)
		}
	}
	return nil
}
