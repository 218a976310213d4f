package peer

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
)

func memberToProto(m *membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:          string(m.ID),
		Peer:        m.PeerAddress,
		Caller:      m.CallerAddress,
		DataCentre:  string(m.DataCentre),
		Incarnation: m.Incarnation,
		Status:      peerpb.Status(m.Status),
		Stopping:    m.Stopping,
		Through:     uint64(m.AppliedOffset),
	}
}

func memberFromProto(p *peerpb.Member) membership.Member {
	return membership.Member{
		ID:            api.DaemonID(p.GetId()),
		PeerAddress:   p.GetPeer(),
		CallerAddress: p.GetCaller(),
		DataCentre:    api.DataCentre(p.GetDataCentre()),
		Incarnation:   p.GetIncarnation(),
		Status:        membership.Status(p.GetStatus()),
		Stopping:      p.GetStopping(),
		AppliedOffset: api.Offset(p.GetThrough()),
	}
}

// checkMember validates a member record. Errors: CodeInvalid.
func checkMember(p *peerpb.Member) error {
	if p.GetId() == "" || p.GetPeer() == "" {
		return api.Errorf(api.CodeInvalid, "member %q has no id or no address", p.GetId())
	}
	if p.GetStatus() < peerpb.Status_STATUS_ALIVE || p.GetStatus() > peerpb.Status_STATUS_LEFT {
		return api.Errorf(api.CodeInvalid, "member %q has unknown status %d", p.GetId(), p.GetStatus())
	}
	return nil
}

func membersToProto(members []membership.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(members))
	for i := range members {
		out = append(out, memberToProto(&members[i]))
	}
	return out
}

// membersFromProto converts a member list. Errors: CodeInvalid.
func membersFromProto(list []*peerpb.Member) ([]membership.Member, error) {
	var out []membership.Member
	for _, p := range list {
		if err := checkMember(p); err != nil {
			return nil, err
		}
		out = append(out, memberFromProto(p))
	}
	return out, nil
}

func messageToProto(m *membership.Message) *peerpb.Gossip {
	g := &peerpb.Gossip{
		From:    memberToProto(&m.Sender),
		To:      string(m.RecipientID),
		Digest:  m.Digest,
		Updates: membersToProto(m.Updates),
	}
	for _, o := range m.Offsets {
		g.Offsets = append(g.Offsets, &peerpb.Offset{
			Id: string(o.ID), Incarnation: o.Incarnation, Through: uint64(o.AppliedOffset),
		})
	}
	return g
}

// messageFromProto converts a gossip message. Errors: CodeInvalid.
func messageFromProto(g *peerpb.Gossip) (membership.Message, error) {
	if err := checkMember(g.GetFrom()); err != nil {
		return membership.Message{}, err
	}
	updates, err := membersFromProto(g.GetUpdates())
	if err != nil {
		return membership.Message{}, err
	}
	m := membership.Message{
		Sender:      memberFromProto(g.GetFrom()),
		RecipientID: api.DaemonID(g.GetTo()),
		Digest:      g.GetDigest(),
		Updates:     updates,
	}
	for _, o := range g.GetOffsets() {
		m.Offsets = append(m.Offsets, membership.OffsetUpdate{
			ID: api.DaemonID(o.GetId()), Incarnation: o.GetIncarnation(), AppliedOffset: api.Offset(o.GetThrough()),
		})
	}
	return m, nil
}

func entriesToProto(entries []eventlog.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		out = append(out, &peerpb.Entry{
			Offset: uint64(e.Offset), TimeMillis: e.TimeMillis, Id: string(e.ID), Payload: e.Payload,
		})
	}
	return out
}

func entriesFromProto(list []*peerpb.Entry) []eventlog.Entry {
	out := make([]eventlog.Entry, 0, len(list))
	for _, p := range list {
		out = append(out, eventlog.Entry{
			Offset:     api.Offset(p.GetOffset()),
			TimeMillis: p.GetTimeMillis(),
			Record:     eventlog.Record{ID: api.RecordID(p.GetId()), Payload: p.GetPayload()},
		})
	}
	return out
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
