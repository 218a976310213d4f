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
	opts     Options
	unpooled *http.Transport

	mu         sync.Mutex
	transports map[string]*pooledTransport
}

type pooledTransport struct {
	transport *http.Transport
	created   time.Time
	lastUsed  time.Time
}

func newPool(opts Options) *pool {
	fresh := newTransport(opts)
	fresh.DisableKeepAlives = true
	return &pool{opts: opts, unpooled: fresh, transports: make(map[string]*pooledTransport)}
}

func newTransport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: opts.MaxIdleConns,
		IdleConnTimeout:     opts.IdleTimeout,
	}
}

// transport returns the address's transport, a new one when the present one
// has reached its maximum age.
func (p *pool) transport(address string) *http.Transport {
	now := p.opts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.transports[address]
	if h != nil && now.Sub(h.created) >= p.opts.MaxAge {
		p.dropLocked(address)
		h = nil
	}
	if h == nil {
		p.evictLocked(now)
		h = &pooledTransport{transport: newTransport(p.opts), created: now}
		p.transports[address] = h
	}
	h.lastUsed = now
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
	if h := p.transports[address]; h != nil {
		h.transport.CloseIdleConnections()
		delete(p.transports, address)
	}
}

// evictLocked forgets addresses that were not called for a maximum age.
func (p *pool) evictLocked(now time.Time) {
	for address, h := range p.transports {
		if now.Sub(h.lastUsed) >= p.opts.MaxAge {
			p.dropLocked(address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.transports {
		p.dropLocked(address)
	}
	p.unpooled.CloseIdleConnections()
}
