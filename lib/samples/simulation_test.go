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
	// requestsPullNumber makes a restarted trainer request its last pull
	// number from a daemon instead of storing it.
	requestsPullNumber bool
}

func newSimulation() *simulation {
	sim := &simulation{
		inForceVersion: 1, engineVersion: 1, produced: map[string][]api.WeightVersion{}, used: map[samples.SlotRef]int{},
		versionAtHandOver: map[api.Offset]api.WeightVersion{}, lost: map[samples.SlotRef]bool{},
		parts: map[string]map[int]bool{},
	}
	for range 3 {
		sim.daemons = append(sim.daemons, newDaemon())
	}
	for i := range stepCount {
		sim.inFlight = append(sim.inFlight, sim.record(openStep(fmt.Sprintf("s%d", i))))
	}
	return sim
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

func (sim *simulation) record(b samples.RecordBody) samples.Record {
	sim.ids++
	return samples.Record{ID: api.RecordID(fmt.Sprint("r", sim.ids)), Body: b}
}

// appendToLog appends a record to the log and updates the highest version.
func (sim *simulation) appendToLog(r samples.Record) {
	at := api.Offset(len(sim.log) + 1)
	sim.log = append(sim.log, logEntry{at, r})
	switch b := r.Body.(type) {
	case samples.SampleDone:
		for _, v := range b.Sample.Versions {
			sim.highestVersion = max(sim.highestVersion, v)
		}
	case samples.HandOver:
		for _, l := range b.Limits {
			sim.highestVersion = max(sim.highestVersion, l.InForce)
		}
		sim.versionAtHandOver[at] = sim.highestVersion
	case samples.Checkpoint:
		if sim.parts[b.Key] == nil {
			sim.parts[b.Key] = map[int]bool{}
		}
		sim.parts[b.Key][b.Part] = true
		if len(sim.parts[b.Key]) == b.Parts && b.AppliedOffset >= sim.expired {
			sim.mayExpire = max(sim.mayExpire, b.AppliedOffset)
		}
	}
}

func (sim *simulation) behind(d *daemon) bool {
	return !d.replica.Synced() || int(d.replica.NextOffset()) <= len(sim.log)
}

func (sim *simulation) applyNext(d *daemon) {
	oldest, end := sim.expired+1, api.Offset(len(sim.log)+1)
	var records []samples.LoggedRecord
	if at := max(d.replica.NextOffset(), oldest); at < end {
		e := sim.log[at-1]
		records = append(records, samples.LoggedRecord{Offset: e.at, Record: e.rec})
	}
	for _, v := range d.replica.Feed(oldest, end, records) {
		pull, own := d.pulls[v.ID]
		delete(d.pulls, v.ID)
		if own && v.Err == nil {
			sim.responses = append(sim.responses, pullResponse{pull: pull, next: v.Offset, groups: v.Groups})
		}
	}
}

// checkpoint submits the parts of a checkpoint. The records that it covers may
// expire once all parts are logged.
func (sim *simulation) checkpoint(d *daemon) {
	if !d.replica.Synced() {
		return
	}
	img := d.stream().Image()
	state, err := samplecodec.EncodeImage(&img)
	if err != nil {
		panic(err)
	}
	sim.ids++
	parts, err := samples.SplitCheckpoint(fmt.Sprint("c", sim.ids), img.AppliedOffset, state, len(state)/3+1)
	if err != nil {
		panic(err)
	}
	for _, p := range parts {
		sim.inFlight = append(sim.inFlight, sim.record(p))
	}
}

// expire removes the records that the newest complete checkpoint covers.
func (sim *simulation) expire() { sim.expired = max(sim.expired, sim.mayExpire) }

func (sim *simulation) finishSample(d *daemon, pick func(n int) int) {
	open := d.stream().OpenSlots()
	if len(open) == 0 {
		return
	}
	o := open[pick(len(open))]
	versions := []api.WeightVersion{sim.engineVersion}
	if sim.engineVersion > 1 && pick(3) == 0 {
		versions = []api.WeightVersion{sim.engineVersion - 1, sim.engineVersion}
	}
	sim.ids++
	text := fmt.Sprint("t", sim.ids)
	sim.produced[text] = versions
	sample := samples.Sample{Text: text, Tokens: 1, Versions: versions}
	sim.inFlight = append(sim.inFlight, sim.record(samples.SampleDone{Slot: o.SlotRef, Model: model, Attempt: o.Attempt, Sample: sample}))
}

// sendPull sends a pull to a daemon, whose hand-over is appended later.
func (sim *simulation) sendPull(d *daemon) {
	sim.pull++
	sim.pullPending = true
	limit := func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return sim.inForceVersion, bound, true }
	h := d.stream().ComposeHandOver(sim.pull, sim.cursor, limit, 2)
	r := sim.record(h)
	d.pulls[r.ID] = sim.pull
	sim.inFlight = append(sim.inFlight, r)
}

func (sim *simulation) receiveResponse(t assertT, i int) {
	response := sim.responses[i]
	sim.responses = append(sim.responses[:i], sim.responses[i+1:]...)
	if response.pull != sim.pull {
		return
	}
	for _, g := range response.groups {
		for index, s := range g.Samples {
			ref := samples.SlotRef{Step: g.Step, Group: g.Group, Index: index}
			sim.used[ref]++
			assert.Equal(t, sim.used[ref], 1, "slot %v delivered twice", ref)
			assert.DeepEqual(t, s.Versions, sim.produced[s.Text])
			assert.Assert(t, uint64(sim.versionAtHandOver[response.next]-min(s.Oldest(), sim.versionAtHandOver[response.next])) <= bound)
		}
	}
	sim.cursor = response.next
	sim.acceptedResponses++
	sim.pullPending = false
}

// restartTrainer loses the trainer's volatile state. The pull number is durable
// unless requestsPullNumber is set.
func (sim *simulation) restartTrainer(d *daemon) {
	sim.pullPending = false
	if sim.requestsPullNumber {
		sim.pull = d.stream().PullNumber()
	}
}

type assertT interface {
	Helper()
	Log(args ...any)
	FailNow()
	Fail()
}

func (sim *simulation) randomAction(t assertT, pick func(n int) int) {
	d := sim.daemons[pick(len(sim.daemons))]
	switch pick(32) {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8, 9:
		for range pick(8) {
			sim.applyNext(d)
		}
	case 10, 30:
		sim.finishSample(d, pick)
	case 13, 27:
		if sim.pullPending && pick(8) > 0 {
			return // the trainer waits for the response; otherwise it gives up
		}
		sim.sendPull(d)
	case 15, 16, 17, 18, 19, 20, 21, 22:
		if len(sim.inFlight) > 0 {
			i := pick(len(sim.inFlight))
			sim.appendToLog(sim.inFlight[i])
			if pick(4) > 0 { // otherwise the append's response is lost and it is repeated
				sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
			}
		}
	case 23, 24, 25, 26:
		if len(sim.responses) > 0 {
			sim.receiveResponse(t, pick(len(sim.responses)))
		}
	case 14:
		if pick(2) == 0 {
			sim.inForceVersion++
		}
	case 28, 29:
		sim.engineVersion = sim.inForceVersion
	case 11:
		switch pick(4) {
		case 0:
			sim.checkpoint(d)
		case 1:
			sim.expire()
		case 2:
			sim.daemons[pick(len(sim.daemons))] = newDaemon()
		}
	case 12:
		if pick(16) == 0 {
			id := samples.StepID(fmt.Sprint("s", pick(stepCount)))
			sim.inFlight = append(sim.inFlight, sim.record(samples.StepAbandoned{Step: id, Actor: "t"}))
		}
	default:
		sim.restartTrainer(d)
	}
}

// runToCompletion stops the faults and requires that every sample is delivered
// or lost.
func (sim *simulation) runToCompletion(t assertT) {
	sim.engineVersion = sim.inForceVersion
	for round := 0; len(sim.used)+len(sim.lost) < stepCount*3 || round < 2; round++ {
		assert.Assert(t, round < 100, "not complete: delivered %v, lost %v", sim.used, sim.lost)
		for _, r := range sim.inFlight {
			sim.appendToLog(r)
		}
		sim.inFlight = nil
		for _, d := range sim.daemons {
			for sim.behind(d) {
				sim.applyNext(d)
			}
		}
		for len(sim.responses) > 0 {
			sim.receiveResponse(t, 0)
		}
		for range stepCount * 3 {
			sim.finishSample(sim.daemons[0], func(n int) int { return n - 1 })
		}
		sim.sendPull(sim.daemons[round%len(sim.daemons)])
		for _, ref := range sim.daemons[0].stream().Report().Lost {
			sim.lost[ref] = true
			assert.Equal(t, sim.used[ref], 0, "slot %v was delivered and is reported as lost", ref)
		}
	}
	last := sim.daemons[0].stream().Report()
	for _, d := range sim.daemons[1:] {
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
		sim := newSimulation()
		for range steps {
			sim.randomAction(t, random.IntN)
		}
		sim.runToCompletion(t)
	})
}

// Shows why the pull number must be durable. A restarted trainer that asks a
// daemon for its pull number may reuse one below that of a pull still in flight;
// the old pull then delivers samples that the trainer has already received. The
// test checks that the simulation can produce this fault.
func TestVolatilePullNumberDeliversTwice(t *testing.T) {
	sim := newSimulation()
	sim.requestsPullNumber = true
	d := sim.daemons[0]
	appendAll := func() {
		for _, r := range sim.inFlight {
			sim.appendToLog(r)
		}
		sim.inFlight = nil
		for sim.behind(d) {
			sim.applyNext(d)
		}
	}
	appendAll()
	for range stepCount * 3 {
		sim.finishSample(d, func(int) int { return 0 })
		appendAll()
	}
	sim.sendPull(d)
	sim.sendPull(d)
	stale := sim.inFlight[1]
	sim.inFlight = nil
	sim.restartTrainer(d)
	sim.sendPull(d)
	appendAll()
	sim.receiveResponse(t, 0)
	used := len(sim.used)
	sim.appendToLog(stale)
	appendAll()
	sim.sendPull(d)
	sim.sendPull(d)
	appendAll()
	again := sim.responses[len(sim.responses)-1]
	assert.Assert(t, used > 0)
	assert.Equal(t, sim.used[samples.SlotRef{Step: again.groups[0].Step, Group: again.groups[0].Group}], 1,
		"the delivered group is not handed over again")
}
