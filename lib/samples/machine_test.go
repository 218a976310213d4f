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

type logged struct {
	at  api.Offset
	rec samples.Record
}

// daemon folds the log up to its own position, behind the others at will.
type daemon struct {
	replica *samples.Replica
	waiting map[api.RecordID]uint64 // own hand-overs not yet folded
}

func newDaemon() *daemon {
	return &daemon{replica: samples.NewReplica(samplecodec.DecodeImage), waiting: map[api.RecordID]uint64{}}
}

func (d *daemon) stream() *samples.Stream { return d.replica.Stream() }

type answer struct {
	pull   uint64
	next   api.Offset
	groups []samples.Group
}

// machine holds a log, daemons that lag, appends in flight, answers in flight,
// and a model trainer that takes an answer only for its latest pull.
type machine struct {
	log      []logged
	inFlight []samples.Record
	daemons  []*daemon
	answers  []answer
	announce api.WeightVersion
	engine   api.WeightVersion
	ids      int
	made     map[string][]api.WeightVersion // text to versions, as produced

	// durable state of the trainer
	cursor api.Offset
	pull   uint64
	used   map[samples.SlotRef]int
	// highest version that the log names up to each hand-over
	highest map[api.Offset]api.WeightVersion
	top     api.WeightVersion
	taken   int                      // answers taken
	asked   bool                     // a pull is out
	lost    map[samples.SlotRef]bool // by the reports of the daemons
	// records up to expired are gone; those up to mayExpire are in a checkpoint
	expired, mayExpire api.Offset
	parts              map[string]map[int]bool
	// forgetful trainers ask a daemon for the last pull after a restart
	forgetful bool
}

func newMachine() *machine {
	m := &machine{
		announce: 1, engine: 1, made: map[string][]api.WeightVersion{}, used: map[samples.SlotRef]int{},
		highest: map[api.Offset]api.WeightVersion{}, lost: map[samples.SlotRef]bool{},
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

func (m *machine) record(b samples.RecordBody) samples.Record {
	m.ids++
	return samples.Record{ID: api.RecordID(fmt.Sprint("r", m.ids)), Body: b}
}

// land appends a record to the log and notes the highest version logged by then.
func (m *machine) land(r samples.Record) {
	at := api.Offset(len(m.log) + 1)
	m.log = append(m.log, logged{at, r})
	switch b := r.Body.(type) {
	case samples.SampleDone:
		for _, v := range b.Sample.Versions {
			m.top = max(m.top, v)
		}
	case samples.HandOver:
		for _, l := range b.Limits {
			m.top = max(m.top, l.InForce)
		}
		m.highest[at] = m.top
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

func (m *machine) behind(d *daemon) bool {
	return !d.replica.Synced() || int(d.replica.NextOffset()) <= len(m.log)
}

func (m *machine) fold(d *daemon) {
	oldest, end := m.expired+1, api.Offset(len(m.log)+1)
	var records []samples.LoggedRecord
	if at := max(d.replica.NextOffset(), oldest); at < end {
		e := m.log[at-1]
		records = append(records, samples.LoggedRecord{Offset: e.at, Record: e.rec})
	}
	for _, v := range d.replica.Feed(oldest, end, records) {
		pull, own := d.waiting[v.ID]
		delete(d.waiting, v.ID)
		if own && v.Err == nil {
			m.answers = append(m.answers, answer{pull: pull, next: v.Offset, groups: v.Groups})
		}
	}
}

// checkpoint sends the parts of one; what is in the log already may expire
// once all of them are.
func (m *machine) checkpoint(d *daemon) {
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

// expire drops the front of the log, up to the newest complete checkpoint.
func (m *machine) expire() { m.expired = max(m.expired, m.mayExpire) }

func (m *machine) finish(d *daemon, pick func(n int) int) {
	open := d.stream().OpenSlots()
	if len(open) == 0 {
		return
	}
	o := open[pick(len(open))]
	versions := []api.WeightVersion{m.engine}
	if m.engine > 1 && pick(3) == 0 {
		versions = []api.WeightVersion{m.engine - 1, m.engine}
	}
	m.ids++
	text := fmt.Sprint("t", m.ids)
	m.made[text] = versions
	sample := samples.Sample{Text: text, Tokens: 1, Versions: versions}
	m.inFlight = append(m.inFlight, m.record(samples.SampleDone{Slot: o.SlotRef, Model: model, Attempt: o.Attempt, Sample: sample}))
}

// ask sends a pull to a daemon, which appends its hand-over some time later.
func (m *machine) ask(d *daemon) {
	m.pull++
	m.asked = true
	limit := func(*samples.StepOpened) (api.WeightVersion, uint64, bool) { return m.announce, bound, true }
	h := d.stream().ComposeHandOver(m.pull, m.cursor, limit, 2)
	r := m.record(h)
	d.waiting[r.ID] = m.pull
	m.inFlight = append(m.inFlight, r)
}

func (m *machine) take(t assertT, i int) {
	a := m.answers[i]
	m.answers = append(m.answers[:i], m.answers[i+1:]...)
	if a.pull != m.pull {
		return
	}
	for _, g := range a.groups {
		for index, s := range g.Samples {
			ref := samples.SlotRef{Step: g.Step, Group: g.Group, Index: index}
			m.used[ref]++
			assert.Equal(t, m.used[ref], 1, "slot %v used again", ref)
			assert.DeepEqual(t, s.Versions, m.made[s.Text])
			assert.Assert(t, uint64(m.highest[a.next]-min(s.Oldest(), m.highest[a.next])) <= bound)
		}
	}
	m.cursor = a.next
	m.taken++
	m.asked = false
}

// restart loses what is in memory; only a durable pull number is kept.
func (m *machine) restart(d *daemon) {
	m.asked = false
	if m.forgetful {
		m.pull = d.stream().PullNumber()
	}
}

type assertT interface {
	Helper()
	Log(args ...any)
	FailNow()
	Fail()
}

func (m *machine) step(t assertT, pick func(n int) int) {
	d := m.daemons[pick(len(m.daemons))]
	switch pick(32) {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8, 9:
		for range pick(8) {
			m.fold(d)
		}
	case 10, 30:
		m.finish(d, pick)
	case 13, 27:
		if m.asked && pick(8) > 0 {
			return // waits for the answer; else it gives up waiting
		}
		m.ask(d)
	case 15, 16, 17, 18, 19, 20, 21, 22:
		if len(m.inFlight) > 0 {
			i := pick(len(m.inFlight))
			m.land(m.inFlight[i])
			if pick(4) > 0 { // otherwise the append's answer was lost and it is repeated
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			}
		}
	case 23, 24, 25, 26:
		if len(m.answers) > 0 {
			m.take(t, pick(len(m.answers)))
		}
	case 14:
		if pick(2) == 0 {
			m.announce++
		}
	case 28, 29:
		m.engine = m.announce
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
		m.restart(d)
	}
}

// settle ends the faults and expects every sample to be delivered.
func (m *machine) settle(t assertT) {
	m.engine = m.announce
	for round := 0; len(m.used)+len(m.lost) < stepCount*3 || round < 2; round++ {
		assert.Assert(t, round < 100, "not whole: %v, lost %v", m.used, m.lost)
		for _, r := range m.inFlight {
			m.land(r)
		}
		m.inFlight = nil
		for _, d := range m.daemons {
			for m.behind(d) {
				m.fold(d)
			}
		}
		for len(m.answers) > 0 {
			m.take(t, 0)
		}
		for range stepCount * 3 {
			m.finish(m.daemons[0], func(n int) int { return n - 1 })
		}
		m.ask(m.daemons[round%len(m.daemons)])
		for _, ref := range m.daemons[0].stream().Report().Lost {
			m.lost[ref] = true
			assert.Equal(t, m.used[ref], 0, "slot %v was used and is called lost", ref)
		}
	}
	last := m.daemons[0].stream().Report()
	for _, d := range m.daemons[1:] {
		assert.DeepEqual(t, d.stream().Report(), last)
	}
}

// The interleavings come from a drawn seed: rapid's own integers favour small
// values, which starves most of the actions.
func TestExactlyOnceUnderInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(0, 1600).Draw(t, "steps")
		random := rand.New(rand.NewPCG(seed, 0))
		m := newMachine()
		for range steps {
			m.step(t, random.IntN)
		}
		m.settle(t)
	})
}

// A trainer that lets the service tell its pull number may send one below a
// number that its earlier life has in flight: the old pull then returns samples
// that the new life took already. The pull number has to be durable, and the
// machine must be able to show why.
func TestForgottenPullNumberUsesSampleTwice(t *testing.T) {
	m := newMachine()
	m.forgetful = true
	d := m.daemons[0]
	landAll := func() {
		for _, r := range m.inFlight {
			m.land(r)
		}
		m.inFlight = nil
		for m.behind(d) {
			m.fold(d)
		}
	}
	landAll()
	for range stepCount * 3 {
		m.finish(d, func(int) int { return 0 })
		landAll()
	}
	m.ask(d)
	m.ask(d)
	zombie := m.inFlight[1]
	m.inFlight = nil
	m.restart(d)
	m.ask(d)
	landAll()
	m.take(t, 0)
	used := len(m.used)
	m.land(zombie)
	landAll()
	m.ask(d)
	m.ask(d)
	landAll()
	again := m.answers[len(m.answers)-1]
	assert.Assert(t, used > 0)
	assert.Equal(t, m.used[samples.SlotRef{Step: again.groups[0].Step, Group: again.groups[0].Group}], 1,
		"the group that was used already is handed again")
}
