// Package hosts runs the duty that polls the platform's host list. The list may lag
// or be unreachable; the last list read stays in use.
package hosts

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/hostlist"
)

var readsFailed = expvar.NewInt("host_list_reads_failed")

// Config configures a Watcher.
type Config struct {
	Interval time.Duration // between reads
	Timeout  time.Duration // of one read
}

// Watcher polls the host list. Leaving and LiveAddresses may be called from any
// thread.
type Watcher struct {
	cfg    Config
	source hostlist.Source
	duty   *duty.Duty[struct{}]
	last   atomic.Pointer[snapshot]
}

// snapshot is the last list read.
type snapshot struct {
	hosts   []hostlist.Host
	leaving map[string]bool // addresses
}

func newSnapshot(hosts []hostlist.Host) *snapshot {
	s := &snapshot{hosts: hosts, leaving: make(map[string]bool)}
	for _, h := range hosts {
		if h.State == hostlist.Leaving {
			s.leaving[h.Address] = true
		}
	}
	return s
}

// Start starts the duty. With a nil source the list stays empty.
func Start(sys *duty.System, source hostlist.Source, cfg Config) *Watcher {
	w := &Watcher{cfg: cfg, source: source}
	w.last.Store(newSnapshot(nil))
	if source != nil {
		w.duty = duty.Start(sys, duty.Config{Name: "host-list", RingSize: 1, Tick: cfg.Interval}, duty.Handler[struct{}](w))
		_ = w.duty.Post(struct{}{}) // a new duty's ring is empty
	}
	return w
}

// Handle reads the list once.
func (w *Watcher) Handle(ctx context.Context, _ struct{}) { w.Tick(ctx) }

// Tick reads the list once.
func (w *Watcher) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timeout)
	defer cancel()
	list, err := w.source.Hosts(ctx)
	if err != nil {
		readsFailed.Add(1)
		return
	}
	w.last.Store(newSnapshot(list))
}

// Leaving reports whether the list marks the host at an address (host:port) as
// leaving.
func (w *Watcher) Leaving(address string) bool {
	return w.last.Load().leaving[address]
}

// LiveAddresses returns the addresses (host:port) of hosts that the list marks as
// live, without those for which except returns true.
func (w *Watcher) LiveAddresses(except func(address string) bool) []string {
	var out []string
	for _, h := range w.last.Load().hosts {
		if h.State == hostlist.Live && !except(h.Address) {
			out = append(out, h.Address)
		}
	}
	return out
}

// Stop stops the duty. Errors: ctx.Err().
func (w *Watcher) Stop(ctx context.Context) error {
	if w.duty == nil {
		return nil
	}
	return w.duty.Stop(ctx)
}
