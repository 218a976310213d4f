package gossip

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/ring"
)

// peerCall is a call to a peer. relayReply is set on a probe made on behalf of
// another daemon.
type peerCall struct {
	action     membership.Action
	relayReply *ring.Slot[bool]
}

// peerCallHandler is the handler of a duty that makes one blocking call at a time.
type peerCallHandler struct {
	gossip  *Gossip
	peers   PeerClient
	replica ConfigReplica
}

// Handle implements duty.Handler.
func (h *peerCallHandler) Handle(ctx context.Context, call peerCall) {
	var result membership.Event
	switch a := call.action.(type) {
	case membership.SendProbe:
		result = h.probe(ctx, a, call.relayReply)
	case membership.SendIndirectProbe:
		result = h.indirectProbe(ctx, a)
	case membership.FetchPage:
		result = h.fetchPage(ctx, a)
	case membership.PullTail:
		h.pullTail(ctx, a)
		result = membership.TailDone{}
	}
	if result == nil {
		return
	}
	// The owner never waits for a call to end, so this cannot deadlock.
	if h.gossip.owner.PostWait(ctx, eventInput{event: result}) != nil {
		counters.Add("events_dropped", 1)
	}
}

// unsentEvent returns the event for an action whose call could not be queued.
func unsentEvent(action membership.Action) membership.Event {
	switch a := action.(type) {
	case membership.SendProbe:
		return membership.ProbeNotSent{Seq: a.Seq}
	case membership.FetchPage:
		return membership.PageFailed{}
	case membership.PullTail:
		return membership.TailDone{}
	}
	return nil
}

func (h *peerCallHandler) probe(ctx context.Context, a membership.SendProbe, relayReply *ring.Slot[bool]) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	response, err := h.peers.Probe(ctx, a.Address, a.Message)
	if relayReply != nil {
		relayReply.Put(err == nil)
	}
	switch {
	case err == nil:
		return membership.ProbeAcked{Seq: a.Seq, Message: response}
	case relayReply != nil:
		return nil
	}
	return membership.ProbeFailed{Seq: a.Seq}
}

func (h *peerCallHandler) indirectProbe(ctx context.Context, a membership.SendIndirectProbe) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	reached, err := h.peers.IndirectProbe(ctx, a.RelayAddress, a.TargetAddress, a.Timeout)
	if err != nil || !reached {
		return nil
	}
	return membership.IndirectProbeAcked{Seq: a.Seq}
}

func (h *peerCallHandler) fetchPage(ctx context.Context, a membership.FetchPage) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := h.peers.Members(ctx, a.Address, a.AfterID, a.Limit)
	if err != nil {
		return membership.PageFailed{}
	}
	return membership.PageReceived{Page: page}
}

// pullTail fetches the records after the applied ones.
func (h *peerCallHandler) pullTail(ctx context.Context, a membership.PullTail) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counters.Add("pulls", 1)
	from := h.replica.AppliedOffset() + 1
	entries, err := h.peers.Tail(ctx, a.Address, from, maxTailRecords)
	if err != nil {
		return
	}
	entries = contiguous(entries, from)
	if len(entries) == 0 {
		h.pullImage(ctx, a)
		return
	}
	counters.Add("records_pulled", int64(len(entries)))
	h.replica.Offer(entries)
}

// pullImage installs the state of a peer that no longer holds the next records. It
// lets a daemon start during an outage of the log.
func (h *peerCallHandler) pullImage(ctx context.Context, a membership.PullTail) {
	image, err := h.peers.Image(ctx, a.Address)
	if err != nil {
		return
	}
	counters.Add("images_pulled", 1)
	h.replica.InstallImage(image)
}

// contiguous returns the leading entries whose offsets are from, from+1 and so on,
// at most maxTailRecords.
func contiguous(entries []eventlog.Entry, from api.Offset) []eventlog.Entry {
	for i := range entries {
		if entries[i].Offset != from+api.Offset(i) {
			return entries[:i]
		}
	}
	return entries[:min(len(entries), maxTailRecords)]
}
