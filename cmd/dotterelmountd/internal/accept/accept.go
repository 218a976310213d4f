// Package accept runs HTTP servers in duties.
package accept

import (
	"errors"
	"net"
	"net/http"

	"dotterelmount.example/lib/duty"
	"go.uber.org/zap"
)

// Serve starts a duty that runs server on listener until the server is shut down.
// net/http runs each connection on its own goroutine, which decodes requests,
// posts them to duties and waits.
func Serve(sys *duty.System, name string, server *http.Server, listener net.Listener, log *zap.Logger) {
	duty.Run(sys, "accept-"+name, func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("http server failed", zap.Error(err))
		}
	})
}
