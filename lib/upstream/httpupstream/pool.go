package httpupstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"dotterelmount.example/lib/stricthttp"
)

// pool keeps one transport per address, so that the connections of an upstream
// can be closed or expire independently of the others.
type pool struct {
	opts     Options
	unpooled *stricthttp.Transport

	mu         sync.Mutex
	transports map[string]*pooledTransport
}

type pooledTransport struct {
	transport *stricthttp.Attributed
	created   time.Time
	lastUsed  time.Time
}

func newPool(opts Options) *pool {
	return &pool{opts: opts, unpooled: stricthttp.New(newTransport(opts, false)), transports: make(map[string]*pooledTransport)}
}

// newTransport returns a transport for one of stricthttp.
func newTransport(opts Options, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: opts.MaxIdleConns,
		IdleConnTimeout:     opts.IdleTimeout,
		DisableKeepAlives:   !keepAlive,
	}
}

// transport returns the transport of an address. A transport that has reached the
// maximum age is replaced.
func (p *pool) transport(address string) *stricthttp.Attributed {
	now := p.opts.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[address]
	if t != nil && now.Sub(t.created) >= p.opts.MaxAge {
		p.dropLocked(address)
		t = nil
	}
	if t == nil {
		p.evictLocked(now)
		t = &pooledTransport{transport: stricthttp.NewNamesOnly(newTransport(p.opts, true), HeaderRequestID), created: now}
		p.transports[address] = t
	}
	t.lastUsed = now
	return t.transport
}

func (p *pool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(address)
}

// dropLocked removes a transport and closes its idle connections. Connections in
// use are closed when their call ends, as the transport is not used again.
func (p *pool) dropLocked(address string) {
	if t := p.transports[address]; t != nil {
		t.transport.CloseIdleConnections()
		delete(p.transports, address)
	}
}

// evictLocked removes transports that have not been used for the maximum age.
func (p *pool) evictLocked(now time.Time) {
	for address, t := range p.transports {
		if now.Sub(t.lastUsed) >= p.opts.MaxAge {
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
