package singleton

import (
	"context"
	"errors"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
	decision "dotterelmount.example/lib/singleton"
	"dotterelmount.example/lib/usage"
)

// Platform is the platform's API. Errors: *decision.CallError.
type Platform interface {
	ReportUsage(ctx context.Context, t decision.Term, u usage.Report) error
	Order(ctx context.Context, t decision.Term, o decision.UpstreamOrder) error
}

// Calls makes the calls of this daemon's terms. It keeps them within the platform's limit, makes
// none outside a term, and gives up or hands on a duty if the outcomes ask for it. It is safe for
// concurrent use.
type Calls struct {
	keepers  *Keepers
	platform Platform
	mu       sync.Mutex
	pacers   map[decision.Duty]*decision.Pacer
}

var _ Platform = (*Calls)(nil)

// Calls returns the Calls to a platform.
func (s *Keepers) Calls(p Platform) *Calls {
	c := &Calls{keepers: s, platform: p, pacers: make(map[decision.Duty]*decision.Pacer)}
	for _, d := range s.cfg.Duties {
		c.pacers[d] = decision.NewPacer(s.cfg.CallsPerSecond, len(s.cfg.Duties))
	}
	return c
}

// TermEndedError is the cause of a call that was not made because its term has ended.
type TermEndedError struct{ Term decision.Term }

// Error implements error.
func (*TermEndedError) Error() string { return "the term of the duty has ended" }

// ReportUsage implements Platform.
func (c *Calls) ReportUsage(ctx context.Context, t decision.Term, u usage.Report) error {
	return c.call(ctx, t, func(ctx context.Context) error { return c.platform.ReportUsage(ctx, t, u) })
}

// Order implements Platform.
func (c *Calls) Order(ctx context.Context, t decision.Term, o decision.UpstreamOrder) error {
	return c.call(ctx, t, func(ctx context.Context) error { return c.platform.Order(ctx, t, o) })
}

func (c *Calls) call(ctx context.Context, t decision.Term, do func(context.Context) error) error {
	duty.Sleep(ctx, c.wait(t.Duty))
	now, ok := c.keepers.Current(t.Duty)
	if !ok || now.Fence != t.Fence || ctx.Err() != nil {
		return &decision.CallError{Op: string(t.Duty), Outcome: decision.OutcomeEnded, Cause: &TermEndedError{t}}
	}
	// Nothing may be sent after the term, also if the connection takes long.
	ctx, cancel := context.WithTimeout(ctx, now.End-c.keepers.cfg.Boot())
	defer cancel()
	err := do(ctx)
	var e *decision.CallError
	responded := !errors.As(err, &e) || !e.NoResponse()
	if e != nil && e.Outcome == decision.OutcomeFenced {
		c.keepers.Fenced(t)
	}
	if k, ok := c.keepers.keepers[t.Duty]; ok {
		k.post(callEnded{t, responded})
	}
	return err
}

func (c *Calls) wait(d decision.Duty) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pacers[d]
	if !ok {
		return 0
	}
	return p.Wait(c.keepers.cfg.Boot())
}
