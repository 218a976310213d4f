package peer

import (
	"dotterelmount.example/api"
	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/quota"
)

func leaseRequestsToProto(requests []quota.ResourceRequest) *peerpb.SharesRequest {
	out := &peerpb.SharesRequest{Asks: make([]*peerpb.ShareAsk, 0, len(requests))}
	for i := range requests {
		r := &requests[i]
		out.Daemon = string(r.Request.Daemon)
		out.Asks = append(out.Asks, &peerpb.ShareAsk{
			Kind: peerpb.ResourceKind(r.Resource.Kind), Name: r.Resource.Name, Seq: r.Request.Seq,
			Held: uint32(max(0, r.Request.Held)), InUse: uint32(max(0, r.Request.InUse)), Want: uint32(max(0, r.Request.Wanted)),
		})
	}
	return out
}

func leaseRequestsFromProto(msg *peerpb.SharesRequest) []quota.ResourceRequest {
	out := make([]quota.ResourceRequest, 0, len(msg.GetAsks()))
	for _, r := range msg.GetAsks() {
		out = append(out, quota.ResourceRequest{
			Resource: quota.Resource{Kind: quota.Kind(r.GetKind()), Name: r.GetName()},
			Request: quota.LeaseRequest{
				Daemon: api.DaemonID(msg.GetDaemon()), Seq: r.GetSeq(),
				Held: int(r.GetHeld()), InUse: int(r.GetInUse()), Wanted: int(r.GetWant()),
			},
		})
	}
	return out
}

// grantsToProto converts grants. Each refers to its request by index.
func grantsToProto(grants []quota.ResourceGrant, requests []quota.ResourceRequest) *peerpb.SharesResponse {
	index := make(map[quota.Resource]int, len(requests))
	for i := range requests {
		index[requests[i].Resource] = i
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

// grantsFromProto converts grants and drops those that refer to no request.
func grantsFromProto(msg *peerpb.SharesResponse, requests []quota.ResourceRequest) []quota.ResourceGrant {
	out := make([]quota.ResourceGrant, 0, len(msg.GetGrants()))
	for _, g := range msg.GetGrants() {
		if int(g.GetAsk()) >= len(requests) {
			continue
		}
		r := &requests[g.GetAsk()]
		out = append(out, quota.ResourceGrant{Resource: r.Resource, Grant: quota.Grant{
			Seq: r.Request.Seq, Slots: int(g.GetSlots()), TTL: millis(msg.GetTtlMillis()), RenewOnly: g.GetNew(),
		}})
	}
	return out
}
