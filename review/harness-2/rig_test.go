// Package cases runs the cases of the review against daemons of the project, which it
// starts as processes, and against stand-ins of the platform, its servers and its clients.
package cases

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	started  = time.Now()
	recordMu sync.Mutex
	record   *os.File
	daemons  []*daemon
	tempDir  string
	trouble  = os.Getenv("TROUBLE") != "0"
	taken    = make(map[string]bool) // addresses of daemons
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	if record != nil {
		_, _ = record.WriteString(line)
	}
}

func cannotRun(format string, args ...any) {
	note("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	finish(exitNotRun)
}

// finish ends all daemons and the case.
func finish(status int) {
	for _, d := range daemons {
		d.kill()
	}
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
	note("exit status %d", status)
	os.Exit(status)
}

// verdict ends the case.
func verdict(broken bool, format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
	if broken {
		finish(exitBroken)
	}
	finish(exitHeld)
}

// daemon is a daemon of the project, a process of its own.
type daemon struct {
	name                         string
	front, ready, metrics, peers string
	settings                     string
	cmd                          *exec.Cmd
	done                         chan struct{}
	log                          *os.File
}

// freeAddress returns a loopback address with a port that is free now, below those that the
// system gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000))
		if taken[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			taken[address] = true
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// settingsText is deploy/settings.yaml as the platform renders it, with the figures of
// kobo-tane's sheet.
const settingsText = `daemon: %q
data_centre: "z1"
callers: %q
readiness: %q
metrics: %q
peers: %q
store: %q
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

// program is the daemon that deploy/system.toml builds and runs.
const program = "target/dotterelmountd"

func newDaemon(name string, s *store) *daemon {
	d := &daemon{name: name, front: freeAddress(), ready: freeAddress(), metrics: freeAddress(), peers: freeAddress()}
	d.settings = filepath.Join(tempDir, name+".yaml")
	text := fmt.Sprintf(settingsText, name, d.front, d.ready, d.metrics, d.peers, s.address)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	daemons = append(daemons, d)
	d.start()
	return d
}

func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(tempDir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	d.cmd = exec.Command(program, "hosted", "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		cannotRun("start of a daemon: %v", err)
	}
	note("daemon %s started", d.name)
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		note("daemon %s ended: %v", d.name, err)
		close(done)
	}(d.cmd, d.done)
}

func (d *daemon) signal(s syscall.Signal) {
	note("signal %v to daemon %s", s, d.name)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		<-d.done
	}
}

// awaitReady waits until all daemons report ready.
func awaitReady(ds ...*daemon) {
	client := &http.Client{Timeout: time.Second}
	for _, d := range ds {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			resp, err := client.Get("http://" + d.ready + "/api/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("daemon %s isn't ready", d.name)
			}
		}
	}
	note("all daemons are ready")
}

// TestMain runs the case that the first argument names, and writes its record to the file that
// the second one names. The package has no other tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if tempDir, err = os.MkdirTemp("", "case"); err != nil {
		cannotRun("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		cannotRun("%v", err)
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("the case takes too long") })
	run, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	note("disruption: %v", trouble)
	run()
}
