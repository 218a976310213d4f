package node

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/front/peer"
	"dotterelmount.example/lib/ledger"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/lib/quota"
	"dotterelmount.example/server/gossip"
	"dotterelmount.example/server/shares"
)

// maxConfigAge is the longest time since the last contact with the log or with a
// majority of the daemons at which work is still started. It is below the 3 s
// after which a draining upstream must get no new work, so that a daemon that was
// paused or partitioned reads new marks before it starts work again.
const maxConfigAge = 2500 * time.Millisecond

// startGossip serves peers and starts the membership protocol and the division of
// windows and limits into shares.
func (n *Node) startGossip() error {
	listener, err := peer.Listen(n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.peerClient = peer.NewClient()
	address := n.settings.Listen.AdvertisePeers
	if address == "" {
		address = listener.Addr().String()
	}
	cfg := gossip.Config{
		Self: membership.Member{
			ID: api.DaemonID(n.settings.Daemon), PeerAddress: address, CallerAddress: n.callersAddress,
			DataCentre: api.DataCentre(n.settings.DataCentre), Incarnation: uint64(n.started.UnixMilli()),
		},
		Seeds: n.settings.Peers, SeedSource: seedSource{n}, Protocol: membership.DefaultConfig(),
		OnPeerStrike: n.dispatch.Load().AddPeerStrike,
	}
	if err := cfg.Validate(); err != nil {
		return err
	}
	g := gossip.Start(n.system, cfg, n.peerClient, n.replica)
	n.gossip.Store(g)
	s := shares.Start(n.system, shares.Config{
		Daemon: cfg.Self.ID, ShortReserve: n.settings.Dispatch.ShortReserve, OnChange: n.dispatch.Load().SharesChanged,
	}, n.peerClient, n.replica.State, n.shareMembers)
	n.shares.Store(s)
	n.peerServer, err = peer.Start(n.system, n.intake.Peers(listener), peerHandler{g, s})
	return err
}

// peerHandler implements peer.Handler.
type peerHandler struct {
	*gossip.Gossip
	*shares.Shares
}

// shareMembers returns the daemons among which windows and limits are divided.
func (n *Node) shareMembers() []shares.MemberAddr {
	var out []shares.MemberAddr
	for _, m := range n.gossip.Load().Members() {
		if m.Status <= membership.Suspect {
			out = append(out, shares.MemberAddr{ID: m.ID, Address: m.PeerAddress})
		}
	}
	return out
}

// dispatchShares implements dispatch.Shares. The dispatcher starts before the
// shares; until then there are none.
type dispatchShares struct{ n *Node }

// Window implements dispatch.Shares.
func (d dispatchShares) Window(id api.UpstreamID) (long, short int) {
	if s := d.n.shares.Load(); s != nil {
		return s.Window(id)
	}
	return 0, 0
}

// Concurrency implements dispatch.Shares.
func (d dispatchShares) Concurrency(p api.PlanName) int {
	if s := d.n.shares.Load(); s != nil {
		return s.Concurrency(p)
	}
	return 0
}

// ReportDemand implements dispatch.Shares.
func (d dispatchShares) ReportDemand(list []quota.ResourceDemand, generation uint64) bool {
	s := d.n.shares.Load()
	return s != nil && s.ReportDemand(list, generation)
}

// Generation implements dispatch.Shares.
func (d dispatchShares) Generation() uint64 {
	if s := d.n.shares.Load(); s != nil {
		return s.Generation()
	}
	return 0
}

// liveCount returns the number of daemons among which the plans' rates are divided.
func (n *Node) liveCount() int {
	if n.gossip.Load() == nil {
		return 1
	}
	return len(n.liveDaemons())
}

// seedSource implements gossip.SeedSource with the hosts of the platform's host
// list that are not upstreams.
type seedSource struct{ n *Node }

// Seeds implements gossip.SeedSource.
func (s seedSource) Seeds() []string {
	upstreams := make(map[string]bool)
	for _, u := range s.n.replica.State().Usage.Upstreams {
		upstreams[u.Address] = true
	}
	return s.n.hosts.LiveAddresses(func(address string) bool { return upstreams[address] })
}

// onConfigChange forwards a new configuration. The replica's duty calls it, also
// before the other components have started.
func (n *Node) onConfigChange(s *ledger.State) {
	if d := n.dispatch.Load(); d != nil {
		d.Update(s)
	}
	if g := n.gossip.Load(); g != nil {
		g.OffsetAdvanced(s.AppliedOffset)
	}
}

// liveDaemons returns the live daemons, this one included.
func (n *Node) liveDaemons() []api.DaemonID { return n.gossip.Load().Live() }

func (n *Node) memberStatuses() []adminapi.MemberStatus {
	var out []adminapi.MemberStatus
	for _, m := range n.gossip.Load().Members() {
		status := adminapi.MemberStatus{
			Name: m.ID, Address: m.CallerAddress, State: m.Status.String(), DataCentre: m.DataCentre, ConfigOffset: m.AppliedOffset,
		}
		if m.ID == api.DaemonID(n.settings.Daemon) {
			status.ConfigOffset = n.replica.AppliedOffset()
		}
		out = append(out, status)
	}
	return out
}

// configAge returns the maximum age of the known configuration: the time since the
// last response of the log or, while a majority of the known daemons is alive,
// since the last contact with a peer, if that is shorter. A minority without
// contact to the log can't distinguish an outage of the log from a network
// partition, in which the other daemons continue.
func (n *Node) configAge() time.Duration {
	age := time.Since(n.replica.LastLogContact())
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
		return 0 // no other daemon can have made a change
	case 2*live > known:
		return min(age, time.Since(g.LastPeerContact()))
	default:
		return age
	}
}

// configCurrent reports whether the configuration is recent enough to start work.
// The dispatcher calls it from its first tick on, before the other components are
// started.
func (n *Node) configCurrent() bool { return n.initialized.Load() && n.configAge() <= maxConfigAge }

// ready returns nil or the error with which the daemon refuses requests. Errors:
// CodeNotReady.
func (n *Node) ready() error {
	switch age := n.configAge(); {
	case n.stopping.Load():
		return api.Errorf(api.CodeNotReady, "shutting down")
	case !n.replica.Synced():
		return api.Errorf(api.CodeNotReady, "configuration not loaded")
	case age > n.settings.Limits.DisconnectTimeout:
		return api.Errorf(api.CodeNotReady, "no contact with the log or a majority of the daemons for %s", age.Round(time.Second))
	default:
		return nil
	}
}
