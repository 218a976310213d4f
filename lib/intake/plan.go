// Package intake decides how much of what callers send a daemon takes, so that the process
// stays within its host's memory and descriptors. It answers the load of callers that
// nobody controls: many large requests at once that stop short of their end, heads of very
// many lines, connections that say nothing, and answers that nobody reads. It has no
// sockets and no clock.
package intake

import "time"

// Limits of what one connection may do. Callers within the platform's limits meet none of
// them: they wait 12 s at most, and their heads have at most 16 KiB.
const (
	// StallTime is the time without a byte after which a request or an answer is closed if
	// another one needs its room.
	StallTime = time.Second
	// MaxStall is the time without a byte after which it is closed in any case.
	MaxStall = 15 * time.Second
	// MinRate is the lowest mean rate of a body, in bytes per second after MaxStall.
	MinRate = 1 << 10
	// FreeBytes of each connection count as part of its cost.
	FreeBytes = 16 << 10
	// DefaultHeadBytes is the limit on a request line and its headers if the configuration
	// sets none.
	DefaultHeadBytes = 64 << 10
	// LineBytes is the memory of a header line besides its text, in its map and in the copy
	// that is forwarded.
	LineBytes = 256
)

const (
	attemptBytes = 64 << 10 // of memory of an attempt: connection, buffers, task
	connBytes    = 24 << 10 // of memory of a connection: goroutine, buffers, FreeBytes in part
	smallBytes   = 64 << 10 // the largest request that may use the reserve
	minConns     = 8        // of each edge
	maxSideConns = 64       // of an edge for the platform's own checks
	maxPeerConns = 512
)

// Plan is how a host's memory and descriptors are used.
type Plan struct {
	Bytes   int64 // of all requests and answers together
	Reserve int64 // besides Bytes, for small requests
	// Answers is the part of Bytes that answers may use: others follow them closely, which
	// are read or on their way to their callers.
	Answers int64
	// Alone is the limit of a request while nothing else needs more than the reserve. A
	// request of the largest legal size is decoded within it.
	Alone int64
	// Jobs is the limit of the accepted batch jobs that the daemon's state holds.
	Jobs int64
	// Conns are the connections of callers, SideConns those of each edge for the platform's
	// checks, and PeerConns those of other daemons.
	Conns, SideConns, PeerConns int
	// Buffered is the limit of the responses that are being read from upstreams.
	Buffered int64
	// Runs are the runs of batch jobs in progress, each with a connection to an upstream, and
	// RunBytes what they may hold together.
	Runs     int
	RunBytes int64
	// Attempts are the requests that are at upstreams or forwarded to other daemons, each over a
	// connection. Their bodies and responses are part of Bytes and Buffered.
	Attempts int
	// HeapBytes is the size of the heap above which garbage is collected more often.
	HeapBytes int64
}

// NewPlan returns the plan of a host with this memory, in bytes, and descriptors. A quarter
// of the memory is for connections, almost a third for requests and answers, a twelfth for
// responses that are being read, a twelfth for attempts at upstreams, a fifth for accepted jobs
// and a sixth for their runs, though not all of these are used at once: the daemon's other state,
// garbage and the program itself need memory, too. Three sixteenths of the descriptors are for
// runs, an eighth for attempts, and as many for the store and files.
func NewPlan(memory int64, descriptors int) Plan {
	conns := max(minConns, min(descriptors*3/8, int(memory/4/connBytes)))
	return Plan{
		Bytes: memory * 30 / 100, Answers: memory * 15 / 100, Reserve: memory * 5 / 100, Alone: memory * 60 / 100,
		Conns: conns, SideConns: max(minConns, min(maxSideConns, conns/4)), PeerConns: max(minConns, min(maxPeerConns, conns/2)),
		Jobs:      memory / 5,
		Buffered:  memory / 12,
		Attempts:  max(1, min(descriptors/8, int(memory/12/attemptBytes))),
		Runs:      max(1, descriptors*3/16),
		RunBytes:  memory / 6,
		HeapBytes: memory * 7 / 10,
	}
}
