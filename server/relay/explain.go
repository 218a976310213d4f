package relay

import (
	"context"

	"dotterelmount.example/lib/explain"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/reach"
	"dotterelmount.example/lib/ring"
)

// explanation asks what would happen with a request.
type explanation struct {
	request *opaque.Request
	reply   *ring.Slot[explain.Decision]
}

// Explain returns what would happen with a request now, which isn't sent. Errors:
// *duty.FullError, *ring.ClosedError, ctx.Err().
func (r *Relay) Explain(ctx context.Context, q *opaque.Request) (explain.Decision, error) {
	e := &explanation{request: q, reply: ring.NewSlot[explain.Decision]()}
	if err := r.duty.Post(e); err != nil {
		return explain.Decision{}, err
	}
	return e.reply.Wait(ctx)
}

// explain decides as startNext does, without its effects.
func (r *Relay) explain(ctx context.Context, q *opaque.Request) explain.Decision {
	j, now, links := newJob(ctx, q), r.cfg.Now(), r.links()
	d := explain.Decision{Outcome: explain.Refused, Links: links.String(), RetryAfterSeconds: r.cfg.RetryAfter.Seconds()}
	if wait, ok := r.crashes.Peek(j.content, now); !ok {
		d.Reason, d.RetryAfterSeconds = "the request crashed several upstreams", wait.Seconds()
		return d
	}
	if links == reach.CutOff {
		peer, ok := r.pickPeer(j, now)
		if !ok {
			d.Reason = "this daemon is cut off from all upstreams"
			return d
		}
		return explain.Decision{Outcome: explain.Forwarded, Peer: peer.ID, Links: d.Links, Reason: "this daemon is cut off from all upstreams"}
	}
	c := r.choose(j, now)
	d.Candidates = explain.Candidates(r.cfg.Chooser, c.candidates)
	switch {
	case !c.ok:
		d.Reason = "no upstream available for service " + q.Service
	case c.waits && c.chosen.TooLate:
		d.Reason, d.RetryAfterSeconds = "the limits of service "+q.Service+" leave no room", max(r.cfg.RetryAfter, c.chosen.Wait).Seconds()
	case c.waits:
		d.Outcome, d.To, d.WaitSeconds, d.RetryAfterSeconds = explain.Waits, c.chosen.Upstream.ID, c.chosen.Wait.Seconds(), 0
	case !r.hasRoom():
		d.Reason = tooManyAttempts
	default:
		d.Outcome, d.To, d.RetryAfterSeconds = explain.Sent, c.chosen.Upstream.ID, 0
	}
	return d
}
