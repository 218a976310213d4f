package platform

import (
	"net"
	"sync"
)

// maxCopyBytes is the size of the largest response that is sent again.
const maxCopyBytes = 16 << 10

// copyingListener accepts connections over which, while copies returns true, a copy of each
// response is sent once more before the next one.
type copyingListener struct {
	net.Listener
	copies func() bool
}

// Accept implements net.Listener.
func (l *copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: c, copies: l.copies}, nil
}

// copyingConn is a connection that carries one request at a time.
type copyingConn struct {
	net.Conn
	copies func() bool

	mu       sync.Mutex
	last     []byte // the response before
	response []byte // the response to the last request, as far as it was written
}

// Read implements net.Conn. What arrives after a response is the next request.
func (c *copyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && len(c.response) > 0 {
		c.last, c.response = c.response, nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *copyingConn) Write(p []byte) (int, error) {
	if late := c.lateCopy(p); late != nil {
		if _, err := c.Conn.Write(late); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// lateCopy notes the next part of a response and returns what is sent before it.
func (c *copyingConn) lateCopy(part []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var late []byte
	if len(c.response) == 0 && len(c.last) <= maxCopyBytes && c.copies() {
		late = c.last
	}
	if len(c.response) <= maxCopyBytes {
		c.response = append(c.response, part...)
	}
	return late
}
