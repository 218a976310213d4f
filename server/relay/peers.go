package relay

import (
	"context"
	"errors"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/reach"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
)

// Peers are the other daemons, through which requests are sent while this daemon can't
// reach the upstreams. The zero value forwards nothing.
type Peers struct {
	// Links returns the state of this daemon's links to the upstreams.
	Links func() reach.State
	// List returns the daemons that reach the upstreams, without this one.
	List      func() []opaque.Peer
	Forwarder opaque.Forwarder
	// MaxTries is the number of peers that one request is sent to at most.
	MaxTries int
}

// peerFailureLimit is the number of failures in a row from which a peer gets no requests
// until its backoff has passed.
const peerFailureLimit = 2

// links returns the state of this daemon's links to the upstreams.
func (r *Relay) links() reach.State {
	if r.cfg.Peers.Links == nil {
		return reach.Reachable
	}
	return r.cfg.Peers.Links()
}

// startForwarded starts an attempt through a peer, or finishes the job, if this daemon
// can't reach the upstreams. It returns false if the job is to be sent to an upstream. While
// a cut-off is only suspected, jobs whose first attempt failed are forwarded.
func (r *Relay) startForwarded(j *job, now time.Time) bool {
	links := r.links()
	if links == reach.Reachable || links == reach.Suspected && (j.attempts == 0 || j.request.Forwarded) {
		return false
	}
	peer, ok := r.pickPeer(j, now)
	if !ok && links == reach.Suspected {
		return false
	}
	if !ok {
		r.finish(j, reply{Err: elsewhere(j.failure("this daemon is cut off from all upstreams", false, max(r.cfg.RetryAfter, j.retryAfter)))})
		return true
	}
	if !r.hasRoom() {
		r.finish(j, r.tooMany(j))
		return true
	}
	a := &attempt{
		job: j, peer: &peer, startedAt: now,
		timeout: r.cfg.AttemptTimeouts.AttemptTimeout(j.request, now, r.cfg.Peers.MaxTries-len(j.triedPeers)),
	}
	j.waitingSince = time.Time{}
	j.triedPeers[peer.ID] = true
	r.peerStatsOf(peer.ID).inFlight++
	r.log.Info("request forwarded", zap.String("request", string(j.request.ID)), zap.String("to", string(peer.ID)), zap.Stringer("links", links))
	r.start(a)
	return true
}

func (r *Relay) pickPeer(j *job, now time.Time) (opaque.Peer, bool) {
	if j.request.Forwarded || len(j.triedPeers) >= r.cfg.Peers.MaxTries || j.runs >= j.request.Route.MaxAttempts {
		return opaque.Peer{}, false
	}
	var candidates []opaque.PeerCandidate
	for _, p := range r.cfg.Peers.List() {
		s := r.peerStatsOf(p.ID)
		if s.consecutiveFailures >= peerFailureLimit && now.Before(s.backoffUntil) {
			continue // a request that nobody can run is refused at once
		}
		candidates = append(candidates, opaque.PeerCandidate{Peer: p, InFlight: s.inFlight, BackingOff: now.Before(s.backoffUntil), Tried: j.triedPeers[p.ID]})
	}
	c, ok := r.cfg.Chooser.PickPeer(candidates)
	return c.Peer, ok
}

func (r *Relay) peerStatsOf(id api.DaemonID) *upstreamStats {
	s, ok := r.peerStats[id]
	if !ok {
		s = &upstreamStats{}
		r.peerStats[id] = s
	}
	return s
}

// handlePeerEnd finishes a job after an attempt through a peer or starts the next one.
func (r *Relay) handlePeerEnd(a *attempt) {
	now := r.cfg.Now()
	j, stats := a.job, r.peerStatsOf(a.peer.ID)
	stats.inFlight--
	a.rejectLateResponse()
	if a.err == nil {
		stats.consecutiveFailures, stats.backoffUntil = 0, time.Time{}
		if a.response.Leaving {
			r.cfg.OnLeaving(a.upstreamID)
		}
		r.finish(j, reply{Response: a.response, Upstream: a.upstreamID})
		return
	}
	r.log.Info("forwarded attempt failed", zap.String("request", string(j.request.ID)), zap.String("to", string(a.peer.ID)),
		zap.Duration("took", now.Sub(a.startedAt)), zap.Duration("limit", a.timeout), zap.Error(a.err))
	j.lastErr = a.err
	var lost *opaque.AttemptError
	var notRun *opaque.NotRunError
	var failed *opaque.FailedError
	switch {
	case errors.As(a.err, &notRun):
		j.retryAfter = notRun.RetryAfter
		if !notRun.Elsewhere {
			r.finish(j, reply{Response: j.failureResponse, Err: j.failure(notRun.Reason, false, notRun.RetryAfter), Upstream: a.upstreamID})
			return
		}
	case errors.As(a.err, &lost) && lost.Execution == opaque.ExecutionNotSent:
		stats.failed(now, r.cfg.Backoff, r.cfg.MaxBackoff)
	case lost == nil && errors.As(a.err, &failed):
		j.mayHaveRun, j.runs = true, j.request.Route.MaxAttempts
		r.finish(j, reply{Err: j.failure(failed.Reason, failed.DeadlineExceeded, r.cfg.RetryAfter), Upstream: a.upstreamID})
		return
	default:
		j.mayHaveRun = true
		j.runs++
		if j.ctx.Err() == nil {
			stats.failed(now, r.cfg.Backoff, r.cfg.MaxBackoff)
		}
		if !j.request.Route.Repeatable() {
			r.finish(j, reply{Err: j.failure("the daemon that ran the request failed", false, r.cfg.RetryAfter)})
			return
		}
	}
	r.startNext(j)
}

// forward makes one attempt through a peer.
func (w *worker) forward(ctx context.Context, a *attempt) {
	j := a.job
	q, route := *j.request, *j.request.Route
	route.MaxAttempts -= j.runs
	q.Route = &route
	var sink opaque.StreamSink
	if j.stream != nil {
		q.Software = j.stream.software
		q.LastEvent = max(q.LastEvent, int(j.stream.lastEvent.Load()))
		sink = &peerSink{ctx: ctx, attempt: a}
	}
	a.response, a.upstreamID, a.err = w.forwarder.Forward(ctx, a.peer, &q, sink)
	if a.err == nil && a.response == nil {
		a.response = a.head
	}
	if a.err == nil && a.response == nil {
		a.err = &opaque.AttemptError{Execution: opaque.ExecutionUnknown, Cause: &opaque.FailedError{Reason: "the peer sent no response"}}
	}
}

// peerSink implements opaque.StreamSink on the stream of a forwarded attempt.
type peerSink struct {
	ctx     context.Context
	attempt *attempt
}

// Head implements opaque.StreamSink.
func (s *peerSink) Head(head *opaque.Response) error {
	s.attempt.head, s.attempt.streamed = head, true
	s.attempt.job.stream.sendHead(head)
	return nil
}

// Event implements opaque.StreamSink.
func (s *peerSink) Event(e opaque.Event, software string) error {
	st := s.attempt.job.stream
	if e.Number <= int(st.lastEvent.Load()) || st.software != "" && st.software != software {
		return &opaque.AttemptError{Execution: opaque.ExecutionUnknown, Cause: &opaque.FailedError{Reason: "the event doesn't continue the stream"}}
	}
	if st.software == "" {
		st.software = software
	}
	if err := st.events.Push(s.ctx, e); err != nil {
		return err
	}
	st.lastEvent.Store(int64(e.Number))
	return nil
}

// ServeForwarded runs a request that another daemon forwarded. Errors: those of Forward.
func (r *Relay) ServeForwarded(ctx context.Context, q *opaque.Request, sink opaque.StreamSink) (*opaque.Response, api.UpstreamID, error) {
	if q.Route.Kind != routes.KindStream {
		return r.Forward(ctx, q)
	}
	return r.streamTo(ctx, q, sink)
}
