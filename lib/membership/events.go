package membership

import (
	"time"

	"dotterelmount.example/api"
)

// Event is an input of State.Step.
type Event interface{ event() }

// Tick reports that time has passed. Several ticks are needed per probe interval.
type Tick struct{}

// ProbeReceived is a probe from another daemon. It results in a Reply with the
// same token.
type ProbeReceived struct {
	Token   uint64
	Message Message
}

// ProbeAcked is the reply to the SendProbe with the same Seq.
type ProbeAcked struct {
	Seq     uint64
	Message Message
}

// ProbeFailed reports that the SendProbe with this Seq got no reply.
type ProbeFailed struct{ Seq uint64 }

// IndirectProbeAcked reports that an indirect probe with this Seq got a reply from
// its target.
type IndirectProbeAcked struct{ Seq uint64 }

// ProbeNotSent reports that the probe with this Seq was not sent for lack of
// capacity. It implies nothing about the target.
type ProbeNotSent struct{ Seq uint64 }

// PageReceived is the response to the FetchPage in flight.
type PageReceived struct{ Page Page }

// PageFailed reports that the FetchPage in flight got no response.
type PageFailed struct{}

// TailDone reports that the PullTail in flight has succeeded or failed.
type TailDone struct{}

// OffsetAdvanced sets the offset of the last configuration record that this daemon
// applied.
type OffsetAdvanced struct{ AppliedOffset api.Offset }

// SeedsChanged replaces the seeds: the addresses at which other daemons are found.
type SeedsChanged struct{ Seeds []string }

// StopStarted marks this daemon as Stopping.
type StopStarted struct{}

// Leave makes this daemon leave the membership permanently.
type Leave struct{}

func (Tick) event()               {}
func (ProbeReceived) event()      {}
func (ProbeAcked) event()         {}
func (ProbeFailed) event()        {}
func (IndirectProbeAcked) event() {}
func (ProbeNotSent) event()       {}
func (PageReceived) event()       {}
func (PageFailed) event()         {}
func (TailDone) event()           {}
func (OffsetAdvanced) event()     {}
func (SeedsChanged) event()       {}
func (StopStarted) event()        {}
func (Leave) event()              {}

// Action is an output of State.Step.
type Action interface{ action() }

// SendProbe requests a direct probe. Its result is a ProbeAcked, ProbeFailed or
// ProbeNotSent.
type SendProbe struct {
	Seq     uint64
	Address string
	Message Message
	Timeout time.Duration
}

// SendIndirectProbe requests that the member at RelayAddress probes TargetAddress.
// Its result, on success only, is an IndirectProbeAcked.
type SendIndirectProbe struct {
	Seq           uint64
	RelayAddress  string
	TargetAddress string
	Timeout       time.Duration
}

// Reply is the reply to the ProbeReceived with the same token.
type Reply struct {
	Token   uint64
	Message Message
}

// FetchPage requests the page of a member's list after an ID. Its result is a
// PageReceived or PageFailed.
type FetchPage struct {
	Address string
	AfterID api.DaemonID
	Limit   int
}

// PullTail requests the configuration records after the applied offset from a
// member. Its result is a TailDone.
type PullTail struct{ Address string }

func (SendProbe) action()         {}
func (SendIndirectProbe) action() {}
func (Reply) action()             {}
func (FetchPage) action()         {}
func (PullTail) action()          {}
