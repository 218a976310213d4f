// Package throttle keeps this daemon's requests within the limits that upstreams name.
package throttle

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/ratelimit"
	"go.uber.org/zap"
)

// limitedUpstreams is the number of upstreams with a request limit.
var limitedUpstreams = expvar.NewInt("limited_upstreams")

// Config configures a Throttle.
type Config struct {
	RingSize int // capacity in messages
	Now      func() time.Time
}

// Throttle controls the duty. named is accessed only on the duty.
type Throttle struct {
	cfg     Config
	log     *zap.Logger
	duty    *duty.Duty[any]
	named   *ratelimit.Named
	limited atomic.Pointer[map[api.UpstreamID]bool] // upstreams with a limit
}

// limitNamed and noLimitNamed say what a response named.
type (
	limitNamed struct {
		id        api.UpstreamID
		perSecond float64
	}
	noLimitNamed struct{ id api.UpstreamID }
)

// Start starts the duty.
func Start(sys *duty.System, cfg Config, log *zap.Logger) *Throttle {
	t := &Throttle{cfg: cfg, log: log, named: ratelimit.NewNamed()}
	t.limited.Store(&map[api.UpstreamID]bool{})
	t.duty = duty.Start(sys, duty.Config{Name: "throttle", RingSize: cfg.RingSize}, duty.Handler[any](t))
	return t
}

// LimitNamed reports that a response named a limit, in requests a second. It never
// blocks.
func (t *Throttle) LimitNamed(id api.UpstreamID, perSecond float64) {
	t.post(limitNamed{id, perSecond})
}

// NoLimitNamed reports that a response to a request named no limit. It never blocks.
func (t *Throttle) NoLimitNamed(id api.UpstreamID) {
	if (*t.limited.Load())[id] {
		t.post(noLimitNamed{id})
	}
}

func (t *Throttle) post(m any) {
	if err := t.duty.Post(m); err != nil {
		t.log.Warn("observation of a request limit dropped", zap.Error(err))
	}
}

// Handle implements duty.Handler.
func (t *Throttle) Handle(_ context.Context, m any) {
	now := t.cfg.Now()
	switch m := m.(type) {
	case limitNamed:
		if t.named.Set(m.id, m.perSecond, now) {
			t.log.Info("upstream names a request limit", zap.String("upstream", string(m.id)), zap.Float64("per_second", m.perSecond))
			t.publish()
		}
	case noLimitNamed:
		if t.named.Lift(m.id, now) {
			t.log.Info("upstream names no request limit any more", zap.String("upstream", string(m.id)))
			t.publish()
		}
	}
}

// publish publishes which upstreams have limits.
func (t *Throttle) publish() {
	limited := make(map[api.UpstreamID]bool)
	for id := range t.named.All() {
		limited[id] = true
	}
	t.limited.Store(&limited)
	limitedUpstreams.Set(int64(len(limited)))
}

// Stop stops the duty. Errors: ctx.Err().
func (t *Throttle) Stop(ctx context.Context) error { return t.duty.Stop(ctx) }
