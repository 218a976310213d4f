package httpupstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// pool keeps one transport for each address, so that the connections of one
// upstream can be dropped and aged without touching the others.
type pool struct {
	opts  Options
	fresh *http.Transport

	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	transport *http.Transport
	born      time.Time
	used      time.Time
}

func newPool(opts Options) *pool {
	fresh := newTransport(opts)
	fresh.DisableKeepAlives = true
	return &pool{opts: opts, fresh: fresh, hosts: make(map[string]*host)}
}

func newTransport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: opts.MaxIdle,
		IdleConnTimeout:     opts.IdleTime,
	}
}

// transport returns the address's transport, a new one when the present one
// has reached its maximum age.
func (p *pool) transport(address string) *http.Transport {
	now := p.opts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h != nil && now.Sub(h.born) >= p.opts.MaxAge {
		p.dropLocked(address)
		h = nil
	}
	if h == nil {
		p.evictLocked(now)
		h = &host{transport: newTransport(p.opts), born: now}
		p.hosts[address] = h
	}
	h.used = now
	return h.transport
}

func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(address)
}

// dropLocked closes the idle connections; those in use are closed when their
// call ends, because the transport is not used again.
func (p *pool) dropLocked(address string) {
	if h := p.hosts[address]; h != nil {
		h.transport.CloseIdleConnections()
		delete(p.hosts, address)
	}
}

// evictLocked forgets addresses that were not called for a maximum age.
func (p *pool) evictLocked(now time.Time) {
	for address, h := range p.hosts {
		if now.Sub(h.used) >= p.opts.MaxAge {
			p.dropLocked(address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.hosts {
		p.dropLocked(address)
	}
	p.fresh.CloseIdleConnections()
}
