// Package accept runs HTTP servers on duties.
package accept

import (
	"context"
	"errors"
	"net"
	"net/http"

	"dotterelmount.example/lib/duty"
	"go.uber.org/zap"
)

// acceptor is the duty that accepts connections; net/http gives each its own
// goroutine, which decodes, posts and waits.
type acceptor struct {
	server *http.Server
	log    *zap.Logger
}

// Handle serves until the server is shut down.
func (a *acceptor) Handle(_ context.Context, listener net.Listener) {
	if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("no longer serving", zap.Error(err))
	}
}

// Start has a server serve on a listener until it is shut down.
func Start(sys *duty.System, name string, server *http.Server, listener net.Listener, log *zap.Logger) {
	a := &acceptor{server: server, log: log}
	d := duty.Start(sys, duty.Config{Name: "accept-" + name, RingSize: 1}, duty.Handler[net.Listener](a))
	_ = d.Post(listener) // a new duty's ring is empty
}
