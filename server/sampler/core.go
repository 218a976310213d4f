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
	cfg          Config
	deps         Deps
	nonce        string // makes ids unique across restarts
	ids          uint64
	post         func(message) error
	releaseCall  func() // gives back the room of one call of the front end
	followed     map[api.TrainerID]*trainerState
	trainers     []*trainerState
	firstPlanned int // who is planned first
	index        trainerIndex

	reader     *duty.Duty[readCommand]
	reading    bool
	cancelRead context.CancelFunc
	readAfter  time.Time

	liveDaemons []api.DaemonID             // members that teams was made of
	followersOf map[api.TrainerID][]string // who follows a trainer

	jobs           int // submitted and not finished
	pendingSamples int // whole answers not yet in the log
	appends        int // other appends under way
}

// trainerState is the state of one trainer on this daemon.
type trainerState struct {
	trainer  api.TrainerID
	name     string
	replica  *samples.Replica
	clock    checkpointClock
	planner  *samples.Planner
	groups   groupAssignment
	counted  samples.Counts
	opening  []*openCall
	states   []stateMessage
	pulls    []*pullCall
	abandons []*abandonCall
	jobs     map[samples.JobKey]api.RequestID
	pending  map[api.RecordID]*pendingSample
	lastUsed time.Time
}

func newCore(cfg Config, deps Deps, nonce string, release func()) *core {
	return &core{cfg: cfg, deps: deps, nonce: nonce, releaseCall: release, followed: make(map[api.TrainerID]*trainerState), index: newIndex()}
}

// stream returns the state folded so far.
func (f *trainerState) stream() *samples.Stream { return f.replica.Stream() }

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
	for _, f := range append([]*trainerState(nil), c.trainers...) {
		f.groups.setFollowers(c.trainerFollowers(f.trainer))
		c.advanceCalls(f)
		c.retryAppends(f)
		c.checkpoint(f)
		if c.isUnused(f) {
			c.unfollow(f)
		}
	}
	c.followNoticed()
	c.plan()
	c.read()
}

// Idle implements duty.Idler: no trainer is followed.
func (c *core) Idle() bool { return len(c.trainers) == 0 }

// Stopped implements duty.Stopper.
func (c *core) Stopped() {
	err := api.Errorf(api.CodeNotReady, "sampler is stopping")
	for _, f := range c.trainers {
		for _, w := range f.opening {
			w.finish(err)
		}
		for _, w := range f.pulls {
			w.fail(err)
		}
		for _, w := range f.abandons {
			w.finish(AbandonResult{}, err)
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
func (c *core) follow(t api.TrainerID) (*trainerState, error) {
	f := c.followed[t]
	if f == nil {
		if len(c.trainers) >= c.cfg.MaxTrainers {
			return nil, api.Errorf(api.CodeShed, "%d trainers are followed already", len(c.trainers))
		}
		f = &trainerState{
			trainer: t, name: api.TrainerStream(t),
			replica: samples.NewReplica(samplecodec.DecodeImage), planner: samples.NewPlanner(c.cfg.Planner, c.cfg.Daemon),
			jobs: make(map[samples.JobKey]api.RequestID), pending: make(map[api.RecordID]*pendingSample),
		}
		c.followed[t] = f
		c.trainers = append(c.trainers, f)
		if c.reading {
			c.cancelRead()
		}
	}
	f.lastUsed = c.deps.Now()
	return f, nil
}

// isUnused reports whether a stream needs not be followed: nobody asked for long,
// this daemon runs none of its steps, and is not chosen to keep open ones.
func (c *core) isUnused(f *trainerState) bool {
	waiting := len(f.opening) + len(f.abandons) + len(f.states) + len(f.pulls) + len(f.jobs) + len(f.pending)
	if waiting > 0 || c.deps.Now().Sub(f.lastUsed) <= c.cfg.FollowIdleTimeout {
		return false
	}
	open := f.stream().OpenSteps() > 0
	return !f.stream().RunsOpenStep(c.cfg.Daemon) && !(open && c.isFollower(f.trainer))
}

func (c *core) unfollow(f *trainerState) {
	delete(c.followed, f.trainer)
	for i := range c.trainers {
		if c.trainers[i] == f {
			c.trainers = append(c.trainers[:i], c.trainers[i+1:]...)
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
	positions := make([]eventlog.Position, len(c.trainers), len(c.trainers)+1)
	for i, f := range c.trainers {
		if !f.replica.Synced() {
			wait = 0 // calls wait to learn where the stream ends
		}
		positions[i] = eventlog.Position{Stream: f.name, Offset: f.replica.NextOffset()}
	}
	positions = append(positions, eventlog.Position{Stream: api.StreamTrainers, Offset: c.index.next})
	ctx, cancel := context.WithCancel(context.Background())
	follows := append([]*trainerState(nil), c.trainers...)
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
	follows     []*trainerState // of batches, in the same order; the last batch is the index's
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
			c.index.applyNotices(&m.batches[i], c.deps.Now())
			continue
		}
		f := m.follows[i]
		if c.followed[f.trainer] != f {
			continue // forgotten meanwhile; a new follow reads from the front
		}
		invariant.Check(f.name == m.batches[i].Stream, "sampler_batch_of_its_stream", "%s", m.batches[i].Stream)
		c.fold(f, &m.batches[i])
		c.advanceCalls(f)
	}
	c.plan()
}

func (c *core) fold(f *trainerState, b *eventlog.Batch) {
	now := c.deps.Now()
	before := f.replica.Gaps()
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < f.replica.NextOffset() {
			continue
		}
		f.clock.recordEntry(e, now)
		c.feed(f, b.Oldest, b.Next, []samples.LoggedRecord{decodeEntry(e)})
		f.clock.recordComplete(f.replica.Checkpoints())
		if f.replica.NextOffset() != e.Offset+1 {
			break // it reads on from elsewhere
		}
	}
	c.feed(f, b.Oldest, b.Next, nil)
	if f.replica.Gaps() != before {
		gaps.Add(1)
		f.counted = f.stream().Counts()
	}
	addCounts(&f.counted, f.stream().Counts())
}

func (c *core) feed(f *trainerState, oldest, end api.Offset, records []samples.LoggedRecord) {
	before := f.replica.Gaps()
	for _, v := range f.replica.Feed(oldest, end, records) {
		c.deliverVerdict(f, v)
	}
	if f.replica.Gaps() != before {
		f.failUnresolved()
	}
}

func decodeEntry(e *eventlog.Entry) samples.LoggedRecord {
	rec, err := samplecodec.Decode(e.ID, e.Payload)
	if err != nil {
		undecodable.Add(1)
		rec = samples.Record{ID: e.ID}
	}
	return samples.LoggedRecord{Offset: e.Offset, Record: rec}
}

// deliverVerdict answers the calls that wait for a record.
func (c *core) deliverVerdict(f *trainerState, v samples.Verdict) {
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

// advanceCalls moves on all calls that wait on a trainer's stream.
func (c *core) advanceCalls(f *trainerState) {
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
	f.opening = filterInPlace(f.opening, func(w *openCall) bool { return !w.ended })
	f.pulls = filterInPlace(f.pulls, func(w *pullCall) bool { return !w.ended })
	f.abandons = filterInPlace(f.abandons, func(w *abandonCall) bool { return !w.ended })
	f.states = filterInPlace(f.states, func(m stateMessage) bool { return !c.answerState(f, m, now) })
}

func filterInPlace[T any](list []T, wanted func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if wanted(v) {
			kept = append(kept, v)
		}
	}
	clear(list[len(kept):])
	return kept
}
