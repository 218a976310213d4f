package intake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/intake"
)

// Responses to requests that net/http has not read.
const (
	statusNoRoom      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	statusHeadTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

const (
	maxWrite      = 64 << 10               // bytes of an answer between two notes of its progress
	answerTimeout = 100 * time.Millisecond // of a response of some hundred bytes
	lingerTime    = 500 * time.Millisecond // for the rest of a request after its response
	// messageFactor is the memory of a message of another daemon, in its own size: the
	// buffer that grows, and the packet made of it.
	messageFactor = 3
)

// RefusedError reports that there is no room for a request.
type RefusedError struct {
	Never bool // the request is refused even if it is the only one
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Never {
		return "the request needs more memory than this host has for one"
	}
	return "no room for the request"
}

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	gate     *Gate
	account  *intake.Account
	edgeName string
	http     bool
	messages sync.Mutex // between daemons, reads and writes of a connection are concurrent
	// inHead is set while the bytes that are read belong to a head.
	inHead atomic.Bool
	// stopped is set once the rest of a body is not to be read.
	stopped atomic.Bool
	// lingers is set from the end of a refused request's handler until Close.
	lingers atomic.Bool
	head    intake.Head // of the request that is being read
	held    int64       // bytes that were claimed or needed no claim
	large   bool        // the account holds bytes
	writes  bool        // an answer is being written whose progress counts
	// writeUntil is the time until which writes are allowed to block; zero: not set.
	writeUntil time.Time
}

func newHead(c *Conn) { c.head, c.held = intake.Head{}, 0 }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.stopped.Load() {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.http {
		return c.countMessage(n, err)
	}
	if c.inHead.Load() {
		if headErr := c.addHead(p[:n]); headErr != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: headErr}
		}
	}
	return n, err
}

// addHead follows a head. It answers the request itself if that is refused.
func (c *Conn) addHead(p []byte) error {
	if c.head.Add(p) {
		c.inHead.Store(false)
	}
	if c.head.Exceeds(c.gate.headLimit()) {
		c.answerAndClose(statusHeadTooLong)
		c.gate.note(reasonHeadTooLong, c)
		return &RefusedError{Never: true}
	}
	if err := c.claim(c.head.Cost() - c.held); err != nil {
		c.answerAndClose(statusNoRoom)
		return err
	}
	return nil
}

// countMessage counts bytes of another daemon's messages until the next response.
func (c *Conn) countMessage(n int, err error) (int, error) {
	c.moved(n)
	c.messages.Lock()
	claimErr := c.claim(int64(n) * messageFactor)
	c.messages.Unlock()
	if claimErr != nil {
		_ = c.Conn.Close()
		return 0, claimErr
	}
	return n, err
}

// claim lets the request hold n bytes more. Up to intake.FreeBytes are part of the cost of a
// connection. Errors: *RefusedError.
func (c *Conn) claim(n int64) error {
	c.held += n
	if !c.large && c.held <= intake.FreeBytes {
		return nil
	}
	if !c.large {
		n = c.held // the first claim is for all
	}
	g := c.gate
	g.mu.Lock()
	now := g.cfg.Now()
	g.budget.Moved(c.account, 0, now)
	victims, ok := g.budget.Claim(c.account, n, now)
	never := !ok && g.budget.NeverFits(c.held)
	g.mu.Unlock()
	g.closeAll(victims, reasonStalled)
	if !ok {
		g.note(reasonNoRoom, c)
		return &RefusedError{Never: never}
	}
	c.large = true
	return nil
}

// release returns all that the request holds.
func (c *Conn) release() {
	newHead(c)
	if !c.large {
		return
	}
	c.large = false
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Release(c.account)
}

// stopReading ends the request's body, which net/http would else wait for after the
// response, and returns what the request holds.
func (c *Conn) stopReading() {
	c.stopped.Store(true)
	c.release()
}

// enter notes the phase of the request.
func (c *Conn) enter(p intake.Phase) {
	c.inHead.Store(false)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Enter(c.account, p, c.gate.cfg.Now())
}

// moved notes progress of a body or an answer.
func (c *Conn) moved(n int) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Moved(c.account, n, c.gate.cfg.Now())
}

// nextRequest prepares the connection for the head of the next request.
func (c *Conn) nextRequest() {
	c.release()
	c.writes = false
	c.enter(intake.Waiting)
	c.inHead.Store(true)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.http {
		n, err := c.Conn.Write(p)
		c.messages.Lock()
		c.release()
		c.messages.Unlock()
		c.moved(n)
		return n, err
	}
	if now := c.gate.cfg.Now(); c.writeUntil.Sub(now) < intake.MaxStall/2 {
		c.writeUntil = now.Add(intake.MaxStall)
		_ = c.Conn.SetWriteDeadline(c.writeUntil) // fails only if the connection is closed
	}
	if len(p) <= maxWrite && !c.writes {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		c.moved(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// SetWriteDeadline implements net.Conn. net/http removes the deadline after each request.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the writing side, so that the peer can read a response to a request
// that is not read to its end. net/http calls it.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. After the response to a request that was not read to its end it
// waits for the caller, unless it is called again.
func (c *Conn) Close() error {
	if c.lingers.CompareAndSwap(true, false) {
		c.linger()
	}
	c.gate.mu.Lock()
	c.gate.budget.Close(c.account)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// linger discards what the caller still sends: closing a connection with unread bytes would
// reset it, also for the response. The connection counts until then, but holds nothing.
func (c *Conn) linger() {
	c.gate.mu.Lock()
	c.gate.budget.Release(c.account)
	c.gate.mu.Unlock()
	_ = c.CloseWrite() // fails only on a closed connection
	_ = c.Conn.SetReadDeadline(c.gate.cfg.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn) // ends with the caller or the time
}

// answerAndClose answers a request that was not read.
func (c *Conn) answerAndClose(response string) {
	if c.http {
		_ = c.Conn.SetWriteDeadline(c.gate.cfg.Now().Add(answerTimeout))
		_, _ = c.Conn.Write([]byte(response)) // the caller may have gone
	}
	if c.account == nil { // the listener does not wait for the caller
		_ = c.Conn.Close()
		return
	}
	c.linger()
	_ = c.Close()
}
