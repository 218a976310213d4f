package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dotterelmount.example/api"
)

// ImageLevel is the level of the images that this build writes and reads. A field that
// another build would lose takes a new level.
const ImageLevel = 2

// Image is a complete state in encodable form, for checkpoints. It shares immutable data
// with the state that it was taken from.
type Image struct {
	Jobs          []JobImage                `msgpack:"j"` // in order of acceptance
	Upstreams     []Upstream                `msgpack:"u"`
	Daemons       map[api.DaemonID]Daemon   `msgpack:"d"`
	Streams       []StreamImage             `msgpack:"s"`
	EventsPerJob  map[api.ModelName]float64 `msgpack:"ej"`
	EventsPerItem map[api.ModelName]float64 `msgpack:"ei"`
	PlacementDue  bool                      `msgpack:"p"`
	Rules         int                       `msgpack:"r,omitempty"`
}

// JobImage is a job in an Image.
type JobImage struct {
	Job        *Job        `msgpack:"j"`
	AcceptedAt Offset      `msgpack:"a"`
	Service    string      `msgpack:"s"`
	RoutedBy   uint64      `msgpack:"r,omitempty"`
	Ended      bool        `msgpack:"e,omitempty"`
	Items      []ItemImage `msgpack:"i"` // one for each distinct item ID
	Results    []int       `msgpack:"l"` // indexes of the listed items, in listing order
}

// ItemImage is the state of an item in an Image.
type ItemImage struct {
	Index          int                 `msgpack:"n"` // in the job's items
	State          ItemState           `msgpack:"s,omitempty"`
	Newest         bool                `msgpack:"w,omitempty"` // of all items with its ID
	EventCount     int                 `msgpack:"e,omitempty"`
	Chunks         []ChunkRef          `msgpack:"c,omitempty"`
	Versions       []api.WeightVersion `msgpack:"v,omitempty"`
	Software       string              `msgpack:"sw,omitempty"`
	LastRun        string              `msgpack:"r,omitempty"`
	Failures       int                 `msgpack:"f,omitempty"`
	Upstream       api.UpstreamID      `msgpack:"u,omitempty"`
	MovedFrom      api.UpstreamID      `msgpack:"m,omitempty"`
	Losses         int                 `msgpack:"lo,omitempty"`
	TextDone       bool                `msgpack:"d,omitempty"`
	Score          string              `msgpack:"sc,omitempty"`
	RewardFailures int                 `msgpack:"rf,omitempty"`
	RewardDaemon   api.DaemonID        `msgpack:"rd,omitempty"`
}

// StreamImage is a stream in an Image.
type StreamImage struct {
	Request  api.RequestID `msgpack:"i"`
	Service  string        `msgpack:"svc"`
	Software string        `msgpack:"sw"`
	AtMillis int64         `msgpack:"at"`
}

// ImageError reports an image that no state has.
type ImageError struct{ Reason string }

// Error implements error.
func (e *ImageError) Error() string { return "image of a state: " + e.Reason }

func imageErrorf(format string, args ...any) error {
	return &ImageError{Reason: fmt.Sprintf(format, args...)}
}

// Image returns the state as an image, which later records don't change.
func (s *State) Image() *Image {
	img := &Image{
		Upstreams: s.Upstreams(), Daemons: make(map[api.DaemonID]Daemon, len(s.daemons)),
		EventsPerJob: maps.Clone(s.eventsPerJob), EventsPerItem: maps.Clone(s.eventsPerItem), PlacementDue: s.placementDue, Rules: s.rules,
	}
	for id, d := range s.daemons {
		img.Daemons[id] = *d
	}
	for id, stream := range s.streams {
		img.Streams = append(img.Streams, StreamImage{Request: id, Service: stream.service, Software: stream.software, AtMillis: stream.atMillis})
	}
	slices.SortFunc(img.Streams, func(a, b StreamImage) int { return cmp.Compare(a.Request, b.Request) })
	for _, j := range s.jobs {
		img.Jobs = append(img.Jobs, s.jobImage(j))
	}
	slices.SortFunc(img.Jobs, func(a, b JobImage) int { return cmp.Compare(a.AcceptedAt, b.AcceptedAt) })
	return img
}

func (s *State) jobImage(j *jobState) JobImage {
	img := JobImage{Job: j.job, AcceptedAt: j.acceptedAt, Service: j.service, RoutedBy: j.routedBy, Ended: j.ended}
	for _, i := range j.items {
		img.Items = append(img.Items, ItemImage{
			Index: i.index, State: i.state, Newest: s.latestItems[i.item().ID] == i, EventCount: i.eventCount,
			Chunks: slices.Clip(i.chunks), Versions: slices.Clip(i.versions), Software: i.software, LastRun: i.lastRun,
			Failures: i.failures, Upstream: i.upstream, MovedFrom: i.movedFrom, Losses: i.losses, TextDone: i.textDone, Score: i.score,
			RewardFailures: i.rewardFailures, RewardDaemon: i.rewardDaemon,
		})
	}
	slices.SortFunc(img.Items, func(a, b ItemImage) int { return cmp.Compare(a.Index, b.Index) })
	for _, i := range j.results {
		img.Results = append(img.Results, i.index)
	}
	return img
}

// FromImage returns the state of an image. It takes over the image's data. Errors:
// *ImageError.
func FromImage(img *Image) (*State, error) {
	s := New()
	s.placementDue, s.rules = img.PlacementDue, img.Rules
	maps.Copy(s.eventsPerJob, img.EventsPerJob)
	maps.Copy(s.eventsPerItem, img.EventsPerItem)
	for id, d := range img.Daemons {
		s.daemons[id] = &d
	}
	for _, u := range img.Upstreams {
		if _, ok := s.upstreams[u.ID]; ok {
			return nil, imageErrorf("upstream %q twice", u.ID)
		}
		if u.Versions == nil {
			u.Versions = make(map[api.ModelName]api.WeightVersion)
		}
		s.upstreams[u.ID] = &u
	}
	for _, stream := range img.Streams {
		s.streams[stream.Request] = streamState{service: stream.Service, software: stream.Software, atMillis: stream.AtMillis}
	}
	for n := range img.Jobs {
		if err := s.addJobImage(&img.Jobs[n]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(s.pending, comparePending)
	slices.SortFunc(s.unscored, compareUnscored)
	return s, nil
}

func (s *State) addJobImage(img *JobImage) error {
	if img.Job == nil {
		return imageErrorf("a job without its definition")
	}
	if s.jobs[img.Job.ID] != nil {
		return imageErrorf("job %q twice", img.Job.ID)
	}
	j := &jobState{
		job: img.Job, acceptedAt: img.AcceptedAt, service: img.Service, routedBy: img.RoutedBy, ended: img.Ended,
		items: make(map[ItemID]*itemState, len(img.Items)),
	}
	s.jobs[img.Job.ID] = j
	s.jobBytes += img.Job.Size()
	for n := range img.Items {
		if err := s.addItemImage(j, &img.Items[n]); err != nil {
			return err
		}
	}
	for n := range img.Job.Items {
		if j.items[img.Job.Items[n].ID] == nil {
			return imageErrorf("job %q: item %q is missing", img.Job.ID, img.Job.Items[n].ID)
		}
	}
	for _, index := range img.Results {
		if index < 0 || index >= len(img.Job.Items) {
			return imageErrorf("job %q: result %d of %d items", img.Job.ID, index, len(img.Job.Items))
		}
		j.results = append(j.results, j.items[img.Job.Items[index].ID])
	}
	j.setGroupOutput()
	j.setMeanOutput()
	s.queueItems(j)
	return j.checkResults()
}

func (s *State) addItemImage(j *jobState, img *ItemImage) error {
	if img.Index < 0 || img.Index >= len(j.job.Items) {
		return imageErrorf("job %q: item %d of %d", j.job.ID, img.Index, len(j.job.Items))
	}
	id := j.job.Items[img.Index].ID
	if j.items[id] != nil {
		return imageErrorf("job %q: item %q twice", j.job.ID, id)
	}
	if img.TextDone && img.State == ItemOpen && !j.ended && j.job.Items[img.Index].Scorer == nil {
		return imageErrorf("job %q: item %q waits for a score without a scorer", j.job.ID, id)
	}
	i := &itemState{
		job: j, index: img.Index, state: img.State, eventCount: img.EventCount, chunks: img.Chunks, versions: img.Versions,
		software: img.Software, lastRun: img.LastRun, failures: img.Failures, upstream: img.Upstream, movedFrom: img.MovedFrom, losses: img.Losses,
		textDone: img.TextDone, score: img.Score, rewardFailures: img.RewardFailures, rewardDaemon: img.RewardDaemon,
	}
	if i.upstream != "" && (s.upstreams[i.upstream] == nil || i.state != ItemOpen || i.textDone || j.ended) {
		return imageErrorf("job %q: item %q is placed on %q", j.job.ID, id, i.upstream)
	}
	if i.upstream != "" {
		s.placed[i.upstream] = append(s.placed[i.upstream], i)
	}
	if img.Newest {
		s.latestItems[id] = i
	}
	j.items[id] = i
	return nil
}

// queueItems adds the items of a job of an image to the lists of those that wait for an
// upstream or for their score.
func (s *State) queueItems(j *jobState) {
	for _, i := range j.items {
		switch {
		case i.state != ItemOpen || j.ended || i.upstream != "":
		case i.textDone:
			s.unscored = append(s.unscored, i)
		default:
			s.pending = append(s.pending, i)
		}
	}
}

// checkResults checks that exactly the items that aren't open are listed, once each.
func (j *jobState) checkResults() error {
	listed := make(map[*itemState]bool, len(j.results))
	for _, i := range j.results {
		if listed[i] || i.state == ItemOpen {
			return imageErrorf("job %q: item %q is listed in state %d", j.job.ID, i.item().ID, i.state)
		}
		listed[i] = true
	}
	for _, i := range j.items {
		if !listed[i] && i.state != ItemOpen || i.state > ItemErrored {
			return imageErrorf("job %q: item %q in state %d", j.job.ID, i.item().ID, i.state)
		}
	}
	return nil
}
