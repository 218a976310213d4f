package peer

import (
	"testing"

	"dotterelmount.example/front/peer/peerpb"
	"dotterelmount.example/lib/membership"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// FuzzGossip checks that any bytes are rejected or decode to a message that is
// unchanged by encoding and decoding.
func FuzzGossip(f *testing.F) {
	m := membership.Message{Sender: membership.Member{ID: "entry-1", PeerAddress: "10.1.0.1:7000"}}
	seed, err := proto.Marshal(messageToProto(&m))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var g peerpb.Gossip
		if proto.Unmarshal(data, &g) != nil {
			return
		}
		decoded, err := messageFromProto(&g)
		if err != nil {
			return
		}
		again, err := messageFromProto(messageToProto(&decoded))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, decoded)
	})
}
