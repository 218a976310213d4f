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

// message is a message to the duty "sampler".
type message interface{ apply(c *core) }

// core is the state of the duty "sampler"; only the duty's thread accesses it.
type core struct {
	cfg          Config
	deps         Deps
	nonce        string // makes IDs unique across restarts
	lastID       uint64
	post         func(message) error
	releaseCall  func() // decrements the count of pending calls
	followed     map[api.TrainerID]*trainerState
	trainers     []*trainerState // the values of followed, oldest first
	planRotation int             // rotates the trainer that is planned first
	index        trainerIndex

	reader     *duty.Duty[readCommand]
	reading    bool
	cancelRead context.CancelFunc
	readAfter  time.Time // earliest start of the next read

	liveDaemons []api.DaemonID             // members for which followersOf was computed
	followersOf map[api.TrainerID][]string // cache of trainerFollowers

	jobsInFlight    int // submitted, not finished
	pendingSamples  int // complete samples not yet known to be in the log
	appendsInFlight int // appends other than those of samples
}

// trainerState is the state of one trainer that this daemon follows.
type trainerState struct {
	trainer        api.TrainerID
	streamName     string
	replica        *samples.Replica
	clock          checkpointClock
	planner        *samples.Planner
	groups         groupAssignment
	reportedCounts samples.Counts // already added to the counters
	openCalls      []*openCall
	stateCalls     []stateCall
	pullCalls      []*pullCall
	abandonCalls   []*abandonCall
	jobs           map[samples.JobKey]api.RequestID
	pendingSamples map[api.RecordID]*pendingSample
	lastUsed       time.Time // last call that used it
}

func newCore(cfg Config, deps Deps, nonce string, release func()) *core {
	return &core{cfg: cfg, deps: deps, nonce: nonce, releaseCall: release, followed: make(map[api.TrainerID]*trainerState), index: newIndex()}
}

// stream returns the state after the records applied so far.
func (t *trainerState) stream() *samples.Stream { return t.replica.Stream() }

// startMessage carries the duty's Post method, which exists only after its start.
type startMessage struct{ post func(message) error }

func (m startMessage) apply(c *core) { c.post = m.post }

// Handle implements duty.Handler.
func (c *core) Handle(_ context.Context, m message) {
	m.apply(c)
	c.startRead()
}

// Tick implements duty.Ticker.
func (c *core) Tick(context.Context) {
	if c.post == nil {
		return
	}
	for _, ts := range append([]*trainerState(nil), c.trainers...) {
		ts.groups.setFollowers(c.trainerFollowers(ts.trainer))
		c.advanceCalls(ts)
		c.retrySampleAppends(ts)
		c.checkpoint(ts)
		if c.isUnused(ts) {
			c.unfollow(ts)
		}
	}
	c.followNoticed()
	c.plan()
	c.startRead()
}

// Idle implements duty.Idler: no trainer is followed.
func (c *core) Idle() bool { return len(c.trainers) == 0 }

// Stopped implements duty.Stopper.
func (c *core) Stopped() {
	err := api.Errorf(api.CodeNotReady, "sampler is stopping")
	for _, ts := range c.trainers {
		for _, oc := range ts.openCalls {
			oc.finish(err)
		}
		for _, pc := range ts.pullCalls {
			pc.fail(err)
		}
		for _, ac := range ts.abandonCalls {
			ac.finish(AbandonResult{}, err)
		}
		for _, m := range ts.stateCalls {
			m.reply.Put(result[samples.Report]{err: err})
		}
		for _, id := range ts.jobs {
			c.deps.Submitter.Cancel(id)
		}
	}
}

func (c *core) newID() string {
	c.lastID++
	return fmt.Sprintf("%s-%s-%d", c.cfg.Daemon, c.nonce, c.lastID)
}

// follow returns a trainer's state and follows its stream from now on.
// Errors: CodeShed.
func (c *core) follow(t api.TrainerID) (*trainerState, error) {
	ts := c.followed[t]
	if ts == nil {
		if len(c.trainers) >= c.cfg.MaxTrainers {
			return nil, api.Errorf(api.CodeShed, "already following %d trainers", len(c.trainers))
		}
		ts = &trainerState{
			trainer: t, streamName: api.TrainerStream(t),
			replica: samples.NewReplica(samplecodec.DecodeImage), planner: samples.NewPlanner(c.cfg.Planner, c.cfg.Daemon),
			jobs: make(map[samples.JobKey]api.RequestID), pendingSamples: make(map[api.RecordID]*pendingSample),
		}
		c.followed[t] = ts
		c.trainers = append(c.trainers, ts)
		if c.reading {
			c.cancelRead()
		}
	}
	ts.lastUsed = c.deps.Now()
	return ts, nil
}

// isUnused reports whether a stream can be unfollowed: it had no calls for
// FollowIdleTimeout, this daemon runs none of its open steps and, if it has open
// steps, is not one of the trainer's followers.
func (c *core) isUnused(ts *trainerState) bool {
	waiting := len(ts.openCalls) + len(ts.abandonCalls) + len(ts.stateCalls) + len(ts.pullCalls) + len(ts.jobs) + len(ts.pendingSamples)
	if waiting > 0 || c.deps.Now().Sub(ts.lastUsed) <= c.cfg.FollowIdleTimeout {
		return false
	}
	open := ts.stream().OpenSteps() > 0
	return !ts.stream().RunsOpenStep(c.cfg.Daemon) && !(open && c.isFollower(ts.trainer))
}

func (c *core) unfollow(ts *trainerState) {
	delete(c.followed, ts.trainer)
	for i := range c.trainers {
		if c.trainers[i] == ts {
			c.trainers = append(c.trainers[:i], c.trainers[i+1:]...)
			return
		}
	}
}

// startRead starts the next read unless one is in progress.
func (c *core) startRead() {
	if c.reading || c.deps.Now().Before(c.readAfter) {
		return
	}
	wait := c.cfg.ReadWait
	positions := make([]eventlog.Position, len(c.trainers), len(c.trainers)+1)
	for i, ts := range c.trainers {
		if !ts.replica.Synced() {
			wait = 0 // pending calls need the end of the stream
		}
		positions[i] = eventlog.Position{Stream: ts.streamName, Offset: ts.replica.NextOffset()}
	}
	positions = append(positions, eventlog.Position{Stream: api.StreamTrainers, Offset: c.index.nextOffset})
	ctx, cancel := context.WithCancel(context.Background())
	trainers := append([]*trainerState(nil), c.trainers...)
	m := readCommand{ctx: ctx, cancel: cancel, positions: positions, trainers: trainers, wait: wait}
	if c.reader.Post(m) != nil {
		cancel() // stopping, or the reader is still busy; the next tick retries
		return
	}
	c.reading = true
	c.cancelRead = cancel
}

// readDoneMessage reports the end of a read.
type readDoneMessage struct {
	trainers    []*trainerState // trainers[i] is the one of batches[i]; the last batch is the index's
	batches     []eventlog.Batch
	err         error
	interrupted bool
}

func (m readDoneMessage) apply(c *core) {
	c.reading = false
	if m.err != nil && !m.interrupted {
		readFailures.Add(1)
		c.readAfter = c.deps.Now().Add(c.cfg.ReadBackoff)
	}
	for i := range m.batches {
		if i == len(m.trainers) {
			c.index.applyNotices(&m.batches[i], c.deps.Now())
			continue
		}
		ts := m.trainers[i]
		if c.followed[ts.trainer] != ts {
			continue // unfollowed meanwhile; a new state reads from the first offset
		}
		invariant.Check(ts.streamName == m.batches[i].Stream, "sampler_batch_of_its_stream", "%s", m.batches[i].Stream)
		c.applyBatch(ts, &m.batches[i])
		c.advanceCalls(ts)
	}
	c.plan()
}

func (c *core) applyBatch(ts *trainerState, b *eventlog.Batch) {
	now := c.deps.Now()
	before := ts.replica.Gaps()
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < ts.replica.NextOffset() {
			continue
		}
		ts.clock.recordEntry(e, now)
		c.feedReplica(ts, b.Oldest, b.Next, []samples.LoggedRecord{decodeEntry(e)})
		ts.clock.recordComplete(ts.replica.Checkpoints())
		if ts.replica.NextOffset() != e.Offset+1 {
			break // the replica continues at another offset
		}
	}
	c.feedReplica(ts, b.Oldest, b.Next, nil)
	if ts.replica.Gaps() != before {
		streamGaps.Add(1)
		ts.reportedCounts = ts.stream().Counts()
	}
	addCounts(&ts.reportedCounts, ts.stream().Counts())
}

// feedReplica applies records; end is the offset after the stream's last entry.
func (c *core) feedReplica(ts *trainerState, oldest, end api.Offset, records []samples.LoggedRecord) {
	before := ts.replica.Gaps()
	for _, v := range ts.replica.Feed(oldest, end, records) {
		c.deliverVerdict(ts, v)
	}
	if ts.replica.Gaps() != before {
		ts.failUnresolved()
	}
}

// decodeEntry returns an undecodable record without a body, so that the replica
// advances past it.
func decodeEntry(e *eventlog.Entry) samples.LoggedRecord {
	rec, err := samplecodec.Decode(e.ID, e.Payload)
	if err != nil {
		undecodableRecords.Add(1)
		rec = samples.Record{ID: e.ID}
	}
	return samples.LoggedRecord{Offset: e.Offset, Record: rec}
}

// deliverVerdict completes the call that appended the record of a verdict.
func (c *core) deliverVerdict(ts *trainerState, v samples.Verdict) {
	for _, oc := range ts.openCalls {
		if oc.recordID == v.ID {
			oc.finish(v.Err)
		}
	}
	for _, pc := range ts.pullCalls {
		if pc.recordID == v.ID {
			pc.handleVerdict(&v)
		}
	}
	for _, ac := range ts.abandonCalls {
		if ac.recordID == v.ID {
			ac.handleVerdict(&v)
		}
	}
}

// advanceCalls advances all pending calls of a trainer.
func (c *core) advanceCalls(ts *trainerState) {
	now := c.deps.Now()
	for _, oc := range ts.openCalls {
		c.advanceOpen(ts, oc, now)
	}
	for _, pc := range ts.pullCalls {
		c.advancePull(ts, pc, now)
	}
	for _, ac := range ts.abandonCalls {
		c.advanceAbandon(ts, ac, now)
	}
	ts.openCalls = filterInPlace(ts.openCalls, func(oc *openCall) bool { return !oc.ended })
	ts.pullCalls = filterInPlace(ts.pullCalls, func(pc *pullCall) bool { return !pc.ended })
	ts.abandonCalls = filterInPlace(ts.abandonCalls, func(ac *abandonCall) bool { return !ac.ended })
	ts.stateCalls = filterInPlace(ts.stateCalls, func(m stateCall) bool { return !c.completeState(ts, m, now) })
}

func filterInPlace[T any](list []T, keep func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	clear(list[len(kept):])
	return kept
}
