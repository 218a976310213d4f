// Package membership decides which daemons are alive. It is a gossip protocol
// after SWIM: a fixed number of probes a second, indirect probes, suspicion
// before death, refutation by incarnation and bounded piggyback. There is no
// socket, clock, random source or encoding here: a State takes events and the
// time and returns the actions that its owner carries out.
package membership

import (
	"dotterelmount.example/api"
)

// Status of a member. Of two records of one incarnation the higher status wins.
type Status uint8

// The states of a member, in the order in which they override each other.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Member is what is known of one daemon.
type Member struct {
	ID            api.DaemonID
	PeerAddress   string // ip:port for other daemons
	CallerAddress string // ip:port for callers
	DataCentre    api.DataCentre
	// Incarnation orders the records of one daemon. A daemon starts with its
	// start time in Unix milliseconds and alone raises it.
	Incarnation uint64
	Status      Status
	Stopping    bool
	// AppliedOffset is the offset of the configuration stream in force there.
	AppliedOffset api.Offset
}

// OffsetUpdate is a member's offset without the rest of its record.
type OffsetUpdate struct {
	ID            api.DaemonID
	Incarnation   uint64
	AppliedOffset api.Offset
}

// Message is a probe or the answer to one.
type Message struct {
	Sender      Member
	RecipientID api.DaemonID // empty when a seed of unknown name is probed
	// Digest of the sender's live members; another one than the receiver's
	// shows that their lists differ.
	Digest  uint64
	Updates []Member
	Offsets []OffsetUpdate
}

// Sizes in bytes that bound what encoding adds to a record's strings.
const (
	memberOverhead  = 28
	messageOverhead = 12
	offsetOverhead  = 22
)

// Size returns an upper estimate of the encoded size in bytes.
func (m *Member) Size() int {
	return memberOverhead + len(m.ID) + len(m.PeerAddress) + len(m.CallerAddress) + len(m.DataCentre)
}

// Size returns an upper estimate of the encoded size in bytes.
func (o *OffsetUpdate) Size() int { return offsetOverhead + len(o.ID) }

// Size returns an upper estimate of the encoded size in bytes.
func (m *Message) Size() int {
	size := m.Sender.Size() + len(m.RecipientID) + messageOverhead
	for i := range m.Updates {
		size += m.Updates[i].Size()
	}
	for i := range m.Offsets {
		size += m.Offsets[i].Size()
	}
	return size
}

// supersedes reports whether record a replaces record b of the same daemon.
func supersedes(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Status > b.Status
}
