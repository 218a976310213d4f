package sampler

import (
	"context"
	"fmt"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/duty"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/invariant"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
)

// message is anything that the sampler's duty handles.
type message interface{ apply(c *core) }

// core is the state of the duty "sampler"; its thread alone touches it.
type core struct {
	cfg      Config
	deps     Deps
	nonce    string // makes ids unique across restarts
	ids      uint64
	post     func(message) error
	release  func() // gives back the room of one call of the front end
	followed map[api.TrainerID]*follow
	order    []*follow
	turn     int // who is planned first

	reader     *duty.Duty[readCommand]
	reading    bool
	cancelRead context.CancelFunc
	readAfter  time.Time

	jobs    int // submitted and not finished
	done    int // whole answers not yet in the log
	appends int // other appends under way
}

// follow is the state of one trainer on this daemon.
type follow struct {
	trainer  api.TrainerID
	name     string
	next     api.Offset // next offset to read
	synced   bool       // the end of the stream was seen once
	stream   *samples.Stream
	runner   *samples.Runner
	counted  samples.Counts
	opening  []*stepWait
	states   []stateMessage
	pulls    []*pullWait
	abandons []*abandonWait
	jobs     map[samples.JobKey]api.RequestID
	pending  map[api.RecordID]*pendingSample
	lastUsed time.Time
}

func newCore(cfg Config, deps Deps, nonce string, release func()) *core {
	return &core{cfg: cfg, deps: deps, nonce: nonce, release: release, followed: make(map[api.TrainerID]*follow)}
}

// Handle implements duty.Handler.
func (c *core) Handle(_ context.Context, m message) {
	m.apply(c)
	c.read()
}

// Tick implements duty.Ticker.
func (c *core) Tick(context.Context) {
	for _, f := range append([]*follow(nil), c.order...) {
		c.advance(f)
		c.retryAppends(f)
		if c.idle(f) {
			c.unfollow(f)
		}
	}
	c.plan()
	c.read()
}

// Stopped implements duty.Stopper.
func (c *core) Stopped() {
	err := api.Errorf(api.CodeNotReady, "sampler is stopping")
	for _, f := range c.order {
		for _, w := range f.opening {
			w.finish(err)
		}
		for _, w := range f.pulls {
			w.fail(err)
		}
		for _, w := range f.abandons {
			w.finish(Abandonment{}, err)
		}
		for _, m := range f.states {
			m.reply.Put(result[samples.Report]{err: err})
		}
		for _, id := range f.jobs {
			c.deps.Submitter.Cancel(id)
		}
	}
}

func (c *core) newID() string {
	c.ids++
	return fmt.Sprintf("%s-%s-%d", c.cfg.Daemon, c.nonce, c.ids)
}

// follow returns a trainer's state, following its stream from now on.
// Errors: CodeShed.
func (c *core) follow(t api.TrainerID) (*follow, error) {
	f := c.followed[t]
	if f == nil {
		if len(c.order) >= c.cfg.MaxTrainers {
			return nil, api.Errorf(api.CodeShed, "%d trainers are followed already", len(c.order))
		}
		f = &follow{
			trainer: t, name: api.TrainerStream(t), next: 1,
			stream: samples.NewStream(), runner: samples.NewRunner(c.cfg.Run, c.cfg.Daemon),
			jobs: make(map[samples.JobKey]api.RequestID), pending: make(map[api.RecordID]*pendingSample),
		}
		c.followed[t] = f
		c.order = append(c.order, f)
		if c.reading {
			c.cancelRead()
		}
	}
	f.lastUsed = c.deps.Now()
	return f, nil
}

// idle reports whether a stream needs not be followed: nobody asked for long,
// and this daemon runs none of its steps.
func (c *core) idle(f *follow) bool {
	waiting := len(f.opening) + len(f.abandons) + len(f.states) + len(f.pulls) + len(f.jobs) + len(f.pending)
	if waiting > 0 || c.deps.Now().Sub(f.lastUsed) <= c.cfg.FollowIdle {
		return false
	}
	return !f.stream.RunBy(c.cfg.Daemon)
}

func (c *core) unfollow(f *follow) {
	delete(c.followed, f.trainer)
	for i := range c.order {
		if c.order[i] == f {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// read starts the next read unless one is under way.
func (c *core) read() {
	if c.reading || len(c.order) == 0 || c.deps.Now().Before(c.readAfter) {
		return
	}
	wait := c.cfg.ReadWait
	positions := make([]eventlog.Position, len(c.order))
	for i, f := range c.order {
		if !f.synced {
			wait = 0 // calls wait to learn where the stream ends
		}
		positions[i] = eventlog.Position{Stream: f.name, From: f.next}
	}
	ctx, cancel := context.WithCancel(context.Background())
	follows := append([]*follow(nil), c.order...)
	m := readCommand{ctx: ctx, cancel: cancel, positions: positions, follows: follows, wait: wait}
	if c.reader.Post(m) != nil {
		cancel() // stopping, or the reader's last turn has not ended; the next tick tries again
		return
	}
	c.reading = true
	c.cancelRead = cancel
}

// readMessage is the end of a read.
type readMessage struct {
	follows     []*follow // of batches, in the same order
	batches     []eventlog.Batch
	err         error
	interrupted bool
}

func (m readMessage) apply(c *core) {
	c.reading = false
	if m.err != nil && !m.interrupted {
		readFailures.Add(1)
		c.readAfter = c.deps.Now().Add(c.cfg.ReadBackoff)
	}
	for i := range m.batches {
		f := m.follows[i]
		if c.followed[f.trainer] != f {
			continue // forgotten meanwhile; a new follow reads from the front
		}
		invariant.Check(f.name == m.batches[i].Stream, "sampler_batch_of_its_stream", "%s", m.batches[i].Stream)
		c.fold(f, &m.batches[i])
		c.advance(f)
	}
	c.plan()
}

func (c *core) fold(f *follow, b *eventlog.Batch) {
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < f.next {
			continue
		}
		f.next = e.Offset + 1
		rec, err := samplecodec.Decode(e.ID, e.Payload)
		if err != nil {
			undecodable.Add(1)
			continue
		}
		c.verdict(f, f.stream.Apply(e.Offset, rec))
	}
	f.next = max(f.next, b.Oldest)
	f.synced = f.synced || f.next >= b.Next
	count(&f.counted, f.stream.Counts())
}

// verdict answers the calls that wait for a record.
func (c *core) verdict(f *follow, v samples.Verdict) {
	for _, w := range f.opening {
		if w.record == v.ID {
			w.finish(v.Err)
		}
	}
	for _, w := range f.pulls {
		if w.record == v.ID {
			w.verdict(&v)
		}
	}
	for _, w := range f.abandons {
		if w.record == v.ID {
			w.verdict(&v)
		}
	}
}

// advance moves on all calls that wait on a trainer's stream.
func (c *core) advance(f *follow) {
	now := c.deps.Now()
	for _, w := range f.opening {
		c.advanceStep(f, w, now)
	}
	for _, w := range f.pulls {
		c.advancePull(f, w, now)
	}
	for _, w := range f.abandons {
		c.advanceAbandon(f, w, now)
	}
	f.opening = keep(f.opening, func(w *stepWait) bool { return !w.ended })
	f.pulls = keep(f.pulls, func(w *pullWait) bool { return !w.ended })
	f.abandons = keep(f.abandons, func(w *abandonWait) bool { return !w.ended })
	f.states = keep(f.states, func(m stateMessage) bool { return !c.answerState(f, m, now) })
}

func keep[T any](list []T, wanted func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if wanted(v) {
			kept = append(kept, v)
		}
	}
	clear(list[len(kept):])
	return kept
}
