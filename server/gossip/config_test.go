package gossip_test

import (
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/membership"
	"dotterelmount.example/server/gossip"
	"gotest.tools/v3/assert"
)

func TestConfigValidate(t *testing.T) {
	good := gossip.Config{
		Self:     membership.Member{ID: "entry-0", PeerAddress: "10.1.0.1:7000", Incarnation: 1},
		Protocol: membership.DefaultConfig(), OnPeerStrike: func(api.Strike) error { return nil },
	}
	assert.NilError(t, good.Validate())
	bad := good
	bad.Self.Incarnation = 0
	assert.Equal(t, api.CodeOf(bad.Validate()), api.CodeInvalid)
}
