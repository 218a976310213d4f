package gossip

import (
	"context"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
)

// strikeHandler is the handler of the duty that reports strikes to the live daemons,
// one call at a time.
type strikeHandler struct {
	self   api.DaemonID
	gossip *Gossip
	peers  PeerClient
}

// Handle reports one strike. A daemon that can't be reached learns of it from the log.
func (h *strikeHandler) Handle(ctx context.Context, s api.Strike) {
	for _, m := range h.gossip.Members() {
		if m.ID == h.self || m.Status > membership.Suspect {
			continue
		}
		if h.report(ctx, m.PeerAddress, s) == nil {
			counters.Add("strikes_shared", 1)
		} else {
			counters.Add("strikes_unshared", 1)
		}
	}
}

func (h *strikeHandler) report(ctx context.Context, address string, s api.Strike) error {
	ctx, cancel := context.WithTimeout(ctx, strikeCallTimeout)
	defer cancel()
	return h.peers.ReportStrike(ctx, address, s)
}
