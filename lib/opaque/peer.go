package opaque

import (
	"cmp"
	"context"
	"slices"

	"dotterelmount.example/api"
	"github.com/cespare/xxhash/v2"
)

// Peer is another daemon that can forward requests to upstreams.
type Peer struct {
	ID         api.DaemonID
	Address    string // ip:port
	DataCentre api.DataCentre
}

// Forwarder sends requests to upstreams through other daemons.
type Forwarder interface {
	// Forward returns the response of an upstream and its id. A streamed response goes to
	// sink; the returned response is then an upstream's failure before the head, or nil.
	// Errors: *AttemptError if the peer couldn't be reached or was lost, *NotRunError and
	// *FailedError as the peer returns them, those of sink.
	Forward(ctx context.Context, p *Peer, q *Request, sink StreamSink) (*Response, api.UpstreamID, error)
}

// StreamSink takes a streamed response. Its methods are called by one goroutine at a time,
// and an error ends the stream.
type StreamSink interface {
	// Head takes the head of the response, before the first event.
	Head(head *Response) error
	// Event takes an event and the version of the software that generated it.
	Event(e Event, software string) error
}

// PeerCandidate is a peer with this daemon's observations of it.
type PeerCandidate struct {
	Peer     Peer
	InFlight int
	// BackingOff is true for some time after failures.
	BackingOff bool
	Tried      bool // for the current request
}

// PickPeer returns the peer for the next attempt, or false if all were tried: the one with
// the fewest requests of this daemon in flight, of which one in the local data centre
// counts one less.
func (c Chooser) PickPeer(candidates []PeerCandidate) (PeerCandidate, bool) {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(p PeerCandidate) bool { return p.Tried })
	if len(candidates) == 0 {
		return PeerCandidate{}, false
	}
	load := func(p PeerCandidate) int {
		n := 2 * p.InFlight
		if p.BackingOff {
			n += backingOffLoad
		}
		if p.Peer.DataCentre != c.DataCentre {
			n++
		}
		return n
	}
	return slices.MinFunc(candidates, func(a, b PeerCandidate) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(c.peerHash(a.Peer.ID), c.peerHash(b.Peer.ID)))
	}), true
}

// backingOffLoad puts a peer that fails behind all others.
const backingOffLoad = 1 << 20

func (c Chooser) peerHash(id api.DaemonID) uint64 {
	return xxhash.Sum64String(string(c.Daemon) + "/" + string(id))
}
