package samples_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
	"dotterelmount.example/lib/work"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	model     = api.ModelName("m")
	stepCount = 12
	bound     = uint64(1)
)

type logEntry struct {
	at  api.Offset
	rec samples.Record
}

// daemon applies the log up to its own position and may lag behind the others.
type daemon struct {
	replica *samples.Replica
	pulls   map[api.RecordID]uint64 // pull numbers of own hand-overs not applied yet
}

func newDaemon() *daemon {
	return &daemon{replica: samples.NewReplica(samplecodec.DecodeImage), pulls: map[api.RecordID]uint64{}}
}

func (d *daemon) stream() *samples.Stream { return d.replica.Stream() }

type pullResponse struct {
	pull   uint64
	next   api.Offset
	groups []samples.Group
}

// simulation has a log, daemons that lag, appends and responses in flight, and a
// trainer that accepts only the response to its latest pull.
type simulation struct {
	log            []logEntry
	inFlight       []samples.Record
	daemons        []*daemon
	responses      []pullResponse
	inForceVersion api.WeightVersion
	engineVersion  api.WeightVersion
	ids            int
	produced       map[string][]api.WeightVersion // versions by sample text

	// Durable state of the trainer.
	cursor api.Offset
	pull   uint64
	used   map[samples.SlotRef]int
	// versionAtHandOver is the highest version in the log up to each hand-over.
	versionAtHandOver map[api.Offset]api.WeightVersion
	highestVersion    api.WeightVersion
	acceptedResponses int
	pullPending       bool
	lost              map[samples.SlotRef]bool // as reported by daemons
	// Records up to expired are removed. Those up to mayExpire are covered by a
	// complete checkpoint.
	expired, mayExpire api.Offset
	parts              map[string]map[int]bool
	// asksPullNumber makes a restarted trainer ask a daemon for its last pull
	// number instead of storing it.
	asksPullNumber bool
}

func newSimulation() *simulation {
	m := &simulation{
		inForceVersion: 1, engineVersion: 1, produced: map[string][]api.WeightVersion{}, used: map[samples.SlotRef]int{},
		versionAtHandOver: map[api.Offset]api.WeightVersion{}, lost: map[samples.SlotRef]bool{},
		parts: map[string]map[int]bool{},
	}
	for range 3 {
		m.daemons = append(m.daemons, newDaemon())
	}
	for i := range stepCount {
		m.inFlight = append(m.inFlight, m.record(openStep(fmt.Sprintf("s%d", i))))
	}
	return m
}

func openStep(id string) samples.StepOpened {
	prompt := []work.Message{{Role: "user", Content: "hi"}}
	return samples.StepOpened{
		Step: samples.StepID(id), Model: model, Customer: "c", Plan: "p",
		Groups: []samples.GroupSpec{
			{ID: "g0", Messages: prompt, N: 1, MaxTokens: 8},
			{ID: "g1", Messages: prompt, N: 2, MaxTokens: 8},
		},
	}
}

func (m *simulation) record(b samples.RecordBody) samples.Record {
	m.ids++
	return samples.Record{ID: api.RecordID(fmt.Sprint("r", m.ids)), Body: b}
}

// appendToLog appends a record to the log and updates the highest version.
func (m *simulation) appendToLog(r samples.Record) {
	at := api.Offset(len(m.log) + 1)
	m.log = append(m.log, logEntry{at, r})
	switch b := r.Body.(type) {
	case samples.SampleDone:
		for _, v := range b.Sample.Versions {
			m.highestVersion = max(m.highestVersion, v)
		}
	case samples.HandOver:
		for _, l := range b.Limits {
			m.highestVersion = max(m.highestVersion, l.InForce)
		}
		m.versionAtHandOver[at] = m.highestVersion
	case samples.Checkpoint:
		if m.parts[b.Key] == nil {
			m.parts[b.Key] = map[int]bool{}
		}
		m.parts[b.Key][b.Part] = true
		if len(m.parts[b.Key]) == b.Parts && b.AppliedOffset >= m.expired {
			m.mayExpire = max(m.mayExpire, b.AppliedOffset)
		}
	}
}

func (m *simulation) behind(d *daemon) bool {
	return !d.replica.Synced() || int(d.replica.NextOffset()) <= len(m.log)
}

func (m *simulation) applyNext(d *daemon) {
	oldest, end := m.expired+1, api.Offset(len(m.log)+1)
	var records []samples.LoggedRecord
	if at := max(d.replica.NextOffset(), oldest); at < end {
		e := m.log[at-1]
		records = append(records, samples.LoggedRecord{Offset: e.at, Record: e.rec})
	}
	for _, v := range d.replica.Feed(oldest, end, records) {
		pull, own := d.pulls[v.ID]
		delete(d.pulls, v.ID)
		if own && v.Err == nil {
			m.responses = append(m.responses, pullResponse{pull: pull, next: v.Offset, groups: v.Groups})
		}
	}
}

// checkpoint submits the parts of a checkpoint. The records that it covers may
// expire once all parts are logged.
func (m *simulation) checkpoint(d *daemon) {
	if !d.replica.Synced() {
		return
	}
	img := d.stream().Image()
	state, err := samplecodec.EncodeImage(&img)
	if err != nil {
		panic(err)
	}
	m.ids++
	parts, err := samples.SplitCheckpoint(fmt.Sprint("c", m.ids), img.AppliedOffset, state, len(state)/3+1)
	if err != nil {
		panic(err)
	}
	for _, p := range parts {
		m.inFlight = append(m.inFlight, m.record(p))
	}
}

// expire removes the records that the newest complete checkpoint covers.
func (m *simulation) expire() { m.expired = max(m.expired, m.mayExpire) }

func (m *simulation) finishSample(d *daemon, pick func(n int) int) {
	open := d.stream().OpenSlots()
	if len(open) == 0 {
		return
	}
	o := open[pick(len(open))]
	versions := []api.WeightVersion{m.engineVersion}
	if m.engineVersion > 1 && pick(3) == 0 {
		versions = []api.WeightVersion{m.engineVersion - 1, m.engineVersion}
	}
	m.ids++
	text := fmt.Sprint("t", m.ids)
	m.produced[text] = versions
	sample := samples.Sample{Text: text, Tokens: 1, Versions: versions}
	m.inFlight = append(m.inFlight, m.record(samples.SampleDone{Slot: o.SlotRef, Model: model, Attempt: o.Attempt, Sample: sample}))
}

// sendPull sends a pull to a daemon, whose hand-over is appended later.
func (m *simulation) sendPull(d *daemon) {
	m.pull++
	m.pullPending = true
	limit := func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return m.inForceVersion, bound, true }
	h := d.stream().ComposeHandOver(m.pull, m.cursor, limit, 2)
	r := m.record(h)
	d.pulls[r.ID] = m.pull
	m.inFlight = append(m.inFlight, r)
}

func (m *simulation) receiveResponse(t assertT, i int) {
	a := m.responses[i]
	m.responses = append(m.responses[:i], m.responses[i+1:]...)
	if a.pull != m.pull {
		return
	}
	for _, g := range a.groups {
		for index, s := range g.Samples {
			ref := samples.SlotRef{Step: g.Step, Group: g.Group, Index: index}
			m.used[ref]++
			assert.Equal(t, m.used[ref], 1, "slot %v delivered twice", ref)
			assert.DeepEqual(t, s.Versions, m.produced[s.Text])
			assert.Assert(t, uint64(m.versionAtHandOver[a.next]-min(s.Oldest(), m.versionAtHandOver[a.next])) <= bound)
		}
	}
	m.cursor = a.next
	m.acceptedResponses++
	m.pullPending = false
}

// restartTrainer loses the trainer's volatile state. The pull number is durable
// unless asksPullNumber is set.
func (m *simulation) restartTrainer(d *daemon) {
	m.pullPending = false
	if m.asksPullNumber {
		m.pull = d.stream().PullNumber()
	}
}

type assertT interface {
	Helper()
	Log(args ...any)
	FailNow()
	Fail()
}

func (m *simulation) randomAction(t assertT, pick func(n int) int) {
	d := m.daemons[pick(len(m.daemons))]
	switch pick(32) {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8, 9:
		for range pick(8) {
			m.applyNext(d)
		}
	case 10, 30:
		m.finishSample(d, pick)
	case 13, 27:
		if m.pullPending && pick(8) > 0 {
			return // the trainer waits for the response; otherwise it gives up
		}
		m.sendPull(d)
	case 15, 16, 17, 18, 19, 20, 21, 22:
		if len(m.inFlight) > 0 {
			i := pick(len(m.inFlight))
			m.appendToLog(m.inFlight[i])
			if pick(4) > 0 { // otherwise the append's response is lost and it is repeated
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			}
		}
	case 23, 24, 25, 26:
		if len(m.responses) > 0 {
			m.receiveResponse(t, pick(len(m.responses)))
		}
	case 14:
		if pick(2) == 0 {
			m.inForceVersion++
		}
	case 28, 29:
		m.engineVersion = m.inForceVersion
	case 11:
		switch pick(4) {
		case 0:
			m.checkpoint(d)
		case 1:
			m.expire()
		case 2:
			m.daemons[pick(len(m.daemons))] = newDaemon()
		}
	case 12:
		if pick(16) == 0 {
			id := samples.StepID(fmt.Sprint("s", pick(stepCount)))
			m.inFlight = append(m.inFlight, m.record(samples.StepAbandoned{Step: id, Actor: "t"}))
		}
	default:
		m.restartTrainer(d)
	}
}

// runToCompletion stops the faults and requires that every sample is delivered
// or lost.
func (m *simulation) runToCompletion(t assertT) {
	m.engineVersion = m.inForceVersion
	for round := 0; len(m.used)+len(m.lost) < stepCount*3 || round < 2; round++ {
		assert.Assert(t, round < 100, "not complete: delivered %v, lost %v", m.used, m.lost)
		for _, r := range m.inFlight {
			m.appendToLog(r)
		}
		m.inFlight = nil
		for _, d := range m.daemons {
			for m.behind(d) {
				m.applyNext(d)
			}
		}
		for len(m.responses) > 0 {
			m.receiveResponse(t, 0)
		}
		for range stepCount * 3 {
			m.finishSample(m.daemons[0], func(n int) int { return n - 1 })
		}
		m.sendPull(m.daemons[round%len(m.daemons)])
		for _, ref := range m.daemons[0].stream().Report().Lost {
			m.lost[ref] = true
			assert.Equal(t, m.used[ref], 0, "slot %v was delivered and is reported as lost", ref)
		}
	}
	last := m.daemons[0].stream().Report()
	for _, d := range m.daemons[1:] {
		assert.DeepEqual(t, d.stream().Report(), last)
	}
}

// The interleavings come from a drawn seed, because rapid's integers favour
// small values, with which most actions would be rare.
func TestExactlyOnceDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(0, 1600).Draw(t, "steps")
		random := rand.New(rand.NewPCG(seed, 0))
		m := newSimulation()
		for range steps {
			m.randomAction(t, random.IntN)
		}
		m.runToCompletion(t)
	})
}

// Shows why the pull number must be durable. A restarted trainer that asks a
// daemon for its pull number may reuse one below that of a pull still in flight;
// the old pull then delivers samples that the trainer has already received. The
// test checks that the simulation can produce this fault.
func TestVolatilePullNumberDeliversTwice(t *testing.T) {
	m := newSimulation()
	m.asksPullNumber = true
	d := m.daemons[0]
	appendAll := func() {
		for _, r := range m.inFlight {
			m.appendToLog(r)
		}
		m.inFlight = nil
		for m.behind(d) {
			m.applyNext(d)
		}
	}
	appendAll()
	for range stepCount * 3 {
		m.finishSample(d, func(int) int { return 0 })
		appendAll()
	}
	m.sendPull(d)
	m.sendPull(d)
	stale := m.inFlight[1]
	m.inFlight = nil
	m.restartTrainer(d)
	m.sendPull(d)
	appendAll()
	m.receiveResponse(t, 0)
	used := len(m.used)
	m.appendToLog(stale)
	appendAll()
	m.sendPull(d)
	m.sendPull(d)
	appendAll()
	again := m.responses[len(m.responses)-1]
	assert.Assert(t, used > 0)
	assert.Equal(t, m.used[samples.SlotRef{Step: again.groups[0].Step, Group: again.groups[0].Group}], 1,
		"the delivered group is not handed over again")
}
