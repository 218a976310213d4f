package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Limits of the host that a process of the tests is told and held to.
const (
	memoryMB    = 112 // the smallest host that the project serves
	descriptors = 256
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "dotterelmount.example/cmd/dotterelmountd", "dotterelmount.example/standin/log").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running program.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	log     string
	maxFDs  atomic.Int64
	firstMB int // peak memory before the crowd came
}

// start starts a program, which is killed at the end of the test.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(binaries, program), args...), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		defer out.Close()
		_ = p.cmd.Wait() // killed at the end of the test
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if it has ended
		<-p.exited
		if t.Failed() {
			t.Logf("end of the log:\n%s", p.logEnd())
		}
	})
	return p
}

func (p *process) logEnd() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-2000):])
}

// listening returns the address that a program prints at its start.
func (p *process) listening() string {
	p.t.Helper()
	address := ""
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		data, _ := os.ReadFile(p.log)
		for line := range strings.Lines(string(data)) {
			if a, ok := strings.CutPrefix(line, "listening "); ok && strings.HasSuffix(a, "\n") {
				address = strings.TrimSpace(a)
				return poll.Success()
			}
		}
		return poll.Continue("no address in %s", data)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	return address
}

// peakMB returns the peak resident memory in MiB; -1 if the process has ended.
func (p *process) peakMB() int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(p.t, err)
			return kb >> 10
		}
	}
	return -1 // a process that has ended has no memory
}

// watchFDs notes the number of open descriptors until the returned function is called.
func (p *process) watchFDs() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // gone with the process
			p.maxFDs.Store(max(p.maxFDs.Load(), int64(len(entries))))
			select {
			case <-tick.C:
			case <-done:
				return
			}
		}
	}()
	return func() { close(done); <-ended }
}

// settle waits until the peak memory has not grown for a while: the process has read what
// the crowd sent.
func (p *process) settle() {
	const calm = 6
	last, same := -1, 0
	for range 100 {
		now := p.peakMB()
		if now == last {
			same++
		} else {
			last, same = now, 0
		}
		if same >= calm {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// attack lets n connections to address play at the same time and checks the process while
// all of them are still open. ordinary must succeed afterwards.
func (p *process) attack(address string, n int, play func(net.Conn), ordinary func() error) {
	p.t.Helper()
	p.firstMB = p.peakMB()
	stop := p.watchFDs()
	c := newCrowd(p.t, address, n)
	c.play(play)
	p.settle()
	stop()
	p.check(ordinary)
}

// check checks that the process lives within its host's limits and serves an ordinary
// request.
func (p *process) check(ordinary func() error) {
	p.t.Helper()
	var last error
	deadline := time.Now().Add(20 * time.Second)
	for {
		if last = ordinary(); last == nil || time.Now().After(deadline) || p.ended() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.settle()
	mb, fds := p.peakMB(), int(p.maxFDs.Load())
	p.t.Logf("peak memory %d MB (%d before, bound %d), descriptors %d (bound %d)", mb, p.firstMB, memoryMB, fds, descriptors)
	if p.ended() {
		p.t.Errorf("the process has ended")
	}
	if mb > memoryMB {
		p.t.Errorf("peak memory is %d MB, over the host's %d MB", mb, memoryMB)
	}
	if fds > descriptors {
		p.t.Errorf("%d descriptors were open, over the host's %d", fds, descriptors)
	}
	if last != nil {
		p.t.Errorf("an ordinary request afterwards: %v", last)
	}
}

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return errors.Is(p.cmd.Process.Signal(syscall.Signal(0)), os.ErrProcessDone)
	}
}

// freeAddress returns an address below the ports that the system gives to connections.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+(os.Getpid()*31+int(nextPort.Add(1)))%10000))
		if err != nil {
			continue
		}
		assert.NilError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

var nextPort atomic.Int64
