package opaque

import (
	"testing"

	"dotterelmount.example/api"
	"gotest.tools/v3/assert"
)

func TestPeersShareForwardedRequests(t *testing.T) {
	c := Chooser{Daemon: "d", DataCentre: "z1"}
	candidates := []PeerCandidate{
		{Peer: Peer{ID: "near", DataCentre: "z1"}},
		{Peer: Peer{ID: "far", DataCentre: "z2"}},
		{Peer: Peer{ID: "failing", DataCentre: "z1"}, BackingOff: true},
		{Peer: Peer{ID: "tried", DataCentre: "z1"}, Tried: true},
	}
	picked := make(map[api.DaemonID]int)
	for range 7 {
		p, ok := c.PickPeer(candidates)
		assert.Assert(t, ok)
		picked[p.Peer.ID]++
		for i := range candidates {
			if candidates[i].Peer.ID == p.Peer.ID {
				candidates[i].InFlight++
			}
		}
	}
	assert.DeepEqual(t, picked, map[api.DaemonID]int{"near": 4, "far": 3})
	p, ok := c.PickPeer(candidates[2:])
	assert.Assert(t, ok)
	assert.Equal(t, p.Peer.ID, api.DaemonID("failing"))
	_, ok = c.PickPeer(candidates[3:])
	assert.Assert(t, !ok)
}
