// Package accept runs HTTP servers on duties.
package accept

import (
	"errors"
	"net"
	"net/http"

	"dotterelmount.example/lib/duty"
	"go.uber.org/zap"
)

// Serve has a server serve on a listener, on a duty of its own, until it is
// shut down. net/http gives each connection its own goroutine, which decodes,
// posts and waits.
func Serve(sys *duty.System, name string, server *http.Server, listener net.Listener, log *zap.Logger) {
	duty.Run(sys, "accept-"+name, func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("no longer serving", zap.Error(err))
		}
	})
}
