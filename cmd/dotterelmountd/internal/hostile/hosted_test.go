package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/standin/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Limits of requests in the configuration of the tests.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	host           = "callers.example"
	plainPath      = "/plain/x"
	largePath      = "/plain/large"
	countPath      = "/plain/count" // the answer is the length of the body
	jobPath        = "/jobs/x"
	largeAnswer    = 7 << 20 // bytes
)

// daemon is a hosted daemon on a stand-in of the platform.
type daemon struct {
	*process
	callers, readiness, metrics, peers string
}

func startHosted(t *testing.T) *daemon { return startHostedWith(t, maxBodyBytes) }

// startHostedWith starts a daemon with a limit on bodies in the configuration.
func startHostedWith(t *testing.T, bodyLimit int) *daemon {
	t.Helper()
	store := platform.NewStore()
	t.Cleanup(store.Close)
	store.MaxBodyBytes, store.MaxHeaderBytes = bodyLimit, maxHeaderBytes
	store.PublishConfig(1, []platform.Route{
		{Name: "plain", Host: host, PathPrefix: "/plain/", Kind: "safe", Service: "plain", TimeoutMillis: 5000, LatencyTargetMillis: 2000, Attempts: 2},
		{Name: "jobs", Host: host, PathPrefix: "/jobs/", Kind: "rollout", Service: "engines", TimeoutMillis: 5000, LatencyTargetMillis: 2000, Attempts: 2, ItemTimeoutSeconds: 30, ResultTargetMillis: 7000},
	}, []platform.Service{{Name: "engines", Models: []string{"m1"}}, {Name: "plain"}})
	server := platform.NewServer(store, "plain-1", "plain")
	answer := strings.Repeat("a", largeAnswer)
	server.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != largePath && r.URL.Path != countPath {
			return false
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "signed")
		if r.URL.Path == countPath {
			n, _ := io.Copy(io.Discard, r.Body) // the daemon may have disconnected
			_, _ = fmt.Fprint(w, n)
			return true
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write([]byte(answer)) // the daemon may have disconnected
		return true
	}
	t.Cleanup(server.Close)
	platform.NewServer(store, "engine-1", "engines", "m1")
	d := &daemon{callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil,
		"daemon: d1\ndata_centre: z1\ncallers: %s\nreadiness: %s\nmetrics: %s\npeers: %s\nstore: %s\nlease_wait: 100ms\nlimits: {memory_mb: %d, descriptors: %d}\n",
		d.callers, d.readiness, d.metrics, d.peers, store.Address(), memoryMB, descriptors), 0o600))
	d.process = start(t, "dotterelmountd", "hosted", "--settings", path)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := d.ordinary(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return d
}

// ordinary makes an ordinary request of a caller and asks whether the daemon is ready.
func (d *daemon) ordinary() error {
	if err := ask(http.MethodPost, "http://"+d.callers+plainPath, "hello", http.StatusOK, "hello"); err != nil {
		return err
	}
	return ask(http.MethodGet, "http://"+d.readiness+"/", "", http.StatusOK, "")
}

// The process survives each kind of caller.
func TestHostedCallers(t *testing.T) {
	for _, c := range []struct {
		name  string
		conns int
		play  func(path string) func(net.Conn)
	}{
		{"heads over the limit", 400, headOver},
		{"heads without end", 400, headWithoutEnd},
		{"empty lines without end", 96, emptyLines},
		{"many lines in an open head", 400, manyLines},
		{"many lines and an open body", 400, manyLinesAndBody},
		{"odd lines", 200, oddLines},
		{"bodies with a length", 48, bodyWithLength},
		{"bodies in chunks", 48, bodyInChunks},
		{"bodies with one byte a chunk", 24, bytesInChunks},
		{"long chunk extensions", 48, chunkExtensions},
		{"trailers without end", 48, trailersWithoutEnd},
		{"silent connections", 400, silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startHosted(t)
			d.attack(d.callers, c.conns, c.play(plainPath), d.ordinary)
		})
	}
}

// The process survives callers that never read a large answer.
func TestHostedCallersThatNeverRead(t *testing.T) {
	d := startHosted(t)
	d.attack(d.callers, 40, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		for range 8 {
			if !send(c, "GET "+largePath+" HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: large\r\nX-Deadline-Ms: 5000\r\n\r\n") {
				return
			}
		}
	}, d.ordinary)
}

// The process survives batch jobs of legal size with very many items.
func TestHostedJobsWithManyItems(t *testing.T) {
	for name, item := range map[string]string{"empty items": "{}", "numbers": "0", "headers": `{"headers":{"a":"","b":"","c":"","d":""}}`} {
		t.Run(name, func(t *testing.T) {
			d := startHosted(t)
			n := (maxBodyBytes - 100) / (len(item) + 1)
			body := []byte(`{"model":"m1","items":[` + strings.Repeat(item+",", n) + item + "]}")
			d.attack(d.callers, 2, wholeBody(jobPath, body), d.ordinary)
		})
	}
}

// The process survives the same on its other addresses.
func TestHostedOtherAddresses(t *testing.T) {
	addresses := map[string]func(*daemon) string{
		"readiness": func(d *daemon) string { return d.readiness },
		"metrics":   func(d *daemon) string { return d.metrics },
	}
	for name, address := range addresses {
		for _, c := range []struct {
			name  string
			conns int
			play  func(path string) func(net.Conn)
		}{
			{"heads without end", 400, headWithoutEnd},
			{"many lines", 400, manyLines},
			{"silent connections", 400, silent},
		} {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				d := startHosted(t)
				d.attack(address(d), c.conns, c.play("/"), d.ordinary)
			})
		}
	}
}

// The process survives other daemons' address being called by anyone.
func TestHostedPeers(t *testing.T) {
	for _, c := range peerKinds {
		t.Run(c.name, func(t *testing.T) {
			d := startHosted(t)
			d.attack(d.peers, c.conns, c.play, d.ordinary)
		})
	}
}

// The process survives many jobs of legal size with many small items, which it may accept.
func TestHostedManyJobsWithManyItems(t *testing.T) {
	d := startHosted(t)
	const jobs, items = 24, 15000
	d.firstMB = d.peakMB()
	stop := d.watchFDs()
	for j := range jobs {
		text := &strings.Builder{}
		for i := range items {
			fmt.Fprintf(text, `{"id":"%d-%d","path":"/jobs/x","body":"AA=="},`, j, i)
		}
		body := `{"model":"m1","items":[` + strings.TrimSuffix(text.String(), ",") + "]}"
		status, _ := roundTrip(t, d.callers, head(jobPath, fmt.Sprintf("X-Request-Id: job-%d", j), fmt.Sprintf("Content-Length: %d", len(body))), "\r\n", body)
		t.Logf("job %d of %d bytes: status %d, peak memory %d MB", j, len(body), status, d.peakMB())
	}
	stop()
	d.check(d.ordinary)
}
