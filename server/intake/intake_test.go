package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelmount.example/lib/intake"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	testLimit = 1 << 20
	connTime  = 10 * time.Second
)

// clock is a time that a test moves.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// serve starts an HTTP server with a Gate of a host with 4 MiB: 1.2 MiB for requests.
func serve(t testing.TB, c *clock, h http.HandlerFunc) (*Gate, string) {
	t.Helper()
	g := &Gate{cfg: Config{Now: c.now}, plan: intake.NewPlan(4<<20, 256), log: zap.NewNop()}
	g.budget = intake.NewBudget(g.plan)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := g.Server(&http.Server{Handler: h})
	go func() { _ = s.Serve(g.Callers(l)) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
	return g, l.Addr().String()
}

func dial(t testing.TB, address, text string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, connTime)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(connTime)))
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

func status(t testing.TB, c net.Conn) (int, bool) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Close
}

func readAll(w http.ResponseWriter, r *http.Request) {
	data, err := Body(w, r, testLimit)
	var refused *RefusedError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &refused):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err == nil:
		_, _ = fmt.Fprint(w, len(data)) // the caller may have gone
	}
}

func (g *Gate) used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used()
}

func awaitUsed(t testing.TB, g *Gate, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := g.used(); got != want {
			return poll.Continue("%d bytes", got)
		}
		return poll.Success()
	}, poll.WithTimeout(connTime), poll.WithDelay(5*time.Millisecond))
}

// A body that would exceed the budget is refused before it is read; once the other has
// stalled, that one is closed instead.
func TestBodyIsRefusedUnreadOrTheStalledOneIsClosed(t *testing.T) {
	c := &clock{}
	g, address := serve(t, c, readAll)
	const size = 900 << 10
	open := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	stalled := dial(t, address, open+strings.Repeat("b", size-1))
	awaitUsed(t, g, size+cost(open))
	code, closed := status(t, dial(t, address, open))
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, closed)
	small := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("b", 40000))
	code, closed = status(t, small)
	assert.Equal(t, code, http.StatusOK, "a small request has the reserve")
	assert.Assert(t, !closed)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // all but the last byte may not have been read yet
		c.offset.Add(int64(2 * intake.StallTime))
		if code, _ = status(t, dial(t, address, open+strings.Repeat("b", size))); code != http.StatusOK {
			return poll.Continue("status %d", code)
		}
		return poll.Success()
	}, poll.WithTimeout(connTime), poll.WithDelay(5*time.Millisecond))
	_, err := stalled.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the stalled connection is closed")
	awaitUsed(t, g, 0)
}

func cost(head string) int64 {
	h := intake.Head{}
	h.Add([]byte(head))
	return h.Cost()
}

// Several requests on one connection, pipelined with bodies of any form, keep their
// boundaries, and what they hold is released.
func TestPipelinedRequests(t *testing.T) {
	g, address := serve(t, &clock{}, readAll)
	body := strings.Repeat("b", 100<<10)
	text := strings.Repeat(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)+
		fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)+
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 5)
	r := bufio.NewReader(dial(t, address, text))
	for i := range 15 {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		want := fmt.Sprint(len(body))
		if i%3 == 2 {
			want = "0"
		}
		assert.Equal(t, string(data), want)
	}
	awaitUsed(t, g, 0)
}

// A request whose head came with the one before is handled while net/http reads the next byte,
// so the two may not share what they count; the race detector checks it.
func TestHandlerBesideTheNextRead(t *testing.T) {
	const buffer = 4 << 10 // of net/http's reader
	g, address := serve(t, &clock{}, func(w http.ResponseWriter, r *http.Request) {
		if err := Answer(r.Context(), 100<<10); err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	const padded = "GET / HTTP/1.1\r\nHost: a\r\nX-Padding: %s\r\n\r\n"
	first := fmt.Sprintf(padded, strings.Repeat("p", buffer-len(request)-len(padded)+len("%s")))
	assert.Equal(t, len(first+request), buffer)
	for range 20 {
		c := dial(t, address, first+request+request)
		r := bufio.NewReader(c)
		for range 3 {
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
		}
		assert.NilError(t, c.Close())
	}
	awaitUsed(t, g, 0)
}

// A body without a length that grows over the limit is refused, and one that ends early
// holds nothing.
func TestChunkedBodies(t *testing.T) {
	g, address := serve(t, &clock{}, readAll)
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	code, _ := status(t, dial(t, address, chunked+fmt.Sprintf("%x\r\n%s", testLimit+1, strings.Repeat("b", testLimit+1))))
	assert.Equal(t, code, http.StatusRequestEntityTooLarge)
	awaitUsed(t, g, 0)
	code, _ = status(t, dial(t, address, chunked+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testLimit, strings.Repeat("b", testLimit))))
	assert.Equal(t, code, http.StatusOK)
	c := dial(t, address, chunked+"ffff\r\nabc")
	assert.NilError(t, c.Close())
	awaitUsed(t, g, 0)
}

// A caller that sends all of a body that is refused still gets the response, in each form of
// the body and whether or not it asks to keep the connection.
func TestResponseToBodyThatIsNotRead(t *testing.T) {
	g, address := serve(t, &clock{}, readAll)
	const size = 4 << 20
	body := strings.Repeat("b", size)
	for _, form := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
	} {
		for _, connection := range []string{"keep-alive", "close"} {
			for range 5 {
				c := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\nConnection: "+connection+"\r\n"+form)
				code, closed := status(t, c)
				assert.Equal(t, code, http.StatusRequestEntityTooLarge)
				assert.Assert(t, closed)
				assert.NilError(t, c.Close())
			}
		}
	}
	awaitUsed(t, g, 0)
}

// An answer that nobody reads is closed when another one needs its room.
func TestAnswerThatNobodyReads(t *testing.T) {
	c := &clock{}
	const size = 1100 << 10
	g, address := serve(t, c, func(w http.ResponseWriter, r *http.Request) {
		if err := Answer(r.Context(), size); err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(8*size))
		data := make([]byte, size)
		for range 8 { // more than the buffers of the system hold
			if _, err := w.Write(data); err != nil {
				return
			}
		}
	})
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	dial(t, address, request)
	awaitUsed(t, g, size)
	code, _ := status(t, dial(t, address, request))
	assert.Equal(t, code, http.StatusBadGateway)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // more is written until the buffers are full
		c.offset.Add(int64(2 * intake.StallTime))
		if code, _ = status(t, dial(t, address, request)); code != http.StatusOK {
			return poll.Continue("status %d", code)
		}
		return poll.Success()
	}, poll.WithTimeout(connTime), poll.WithDelay(20*time.Millisecond))
	awaitUsed(t, g, 0)
}

// Messages between daemons hold their size until the next response, with reads and writes at
// the same time.
func TestMessagesBetweenDaemons(t *testing.T) {
	g, _ := serve(t, &clock{}, readAll)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := dial(t, l.Addr().String(), strings.Repeat("m", 100<<10))
	c, err := g.Peers(l).Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(connTime)))
	_, err = io.ReadFull(c, make([]byte, 100<<10))
	assert.NilError(t, err)
	assert.Equal(t, g.used(), int64(100<<10*messageFactor))
	done := make(chan struct{})
	go func() { // ends with the connection
		defer close(done)
		_, _ = io.Copy(io.Discard, c)
	}()
	for range 100 {
		_, err = c.Write([]byte("r"))
		assert.NilError(t, err)
		_, err = sent.Write([]byte("m"))
		assert.NilError(t, err)
	}
	assert.NilError(t, sent.Close())
	<-done
	assert.NilError(t, c.Close())
	assert.Equal(t, g.used(), int64(0))
}

// A call of another daemon that runs long makes no room for other requests; one whose message
// stopped does, and so does a connection between calls.
func TestCallBetweenDaemonsMakesNoRoom(t *testing.T) {
	now := &clock{}
	g, _ := serve(t, now, readAll)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	peers := Wrap(g.Peers(l), func(c net.Conn) net.Conn { return struct{ net.Conn }{c} })
	message := strings.Repeat("m", 300<<10)
	receive := func() net.Conn {
		dial(t, l.Addr().String(), message)
		c, err := peers.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(connTime)))
		_, err = io.ReadFull(c, make([]byte, len(message)))
		assert.NilError(t, err)
		return c
	}
	held := int64(len(message) * messageFactor)
	first := receive()
	BeginCall(first)
	now.offset.Add(int64(2 * intake.StallTime))
	claimant := &Conn{Conn: nopConn{}, gate: g}
	g.mu.Lock()
	claimant.account, _ = g.budget.Open(g.budget.NewEdge(1), claimant, now.now())
	g.mu.Unlock()
	assert.Assert(t, claimant.claim(held) != nil, "the call is in progress")
	assert.Equal(t, g.used(), held)
	claimant.release()
	EndCall(first)
	now.offset.Add(int64(2 * intake.StallTime))
	assert.NilError(t, claimant.claim(held))
	assert.Equal(t, g.used(), held)
	_, err = first.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
}

// nopConn is a connection that is only closed.
type nopConn struct{ net.Conn }

func (nopConn) Close() error { return nil }

func (nopConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// BenchmarkSmallRequest compares a small request with and without a Gate.
func BenchmarkSmallRequest(b *testing.B) {
	plain := func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, testLimit+1))
		if err == nil {
			_, _ = w.Write(data)
		}
	}
	bounded := func(w http.ResponseWriter, r *http.Request) {
		data, err := Body(w, r, testLimit)
		if err == nil && Answer(r.Context(), len(data)) == nil {
			_, _ = w.Write(data)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(plain)}
	go func() { _ = s.Serve(l) }() // ends with Close
	b.Cleanup(func() { _ = s.Close() })
	_, address := serve(b, &clock{}, bounded)
	request := []byte("POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1234567890abcdef\r\nX-Deadline-Ms: 800\r\nContent-Type: application/json\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("b", 800))
	for name, to := range map[string]string{"before": l.Addr().String(), "after": address} {
		b.Run(name, func(b *testing.B) {
			c := dial(b, to, "")
			assert.NilError(b, c.SetDeadline(time.Now().Add(10*time.Minute)))
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
