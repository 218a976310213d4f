// Package netcount counts the bytes read from and written to connections, in
// "bytes_in" and "bytes_out" of an expvar map.
package netcount

import (
	"context"
	"expvar"
	"net"
)

// Counter counts the bytes of the connections it wraps. It is safe for concurrent
// use.
type Counter struct{ in, out *expvar.Int }

// New returns a counter that adds the bytes to m.
func New(m *expvar.Map) Counter {
	m.Add("bytes_in", 0)
	m.Add("bytes_out", 0)
	return Counter{in: m.Get("bytes_in").(*expvar.Int), out: m.Get("bytes_out").(*expvar.Int)}
}

// Conn wraps c to count its bytes.
func (n Counter) Conn(c net.Conn) net.Conn { return conn{Conn: c, n: n} }

// Listener wraps l to count the bytes of the connections it accepts.
func (n Counter) Listener(l net.Listener) net.Listener { return listener{Listener: l, n: n} }

// Dial wraps dial to count the bytes of the connections it opens.
func (n Counter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.Conn(c), nil
	}
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

type conn struct {
	net.Conn
	n Counter
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.out.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	n Counter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.n.Conn(c), nil
}
