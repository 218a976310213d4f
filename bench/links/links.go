// Package links puts a fault-injecting proxy between two ends on loopback.
package links

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
	"dotterelmount.example/lib/duty"
)

// silenceExisting drops all that comes on connections that were open when it was
// added; new connections work. Connections stay silent until it is removed.
type silenceExisting struct {
	mu        sync.Mutex
	exemptNew bool // connections that come from now on are new
}

// stubState says what becomes of one direction of a connection.
type stubState struct{ silent bool }

// NewState implements toxics.StatefulToxic. For open connections it is called
// before the adding returns, for new ones when they are made.
func (s *silenceExisting) NewState() interface{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &stubState{silent: !s.exemptNew}
}

// Pipe implements toxics.Toxic.
func (s *silenceExisting) Pipe(stub *toxics.ToxicStub) {
	if state, ok := stub.State.(*stubState); ok && state.silent {
		new(toxics.TimeoutToxic).Pipe(stub)
		return
	}
	new(toxics.NoopToxic).Pipe(stub)
}

// Cleanup implements toxics.CleanupToxic: silent connections never work again.
func (s *silenceExisting) Cleanup(stub *toxics.ToxicStub) {
	if state, ok := stub.State.(*stubState); ok && state.silent {
		stub.Close()
	}
}

// SilenceScope says which connections carry nothing any more.
type SilenceScope string

// The kinds of silence.
const (
	SilenceAll      SilenceScope = "timeout"
	SilenceExisting SilenceScope = "silence_old" // connections made before; new ones work
)

func init() { toxics.Register(string(SilenceExisting), new(silenceExisting)) }

// Link is a proxied way between two ends.
type Link struct {
	Name       string
	mu         sync.Mutex // held by one fault at a time
	proxy      *toxiproxy.Proxy
	toxicCount int
}

// Network holds the links, in the order in which they were made.
type Network struct {
	Links  []*Link
	ByName map[string]*Link
	server *toxiproxy.ApiServer
}

// New returns a network without links.
func New() *Network {
	return &Network{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		ByName: make(map[string]*Link),
	}
}

// Open makes a link to an address (ip:port) and returns the address to use
// instead. Errors: a port that can't be listened on.
func (n *Network) Open(name, to string) (string, error) {
	from, err := proc.FreeAddresses(1)
	if err != nil {
		return "", err
	}
	p := toxiproxy.NewProxy(n.server, name, from[0], to)
	if err := startProxy(p); err != nil {
		return "", err
	}
	l := &Link{Name: name, proxy: p}
	n.Links = append(n.Links, l)
	n.ByName[name] = l
	return p.Listen, nil
}

// Close ends all links.
func (n *Network) Close() {
	for _, l := range n.Links {
		l.proxy.Stop()
	}
}

const (
	toxicTypeSlowClose = "slow_close"
	closeDelay         = 200 * time.Millisecond // until the end of a process was noticed
)

// DelayClose makes ends of connections reach the callers only after follow
// had the time to make the link refuse new ones, as a host without the process does.
func (l *Link) DelayClose() error {
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","attributes":{"delay":%d}}`,
		toxicTypeSlowClose, toxicTypeSlowClose, closeDelay.Milliseconds())
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		return fmt.Errorf("toxic on %s: %w", l.Name, err)
	}
	return nil
}

// Down refuses connections until up is called, unless another fault has the link.
func (l *Link) Down() (up func()) {
	if !l.mu.TryLock() {
		return func() {}
	}
	l.cut()
	return func() {
		defer l.mu.Unlock()
		if err := l.restore(); err != nil {
			fmt.Fprintln(os.Stderr, "links:", err)
		}
	}
}

// cut closes all connections and refuses new ones until restored.
func (l *Link) cut() { l.proxy.Stop() }

// restore ends a cut. Errors: the port was taken meanwhile.
func (l *Link) restore() error { return startProxy(l.proxy) }

const (
	maxListenAttempts   = 50
	listenRetryInterval = 20 * time.Millisecond
)

// startProxy makes a proxy listen. A process that is just being started holds
// copies of closed listeners for a moment, so that one try is not enough.
func startProxy(p *toxiproxy.Proxy) error {
	var err error
	for range maxListenAttempts {
		if err = p.Start(); err == nil {
			return nil
		}
		duty.Sleep(context.Background(), listenRetryInterval)
	}
	return fmt.Errorf("link %s: %w", p.Name, err)
}

// addSilence adds a toxic in both directions and returns what removes it.
func (l *Link) addSilence(kind SilenceScope) (func(), error) {
	l.toxicCount++
	var names []string
	remove := func() {
		for _, name := range names {
			// A toxic that is gone already needs no removal.
			_ = l.proxy.Toxics.RemoveToxic(context.Background(), name)
		}
	}
	for _, direction := range []string{"upstream", "downstream"} {
		name := fmt.Sprintf("%s-%d-%s", kind, l.toxicCount, direction)
		body, err := json.Marshal(map[string]any{"name": name, "type": string(kind), "stream": direction})
		if err != nil {
			return remove, fmt.Errorf("toxic: %w", err)
		}
		added, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(string(body)))
		if err != nil {
			return remove, fmt.Errorf("toxic on %s: %w", l.Name, err)
		}
		names = append(names, name)
		if old, ok := added.Toxic.(*silenceExisting); ok {
			old.mu.Lock()
			old.exemptNew = true // all open connections have their state
			old.mu.Unlock()
		}
	}
	return remove, nil
}

// Cut closes all connections of links and refuses new ones for a while. It
// reports whether all work again.
func Cut(ctx context.Context, lasts time.Duration, links ...*Link) bool {
	for _, l := range links {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cut()
	}
	duty.Sleep(ctx, lasts)
	ok := true
	for _, l := range links {
		ok = l.restore() == nil && ok
	}
	return ok
}

// Silence keeps connections open for a while without passing anything on. It
// reports whether that could be done.
func (l *Link) Silence(ctx context.Context, kind SilenceScope, lasts time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	remove, err := l.addSilence(kind)
	if kind == SilenceAll {
		defer remove() // otherwise the old connections stay silent for good
	}
	if err != nil {
		return false
	}
	duty.Sleep(ctx, lasts)
	return true
}
