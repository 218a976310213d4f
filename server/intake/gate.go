// Package intake applies the decisions of lib/intake to listeners and HTTP servers. net/http
// and drpc keep their own goroutines; the budget is behind one mutex, which small requests
// take only to note their phase. One duty closes requests and answers that have stopped.
package intake

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/intake"
	"go.uber.org/zap"
)

// counters holds held_bytes, and how many connections or requests were refused or closed,
// by reason.
var counters = expvar.NewMap("intake")

// Reasons of refusals and closed connections.
const (
	reasonHeadTooLong = "head_too_long"         // 431
	reasonNoRoom      = "refused_no_room"       // 503, or closed between daemons
	reasonConns       = "refused_connections"   // 503: all connections of the edge are busy
	reasonIdle        = "closed_for_connection" // waited longest at the limit of connections
	reasonStalled     = "closed_for_room"       // stalled, and another request needed the room
	reasonJobs        = "refused_jobs"          // 503: the state holds as many jobs as it may
	reasonSlow        = "closed_slow"           // no progress, or below the minimum rate
)

// sweepInterval is the interval at which slow requests are closed, logInterval that of log
// lines about them.
const (
	sweepInterval = 5 * time.Second
	logInterval   = time.Second
)

// Config configures a Gate.
type Config struct {
	Memory      int64 // bytes of the host; the process is ended above it
	Descriptors int
	LimitHeap   bool // collect garbage more often near the memory; for settings that name it
	// HeadLimit returns the limit on a request line and its headers, in bytes; zero: the
	// default.
	HeadLimit func() int64
	Now       func() time.Time
}

// Gate bounds what all edges of a daemon take. It is safe for concurrent use.
type Gate struct {
	cfg      Config
	plan     intake.Plan
	log      *zap.Logger
	mu       sync.Mutex
	budget   *intake.Budget
	lastLog  time.Time
	unlogged int
}

// New returns a Gate and, with LimitHeap, sets the memory limit of the collector of garbage.
func New(cfg Config, log *zap.Logger) *Gate {
	plan := intake.NewPlan(cfg.Memory, cfg.Descriptors)
	if cfg.LimitHeap {
		debug.SetMemoryLimit(plan.HeapBytes)
	}
	return &Gate{cfg: cfg, plan: plan, log: log, budget: intake.NewBudget(plan)}
}

// Plan returns how the host's memory and descriptors are used.
func (g *Gate) Plan() intake.Plan { return g.plan }

// Start starts the duty that closes slow requests.
func (g *Gate) Start(sys *duty.System) {
	duty.Start(sys, duty.Config{Name: "intake", RingSize: 1, Tick: sweepInterval}, duty.Handler[struct{}](sweeper{g}))
}

// sweeper is the handler of the duty; it receives only ticks.
type sweeper struct{ gate *Gate }

// Handle does nothing.
func (sweeper) Handle(context.Context, struct{}) {}

// Tick closes requests and answers that have stopped.
func (s sweeper) Tick(context.Context) {
	g := s.gate
	g.mu.Lock()
	slow := g.budget.Sweep(g.cfg.Now())
	counters.Set("held_bytes", intVar(g.budget.Used()))
	g.mu.Unlock()
	g.closeAll(slow, reasonSlow)
}

func intVar(n int64) *expvar.Int {
	v := &expvar.Int{}
	v.Set(n)
	return v
}

// closeAll closes the connections of accounts that the budget has closed.
func (g *Gate) closeAll(accounts []*intake.Account, reason string) {
	for _, a := range accounts {
		c := a.Owner.(*Conn)
		_ = c.Conn.Close() // its reader or writer sees the end
		g.note(reason, c)
	}
}

// TakesJob reports whether a job of size bytes is accepted while the state holds jobs of
// held bytes.
func (g *Gate) TakesJob(size, held int64) bool {
	if held+size <= g.plan.Jobs {
		return true
	}
	g.log.Warn("intake limited", zap.String("reason", reasonJobs), zap.Int64("job_bytes", size), zap.Int64("jobs_held_bytes", held))
	counters.Add(reasonJobs, 1)
	return false
}

// note counts and logs a refusal; at most one a second is logged.
func (g *Gate) note(reason string, c *Conn) {
	counters.Add(reason, 1)
	g.mu.Lock()
	now := g.cfg.Now()
	g.unlogged++
	n := g.unlogged
	due := now.Sub(g.lastLog) >= logInterval
	if due {
		g.lastLog, g.unlogged = now, 0
	}
	used := g.budget.Used()
	g.mu.Unlock()
	if due {
		g.log.Warn("intake limited", zap.String("reason", reason), zap.String("edge", c.edgeName), zap.Stringer("caller", c.RemoteAddr()),
			zap.Int("since_last_line", n), zap.Int64("held_bytes", used))
	}
}

func (g *Gate) headLimit() int64 {
	if g.cfg.HeadLimit != nil {
		if n := g.cfg.HeadLimit(); n > 0 {
			return n
		}
	}
	return intake.DefaultHeadBytes
}

// Callers returns l bounded as the edge of callers.
func (g *Gate) Callers(l net.Listener) net.Listener {
	return g.listener("callers", l, g.plan.Conns, true)
}

// Side returns l bounded as an edge for the platform's checks.
func (g *Gate) Side(name string, l net.Listener) net.Listener {
	return g.listener(name, l, g.plan.SideConns, true)
}

// Peers returns l bounded as the edge of other daemons, whose messages each get a response.
func (g *Gate) Peers(l net.Listener) net.Listener {
	return g.listener("peers", l, g.plan.PeerConns, false)
}

func (g *Gate) listener(name string, l net.Listener, limit int, http bool) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &listener{Listener: l, gate: g, edge: g.budget.NewEdge(limit), name: name, http: http}
}

// Server sets the hooks of an HTTP server whose listener is one of g.
func (g *Gate) Server(s *http.Server) *http.Server {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			// A head that was in net/http's buffer ended without a Read. From here on,
			// net/http may read beside the handler.
			conn.inHead.Store(false)
		case http.StateIdle:
			conn.nextRequest()
		default:
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.enter(intake.Running)
		next.ServeHTTP(w, r)
		c.enter(intake.Reading) // net/http may read the rest of the body
		c.lingers.Store(c.stopped.Load())
	})
	return s
}

type connKey struct{}

// connOf returns the connection of a request; nil if its server has no Gate.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type listener struct {
	net.Listener
	gate *Gate
	edge *intake.Edge
	name string
	http bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(inner); c != nil {
			return c, nil
		}
	}
}

// open returns the connection, or nil if it is refused.
func (l *listener) open(inner net.Conn) *Conn {
	g := l.gate
	c := &Conn{Conn: inner, gate: g, edgeName: l.name, http: l.http}
	g.mu.Lock()
	a, victim := g.budget.Open(l.edge, c, g.cfg.Now())
	g.mu.Unlock()
	if victim != nil {
		g.closeAll([]*intake.Account{victim}, reasonIdle)
	}
	if a == nil {
		c.answerAndClose(statusNoRoom)
		g.note(reasonConns, c)
		return nil
	}
	c.account = a
	c.inHead.Store(l.http)
	return c
}
