package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"

	"dotterelmount.example/bench/proc"
)

// silenceOld drops all that comes on connections that were open when it was
// added; new connections work. Connections stay silent until it is removed.
type silenceOld struct {
	mu     sync.Mutex
	opened bool // connections that come from now on are new
}

// stubState says what becomes of one direction of a connection.
type stubState struct{ silent bool }

// NewState implements toxics.StatefulToxic. For open connections it is called
// before the adding returns, for new ones when they are made.
func (s *silenceOld) NewState() interface{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &stubState{silent: !s.opened}
}

// Pipe implements toxics.Toxic.
func (s *silenceOld) Pipe(stub *toxics.ToxicStub) {
	if state, ok := stub.State.(*stubState); ok && state.silent {
		new(toxics.TimeoutToxic).Pipe(stub)
		return
	}
	new(toxics.NoopToxic).Pipe(stub)
}

// Cleanup implements toxics.CleanupToxic: silent connections never work again.
func (s *silenceOld) Cleanup(stub *toxics.ToxicStub) {
	if state, ok := stub.State.(*stubState); ok && state.silent {
		stub.Close()
	}
}

const (
	toxicTimeout    = "timeout"
	toxicSilenceOld = "silence_old"
)

func init() { toxics.Register(toxicSilenceOld, new(silenceOld)) }

// link is a proxied way between two ends.
type link struct {
	name  string
	mu    sync.Mutex // held by one fault at a time
	proxy *toxiproxy.Proxy
	added int
}

// network holds the links, in the order in which they were made.
type network struct {
	server *toxiproxy.ApiServer
	links  []*link
	byName map[string]*link
}

func newNetwork() *network {
	return &network{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		byName: make(map[string]*link),
	}
}

// open makes a link to an address (ip:port) and returns the address to use
// instead. Errors: a port that can't be listened on.
func (n *network) open(name, to string) (string, error) {
	from, err := proc.FreeAddresses(1)
	if err != nil {
		return "", err
	}
	p := toxiproxy.NewProxy(n.server, name, from[0], to)
	if err := startProxy(p); err != nil {
		return "", err
	}
	l := &link{name: name, proxy: p}
	n.links = append(n.links, l)
	n.byName[name] = l
	return p.Listen, nil
}

func (n *network) close() {
	for _, l := range n.links {
		l.proxy.Stop()
	}
}

const (
	toxicSlowClose = "slow_close"
	closeDelay     = 200 * time.Millisecond // until the end of a process was noticed
)

// leadToProcess makes ends of connections reach the callers only after follow
// had the time to make the link refuse new ones, as a host without the process does.
func (l *link) leadToProcess() error {
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","attributes":{"delay":%d}}`,
		toxicSlowClose, toxicSlowClose, closeDelay.Milliseconds())
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		return fmt.Errorf("toxic on %s: %w", l.name, err)
	}
	return nil
}

// down refuses connections until up is called, unless another fault has the link.
func (l *link) down() (up func()) {
	if !l.mu.TryLock() {
		return func() {}
	}
	l.cut()
	return func() {
		defer l.mu.Unlock()
		if err := l.restore(); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
	}
}

// cut closes all connections and refuses new ones until restored.
func (l *link) cut() { l.proxy.Stop() }

// restore ends a cut. Errors: the port was taken meanwhile.
func (l *link) restore() error { return startProxy(l.proxy) }

const (
	listenTries = 50
	listenEvery = 20 * time.Millisecond
)

// startProxy makes a proxy listen. A process that is just being started holds
// copies of closed listeners for a moment, so that one try is not enough.
func startProxy(p *toxiproxy.Proxy) error {
	var err error
	for range listenTries {
		if err = p.Start(); err == nil {
			return nil
		}
		wait(context.Background(), listenEvery)
	}
	return fmt.Errorf("link %s: %w", p.Name, err)
}

// silence adds a toxic in both directions and returns what removes it.
func (l *link) silence(kind string) (func(), error) {
	l.added++
	var names []string
	remove := func() {
		for _, name := range names {
			// A toxic that is gone already needs no removal.
			_ = l.proxy.Toxics.RemoveToxic(context.Background(), name)
		}
	}
	for _, direction := range []string{"upstream", "downstream"} {
		name := fmt.Sprintf("%s-%d-%s", kind, l.added, direction)
		body, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": direction})
		if err != nil {
			return remove, fmt.Errorf("toxic: %w", err)
		}
		added, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(string(body)))
		if err != nil {
			return remove, fmt.Errorf("toxic on %s: %w", l.name, err)
		}
		names = append(names, name)
		if old, ok := added.Toxic.(*silenceOld); ok {
			old.mu.Lock()
			old.opened = true // all open connections have their state
			old.mu.Unlock()
		}
	}
	return remove, nil
}
