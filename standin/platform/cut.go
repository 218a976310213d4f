package platform

import (
	"context"
	"net"
	"net/http"
	"time"
)

// CutMode is how the connections of a caller fare that is partitioned from a server.
type CutMode int

// Cut modes.
const (
	CutHang  CutMode = iota // requests get no answer, streams stop
	CutReset                // connections are closed
	CutNew                  // connections opened from now on are closed
)

// cut is the partition of one caller from a server.
type cut struct {
	mode   CutMode
	since  time.Time
	healed chan struct{} // closed when the partition ends
}

// connStart is the key of the time at which a connection was accepted.
type connStart struct{}

func withConnStart(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connStart{}, time.Now())
}

// AllCallers partitions all callers from a server that have no partition of their own.
const AllCallers = ""

// CutOff partitions the caller with an IP address from the server until Heal.
func (s *Server) CutOff(ip string, mode CutMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[ip] = &cut{mode: mode, since: time.Now(), healed: make(chan struct{})}
}

// Heal ends the partition of a caller.
func (s *Server) Heal(ip string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.cuts[ip]; ok {
		close(c.healed)
		delete(s.cuts, ip)
	}
}

// suffer aborts a request whose caller is partitioned. If it hangs, that is when the
// partition or the connection ends.
func (s *Server) suffer(r *http.Request) {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	s.mu.Lock()
	c, ok := s.cuts[ip]
	if !ok {
		c = s.cuts[AllCallers]
	}
	s.mu.Unlock()
	if c == nil {
		return
	}
	if started, ok := r.Context().Value(connStart{}).(time.Time); c.mode == CutNew && ok && started.Before(c.since) {
		return
	}
	if c.mode == CutHang {
		select {
		case <-c.healed:
		case <-r.Context().Done():
		}
	}
	panic(http.ErrAbortHandler)
}
