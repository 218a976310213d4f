// Package httpupstream implements upstream.Client over net/http. Engines are
// called through an OpenAI-compatible API with server-sent events; calls of plain
// services are forwarded unchanged.
package httpupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
)

// HeaderRequestID is the header that carries the request ID to the upstream.
const HeaderRequestID = "X-Request-Id"

const (
	defaultDialTimeout      = 2 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultMaxAge           = 5 * time.Minute
	defaultMaxIdleConns     = 64
	defaultMaxResponseBytes = 16 << 20 // bytes
	// drainTimeout is how long the connection of a complete stream may take to
	// end its response, so that it can be reused.
	drainTimeout = 50 * time.Millisecond
)

// Options configures a client. Zero fields are set to defaults.
type Options struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // time after which an idle connection is closed
	MaxAge           time.Duration // age after which a connection is not used for new calls
	MaxIdleConns     int           // maximum number of idle connections per upstream
	MaxResponseBytes int64         // maximum size of a response that is read completely
	Clock            func() time.Time
}

// Client implements upstream.Client. It is safe for concurrent use.
type Client struct {
	opts Options
	pool *pool
}

var _ upstream.Client = (*Client)(nil)

// New returns a client with its own connection pool.
func New(opts Options) *Client {
	setDefault(&opts.DialTimeout, defaultDialTimeout)
	setDefault(&opts.IdleTimeout, defaultIdleTimeout)
	setDefault(&opts.MaxAge, defaultMaxAge)
	setDefault(&opts.MaxIdleConns, defaultMaxIdleConns)
	setDefault(&opts.MaxResponseBytes, defaultMaxResponseBytes)
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Client{opts: opts, pool: newPool(opts)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// CloseIdle closes the idle connections of the upstream at address. Connections
// in use are closed after their call.
func (c *Client) CloseIdle(address string) { c.pool.drop(address) }

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

// StatusError is a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string // beginning of the body
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// call is one HTTP exchange with an upstream.
type call struct {
	client *Client
	target upstream.Target
	ctx    context.Context
	sent   atomic.Bool
	status int
}

func (c *Client) newCall(ctx context.Context, t upstream.Target) *call {
	return &call{client: c, target: t, ctx: ctx}
}

// request describes what a call sends.
type request struct {
	method, path, contentType string
	id                        api.RequestID
	body                      []byte
}

// nonReplayableBody is a body that net/http cannot rewind. It prevents net/http
// from retrying requests, as it does for replayable ones such as a GET whose
// keep-alive connection was closed.
type nonReplayableBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// reader returns the body. An empty body is a nonReplayableBody only for the
// methods that net/http retries; with other methods it would be sent as an empty
// chunk.
func (q *request) reader() io.Reader {
	replayable := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	if len(q.body) == 0 && !slices.Contains(replayable, q.method) {
		return http.NoBody
	}
	return nonReplayableBody{bytes.NewReader(q.body)}
}

// do sends the request at most once. The caller closes the response body.
func (c *call) do(q request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.sent.Store(true) }}
	ctx := httptrace.WithClientTrace(c.ctx, trace)
	if !strings.HasPrefix(q.path, "/") {
		return nil, api.Errorf(api.CodeInvalid, "path %q does not begin with /", q.path)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.target.Address+q.path, q.reader())
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "request: %w", err)
	}
	r.ContentLength = int64(len(q.body))
	if q.contentType != "" {
		r.Header.Set("Content-Type", q.contentType)
	}
	if q.id != "" {
		r.Header.Set(HeaderRequestID, string(q.id))
	}
	resp, err := c.transport().RoundTrip(r)
	if err != nil {
		return nil, err
	}
	c.status = resp.StatusCode
	return resp, nil
}

// transport returns the transport of the call. It is used without an http.Client,
// which would follow redirects.
func (c *call) transport() http.RoundTripper {
	if c.target.NewConnection {
		return c.client.pool.unpooled
	}
	return c.client.pool.transport(c.target.Address)
}

// readAll reads a complete body. Errors: CodeTruncated, CodeTooLarge.
func (c *call) readAll(resp *http.Response) ([]byte, error) {
	limit := c.client.opts.MaxResponseBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, api.Errorf(api.CodeTooLarge, "response exceeds %d bytes", limit)
	}
	return body, nil
}

// exchangeJSON sends a request and decodes the body of the response into v, which
// may be nil.
func (c *call) exchangeJSON(q request, v any) error {
	resp, err := c.do(q)
	if err != nil {
		return c.fail(err)
	}
	defer resp.Body.Close()
	body, err := c.readAll(resp)
	if err != nil {
		return c.fail(err)
	}
	if resp.StatusCode != http.StatusOK {
		return c.fail(statusError(resp.StatusCode, body))
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return c.fail(api.Errorf(api.CodeInvalid, "response: %w", err))
	}
	return nil
}

func statusError(status int, body []byte) error {
	const maxShownBytes = 4096
	return &StatusError{Status: status, Body: string(body[:min(maxShownBytes, len(body))])}
}

// fail wraps err in a CallError. If the context has ended, its cause determines
// the code of a connection error.
func (c *call) fail(err error) error {
	return &upstream.CallError{
		Upstream: c.target.ID,
		Sent:     c.sent.Load(),
		Code:     c.code(err),
		Status:   c.status,
		Cause:    err,
	}
}

func (c *call) code(err error) api.Code {
	var coded *api.Error
	switch cause := context.Cause(c.ctx); {
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(cause, &coded):
		return coded.Code
	case errors.Is(cause, context.DeadlineExceeded):
		return api.CodeDeadlineExceeded
	case cause != nil:
		return api.CodeCancelled
	case errors.Is(err, io.ErrUnexpectedEOF):
		return api.CodeTruncated
	default:
		return api.CodeUpstreamFailed
	}
}
