// Package forward carries requests of daemons that can't reach the upstreams to daemons
// that can: drpc over TCP. The encoding of messages is not visible outside this package.
package forward

import (
	"expvar"

	"dotterelmount.example/lib/netcount"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// counters holds the counters calls, calls_failed, dials, dropped (discarded connections),
// served, bytes_in and bytes_out.
var counters = expvar.NewMap("forward")

var traffic = netcount.New(counters)

// maxMessageBytes bounds a message: the largest body of a caller's request and its headers.
const maxMessageBytes = 33 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// FormatError reports a malformed message of another daemon.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string { return "malformed message: " + e.Detail }
