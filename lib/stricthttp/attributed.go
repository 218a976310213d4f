package stricthttp

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"slices"
	"sync"

	"dotterelmount.example/lib/attribution"
)

// Metrics of this process.
var (
	foreignResponses = expvar.NewInt("http_foreign_responses")       // that named another request
	passedOver       = expvar.NewInt("http_connections_passed_over") // requests for which no idle connection could be used
)

// Attributed is an http.RoundTripper that attributes each response to the send that it belongs
// to, also if the upstream sends copies of earlier responses. A header field names requests,
// and responses repeat it. A GET or HEAD without a name may get the response to an earlier
// request without a name on its connection. It is safe for concurrent use.
type Attributed struct {
	base       *http.Transport // the settings of all lines
	nameHeader string
	namesOnly  bool // responses without a name are not attributed

	mu      sync.Mutex
	idle    map[string][]*line // by host; the one used last is the last
	closing bool               // lines close after their request, until the next one is sent
}

var _ http.RoundTripper = (*Attributed)(nil)

// NewAttributed returns an Attributed with the settings of base, which must not be used
// afterwards. base has a DialContext and uses no TLS.
func NewAttributed(base *http.Transport, nameHeader string) *Attributed {
	return &Attributed{base: base, nameHeader: nameHeader, idle: make(map[string][]*line)}
}

// NewNamesOnly is NewAttributed for upstreams that need not repeat names. Their responses without
// a name are returned as they come, and their connections are kept.
func NewNamesOnly(base *http.Transport, nameHeader string) *Attributed {
	t := NewAttributed(base, nameHeader)
	t.namesOnly = true
	return t
}

// line is a transport with at most one connection, so that it is known before a request is
// sent which connection will carry it. It carries one request at a time.
type line struct {
	transport *Transport
	conn      *conn // of the last request
}

func (l *line) isClosed() bool { return l.conn.closed.Load() }

// RoundTrip implements http.RoundTripper. Errors: those of Transport,
// *attribution.ForeignError.
func (t *Attributed) RoundTrip(r *http.Request) (*http.Response, error) {
	host := r.URL.Host
	request := attribution.Request{Name: r.Header.Get(t.nameHeader), Safe: r.Method == http.MethodGet || r.Method == http.MethodHead}
	l := t.take(host, request)
	resp, x, err := l.transport.exchange(r)
	if err != nil {
		l.transport.CloseIdleConnections()
		return nil, err
	}
	l.conn = x.attempt.Load().conn
	if err := t.attribute(l, request, resp.Header.Get(t.nameHeader)); err != nil {
		foreignResponses.Add(1)
		_ = resp.Body.Close() // its connection is not used again
		l.transport.CloseIdleConnections()
		return nil, err
	}
	if resp.Body == http.NoBody {
		t.release(host, l, !resp.Close)
		return resp, nil
	}
	resp.Body = &lineBody{ReadCloser: resp.Body, release: func(whole bool) { t.release(host, l, whole && !resp.Close) }}
	return resp, nil
}

// attribute notes the name in the response to a request. Errors: *attribution.ForeignError.
func (t *Attributed) attribute(l *line, r attribution.Request, named string) error {
	if t.namesOnly && named == "" {
		return nil
	}
	return l.conn.carried.Exchanged(r, named)
}

// CloseIdleConnections closes the connections that are not in use, and those in use after
// their request unless another one is sent before.
func (t *Attributed) CloseIdleConnections() {
	t.mu.Lock()
	idle := t.idle
	t.idle, t.closing = make(map[string][]*line), true
	t.mu.Unlock()
	for _, lines := range idle {
		for _, l := range lines {
			l.transport.CloseIdleConnections()
		}
	}
}

// take returns a line to a host whose connection may carry a request, or one without a
// connection.
func (t *Attributed) take(host string, r attribution.Request) *line {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = false
	lines := slices.DeleteFunc(t.idle[host], (*line).isClosed)
	for i, l := range slices.Backward(lines) {
		if l.conn.carried.MayCarry(r) {
			t.setIdle(host, slices.Delete(lines, i, i+1))
			return l
		}
	}
	t.setIdle(host, lines)
	if len(lines) > 0 {
		passedOver.Add(1)
	}
	base := t.base.Clone()
	base.MaxConnsPerHost = 1
	return &line{transport: New(base)}
}

// release makes a line available to other requests, or closes it if it can't be used again.
func (t *Attributed) release(host string, l *line, reusable bool) {
	t.mu.Lock()
	lines := slices.DeleteFunc(t.idle[host], (*line).isClosed)
	keep := reusable && !t.closing && !l.isClosed() && !l.conn.carried.IsSpent() && len(lines) < t.maxIdle()
	if keep {
		lines = append(lines, l)
	}
	t.setIdle(host, lines)
	t.mu.Unlock()
	if !keep {
		l.transport.CloseIdleConnections()
	}
}

func (t *Attributed) maxIdle() int {
	if t.base.MaxIdleConnsPerHost == 0 {
		return http.DefaultMaxIdleConnsPerHost
	}
	return t.base.MaxIdleConnsPerHost
}

func (t *Attributed) setIdle(host string, lines []*line) {
	if len(lines) == 0 {
		delete(t.idle, host)
		return
	}
	t.idle[host] = lines
}

// lineBody is the body of a response. It releases its line when it ends or is closed.
type lineBody struct {
	io.ReadCloser
	once    sync.Once
	release func(whole bool)
}

// Read implements io.Reader.
func (b *lineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.release(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *lineBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(false) })
	return err
}
