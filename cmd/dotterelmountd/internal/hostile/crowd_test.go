package hostile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// connTime bounds each connection of a crowd, and each ordinary request.
const connTime = 6 * time.Second

// crowd is a number of connections that stay open until the end of the test.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// newCrowd opens n connections. Those that the process refuses are missing.
func newCrowd(t *testing.T, address string, n int) *crowd {
	c := &crowd{}
	each(n, func(int) {
		dialer := net.Dialer{Timeout: connTime}
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.conns = append(c.conns, conn)
	})
	t.Cleanup(func() {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

// play lets all connections play and waits for them. The process may close them meanwhile.
func (c *crowd) play(play func(net.Conn)) {
	deadline := time.Now().Add(connTime)
	each(len(c.conns), func(i int) {
		_ = c.conns[i].SetDeadline(deadline) // fails only on a closed connection
		play(c.conns[i])
	})
}

func each(n int, f func(int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// send writes data; the process may have closed the connection.
func send(c net.Conn, data ...string) bool {
	for _, d := range data {
		if _, err := io.WriteString(c, d); err != nil {
			return false
		}
	}
	return true
}

// head returns the beginning of a POST, without the empty line.
func head(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(append(lines, ""), "\r\n")
}

// play functions of the kinds of callers, each for the path of a POST.

// headOver sends a complete head of 2 MB.
func headOver(path string) func(net.Conn) {
	return func(c net.Conn) {
		send(c, head(path), strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 2<<10), "\r\n")
	}
}

// headWithoutEnd sends up to 8 MB of header lines.
func headWithoutEnd(path string) func(net.Conn) {
	return func(c net.Conn) {
		send(c, head(path))
		for range 8 << 10 {
			if !send(c, "X-Long: "+strings.Repeat("x", 1000)+"\r\n") {
				return
			}
		}
	}
}

// emptyLines sends up to 4 MB of empty lines before a request.
func emptyLines(string) func(net.Conn) {
	return func(c net.Conn) {
		for range 64 {
			if !send(c, strings.Repeat("\r\n", 32<<10)) {
				return
			}
		}
	}
}

// manyLines sends a head of legal size with as many short lines as fit, without its end.
func manyLines(path string) func(net.Conn) {
	text := &strings.Builder{}
	text.WriteString(head(path))
	for i := 0; text.Len() < maxHeaderBytes-16; i++ {
		fmt.Fprintf(text, "%x:\r\n", i)
	}
	return func(c net.Conn) { send(c, text.String()) }
}

// manyLinesAndBody sends a complete head of legal size with many short lines, and a body
// that stops just short.
func manyLinesAndBody(path string) func(net.Conn) {
	text := &strings.Builder{}
	text.WriteString(head(path, "Content-Length: 2"))
	for i := 0; text.Len() < maxHeaderBytes-16; i++ {
		fmt.Fprintf(text, "%x:\r\n", i)
	}
	text.WriteString("\r\n1")
	return func(c net.Conn) { send(c, text.String()) }
}

// oddLines sends complete heads of legal size whose lines are folded, repeated, without a
// colon or without a name.
func oddLines(path string) func(net.Conn) {
	return func(c net.Conn) {
		for _, odd := range []string{" \r\n", "a:\r\n", "a\r\n", ":\r\n", "\x00:\r\n", "A: b\r\n c\r\n", "\t\r\n"} {
			lines := (maxHeaderBytes - 200) / len(odd)
			if !send(c, head(path, "Content-Length: 0"), strings.Repeat(odd, lines), "\r\n") {
				return
			}
		}
	}
}

// silent says nothing.
func silent(string) func(net.Conn) { return func(net.Conn) {} }

// bodyWithLength sends all but the last byte of a body of legal size.
func bodyWithLength(path string) func(net.Conn) {
	body := strings.Repeat("b", maxBodyBytes-1)
	return func(c net.Conn) {
		send(c, head(path, fmt.Sprintf("Content-Length: %d", maxBodyBytes)), "\r\n", body)
	}
}

// bodyInChunks sends all but the last byte of a body of legal size in chunks of 64 KB.
func bodyInChunks(path string) func(net.Conn) {
	const size = 64 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size))
	body := strings.Repeat(chunk, maxBodyBytes/size-1) + fmt.Sprintf("%x\r\n%s", size, strings.Repeat("c", size-1))
	return func(c net.Conn) { send(c, head(path, "Transfer-Encoding: chunked"), "\r\n", body) }
}

// bytesInChunks sends a body with one byte a chunk.
func bytesInChunks(path string) func(net.Conn) {
	body := strings.Repeat("1\r\nc\r\n", maxBodyBytes/6)
	return func(c net.Conn) { send(c, head(path, "Transfer-Encoding: chunked"), "\r\n", body) }
}

// chunkExtensions sends chunks with long extensions.
func chunkExtensions(path string) func(net.Conn) {
	body := strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\nc\r\n", 2000)
	return func(c net.Conn) { send(c, head(path, "Transfer-Encoding: chunked"), "\r\n", body) }
}

// trailersWithoutEnd sends a body with up to 4 MB of trailers.
func trailersWithoutEnd(path string) func(net.Conn) {
	return func(c net.Conn) {
		send(c, head(path, "Transfer-Encoding: chunked", "Trailer: X-Trailer"), "\r\n1\r\nc\r\n0\r\n")
		for range 4 << 10 {
			if !send(c, "X-Trailer: "+strings.Repeat("x", 1000)+"\r\n") {
				return
			}
		}
	}
}

// wholeBody sends a complete body and reads nothing.
func wholeBody(path string, body []byte) func(net.Conn) {
	return func(c net.Conn) {
		send(c, head(path, "X-Request-Id: job", fmt.Sprintf("Content-Length: %d", len(body))), "\r\n")
		_, _ = io.Copy(c, bytes.NewReader(body)) // the process may have closed the connection
	}
}

// requests counts the ordinary requests.
var requests atomic.Int64

// statusError is a response with another status than expected.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// ask makes one request on a new connection and returns nil if the status is want and the
// body ends as given.
func ask(method, url string, body string, want int, suffix string) error {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = host
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", requests.Add(1)))
	client := &http.Client{Timeout: connTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != want:
		return statusError(resp.StatusCode)
	case !strings.HasSuffix(string(data), suffix):
		return errors.New("another body")
	}
	return nil
}

// peerKinds are callers of a daemon's address for other daemons.
var peerKinds = []struct {
	name  string
	conns int
	play  func(net.Conn)
}{
	{"messages without end", 32, openMessage(6 << 20)},
	{"messages in frames without end", 32, openFrames(6 << 20)},
	{"silent connections", 400, silent("")},
}

// Parts of the first byte of a frame of drpc, and the kind of message that starts a call.
const (
	frameDone  = 1
	kindInvoke = 1 << 1
)

// openMessage sends all but the last byte of one message of the given size.
func openMessage(size int) func(net.Conn) {
	frame := binary.AppendUvarint([]byte{kindInvoke | frameDone, 1, 1}, uint64(size))
	frame = append(frame, make([]byte, size-1)...)
	return func(c net.Conn) { send(c, string(frame)) }
}

// openFrames sends one message in frames of 1 KB, without the last one.
func openFrames(size int) func(net.Conn) {
	const part = 1 << 10
	frame := binary.AppendUvarint([]byte{kindInvoke, 1, 1}, part)
	frame = append(frame, make([]byte, part)...)
	text := strings.Repeat(string(frame), size/part)
	return func(c net.Conn) { send(c, text) }
}
