// Package hosts is the duty that follows the platform's host list. The list
// lags and may be unreachable; the last one read stays in use.
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

// Config of a Follower.
type Config struct {
	Interval time.Duration // between two reads
	Timeout  time.Duration // of one read
}

// Follower is the handle of the duty.
type Follower struct {
	cfg    Config
	source hostlist.Source
	duty   *duty.Duty[struct{}]
	last   atomic.Pointer[snapshot]
}

// snapshot is the list last read.
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

// Start spawns the duty. A nil source leaves the list empty for good.
func Start(sys *duty.System, source hostlist.Source, cfg Config) *Follower {
	f := &Follower{cfg: cfg, source: source}
	f.last.Store(newSnapshot(nil))
	if source != nil {
		f.duty = duty.Start(sys, duty.Config{Name: "host-list", RingSize: 1, Tick: cfg.Interval}, duty.Handler[struct{}](f))
		_ = f.duty.Post(struct{}{}) // a new duty's ring is empty
	}
	return f
}

// Handle reads the list once.
func (f *Follower) Handle(ctx context.Context, _ struct{}) { f.Tick(ctx) }

// Tick reads the list once.
func (f *Follower) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	list, err := f.source.Hosts(ctx)
	if err != nil {
		readsFailed.Add(1)
		return
	}
	f.last.Store(newSnapshot(list))
}

// Leaving reports whether the host at an address (host:port) is said to leave.
func (f *Follower) Leaving(address string) bool {
	return f.last.Load().leaving[address]
}

// LiveAddresses returns the addresses of hosts that are said to stay, other than the
// given ones.
func (f *Follower) LiveAddresses(except func(address string) bool) []string {
	var out []string
	for _, h := range f.last.Load().hosts {
		if h.State == hostlist.Live && !except(h.Address) {
			out = append(out, h.Address)
		}
	}
	return out
}

// Stop ends the duty. Errors: ctx.Err().
func (f *Follower) Stop(ctx context.Context) error {
	if f.duty == nil {
		return nil
	}
	return f.duty.Stop(ctx)
}
