// Package membership detects which daemons are alive, with a gossip protocol
// based on SWIM: a fixed probe rate, indirect probes, suspicion before death,
// refutation by incarnation, and bounded piggybacking. The package does no I/O
// and no encoding and uses no clock or random source: a State takes events, the
// time and random numbers, and returns actions for its owner to carry out.
package membership

import (
	"dotterelmount.example/api"
)

// Status is the status of a member. Of two records with the same incarnation, the
// one with the higher status wins.
type Status uint8

// The statuses of a member, in increasing order of precedence.
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

// Member is the record of one daemon.
type Member struct {
	ID            api.DaemonID
	PeerAddress   string // ip:port for requests of other daemons
	CallerAddress string // ip:port for requests of callers
	DataCentre    api.DataCentre
	// Incarnation orders the records of one daemon. It starts at the daemon's start
	// time in Unix milliseconds, and only the daemon itself raises it.
	Incarnation uint64
	Status      Status
	Stopping    bool // the daemon is shutting down
	// AppliedOffset is the offset of the last configuration record that the daemon
	// applied.
	AppliedOffset api.Offset
}

// OffsetUpdate is the applied offset of a member without the rest of its record.
type OffsetUpdate struct {
	ID            api.DaemonID
	Incarnation   uint64
	AppliedOffset api.Offset
}

// Message is a probe or its reply.
type Message struct {
	Sender      Member
	RecipientID api.DaemonID // empty if a seed with unknown ID is probed
	// Digest is the hash of the sender's live members. If it differs from the
	// receiver's, their member lists differ.
	Digest  uint64
	Updates []Member
	Offsets []OffsetUpdate
}

// Upper bounds, in bytes, of what the encoding adds to the strings of a record.
const (
	memberOverhead  = 28
	messageOverhead = 12
	offsetOverhead  = 22
)

// Size returns an upper bound of the encoded size in bytes.
func (m *Member) Size() int {
	return memberOverhead + len(m.ID) + len(m.PeerAddress) + len(m.CallerAddress) + len(m.DataCentre)
}

// Size returns an upper bound of the encoded size in bytes.
func (o *OffsetUpdate) Size() int { return offsetOverhead + len(o.ID) }

// Size returns an upper bound of the encoded size in bytes.
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
