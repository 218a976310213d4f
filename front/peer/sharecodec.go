package peer

import (
	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/quota"
)

func asksToProto(asks []quota.ResourceRequest) *peerpb.SharesRequest {
	out := &peerpb.SharesRequest{Asks: make([]*peerpb.ShareAsk, 0, len(asks))}
	for i := range asks {
		a := &asks[i]
		out.Daemon = string(a.Request.Daemon)
		out.Asks = append(out.Asks, &peerpb.ShareAsk{
			Kind: peerpb.ResourceKind(a.Resource.Kind), Name: a.Resource.Name, Seq: a.Request.Seq,
			Held: uint32(max(0, a.Request.Held)), InUse: uint32(max(0, a.Request.InUse)), Want: uint32(max(0, a.Request.Wanted)),
		})
	}
	return out
}

func asksFromProto(in *peerpb.SharesRequest) []quota.ResourceRequest {
	out := make([]quota.ResourceRequest, 0, len(in.GetAsks()))
	for _, a := range in.GetAsks() {
		out = append(out, quota.ResourceRequest{
			Resource: quota.Resource{Kind: quota.Kind(a.GetKind()), Name: a.GetName()},
			Request: quota.LeaseRequest{
				Daemon: api.DaemonID(in.GetDaemon()), Seq: a.GetSeq(),
				Held: int(a.GetHeld()), InUse: int(a.GetInUse()), Wanted: int(a.GetWant()),
			},
		})
	}
	return out
}

// grantsToProto refers to each ask by its index, in place of repeating it.
func grantsToProto(grants []quota.ResourceGrant, asks []quota.ResourceRequest) *peerpb.SharesResponse {
	index := make(map[quota.Resource]int, len(asks))
	for i := range asks {
		index[asks[i].Resource] = i
	}
	out := &peerpb.SharesResponse{Grants: make([]*peerpb.ShareGrant, 0, len(grants))}
	for _, g := range grants {
		out.TtlMillis = uint32(max(0, g.Grant.TTL.Milliseconds()))
		out.Grants = append(out.Grants, &peerpb.ShareGrant{
			Ask: uint32(index[g.Resource]), Slots: uint32(max(0, g.Grant.Slots)), New: g.Grant.RenewOnly,
		})
	}
	return out
}

// grantsFromProto leaves out what answers none of the asks.
func grantsFromProto(in *peerpb.SharesResponse, asks []quota.ResourceRequest) []quota.ResourceGrant {
	out := make([]quota.ResourceGrant, 0, len(in.GetGrants()))
	for _, g := range in.GetGrants() {
		if int(g.GetAsk()) >= len(asks) {
			continue
		}
		a := &asks[g.GetAsk()]
		out = append(out, quota.ResourceGrant{Resource: a.Resource, Grant: quota.Grant{
			Seq: a.Request.Seq, Slots: int(g.GetSlots()), TTL: millis(in.GetTtlMillis()), RenewOnly: g.GetNew(),
		}})
	}
	return out
}
