// Package links runs fault-injecting TCP proxies on loopback.
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

// silenceExisting is a toxic that drops all data of the connections that are open
// when it is added. Connections opened later work. It closes the silent
// connections when it is removed.
type silenceExisting struct {
	mu        sync.Mutex
	exemptNew bool // connections opened from now on work
}

// stubState is the state of one direction of a connection.
type stubState struct{ silent bool }

// NewState implements toxics.StatefulToxic. It is called for open connections
// before AddToxicJson returns, and for new ones when they are opened.
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

// Cleanup implements toxics.CleanupToxic. It closes silent connections, which have
// lost data.
func (s *silenceExisting) Cleanup(stub *toxics.ToxicStub) {
	if state, ok := stub.State.(*stubState); ok && state.silent {
		stub.Close()
	}
}

// SilenceScope selects the connections that stop carrying data. Its values are
// types of toxics.
type SilenceScope string

// The scopes of silence.
const (
	SilenceAll      SilenceScope = "timeout"
	SilenceExisting SilenceScope = "silence_old" // only connections already open
)

func init() { toxics.Register(string(SilenceExisting), new(silenceExisting)) }

// Link is a TCP proxy in front of an address.
type Link struct {
	Name       string
	mu         sync.Mutex // held by the fault that uses the link
	proxy      *toxiproxy.Proxy
	toxicCount int
}

// Network holds links in the order of their creation.
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

// Open creates a link to an address (ip:port) and returns the link's own address.
// Errors: as proc.FreeAddresses, or a port that can't be listened on.
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

// Close stops all links.
func (n *Network) Close() {
	for _, l := range n.Links {
		l.proxy.Stop()
	}
}

const (
	toxicTypeSlowClose = "slow_close"
	closeDelay         = 200 * time.Millisecond // time for the supervisor to notice an exit and call Down
)

// DelayClose delays the close of connections toward their clients, so that Down can
// make the link refuse new connections first, as a host without the process does.
// Errors: those of adding a toxic.
func (l *Link) DelayClose() error {
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","attributes":{"delay":%d}}`,
		toxicTypeSlowClose, toxicTypeSlowClose, closeDelay.Milliseconds())
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		return fmt.Errorf("toxic on %s: %w", l.Name, err)
	}
	return nil
}

// Down closes all connections and refuses new ones until up is called. It does
// nothing if another fault uses the link.
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

// cut closes all connections and refuses new ones until restore is called.
func (l *Link) cut() { l.proxy.Stop() }

// restore ends a cut. Errors: the port is in use.
func (l *Link) restore() error { return startProxy(l.proxy) }

const (
	maxListenAttempts   = 50
	listenRetryInterval = 20 * time.Millisecond
)

// startProxy makes a proxy listen. It retries, since a process that is being forked
// briefly holds copies of closed listeners.
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

// addSilence adds a toxic in both directions and returns a function that removes it.
func (l *Link) addSilence(scope SilenceScope) (func(), error) {
	l.toxicCount++
	var names []string
	remove := func() {
		for _, name := range names {
			// Fails only if the toxic is already removed.
			_ = l.proxy.Toxics.RemoveToxic(context.Background(), name)
		}
	}
	for _, direction := range []string{"upstream", "downstream"} {
		name := fmt.Sprintf("%s-%d-%s", scope, l.toxicCount, direction)
		body, err := json.Marshal(map[string]any{"name": name, "type": string(scope), "stream": direction})
		if err != nil {
			return remove, fmt.Errorf("toxic: %w", err)
		}
		added, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(string(body)))
		if err != nil {
			return remove, fmt.Errorf("toxic on %s: %w", l.Name, err)
		}
		names = append(names, name)
		if silence, ok := added.Toxic.(*silenceExisting); ok {
			silence.mu.Lock()
			silence.exemptNew = true // every open connection has its state by now
			silence.mu.Unlock()
		}
	}
	return remove, nil
}

// Cut closes all connections of links and refuses new ones for a duration. It
// reports whether all links were restored.
func Cut(ctx context.Context, duration time.Duration, links ...*Link) bool {
	for _, l := range links {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cut()
	}
	duty.Sleep(ctx, duration)
	ok := true
	for _, l := range links {
		ok = l.restore() == nil && ok
	}
	return ok
}

// Silence stops the data of connections without closing them, for a duration or, with
// SilenceExisting, permanently. In both cases it returns after the duration. It reports
// whether the toxics could be added.
func (l *Link) Silence(ctx context.Context, scope SilenceScope, duration time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	remove, err := l.addSilence(scope)
	if scope == SilenceAll {
		defer remove() // with SilenceExisting the toxic stays and the old connections remain silent
	}
	if err != nil {
		return false
	}
	duty.Sleep(ctx, duration)
	return true
}
