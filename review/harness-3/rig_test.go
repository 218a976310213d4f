// Package harness holds the stand-ins and cases of the third review. A case starts the
// daemon's program with the command of the deploy file, on loopback addresses.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Bounds of the deployment, those of the sheets of kobo-tane and ghea-ring.
const (
	contact   = 3000 * time.Millisecond
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
	statusS   = 120
)

const caseTimeout = 115 * time.Second

var cases = map[string]func(*rig) (string, error){}

func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(run))
}

// play runs a case and returns its exit code.
func play(run func(*rig) (string, error)) int {
	rec, err := newRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", program: os.Getenv("REVIEW_PROGRAM"), root: os.Getenv("REVIEW_ROOT")}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(r.dir)
	defer r.stop()
	watchdog := time.AfterFunc(caseTimeout, func() {
		rec.printf("could not run: the case took too long")
		r.stop()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := run(r)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case broken != "":
		rec.printf("RULE BROKEN: %s", broken)
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}

// record is the file that a case writes.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// rig is a small deployment.
type rig struct {
	rec     *record
	trouble bool
	program string // target/dotterelmountd
	root    string // of the repository
	dir     string
	store   *store
	daemons []*daemon
	servers []*server
}

func (r *rig) startStore() error {
	var err error
	r.store, err = newStore(r.rec)
	return err
}

// Ports that are listened on are below the range from which systems take those of clients, so
// that they stay free while a process is restarted.
const (
	firstPort = 20000
	lastPort  = 30000
)

// listen listens on a free port.
func listen() (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freeAddresses returns addresses that nobody listens on.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// daemon is a process of the daemon's program.
type daemon struct {
	rig      *rig
	name     string
	settings string
	front    string
	ready    string
	cmd      *exec.Cmd
	exited   chan struct{}
	started  time.Time
}

// settingsOf renders deploy/settings.yaml as the platform does for a site of the sheets.
const settingsOf = `daemon: "%s"
data_centre: "z1"
callers: "%s"
readiness: "%s"
metrics: "%s"
peers: "%s"
store: "%s"
record_bytes: 262144
call_bytes: 2097152
store_reads: 2000
retention: 300s
remember: 120s
lease_wait: 3000ms
grace: 8s
locality:
  min_gain: 0.2
  lease_excess: 1.5
processor_share: 0.8
limits:
  memory_mb: 304
  descriptors: 8200
upstream_windows: true
move_late_items: true
place_by_speed: true
`

func (r *rig) startDaemons(n int) error {
	for i := range n {
		a, err := freeAddresses(4)
		if err != nil {
			return err
		}
		d := &daemon{rig: r, name: fmt.Sprintf("front-z1-%d", i+1), front: a[0], ready: a[1]}
		d.settings = filepath.Join(r.dir, d.name+".yaml")
		text := fmt.Sprintf(settingsOf, d.name, a[0], a[1], a[2], a[3], r.store.address)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.rig.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(d.rig.program, "hosted", "--settings", d.settings)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = d.rig.root, log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.started, d.exited = time.Now(), make(chan struct{})
	cmd, exited := d.cmd, d.exited
	go func() {
		_ = cmd.Wait()
		d.rig.rec.printf("%s: process ended: %v", d.name, cmd.ProcessState)
		close(exited)
	}()
	d.rig.rec.printf("%s: started", d.name)
	return nil
}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			d.rig.rec.printf("%s: ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

func (d *daemon) kill() {
	d.rig.rec.printf("%s: SIGKILL", d.name)
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// terminate stops the process as the platform does.
func (d *daemon) terminate() {
	d.rig.rec.printf("%s: SIGTERM", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(grace):
		d.kill()
	}
}

func (r *rig) stop() {
	for _, d := range r.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
		}
	}
	for _, s := range r.servers {
		s.close()
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = exec.Command("cp", "-r", r.dir, keep).Run()
	}
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	body   []byte
	header http.Header
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes, signed %t", a.status, len(a.body), a.signed)
}

// call sends a request on a new connection.
func (d *daemon) call(method, host, path string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	for name, value := range header {
		q.Header.Set(name, value)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(q)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signed: resp.Header.Get("X-Response-Signature") != "", body: data, header: resp.Header, err: err}
}

// awaitConfig waits until the daemons have a route.
func (r *rig) awaitRoute(host, path string) error {
	for _, d := range r.daemons {
		end := time.Now().Add(10 * time.Second)
		for {
			a := d.call(http.MethodGet, host, path, map[string]string{"X-Request-Id": "probe-" + d.name, "X-Deadline-Ms": "1000"}, nil, 2*time.Second)
			if a.err == nil && a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s: %v", d.name, path, a)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

var errNoResult = errors.New("no result")

func join(lines []string) string { return strings.Join(lines, "; ") }
