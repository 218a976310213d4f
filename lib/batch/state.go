package batch

import (
	"maps"
	"slices"

	"dotterelmount.example/api"
)

// State folds records. It is not safe for concurrent use.
type State struct {
	jobs      map[JobID]*jobState
	upstreams map[api.UpstreamID]*Upstream
	daemons   map[api.DaemonID]*Daemon
	pending   []*itemState          // open items of open jobs without an upstream, in the order of before
	latest    map[ItemID]*itemState // of the newest job that has the item
	placed    map[api.UpstreamID][]*itemState
	work      map[api.ModelName]float64 // events that a job of a model brings
	// stirred is set when a pending item may find an upstream that it did not
	// find before.
	stirred bool
}

// New returns an empty state.
func New() *State {
	return &State{
		jobs: make(map[JobID]*jobState), upstreams: make(map[api.UpstreamID]*Upstream),
		daemons: make(map[api.DaemonID]*Daemon),
		latest:  make(map[ItemID]*itemState), placed: make(map[api.UpstreamID][]*itemState),
		work: make(map[api.ModelName]float64),
	}
}

// Upstream is an upstream under a lease.
type Upstream struct {
	ID        api.UpstreamID
	Service   string
	Holder    api.DaemonID // empty: the holder left
	Before    api.DaemonID // the holder before; empty: none, or it left
	Taken     Offset       // of the lease; its fencing token
	Slots     int
	Condition Condition
	Models    []api.ModelName
	Versions  map[api.ModelName]api.WeightVersion
	Home      api.ModelName // the model whose new versions it takes
	// PaceMicros is the mean time between two events of a run; 0: not measured.
	PaceMicros int64
}

// Daemon is what the log says of a daemon.
type Daemon struct {
	Starts  int64  // its newest start, in Unix milliseconds
	Renewed Offset // its newest renewal
	Config  uint64 // version of the configuration it then had in force
	Left    bool
}

type jobState struct {
	job     *Job
	seq     Offset // of its acceptance
	items   map[ItemID]*itemState
	results []*itemState // in the order in which they were listed
	ended   bool
}

type itemState struct {
	job      *jobState
	index    int
	state    ItemState
	events   int
	chunks   []Chunk // of the events' data, in order
	versions []api.WeightVersion
	run      string // that made the newest events
	failures int
	longest  int            // most output that an item of its group is expected to have, in tokens
	upstream api.UpstreamID // that it is placed on; empty: none
	avoid    api.UpstreamID // that it was moved from last
}

func (i *itemState) item() *Item { return &i.job.job.Items[i.index] }

// Apply changes the state by the record at an offset. Records with no effect
// are ignored, and Apply reports whether there was one.
func (s *State) Apply(at Offset, r Record) bool {
	done := s.apply(at, r)
	if done {
		s.place()
	}
	return done
}

func (s *State) apply(at Offset, r Record) bool {
	switch r := r.(type) {
	case *JobAccepted:
		return s.accept(at, &r.Job)
	case *JobEnded:
		return s.end(r.ID)
	case *TextAdded:
		return s.addText(r)
	case *ItemFailed:
		return s.fail(r)
	case *ItemExpired:
		return s.expire(r)
	case *ItemMoved:
		return s.move(r)
	case *DaemonAlive:
		return s.renew(at, r)
	case *DaemonLeft:
		return s.leave(r.Daemon)
	case *LeaseTaken:
		return s.take(at, r)
	case *UpstreamGone:
		return s.remove(r)
	case *UpstreamChanged:
		return s.change(r)
	case *PaceMeasured:
		return s.measure(r)
	}
	return false
}

func (s *State) accept(at Offset, job *Job) bool {
	if _, ok := s.jobs[job.ID]; ok {
		return false
	}
	j := &jobState{job: job, seq: at, items: make(map[ItemID]*itemState, len(job.Items))}
	s.jobs[job.ID] = j
	for n := range job.Items {
		id := job.Items[n].ID
		if _, ok := j.items[id]; ok {
			continue // a name that stands twice is one item
		}
		j.items[id] = &itemState{job: j, index: n}
	}
	j.rankGroups()
	for n := range job.Items {
		id := job.Items[n].ID
		i := j.items[id]
		if i.index != n {
			continue
		}
		s.reuse(i, s.latest[id])
		s.latest[id] = i
		if i.state == ItemOpen {
			s.wait(i)
		}
	}
	return true
}

// reuse takes over the text that an earlier job's item has, where the
// versions that made it fit the new job.
func (s *State) reuse(i, earlier *itemState) {
	if earlier == nil || earlier.events == 0 || earlier.state == ItemErrored || earlier.job.job.Model != i.job.job.Model {
		return
	}
	if slices.Min(earlier.versions) < i.job.job.MinVersion || (i.job.job.SingleVersion && len(earlier.versions) > 1) {
		return
	}
	i.events, i.chunks, i.versions = earlier.events, slices.Clip(earlier.chunks), slices.Clip(earlier.versions)
	if earlier.state == ItemCompleted {
		s.list(i, ItemCompleted)
	}
}

func (s *State) end(id JobID) bool {
	j, ok := s.jobs[id]
	if !ok || j.ended {
		return false
	}
	j.ended = true
	for _, i := range j.items {
		s.unplace(i)
		s.unwait(i)
	}
	s.learn(j)
	s.balance(j.job.Service)
	return true
}

func (s *State) find(job JobID, item ItemID) *itemState {
	if j, ok := s.jobs[job]; ok {
		return j.items[item]
	}
	return nil
}

// open returns an item that is still to be run; nil: there is none such.
func (s *State) open(job JobID, item ItemID) *itemState {
	i := s.find(job, item)
	if i == nil || i.state != ItemOpen || i.job.ended {
		return nil
	}
	return i
}

// addText takes events that continue the text just where it ends: those of
// the run that made its end, or of one that was asked to go on from there.
func (s *State) addText(r *TextAdded) bool {
	i := s.find(r.Job, r.Item)
	if i == nil || i.state != ItemOpen || r.From != i.events {
		return false
	}
	if r.From != r.Start && r.Run != i.run {
		return false
	}
	i.run = r.Run
	i.events += r.Events
	if r.Chunk.Count > 0 {
		i.chunks = append(i.chunks, r.Chunk)
	}
	for _, v := range r.Versions {
		if !slices.Contains(i.versions, v) {
			i.versions = append(i.versions, v)
		}
	}
	if r.Done && !i.job.ended {
		s.list(i, ItemCompleted)
	}
	return true
}

// list gives an item its place among the results.
func (s *State) list(i *itemState, state ItemState) {
	i.state = state
	i.job.results = append(i.job.results, i)
	s.unplace(i)
	s.unwait(i)
}

func (s *State) fail(r *ItemFailed) bool {
	i := s.open(r.Job, r.Item)
	if i == nil {
		return false
	}
	i.failures++
	if r.Final || i.failures >= i.job.job.Attempts {
		s.list(i, ItemErrored)
	}
	return true
}

func (s *State) expire(r *ItemExpired) bool {
	i := s.open(r.Job, r.Item)
	if i == nil {
		return false
	}
	s.list(i, ItemErrored)
	return true
}

func (s *State) move(r *ItemMoved) bool {
	i := s.find(r.Job, r.Item)
	if i == nil || i.upstream != r.From || r.From == "" {
		return false
	}
	s.unplace(i)
	i.avoid = r.From
	s.wait(i)
	return true
}

// unplace takes an item off its upstream.
func (s *State) unplace(i *itemState) {
	if i.upstream == "" {
		return
	}
	s.placed[i.upstream] = slices.DeleteFunc(s.placed[i.upstream], func(o *itemState) bool { return o == i })
	i.upstream = ""
	s.stirred = true
}

func (s *State) renew(at Offset, r *DaemonAlive) bool {
	d, ok := s.daemons[r.Daemon]
	if !ok {
		d = &Daemon{}
		s.daemons[r.Daemon] = d
	}
	if r.Starts < d.Starts {
		return false // an earlier process of the same daemon
	}
	d.Starts, d.Renewed, d.Config, d.Left = r.Starts, at, r.Config, false
	return true
}

func (s *State) leave(id api.DaemonID) bool {
	d, ok := s.daemons[id]
	if !ok || d.Left {
		return false
	}
	d.Left = true
	for _, u := range s.upstreams {
		if u.Holder == id {
			u.Holder = ""
		}
	}
	return true
}

func (s *State) take(at Offset, r *LeaseTaken) bool {
	u, ok := s.upstreams[r.Upstream]
	if !ok {
		if r.Previous != 0 {
			return false // it was removed meanwhile
		}
		u = &Upstream{ID: r.Upstream}
		s.upstreams[r.Upstream] = u
	}
	if u.Taken != r.Previous {
		return false
	}
	u.Before = u.Holder
	u.Service, u.Holder, u.Taken, u.Slots, u.Models = r.Service, r.Daemon, at, r.Slots, r.Models
	s.stirred = true
	u.Condition = ConditionReady
	u.Versions = maps.Clone(r.Versions)
	if u.Versions == nil {
		u.Versions = make(map[api.ModelName]api.WeightVersion)
	}
	if !ok {
		u.Home = s.newHome(u)
	}
	return true
}

// heldBy returns an upstream if a daemon holds it, else nil.
func (s *State) heldBy(d api.DaemonID, id api.UpstreamID) *Upstream {
	if u, ok := s.upstreams[id]; ok && u.Holder == d {
		return u
	}
	return nil
}

func (s *State) remove(r *UpstreamGone) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	for _, i := range slices.Clone(s.placed[r.Upstream]) {
		s.unplace(i)
		s.wait(i)
	}
	delete(s.placed, r.Upstream)
	delete(s.upstreams, r.Upstream)
	s.balance(u.Service)
	return true
}

func (s *State) change(r *UpstreamChanged) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	s.stirred = true
	u.Condition = r.Condition
	for m, v := range r.Versions {
		u.Versions[m] = v
	}
	return true
}

func (s *State) measure(r *PaceMeasured) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	u.PaceMicros = r.Micros
	return true
}
