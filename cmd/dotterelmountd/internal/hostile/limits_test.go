package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// roundTrip sends a request on a new connection and returns the status and the body of the
// response.
func roundTrip(t *testing.T, address string, request ...string) (int, string) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, connTime)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(4*connTime)))
	sent := make(chan struct{})
	go func() { // the daemon may answer before it has read all
		defer close(sent)
		send(c, request...)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_ = c.Close()
	<-sent
	return resp.StatusCode, string(data)
}

// A single body up to the largest limit of the platform's configurations is served on the
// smallest host, with a length and in chunks; one byte more is refused.
func TestSingleBodyAtTheLimit(t *testing.T) {
	const limit = 32 << 20
	d := startHostedWith(t, limit)
	common := head(countPath, "X-Request-Id: r1", "X-Deadline-Ms: 20000")
	body := string(bytes.Repeat([]byte("b"), limit+1))
	for _, c := range []struct{ size, status int }{{limit - 1, 200}, {limit, 200}, {limit + 1, 413}} {
		want := ""
		if c.status == http.StatusOK {
			want = fmt.Sprint(c.size)
		}
		status, got := roundTrip(t, d.callers, common, fmt.Sprintf("Content-Length: %d\r\n\r\n", c.size), body[:c.size])
		assert.Equal(t, status, c.status, "%d bytes with a length", c.size)
		assert.Equal(t, got, want)
		status, got = roundTrip(t, d.callers, common, "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n", c.size), body[:c.size], "\r\n0\r\n\r\n")
		assert.Equal(t, status, c.status, "%d bytes in a chunk", c.size)
		assert.Equal(t, got, want)
	}
	d.check(d.ordinary)
}

// A head whose headers, or whose request line, have exactly the limit is served; one byte
// more is refused.
func TestSingleHeadAtTheLimit(t *testing.T) {
	d := startHosted(t)
	for _, c := range []struct{ size, status int }{{maxHeaderBytes - 1, 200}, {maxHeaderBytes, 200}, {maxHeaderBytes + 1, 431}} {
		line := "POST " + plainPath + " HTTP/1.1\r\n"
		headers := "Host: " + host + "\r\nX-Request-Id: r1\r\nContent-Length: 2\r\nX-Fill: "
		headers += strings.Repeat("f", c.size-len(headers)-2) + "\r\n"
		status, _ := roundTrip(t, d.callers, line+headers+"\r\nhi")
		assert.Equal(t, status, c.status, "headers of %d bytes", c.size)
	}
	lines := strings.Repeat("a:b\r\n", (maxHeaderBytes-200)/5)
	status, _ := roundTrip(t, d.callers, head(plainPath, "X-Request-Id: r1", "Content-Length: 2"), lines, "\r\nhi")
	assert.Equal(t, status, 200, "a head of as many lines as fit")
	d.check(d.ordinary)
}

// A single batch job up to the largest limit of the platform's configurations is taken on
// the smallest host.
func TestSingleJobAtTheLimit(t *testing.T) {
	const limit, perItem = 32 << 20, 256 << 10
	d := startHostedWith(t, limit)
	text := &strings.Builder{}
	text.WriteString(`{"model":"m1","items":[`)
	for i := 0; text.Len() < limit-perItem-100; i++ {
		fmt.Fprintf(text, `{"id":"i%d","path":%q,"tokens":10,"body":"%s"},`, i, jobPath, strings.Repeat("AAAA", perItem/4-50))
	}
	last := `{"id":"last","path":"/jobs/x","tokens":10}]}`
	body := text.String() + strings.Repeat(" ", limit-text.Len()-len(last)) + last
	status, _ := roundTrip(t, d.callers, head(jobPath, "X-Request-Id: job-1", fmt.Sprintf("Content-Length: %d", limit)), "\r\n", body)
	assert.Equal(t, status, http.StatusAccepted)
	d.check(d.ordinary)
}
