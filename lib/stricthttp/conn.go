package stricthttp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"dotterelmount.example/lib/attribution"
	"dotterelmount.example/lib/sockets"
)

// conn is a connection that checks the heads of responses and knows whether its peer took what
// was written to it.
type conn struct {
	net.Conn
	head  atomic.Pointer[head] // of the response to the last request; nil: no request yet
	ended atomic.Bool          // the peer has ended its stream

	closed  atomic.Bool
	carried attribution.Connection // of Attributed; used by the request that has the connection

	writing sync.Mutex  // held during a write
	untaken atomic.Bool // the peer may lack part of what was written
}

// Write implements net.Conn. A peer that has ended its stream may read no more of the request.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		c.untaken.Store(true)
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.untaken.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// expectHead starts the check of the next response.
func (c *conn) expectHead() { c.head.Store(&head{}) }

// Read implements net.Conn. Errors: also *MalformedError.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if h := c.head.Load(); h != nil {
		if malformed := h.check(p[:n]); malformed != nil {
			return 0, malformed
		}
	}
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
		if c.hasUnacknowledged() {
			c.untaken.Store(true)
		}
	}
	return n, err
}

// hasUnacknowledged reports whether the peer has not acknowledged everything. It returns
// false if that is not known, as of a connection that is wrapped once more.
func (c *conn) hasUnacknowledged() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	bytes, err := sockets.Unacknowledged(s)
	return err == nil && bytes > 0
}

// tookWrites waits for the end of a write in progress and reports whether the peer took
// everything.
func (c *conn) tookWrites() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return !c.untaken.Load()
}
