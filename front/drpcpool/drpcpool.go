// Package drpcpool keeps idle drpc connections to other daemons for later calls.
package drpcpool

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"dotterelmount.example/lib/netcount"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
)

// Config configures a Pool.
type Config struct {
	MaxIdlePerAddr int           // connections
	MaxIdle        int           // connections to all addresses
	MaxIdleTime    time.Duration // firewalls may drop the state of longer idle connections
	Manager        drpcmanager.Options
	Dialer         net.Dialer
	// Counters gets the counters dials, dropped (discarded connections), bytes_in and
	// bytes_out.
	Counters *expvar.Map
	Traffic  netcount.Counter
}

// Pool is a set of open connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	idle   []idleConn // oldest first
	closed bool
}

// idleConn is an open connection without a call in progress.
type idleConn struct {
	addr      string
	conn      *drpcconn.Conn
	idleSince time.Time
}

// New returns a Pool without connections.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Close closes the idle connections. It does not cancel calls in progress.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, i := range idle {
		_ = i.conn.Close()
	}
}

// Dial opens a connection. Errors: those of net.Dialer.
func (p *Pool) Dial(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	p.cfg.Counters.Add("dials", 1)
	netConn, err := p.cfg.Dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(p.cfg.Traffic.Conn(netConn), drpcconn.Options{Manager: p.cfg.Manager}), nil
}

// TakeIdle removes an open connection to addr from the pool and returns it; nil if
// there is none.
func (p *Pool) TakeIdle(addr string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		pooled := p.idle[i]
		if pooled.addr != addr {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !isClosed(pooled.conn) && time.Since(pooled.idleSince) < p.cfg.MaxIdleTime {
			return pooled.conn
		}
		p.discard(pooled.conn)
	}
	return nil
}

// Release returns a connection to the pool. It discards one whose call failed in
// any way: the peer may have stopped, or a firewall may have dropped the
// connection's state.
func (p *Pool) Release(addr string, conn *drpcconn.Conn, err error) {
	if err != nil || isClosed(conn) {
		p.discard(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.discard(conn)
		return
	}
	p.idle = append(p.idle, idleConn{addr: addr, conn: conn, idleSince: time.Now()})
	p.trim(addr)
}

// trim closes idle connections that are too old, and the oldest beyond the limits.
func (p *Pool) trim(addr string) {
	sameAddr := 0
	for _, i := range p.idle {
		if i.addr == addr {
			sameAddr++
		}
	}
	for i := 0; i < len(p.idle); i++ {
		expired := time.Since(p.idle[i].idleSince) >= p.cfg.MaxIdleTime
		tooMany := sameAddr > p.cfg.MaxIdlePerAddr && p.idle[i].addr == addr
		if !expired && !tooMany && len(p.idle) <= p.cfg.MaxIdle {
			continue
		}
		if p.idle[i].addr == addr {
			sameAddr--
		}
		p.discard(p.idle[i].conn)
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		i--
	}
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (p *Pool) discard(conn *drpcconn.Conn) {
	p.cfg.Counters.Add("dropped", 1)
	_ = conn.Close()
}
