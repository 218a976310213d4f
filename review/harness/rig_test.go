// Package harness has the cases of the review and the stand-ins that they start. It is
// built as a test binary, so that it stays out of the project's builds and tests.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit is the longest time that a case may take, handLimit that of one run by hand
// with a longer retention.
const (
	caseLimit = 115 * time.Second
	handLimit = 400 * time.Second
)

// cases by the value of the variable CASE.
var cases = map[string]func(*Rig){}

func TestMain(*testing.M) {
	f, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "the variable CASE names no case")
		os.Exit(exitCannotRun)
	}
	r := newRig()
	limit := caseLimit
	if os.Getenv("RETENTION") != "" {
		limit = handLimit
	}
	time.AfterFunc(limit, func() { r.exit(exitCannotRun, "the case took too long") })
	defer r.end()
	f(r)
	r.exit(exitCannotRun, "the case has no verdict")
}

// Rig is a small deployment: daemons as processes, everything else as stand-ins.
type Rig struct {
	root, dir string
	record    *os.File
	trouble   bool
	start     time.Time
	net       string // first three bytes of all addresses
	lastIP    int
	retention time.Duration
	jobKept   time.Duration
	store     *Store
	servers   []*Server
	daemons   []*Daemon
	mu        sync.Mutex
	ended     bool
}

// Daemon is a process of the project.
type Daemon struct {
	Name, Front, Ready string
	Gate               *Gate
	settings           string
	cmd                *exec.Cmd
	done               chan struct{}
}

func newRig() *Rig {
	r := &Rig{
		root: os.Getenv("ROOT"), trouble: os.Getenv("TROUBLE") != "0", start: time.Now(),
		net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)), lastIP: 10,
		retention: 300 * time.Second, jobKept: 120 * time.Second,
	}
	var err error
	if r.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	r.logf("trouble: %v", r.trouble)
	return r
}

// startStore starts the store. Records expire after the given time.
func (r *Rig) startStore(retention time.Duration) {
	r.retention = retention
	r.store = NewStore(retention)
}

func (r *Rig) ip() string {
	r.lastIP++
	return fmt.Sprintf("%s.%d", r.net, r.lastIP)
}

// listen listens on a free port of an address.
func (r *Rig) listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	return l
}

// freeAddress returns an address with a port that was free a moment ago.
func (r *Rig) freeAddress(ip string) string {
	l := r.listen(ip)
	defer l.Close()
	return l.Addr().String()
}

// logf writes a line to the record.
func (r *Rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// end ends all processes that the rig started.
func (r *Rig) end() {
	r.mu.Lock()
	daemons := r.daemons
	again := r.ended
	r.ended = true
	r.mu.Unlock()
	if again {
		return
	}
	for _, d := range daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range daemons {
		<-d.done
	}
	_ = os.RemoveAll(r.dir)
}

func (r *Rig) exit(code int, verdict string) {
	r.logf("verdict %d: %s", code, verdict)
	fmt.Println(verdict)
	r.end()
	os.Exit(code)
}

// judge ends the case.
func (r *Rig) judge(broken []string, held string) {
	if len(broken) == 0 {
		r.exit(exitHeld, "held: "+held)
	}
	for _, b := range broken {
		r.logf("broken: %s", b)
	}
	r.exit(exitBroken, fmt.Sprintf("broken %d times, first: %s", len(broken), broken[0]))
}

// StartDaemon starts a daemon with the command of the deploy file, and settings rendered
// from its template.
func (r *Rig) StartDaemon(name string) *Daemon {
	ip := r.ip()
	gateListener := r.listen(r.ip())
	d := &Daemon{Name: name, Front: r.freeAddress(ip), Ready: r.freeAddress(ip), Gate: r.store.Serve(gateListener)}
	_, peerPort, _ := net.SplitHostPort(r.freeAddress(ip))
	fields := map[string]string{
		"node|json": strconv.Quote(name), "zone|json": `"z1"`, "listen.front|json": strconv.Quote(d.Front), "listen.ready|json": strconv.Quote(d.Ready),
		"ip": ip, "port_range.0": peerPort, "provider.address|json": strconv.Quote(gateListener.Addr().String()),
		"provider.record_bytes": "262144", "provider.call_bytes": "2097152", "provider.reads_per_s": "2000",
		"provider.max_queue_s": strconv.Itoa(int(r.retention.Seconds())), "bounds.status_s": strconv.Itoa(int(r.jobKept.Seconds())),
		"bounds.lease_ms": "3000", "bounds.grace_s": "8", "limits.cpu_share": "0.8",
	}
	template, err := os.ReadFile(filepath.Join(r.root, "deploy/settings.yaml"))
	if err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	text := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := fields[strings.Trim(p, "{}")]
		if !ok {
			r.exit(exitCannotRun, "the settings template has the unknown placeholder "+p)
		}
		return value
	})
	d.settings = filepath.Join(r.dir, name+".yaml")
	if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	r.run(d)
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	return d
}

// run starts a daemon's process.
func (r *Rig) run(d *Daemon) {
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy/system.toml"))
	if err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindStringSubmatch(string(deploy))
	if match == nil {
		r.exit(exitCannotRun, "the deploy file has no command")
	}
	words := strings.Fields(strings.ReplaceAll(match[1], "/etc/dotterelmount/local.toml", d.settings))
	d.cmd = exec.Command(filepath.Join(r.root, words[0]), words[1:]...)
	d.cmd.Dir = r.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "DOTTERELMOUNT_NODE_FILE=" + d.settings}
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output := io.Discard
	if dir := os.Getenv("LOGS"); dir != "" { // for an analysis by hand
		if f, err := os.OpenFile(filepath.Join(dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
			output = f
		}
	}
	d.cmd.Stdout, d.cmd.Stderr = output, output
	if err := d.cmd.Start(); err != nil {
		r.exit(exitCannotRun, err.Error())
	}
	r.logf("process %s started, callers at %s", d.Name, d.Front)
	d.done = make(chan struct{})
	go func() {
		err := d.cmd.Wait()
		r.logf("process %s ended: %v", d.Name, err)
		close(d.done)
	}()
}

func (d *Daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// waitFor waits until a condition holds.
func (r *Rig) waitFor(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.exit(exitCannotRun, what+" did not happen")
		}
	}
}

// waitReady waits until a daemon is ready.
func (r *Rig) waitReady(d *Daemon) {
	r.waitFor("readiness of "+d.Name, 20*time.Second, func() bool {
		a := r.send(call{Method: "GET", Address: d.Ready, Path: "/api/ready", Timeout: time.Second})
		return a.Status == http.StatusOK
	})
}

func (r *Rig) sleep(d time.Duration) { time.Sleep(d) }

// call is one attempt of a client, on a connection of its own.
type call struct {
	Method, Address, Host, Path, ID string
	Header                          map[string]string
	Body                            []byte
	Timeout                         time.Duration
}

// answer is what a client got; Err is set if it is not complete.
type answer struct {
	Status    int
	Signature string
	Body      []byte
	Err       error
}

func (r *Rig) send(c call) answer {
	req, err := http.NewRequest(c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return answer{Err: err}
	}
	if c.Host != "" {
		req.Host = c.Host
	}
	if c.ID != "" {
		req.Header.Set("X-Request-Id", c.ID)
	}
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: c.Timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Response-Signature"), body, err}
}

// Host of all routes.
const host = "ficu95.example"

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"path_prefix"`
	Type          string  `json:"type"`
	Timeout       int     `json:"timeout_ms"`
	FullValue     int     `json:"full_value_ms"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	Attempts      int     `json:"attempts"`
	MaxQueue      float64 `json:"max_queue_s,omitempty"`
	ResultTarget  int     `json:"result_target_ms,omitempty"`
	SingleVersion bool    `json:"single_version,omitempty"`
	Sticky        bool    `json:"sticky,omitempty"`
	Resumable     bool    `json:"resumable,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots  int                 `json:"slots"`
	Models []map[string]string `json:"models"`
}

var limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

func engineService(name string, models ...string) service {
	e := &engine{Slots: 12}
	for _, m := range models {
		e.Models = append(e.Models, map[string]string{"name": m})
	}
	return service{Name: name, HealthPath: "/health", MaxConns: 170, Engine: e}
}

func batchRoute(name, prefix, service string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Type: "rollout", Timeout: 10000, FullValue: 400, Service: service, Attempts: 3,
		MaxQueue: 40, ResultTarget: 7500, Sticky: true, Resumable: true,
	}
}

// configure writes a configuration to the store.
func (r *Rig) configure(c config) time.Time {
	c.Limits = limits
	at := r.store.Put("keyed.op", "config", c)
	r.logf("configuration %d acknowledged", c.Version)
	return at
}

// nameVersion names a weight version, as a trainer does.
func (r *Rig) nameVersion(model string, version int) time.Time {
	at := r.store.Put("keyed.op", "version/"+model, map[string]any{"model": model, "version": version})
	r.logf("version %d of %s acknowledged", version, model)
	return at
}

type job struct {
	ID, Path string
	Items    []item
	sent     time.Time
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func newJob(prefix, model string, groups, size int) *job {
	j := &job{ID: newID()}
	j.Path = prefix + j.ID
	for g := range groups {
		group := fmt.Sprintf("g%d", g)
		for range size {
			id := newID()
			j.Items = append(j.Items, item{
				ID: id, Path: prefix + "3/" + id[:4], Tokens: 940, Group: group, Body: []byte("prompt of " + id),
				Headers: map[string]string{"X-Model": model, "X-Token-Usage": "540,400", "X-Prompt-Prefix": fmt.Sprintf("9c2e%02x:300,%s:240", g, id[:6])},
			})
		}
	}
	return j
}

// submit submits a job until it is accepted.
func (r *Rig) submit(j *job, model string, step, minVersion int, daemons ...*Daemon) {
	j.sent = time.Now()
	for n := range 10 {
		if r.submitOnce(j, model, step, minVersion, daemons[n%len(daemons)]) == http.StatusAccepted {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.exit(exitCannotRun, "no daemon accepted a job")
}

// submitOnce submits a job to one daemon and returns the status of the answer.
func (r *Rig) submitOnce(j *job, model string, step, minVersion int, d *Daemon) int {
	body, _ := json.Marshal(map[string]any{"step": step, "model": model, "min_version": minVersion, "target_groups": 1, "items": j.Items})
	a := r.send(call{
		Method: "POST", Address: d.Front, Host: host, Path: j.Path, ID: j.ID, Body: body, Timeout: 3 * time.Second,
		Header: map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "2500"},
	})
	r.logf("job %s with %d items submitted at %s: %d %v", j.ID, len(j.Items), d.Name, a.Status, a.Err)
	return a.Status
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
}

// read returns the results of a job so far; ok is false if a read failed.
func (r *Rig) read(j *job, d *Daemon) (results []result, ok bool) {
	for {
		a := r.send(call{Method: "GET", Address: d.Front, Host: host, Path: fmt.Sprintf("/api/lots/%s?after=%d", j.ID, len(results)), Timeout: 3 * time.Second})
		var doc struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if a.Status != http.StatusOK || a.Err != nil || json.Unmarshal(a.Body, &doc) != nil {
			r.logf("results of job %s at %s from %d: %d %v", j.ID, d.Name, len(results), a.Status, a.Err)
			return results, false
		}
		r.logf("results of job %s at %s from %d: 200, %d of %d", j.ID, d.Name, len(results), len(doc.Results), doc.Total)
		results = append(results, doc.Results...)
		if len(doc.Results) == 0 || len(results) >= doc.Total {
			return results, true
		}
	}
}
