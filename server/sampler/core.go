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
	index    index

	reader     *duty.Duty[readCommand]
	reading    bool
	cancelRead context.CancelFunc
	readAfter  time.Time

	live  []api.DaemonID             // members that teams was made of
	teams map[api.TrainerID][]string // who follows a trainer

	jobs    int // submitted and not finished
	done    int // whole answers not yet in the log
	appends int // other appends under way
}

// follow is the state of one trainer on this daemon.
type follow struct {
	trainer  api.TrainerID
	name     string
	replica  *samples.Replica
	clock    checkpointClock
	runner   *samples.Runner
	work     teamwork
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
	return &core{cfg: cfg, deps: deps, nonce: nonce, release: release, followed: make(map[api.TrainerID]*follow), index: newIndex()}
}

// stream returns the state folded so far.
func (f *follow) stream() *samples.Stream { return f.replica.Stream() }

// startMessage is the first one: before it the duties' handles are not there.
type startMessage struct{ post func(message) error }

func (m startMessage) apply(c *core) { c.post = m.post }

// Handle implements duty.Handler.
func (c *core) Handle(_ context.Context, m message) {
	m.apply(c)
	c.read()
}

// Tick implements duty.Ticker.
func (c *core) Tick(context.Context) {
	if c.post == nil {
		return
	}
	for _, f := range append([]*follow(nil), c.order...) {
		f.work.adopt(c.team(f.trainer))
		c.advance(f)
		c.retryAppends(f)
		c.checkpoint(f)
		if c.idle(f) {
			c.unfollow(f)
		}
	}
	c.followNoticed()
	c.plan()
	c.read()
}

// Idle implements duty.Idler: no trainer is followed.
func (c *core) Idle() bool { return len(c.order) == 0 }

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
			trainer: t, name: api.TrainerStream(t),
			replica: samples.NewReplica(samplecodec.DecodeImage), runner: samples.NewRunner(c.cfg.Run, c.cfg.Daemon),
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
// this daemon runs none of its steps, and is not chosen to keep open ones.
func (c *core) idle(f *follow) bool {
	waiting := len(f.opening) + len(f.abandons) + len(f.states) + len(f.pulls) + len(f.jobs) + len(f.pending)
	if waiting > 0 || c.deps.Now().Sub(f.lastUsed) <= c.cfg.FollowIdle {
		return false
	}
	open := f.stream().OpenSteps() > 0
	return !f.stream().RunBy(c.cfg.Daemon) && !(open && c.chosen(f.trainer))
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
	if c.reading || c.deps.Now().Before(c.readAfter) {
		return
	}
	wait := c.cfg.ReadWait
	positions := make([]eventlog.Position, len(c.order), len(c.order)+1)
	for i, f := range c.order {
		if !f.replica.Synced() {
			wait = 0 // calls wait to learn where the stream ends
		}
		positions[i] = eventlog.Position{Stream: f.name, From: f.replica.Next()}
	}
	positions = append(positions, eventlog.Position{Stream: api.StreamTrainers, From: c.index.next})
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
	follows     []*follow // of batches, in the same order; the last batch is the index's
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
		if i == len(m.follows) {
			c.index.take(&m.batches[i], c.deps.Now())
			continue
		}
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
	now := c.deps.Now()
	before := f.replica.Gaps()
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < f.replica.Next() {
			continue
		}
		f.clock.entry(e, now)
		c.feed(f, b.Oldest, b.Next, []samples.Logged{logged(e)})
		f.clock.seen(f.replica.Complete())
		if f.replica.Next() != e.Offset+1 {
			break // it reads on from elsewhere
		}
	}
	c.feed(f, b.Oldest, b.Next, nil)
	if f.replica.Gaps() != before {
		gaps.Add(1)
		f.counted = f.stream().Counts()
	}
	count(&f.counted, f.stream().Counts())
}

func (c *core) feed(f *follow, oldest, end api.Offset, records []samples.Logged) {
	before := f.replica.Gaps()
	for _, v := range f.replica.Feed(oldest, end, records) {
		c.verdict(f, v)
	}
	if f.replica.Gaps() != before {
		f.lostTrack()
	}
}

func logged(e *eventlog.Entry) samples.Logged {
	rec, err := samplecodec.Decode(e.ID, e.Payload)
	if err != nil {
		undecodable.Add(1)
		rec = samples.Record{ID: e.ID}
	}
	return samples.Logged{At: e.Offset, Record: rec}
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
