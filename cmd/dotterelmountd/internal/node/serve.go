package node

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"

	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/front/httpapi"
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

func serve(sys *duty.System, server *http.Server, listener net.Listener, log *zap.Logger) {
	a := &acceptor{server: server, log: log}
	d := duty.Start(sys, duty.Config{Name: "accept-callers", RingSize: 1}, duty.Handler[net.Listener](a))
	_ = d.Post(listener) // a new duty's ring is empty
}

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	httpapi.Register(mux, n.callerDeps())
	mux.Handle("/v1/admin/", adminapi.NewHandler(&operator{n}))
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
