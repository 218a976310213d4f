package batch

import (
	"maps"
	"slices"

	"dotterelmount.example/api"
)

// State is the state after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	jobs          map[JobID]*jobState
	jobBytes      int // sizes of jobs
	upstreams     map[api.UpstreamID]*Upstream
	daemons       map[api.DaemonID]*Daemon
	pending       []*itemState          // open items without an upstream, in the order of comparePending
	latestItems   map[ItemID]*itemState // from the newest job that has the item
	placed        map[api.UpstreamID][]*itemState
	streams       map[api.RequestID]streamState
	unscored      []*itemState              // open items with a complete text, in the order of compareUnscored
	rewards       []Reward                  // of unscored; nil: to be rebuilt
	eventsPerJob  map[api.ModelName]float64 // moving average
	eventsPerItem map[api.ModelName]float64 // moving average over completed texts
	// rules are the rules of placement in force.
	rules int
	// fastest is the shortest event interval of each service, in microseconds; nil: to be
	// computed.
	fastest map[string]int64
	// placementDue is set when a change may allow a pending item to be placed.
	placementDue bool
}

// New returns an empty state.
func New() *State {
	return &State{
		jobs: make(map[JobID]*jobState), upstreams: make(map[api.UpstreamID]*Upstream),
		daemons:     make(map[api.DaemonID]*Daemon),
		streams:     make(map[api.RequestID]streamState),
		latestItems: make(map[ItemID]*itemState), placed: make(map[api.UpstreamID][]*itemState),
		eventsPerJob: make(map[api.ModelName]float64), eventsPerItem: make(map[api.ModelName]float64),
	}
}

// Upstream is an upstream and its current lease.
type Upstream struct {
	ID             api.UpstreamID
	Service        string
	Holder         api.DaemonID // empty: the holder left
	PreviousHolder api.DaemonID // empty: none, or it left
	LeaseOffset    Offset       // offset of the lease, its fencing token
	Slots          int
	Condition      Condition
	Models         []api.ModelName
	Software       string // version of the software
	Versions       map[api.ModelName]api.WeightVersion
	AssignedModel  api.ModelName // model whose new weight versions the upstream loads
	// EventIntervalMicros is the mean time between two events of a run, in
	// microseconds; 0: not measured.
	EventIntervalMicros int64
	// RequestLimit is the number of requests a second that the upstream takes from all
	// daemons together; 0: no limit.
	RequestLimit float64
}

// Daemon is the state of a daemon according to the journal.
type Daemon struct {
	StartMillis   int64  // newest start, in Unix milliseconds
	RenewalOffset Offset // offset of the newest renewal
	ConfigVersion uint64 // configuration version at that renewal
	Capacity      int    // in thousandths of a core; 0: not reported
	Address       string // where it takes requests of other daemons; empty: nowhere
	DataCentre    api.DataCentre
	CutOff        bool // it reaches no upstream
	RecordLevel   int  // as in DaemonAlive
	LevelInForce  int  // as in DaemonAlive
	ImageLevel    int  // as in DaemonAlive
	Left          bool
}

type jobState struct {
	job        *Job
	acceptedAt Offset // offset of the JobAccepted record
	service    string // whose upstreams run the items
	routedBy   uint64 // configuration version that moved the job there; 0: never moved
	items      map[ItemID]*itemState
	results    []*itemState // in listing order
	ended      bool
	meanOutput float64 // mean expected output of the items, in tokens
}

type itemState struct {
	job         *jobState
	index       int
	state       ItemState
	eventCount  int
	chunks      []ChunkRef // data of the events, in order
	versions    []api.WeightVersion
	software    string // version of the software that generated the events
	lastRun     string // ID of the run that generated the newest events
	failures    int
	groupOutput int            // longest expected output in the item's group, in tokens
	upstream    api.UpstreamID // where the item is placed; empty: nowhere
	movedFrom   api.UpstreamID // upstream of the newest ItemMoved record
	losses      int            // upstreams lost under runs without an event since the last one with any
	textDone    bool           // the text is complete
	score       string         // empty: none
	// rewardFailures counts the failure responses to the reward call. rewardDaemon is
	// the daemon that ran the item to its end; empty: unknown.
	rewardFailures int
	rewardDaemon   api.DaemonID
}

func (i *itemState) item() *Item { return &i.job.job.Items[i.index] }

// Apply applies the record at an offset and reports whether it changed the
// state.
func (s *State) Apply(at Offset, r Record) bool {
	done := s.apply(at, r)
	if done {
		s.placePending()
	}
	return done
}

func (s *State) apply(at Offset, r Record) bool {
	switch r := r.(type) {
	case *JobAccepted:
		return s.acceptJob(at, &r.Job)
	case *JobEnded:
		return s.endJob(r.ID)
	case *TextAdded:
		return s.addText(r)
	case *ItemFailed:
		return s.failItem(r)
	case *ItemScored:
		return s.scoreItem(r)
	case *RewardFailed:
		return s.failReward(r)
	case *ItemExpired:
		return s.expireItem(r)
	case *ItemMoved:
		return s.moveItem(r)
	case *DaemonAlive:
		return s.renewDaemon(at, r)
	case *DaemonLeft:
		return s.removeDaemon(r.Daemon)
	case *LeaseAcquired:
		return s.acquireLease(at, r)
	case *UpstreamRemoved:
		return s.removeUpstream(r)
	case *UpstreamChanged:
		return s.change(r)
	case *EventIntervalMeasured:
		return s.setEventInterval(r)
	case *RequestLimitNamed:
		return s.setRequestLimit(r)
	case *StreamBegan:
		return s.addStream(r)
	case *TextDropped:
		return s.dropStranded(r)
	case *JobRerouted:
		return s.rerouteJob(r)
	case *RulesRaised:
		return s.raiseRules(r)
	case *HomesSwapped:
		return s.swapHomes(r)
	}
	return false
}

func (s *State) acceptJob(at Offset, job *Job) bool {
	if _, ok := s.jobs[job.ID]; ok {
		return false
	}
	j := &jobState{job: job, acceptedAt: at, service: job.Service, items: make(map[ItemID]*itemState, len(job.Items))}
	s.jobs[job.ID] = j
	s.jobBytes += job.Size()
	for n := range job.Items {
		id := job.Items[n].ID
		if _, ok := j.items[id]; ok {
			continue // items with the same ID count as one
		}
		j.items[id] = &itemState{job: j, index: n}
	}
	j.setGroupOutput()
	j.setMeanOutput()
	for n := range job.Items {
		id := job.Items[n].ID
		i := j.items[id]
		if i.index != n {
			continue
		}
		s.reuseText(i, s.latestItems[id])
		s.latestItems[id] = i
		if i.state == ItemOpen && !i.textDone {
			s.addPending(i)
		}
	}
	return true
}

// reuseText copies the text of the same item in an earlier job if the weight
// versions that generated it are acceptable to the new job, and the score if the item
// has the same reward call. A customer gets no text of another one.
func (s *State) reuseText(i, earlier *itemState) {
	if earlier == nil || earlier.eventCount == 0 || earlier.state == ItemErrored || earlier.job.job.Model != i.job.job.Model ||
		earlier.job.job.Customer != i.job.job.Customer {
		return
	}
	if len(earlier.versions) == 0 || slices.Min(earlier.versions) < i.job.job.MinVersion || (i.job.job.SingleVersion && len(earlier.versions) > 1) {
		return
	}
	i.eventCount, i.chunks, i.versions = earlier.eventCount, slices.Clip(earlier.chunks), slices.Clip(earlier.versions)
	i.software = earlier.software
	if !earlier.textDone {
		return
	}
	if from, to := earlier.item().Scorer, i.item().Scorer; from != nil && to != nil && from.ID == to.ID {
		i.score = earlier.score
	}
	s.completeText(i)
}

func (s *State) endJob(id JobID) bool {
	j, ok := s.jobs[id]
	if !ok || j.ended {
		return false
	}
	j.ended = true
	for _, i := range j.items {
		s.unplace(i)
		s.removePending(i)
		s.removeUnscored(i)
	}
	s.recordWork(j)
	s.recordItemLength(j)
	s.rebalance(j.service)
	return true
}

func (s *State) rerouteJob(r *JobRerouted) bool {
	j, ok := s.jobs[r.Job]
	if !ok || j.ended || r.ConfigVersion <= j.routedBy || r.Service == j.service {
		return false
	}
	j.service, j.routedBy = r.Service, r.ConfigVersion
	s.placementDue = true
	return true
}

func (s *State) findItem(job JobID, item ItemID) *itemState {
	if j, ok := s.jobs[job]; ok {
		return j.items[item]
	}
	return nil
}

// findOpenItem returns an item that is still to be run, or nil.
func (s *State) findOpenItem(job JobID, item ItemID) *itemState {
	i := s.findItem(job, item)
	if i == nil || i.state != ItemOpen || i.job.ended {
		return nil
	}
	return i
}

// addText appends events that start exactly at the end of the text. They must
// come from the run that generated the end, or from one that resumed there with the same
// software.
func (s *State) addText(r *TextAdded) bool {
	i := s.findItem(r.Job, r.Item)
	if i == nil || i.state != ItemOpen || i.textDone || r.FirstEvent != i.eventCount {
		return false
	}
	if r.FirstEvent != r.RunStart && r.RunID != i.lastRun {
		return false
	}
	if i.eventCount > 0 && r.Software != i.software {
		return false
	}
	i.lastRun, i.software, i.losses = r.RunID, r.Software, 0
	i.eventCount += r.EventCount
	if r.Chunk.Records > 0 {
		i.chunks = append(i.chunks, r.Chunk)
	}
	for _, v := range r.Versions {
		if !slices.Contains(i.versions, v) {
			i.versions = append(i.versions, v)
		}
	}
	if r.Done {
		if u, ok := s.upstreams[i.upstream]; ok {
			i.rewardDaemon = u.Holder
		}
		s.completeText(i)
		return true
	}
	if u := s.upstreams[i.upstream]; u != nil && !u.continues(i) {
		s.unplace(i) // the late end of a run before the item was placed here
		s.addPending(i)
	}
	return true
}

// completeText lists an item whose text is complete, or requests its score first.
func (s *State) completeText(i *itemState) {
	i.textDone = true
	switch {
	case i.job.ended:
	case i.item().Scorer == nil || i.score != "":
		s.listResult(i, ItemCompleted)
	default:
		s.unplace(i)
		s.removePending(i)
		s.addUnscored(i)
	}
}

// listResult appends an item to the results of its job.
func (s *State) listResult(i *itemState, state ItemState) {
	i.state = state
	i.job.results = append(i.job.results, i)
	s.unplace(i)
	s.removePending(i)
	s.removeUnscored(i)
}

func (s *State) failItem(r *ItemFailed) bool {
	i := s.findOpenItem(r.Job, r.Item)
	if i == nil || i.textDone {
		return false
	}
	i.failures++
	if r.Final || i.failures >= i.job.job.MaxAttempts {
		s.listResult(i, ItemErrored)
	}
	return true
}

func (s *State) expireItem(r *ItemExpired) bool {
	i := s.findOpenItem(r.Job, r.Item)
	if i == nil {
		return false
	}
	s.listResult(i, ItemErrored)
	return true
}

func (s *State) moveItem(r *ItemMoved) bool {
	i := s.findItem(r.Job, r.Item)
	if i == nil || i.upstream != r.FromUpstream || r.FromUpstream == "" {
		return false
	}
	s.unplace(i)
	i.movedFrom = r.FromUpstream
	if r.UpstreamLost {
		i.losses++
	}
	s.addPending(i)
	return true
}

// unplace removes an item from its upstream.
func (s *State) unplace(i *itemState) {
	if i.upstream == "" {
		return
	}
	s.placed[i.upstream] = slices.DeleteFunc(s.placed[i.upstream], func(o *itemState) bool { return o == i })
	i.upstream = ""
	s.placementDue = true
}

func (s *State) renewDaemon(at Offset, r *DaemonAlive) bool {
	d, ok := s.daemons[r.Daemon]
	if !ok {
		d = &Daemon{}
		s.daemons[r.Daemon] = d
	}
	if r.StartMillis < d.StartMillis {
		return false // late record from an earlier process of the daemon
	}
	d.StartMillis, d.RenewalOffset, d.ConfigVersion, d.Capacity, d.Left = r.StartMillis, at, r.ConfigVersion, r.Capacity, false
	d.Address, d.DataCentre, d.CutOff = r.Address, r.DataCentre, r.CutOff
	d.RecordLevel, d.LevelInForce, d.ImageLevel = r.RecordLevel, r.LevelInForce, r.ImageLevel
	return true
}

func (s *State) removeDaemon(id api.DaemonID) bool {
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

func (s *State) acquireLease(at Offset, r *LeaseAcquired) bool {
	u, ok := s.upstreams[r.Upstream]
	if !ok {
		if r.PreviousLease != 0 {
			return false // the upstream was removed in the meantime
		}
		u = &Upstream{ID: r.Upstream}
		s.upstreams[r.Upstream] = u
	}
	if u.LeaseOffset != r.PreviousLease {
		return false
	}
	u.PreviousHolder = u.Holder
	s.fastest = nil
	u.Service, u.Holder, u.LeaseOffset, u.Slots, u.Models = r.Service, r.Daemon, at, r.Slots, r.Models
	s.placementDue = true
	s.setSoftware(u, r.Software)
	u.Condition = ConditionReady
	u.Versions = maps.Clone(r.Versions)
	if u.Versions == nil {
		u.Versions = make(map[api.ModelName]api.WeightVersion)
	}
	if !ok {
		u.AssignedModel = s.assignModel(u)
	}
	return true
}

// heldBy returns an upstream if the daemon holds its lease, else nil.
func (s *State) heldBy(d api.DaemonID, id api.UpstreamID) *Upstream {
	if u, ok := s.upstreams[id]; ok && u.Holder == d {
		return u
	}
	return nil
}

func (s *State) removeUpstream(r *UpstreamRemoved) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	for _, i := range slices.Clone(s.placed[r.Upstream]) {
		s.unplace(i)
		s.addPending(i)
	}
	delete(s.placed, r.Upstream)
	delete(s.upstreams, r.Upstream)
	s.fastest = nil
	s.rebalance(u.Service)
	return true
}

func (s *State) change(r *UpstreamChanged) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	s.placementDue = true
	u.Condition = r.Condition
	s.setSoftware(u, r.Software)
	for m, v := range r.Versions {
		u.Versions[m] = v
	}
	return true
}

func (s *State) setEventInterval(r *EventIntervalMeasured) bool {
	u := s.heldBy(r.Daemon, r.Upstream)
	if u == nil {
		return false
	}
	u.EventIntervalMicros = r.Micros
	s.fastest = nil
	return true
}
