// Package stricthttp is an HTTP/1 client transport that returns only valid responses that are
// known to be complete. It adds to net/http the checks that net/http leaves to its callers.
package stricthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper over the connections of net/http. It is safe for
// concurrent use.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport with the settings of base, which New changes and which must not be
// used afterwards. base has a DialContext and uses no TLS.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// IncompleteError reports that a response without a length ended before its upstream had
// taken the request. Whether the response was ended or lost can't be told then.
type IncompleteError struct{}

// Error implements error.
func (*IncompleteError) Error() string {
	return "the response has no length and ended before the request was taken"
}

// Unwrap returns io.ErrUnexpectedEOF, as for a response that is shorter than its length.
func (*IncompleteError) Unwrap() error { return io.ErrUnexpectedEOF }

// RoundTrip implements http.RoundTripper. Reading the body fails with an *IncompleteError
// instead of io.EOF if the response may be cut off. Errors: *MalformedError, those of net/http.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, _, err := t.exchange(r)
	return resp, err
}

// exchange is RoundTrip. It also returns what it knows of the exchange.
func (t *Transport) exchange(r *http.Request) (*http.Response, *exchange, error) {
	x := &exchange{ctx: r.Context()}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), x.trace())))
	if err != nil {
		return nil, x, err
	}
	if endsWithConnection(resp) {
		resp.Body = &body{ReadCloser: resp.Body, exchange: x}
	}
	return resp, x, nil
}

// endsWithConnection reports whether only the end of the connection ends the body of a
// response. A decompressed body has no length, either, but its connection may be kept.
func endsWithConnection(resp *http.Response) bool {
	return resp.Close && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// exchange is a request and its response.
type exchange struct {
	ctx     context.Context
	attempt atomic.Pointer[attempt] // the last one; net/http may repeat a request that was not written
}

// attempt is a request on a connection.
type attempt struct {
	conn    *conn
	written chan error // gets the outcome once the request was passed to the connection
}

// trace returns hooks that follow the request. Goroutines of net/http call them.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				x.attempt.Store(&attempt{conn: c, written: make(chan error, 1)})
				c.expectHead()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if a := x.attempt.Load(); a != nil {
				select {
				case a.written <- info.Err:
				default: // already known
				}
			}
		},
	}
}

// isTaken reports whether the upstream took the whole request. It may only be called at the
// end of the connection: net/http then closes it, which ends a write in progress.
func (x *exchange) isTaken() bool {
	a := x.attempt.Load()
	if a == nil {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil && a.conn.tookWrites()
	case <-x.ctx.Done():
		return false
	}
}

// body is the body of a response that ends with its connection.
type body struct {
	io.ReadCloser
	exchange *exchange
	end      error // of the body; nil: not reached yet
}

// Read implements io.Reader. The operating system reports a reset only once. If a write of the
// request gets the report, the next read returns what it returns after an orderly end.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if b.end = io.EOF; !b.exchange.isTaken() {
			b.end = &IncompleteError{}
		}
		err = b.end
	}
	return n, err
}
