package membership

import (
	"time"

	"dotterelmount.example/api"
)

// Event is an input of State.Step.
type Event interface{ event() }

// Tick tells that time has passed; several a probe interval are needed.
type Tick struct{}

// ProbeReceived is a probe from another daemon; it leads to a Reply with its token.
type ProbeReceived struct {
	Token   uint64
	Message Message
}

// ProbeAcked is the answer to the SendProbe of the same Seq.
type ProbeAcked struct {
	Seq     uint64
	Message Message
}

// ProbeFailed tells that the SendProbe of this Seq had no answer.
type ProbeFailed struct{ Seq uint64 }

// IndirectProbeAcked tells that an indirect probe of this Seq reached its target.
type IndirectProbeAcked struct{ Seq uint64 }

// ProbeNotSent tells that the probe of this Seq was never sent for want of room; it
// says nothing of its target.
type ProbeNotSent struct{ Seq uint64 }

// PageReceived is the answer to the FetchPage in flight.
type PageReceived struct{ Page Page }

// PageFailed tells that the FetchPage in flight had no answer.
type PageFailed struct{}

// TailDone tells that the PullTail in flight has ended, well or badly.
type TailDone struct{}

// OffsetAdvanced tells the offset of the configuration in force here.
type OffsetAdvanced struct{ AppliedOffset api.Offset }

// SeedsChanged replaces the addresses by which other daemons are found.
type SeedsChanged struct{ Seeds []string }

// StopStarted marks this daemon as Stopping.
type StopStarted struct{}

// Leave makes this daemon leave for good.
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

// SendProbe asks for a direct probe; it leads to Answered, Failed or Unsent.
type SendProbe struct {
	Seq     uint64
	Addr    string
	Message Message
	Timeout time.Duration
}

// SendIndirectProbe asks the member at Via to probe Target; Vouched on success.
type SendIndirectProbe struct {
	Seq           uint64
	RelayAddress  string
	TargetAddress string
	Timeout       time.Duration
}

// Reply answers the Probed of the same token.
type Reply struct {
	Token   uint64
	Message Message
}

// FetchPage asks a member for the part of its list after a name; it leads to
// PageReceived or PageFailed.
type FetchPage struct {
	Addr    string
	AfterID api.DaemonID
	Limit   int
}

// PullTail asks for the log records after those in force; it leads to TailDone.
type PullTail struct{ Addr string }

func (SendProbe) action()         {}
func (SendIndirectProbe) action() {}
func (Reply) action()             {}
func (FetchPage) action()         {}
func (PullTail) action()          {}
