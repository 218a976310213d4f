// Package rewards makes the reward calls of items whose text is complete. One duty
// decides which calls to make; caller duties make one at a time each.
package rewards

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/directory"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/leases"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/rewards"
	"dotterelmount.example/lib/routes"
	"go.uber.org/zap"
)

// Config configures a Caller.
type Config struct {
	Self     api.DaemonID
	Limits   rewards.Config
	Timeouts opaque.AttemptTimeouts
	// DefaultTimeout bounds a call on a route without a timeout.
	DefaultTimeout time.Duration
	Callers        int           // maximum concurrent calls
	RingSize       int           // capacity in messages
	Tick, IdleTick time.Duration // IdleTick while there is nothing to call
	Roster         leases.Roster
	Now            func() time.Time
}

// Deps are the dependencies of a Caller.
type Deps struct {
	// Forward forwards a request and returns the upstream's response. Errors:
	// *opaque.NotRunError, *opaque.FailedError.
	Forward func(ctx context.Context, q *opaque.Request) (*opaque.Response, api.UpstreamID, error)
	// Body returns the body of a reward call.
	Body func(ctx context.Context, at batch.ChunkRef) ([]byte, error)
	// Propose appends a record without waiting.
	Propose func(r batch.Record) error
	View    func() *directory.View
	Members func() leases.Members
}

// Caller controls the duties. The fields from outstanding on are accessed only on the
// duty that decides.
type Caller struct {
	cfg         Config
	deps        Deps
	log         *zap.Logger
	duty        *duty.Duty[any]
	callers     *duty.Pool[*call]
	outstanding []batch.Reward
	items       map[batch.ItemKey]*item
	running     map[string]int // calls in progress by service
}

// item is an item with an outstanding reward call.
type item struct {
	call     *call // in progress; nil: none
	failures int   // in a row
	retryAt  time.Time
	// score is the score received; empty: none. proposed is set once its record was
	// queued.
	score    string
	proposed bool
}

// call is one reward call.
type call struct {
	reward    batch.Reward
	caller    int
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	request   *opaque.Request
	response  *opaque.Response
	upstream  api.UpstreamID
	err       error
}

// Start starts the duties.
func Start(sys *duty.System, cfg Config, deps Deps, log *zap.Logger) *Caller {
	c := &Caller{cfg: cfg, deps: deps, log: log, items: make(map[batch.ItemKey]*item), running: make(map[string]int)}
	w := &worker{deps: deps, postEnd: func(ctx context.Context, k *call) { _ = c.duty.PostWait(ctx, k) }} // fails only while stopping
	c.callers = duty.NewPool(sys, duty.Config{Name: "reward-caller"}, cfg.Callers, func() duty.Handler[*call] { return w })
	c.duty = duty.Start(sys, duty.Config{Name: "rewards", RingSize: cfg.RingSize, Tick: cfg.Tick, IdleTick: cfg.IdleTick}, duty.Handler[any](c))
	return c
}

// Update replaces the outstanding reward calls of all daemons. It never blocks. If the
// ring is full, the update is dropped, as the next one is complete too.
func (c *Caller) Update(outstanding []batch.Reward) {
	if err := c.duty.Post(outstanding); err != nil {
		c.log.Warn("update of reward calls dropped", zap.Error(err))
	}
}

// Handle processes an update or the end of a call.
func (c *Caller) Handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case []batch.Reward:
		c.outstanding = m
		c.dropOthers()
	case *call:
		c.callers.Release(m.caller)
		c.handleEnd(m)
	}
	c.startDue(ctx)
}

// Tick starts calls that are due for a retry or were another daemon's.
func (c *Caller) Tick(ctx context.Context) { c.startDue(ctx) }

// Idle implements duty.Idler.
func (c *Caller) Idle() bool { return len(c.outstanding) == 0 }

// dropOthers cancels the calls of items that need none any more.
func (c *Caller) dropOthers() {
	wanted := make(map[batch.ItemKey]bool, len(c.outstanding))
	for _, r := range c.outstanding {
		wanted[r.ItemKey] = true
	}
	for key, i := range c.items {
		switch {
		case wanted[key]:
		case i.call != nil:
			i.call.cancel()
		default:
			delete(c.items, key)
		}
	}
}

// startDue starts the calls that are due.
func (c *Caller) startDue(ctx context.Context) {
	view := c.deps.View()
	if len(c.outstanding) == 0 || view.Table == nil {
		return
	}
	now := c.cfg.Now()
	live := c.cfg.Roster.Live(c.deps.Members(), now)
	in := rewards.Input{Self: c.cfg.Self, Live: live, Free: make(map[string]int)}
	routeOf := make(map[batch.ItemKey]*routes.Route)
	for _, r := range c.outstanding {
		if i := c.items[r.ItemKey]; i != nil && (i.call != nil || i.score != "" || now.Before(i.retryAt)) {
			c.proposeScore(r.ItemKey, i)
			continue
		}
		route, ok := view.Table.Match(r.Scorer.Host, path(r.Scorer))
		if !ok {
			continue // the item expires unless a route is added
		}
		service := route.PickService(rand.Uint64())
		if _, ok := in.Free[service]; !ok {
			in.Free[service] = c.cfg.Limits.Concurrency(slots(view, service), len(live)) - c.running[service]
		}
		routeOf[r.ItemKey] = route
		in.Candidates = append(in.Candidates, rewards.Candidate{Reward: r, Service: service})
	}
	for _, next := range rewards.Next(in) {
		if !c.callers.Idle() {
			return
		}
		c.start(ctx, &next, routeOf[next.ItemKey], view, now)
	}
}

// path returns the path of a scorer's request URI, without its query.
func path(s *batch.Scorer) string {
	p, _, _ := strings.Cut(s.Path, "?")
	return p
}

// slots returns the number of requests that a service's upstreams run at once.
func slots(view *directory.View, service string) int {
	sum := 0
	for _, u := range view.UpstreamsOf(service) {
		if !u.Draining {
			sum += u.Slots
		}
	}
	return sum
}

// start starts one call. The caller has checked for an idle caller duty.
func (c *Caller) start(ctx context.Context, next *rewards.Candidate, route *routes.Route, view *directory.View, now time.Time) {
	index, ok := c.callers.Acquire()
	if !ok {
		return
	}
	single := *route
	single.MaxAttempts = 1 // this duty decides about retries, because it counts the failure responses
	k := &call{reward: next.Reward, caller: index, startedAt: now}
	k.request = &opaque.Request{
		ID: api.RequestID(next.Scorer.ID), Method: http.MethodPost, RequestURI: next.Scorer.Path, Host: next.Scorer.Host,
		Route: &single, Service: next.Service, Arrived: now, ConfigVersion: view.Table.Version(), Owed: true,
		Customer: next.Customer, Priority: view.Customers.Priority(next.Customer, route.Priority),
	}
	k.request.Deadline = now.Add(c.timeout(k.request, now))
	k.ctx, k.cancel = context.WithDeadline(ctx, k.request.Deadline)
	i := c.items[next.ItemKey]
	if i == nil {
		i = &item{}
		c.items[next.ItemKey] = i
	}
	i.call = k
	c.running[next.Service]++
	if err := c.callers.Post(index, k); err != nil {
		k.cancel() // stopping
	}
}

// timeout returns the time limit of a call, which leaves time for another upstream if
// this one does not respond.
func (c *Caller) timeout(q *opaque.Request, now time.Time) time.Duration {
	q.Deadline = now.Add(c.cfg.DefaultTimeout)
	if q.Route.Timeout > 0 {
		q.Deadline = now.Add(q.Route.Timeout)
	}
	const attemptsLeft = 2
	return c.cfg.Timeouts.AttemptTimeout(q, now, attemptsLeft)
}

// handleEnd decides after a call whether its item is scored or the call repeated.
func (c *Caller) handleEnd(k *call) {
	k.cancel()
	c.running[k.request.Service]--
	key, now := k.reward.ItemKey, c.cfg.Now()
	i := c.items[key]
	i.call = nil
	status := 0
	if k.response != nil {
		status = k.response.Status
	}
	fields := []zap.Field{
		zap.String("job", string(key.Job)), zap.String("item", string(key.Item)), zap.String("request", string(k.request.ID)),
		zap.String("service", k.request.Service), zap.String("upstream", string(k.upstream)), zap.Uint64("config", k.request.ConfigVersion),
		zap.Int("status", status), zap.Duration("took", now.Sub(k.startedAt)),
	}
	if status >= http.StatusOK && status < http.StatusMultipleChoices && k.response.Signature != "" {
		i.score = k.response.Signature
		c.log.Info("item scored", fields...)
		c.proposeScore(key, i)
		return
	}
	if status == http.StatusInternalServerError {
		c.propose(&batch.RewardFailed{Job: key.Job, Item: key.Item, Status: status})
	}
	i.failures++
	delay := c.cfg.Limits.Delay(i.failures)
	i.retryAt = now.Add(delay)
	c.log.Info("reward call failed", append(fields, zap.Int("failures", i.failures), zap.Duration("retry_in", delay), zap.Error(k.err))...)
}

// proposeScore proposes the record of a score unless that was done.
func (c *Caller) proposeScore(key batch.ItemKey, i *item) {
	if i.score != "" && !i.proposed {
		i.proposed = c.propose(&batch.ItemScored{Job: key.Job, Item: key.Item, Score: i.score})
	}
}

func (c *Caller) propose(r batch.Record) bool {
	err := c.deps.Propose(r)
	if err != nil {
		c.log.Warn("proposal dropped", zap.Any("record", r), zap.Error(err))
	}
	return err == nil
}

// Stop stops the duties and cancels calls in progress. Errors: ctx.Err().
func (c *Caller) Stop(ctx context.Context) error { return duty.StopPool(ctx, c.duty, c.callers) }

// worker handles one call at a time.
type worker struct {
	deps    Deps
	postEnd func(context.Context, *call)
}

// Handle makes one call.
func (w *worker) Handle(ctx context.Context, k *call) {
	if k.request.Body, k.err = w.body(k); k.err == nil {
		k.response, k.upstream, k.err = w.deps.Forward(k.ctx, k.request)
	}
	w.postEnd(ctx, k)
}

func (w *worker) body(k *call) ([]byte, error) {
	if k.reward.Scorer.Body.Records == 0 {
		return nil, nil
	}
	return w.deps.Body(k.ctx, k.reward.Scorer.Body)
}
