package platform

import (
	"fmt"
	"sync"
	"time"
)

// Fleet starts and drains the servers of a service as they are ordered in a zone. It is safe
// for concurrent use.
type Fleet struct {
	// New starts a server with an instance id.
	New func(id string) *Server

	mu      sync.Mutex
	service string
	servers map[bool][]*Server // by whether they may be reclaimed; those that don't leave
	started int
}

// NewFleet returns the fleet of a service that has servers which aren't reclaimed.
func NewFleet(service string, servers []*Server) *Fleet {
	return &Fleet{service: service, servers: map[bool][]*Server{false: servers}}
}

// Order carries out an order at once. Orders for other services have no effect.
func (f *Fleet) Order(service string, spot bool, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if service != f.service {
		return
	}
	for len(f.servers[spot]) < count {
		f.started++
		s := f.New(fmt.Sprintf("ordered-%d", f.started))
		s.setSpot(spot)
		f.servers[spot] = append(f.servers[spot], s)
	}
	for _, s := range f.servers[spot][count:] {
		s.SetDraining(true)
	}
	f.servers[spot] = f.servers[spot][:count]
}

// Reclaim takes away all servers that may be, after a time that they report, and returns them.
func (f *Fleet) Reclaim(after time.Duration) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.servers[true]
	f.servers[true] = nil
	for _, s := range taken {
		s.reclaim(after)
	}
	return taken
}

// Count returns the number of servers that don't leave.
func (f *Fleet) Count(spot bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servers[spot])
}

func (s *Server) setSpot(spot bool) {
	s.mu.Lock()
	s.spot = spot
	s.mu.Unlock()
	s.writeEntry()
}

// reclaim drains the server, which reports the time left, and ends it for good after that.
func (s *Server) reclaim(after time.Duration) {
	s.mu.Lock()
	s.draining, s.goesAt = true, time.Now().Add(after)
	s.mu.Unlock()
	s.writeEntry()
	time.AfterFunc(after, func() { s.Restart(time.Hour, s.ID) })
}
