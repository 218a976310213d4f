package node

import (
	"context"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/server/gossip"
)

// startBound is the longest time since the log or a majority of the daemons
// was last heard of in which work is started. It is below the 3 s within which
// a marked upstream gets no new work, so that a daemon which was frozen or cut
// off learns of marks before it goes on.
const startBound = 2500 * time.Millisecond

// startGossip listens for peers and joins them.
func (n *Node) startGossip() error {
	listener, err := peer.Listen(n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.peers = peer.NewClient()
	cfg := gossip.Config{
		Self: membership.Member{
			ID: api.DaemonID(n.settings.Daemon), Peer: listener.Addr().String(), Caller: n.address,
			DataCentre: api.DataCentre(n.settings.DataCentre), Incarnation: uint64(n.started.UnixMilli()),
		},
		Seeds: n.settings.Peers, Source: seeds{n}, Protocol: membership.DefaultConfig(),
	}
	if err := cfg.Validate(); err != nil {
		return err
	}
	g := gossip.Start(n.system, cfg, n.peers, n.book)
	n.gossip.Store(g)
	n.server, err = peer.Start(n.system, listener, peerHandler{g})
	return err
}

// peerHandler serves peers.
type peerHandler struct{ *gossip.Gossip }

// Slots implements peer.SlotsHandler.
func (peerHandler) Slots(context.Context, peer.SlotsRequest) (peer.SlotsLease, error) {
	return peer.SlotsLease{}, api.Errorf(api.CodeNoUpstream, "windows are not shared out here")
}

// seeds offers the hosts of the platform's list that are not upstreams.
type seeds struct{ n *Node }

// Seeds implements gossip.SeedSource.
func (s seeds) Seeds() []string {
	upstreams := make(map[string]bool)
	for _, u := range s.n.book.State().Usage.Upstreams {
		upstreams[u.Address] = true
	}
	return s.n.hosts.Live(func(address string) bool { return upstreams[address] })
}

// spread runs on the ledger's thread.
func (n *Node) spread(s *ledger.State) {
	if g := n.gossip.Load(); g != nil {
		g.Advanced(s.Through)
	}
}

// live returns the daemons that share the work, this one included.
func (n *Node) live() []api.DaemonID { return n.gossip.Load().Live() }

func (n *Node) members() []adminapi.MemberStatus {
	var out []adminapi.MemberStatus
	for _, m := range n.gossip.Load().Members() {
		status := adminapi.MemberStatus{
			Name: m.ID, Address: m.Caller, State: m.Status.String(), DataCentre: m.DataCentre, ConfigOffset: m.Through,
		}
		if m.ID == api.DaemonID(n.settings.Daemon) {
			status.ConfigOffset = n.book.Through()
		}
		out = append(out, status)
	}
	return out
}

// age returns how old the knowledge of the configuration may be: the time
// since the log answered, or, in its outage, since peers did while a majority
// of the known daemons was in touch. A minority that is cut off from the log
// cannot tell an outage from a parted network, in which the others go on.
func (n *Node) age() time.Duration {
	age := time.Since(n.book.LastContact())
	g := n.gossip.Load()
	if g == nil {
		return age
	}
	known, live := 0, 0
	for _, m := range g.Members() {
		if m.Status == membership.Left {
			continue
		}
		known++
		if m.Status == membership.Alive {
			live++
		}
	}
	switch {
	case known == 1 && len(n.settings.Peers) == 0 && n.settings.Platform.HostList == "":
		return 0 // the only daemon: nobody else can have made a change
	case 2*live > known:
		return min(age, time.Since(g.LastPeerContact()))
	default:
		return age
	}
}

// current reports whether the configuration is known to be recent enough to
// start work by it. The dispatcher's thread calls it, also during the start.
func (n *Node) current() bool { return n.wired.Load() && n.age() <= startBound }

// ready returns why the daemon refuses requests, or nil.
func (n *Node) ready() error {
	switch age := n.age(); {
	case n.stopping.Load():
		return api.Errorf(api.CodeNotReady, "shutting down")
	case !n.book.Known():
		return api.Errorf(api.CodeNotReady, "the configuration was not read yet")
	case age > n.settings.Limits.CutOff:
		return api.Errorf(api.CodeNotReady, "cut off from the log and from most daemons for %s", age.Round(time.Second))
	default:
		return nil
	}
}
