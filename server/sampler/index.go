package sampler

import (
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/eventlog"
	"dotterelmount.example/lib/routing"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/samples/samplecodec"
)

const (
	// followersPerTrainer is how many live daemons follow a trainer with open steps
	// without being asked. They run its groups between them, and its steps go
	// on and outlive the log's retention whichever daemons are replaced.
	followersPerTrainer = 8
	// maxNoticedTrainers bounds the trainers that notices name.
	maxNoticedTrainers = 1024
	// maxCachedAssignments bounds the groups of which it is remembered who runs them.
	maxCachedAssignments = 1 << 14
)

// trainerIndex follows the stream that names the trainers with open steps.
type trainerIndex struct {
	next    api.Offset
	noticed map[api.TrainerID]time.Time // last notice read here
}

func newIndex() trainerIndex {
	return trainerIndex{next: 1, noticed: make(map[api.TrainerID]time.Time)}
}

// applyNotices reads notices on. Those that expired are repeated while they hold.
func (x *trainerIndex) applyNotices(b *eventlog.Batch, now time.Time) {
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < x.next {
			continue
		}
		x.next = e.Offset + 1
		n, err := samplecodec.DecodeTrainerNotice(e.Payload)
		if err != nil {
			undecodable.Add(1)
			continue
		}
		if _, known := x.noticed[n.Trainer]; known || len(x.noticed) < maxNoticedTrainers {
			x.noticed[n.Trainer] = now
		}
	}
	x.next = max(x.next, b.Oldest)
}

// publishNotice names a trainer unless that was done not long ago. It is a hint: a
// lost one is repeated with the next checkpoint.
func (c *core) publishNotice(f *trainerState) {
	now := c.deps.Now()
	at, known := c.index.noticed[f.trainer]
	if known && now.Sub(at) < c.cfg.CheckpointInterval/2 {
		return
	}
	payload, err := samplecodec.EncodeTrainerNotice(samples.TrainerNotice{Trainer: f.trainer})
	if err != nil {
		return
	}
	rec := eventlog.Record{ID: api.RecordID(c.newID()), Payload: payload}
	_ = c.appendRecord(api.StreamTrainers, rec, func(error) {})
}

// followNoticed follows the trainers that this daemon is chosen for.
func (c *core) followNoticed() {
	for t := range c.index.noticed {
		f := c.followed[t]
		switch {
		case f != nil && f.replica.Synced() && f.stream().OpenSteps() == 0:
			delete(c.index.noticed, t)
		case f == nil && c.isFollower(t):
			_, _ = c.follow(t) // too many are followed: the other chosen daemons do it
		}
	}
}

// isFollower reports whether this daemon is one of a trainer's followers.
func (c *core) isFollower(t api.TrainerID) bool {
	return slices.Contains(c.trainerFollowers(t), string(c.cfg.Member))
}

// trainerFollowers returns the daemons that follow a trainer, by rendezvous.
func (c *core) trainerFollowers(t api.TrainerID) []string {
	if live := c.deps.Members.Live(); c.followersOf == nil || !slices.Equal(live, c.liveDaemons) {
		c.liveDaemons, c.followersOf = slices.Clone(live), make(map[api.TrainerID][]string)
	}
	team, known := c.followersOf[t]
	if !known {
		team = c.chooseFollowers(t)
		c.followersOf[t] = team
	}
	return team
}

func (c *core) chooseFollowers(t api.TrainerID) []string {
	names := make([]string, 0, len(c.liveDaemons)+1)
	for _, id := range c.liveDaemons {
		names = append(names, string(id))
	}
	if self := string(c.cfg.Member); !slices.Contains(names, self) {
		names = append(names, self)
	}
	ranked := routing.Rendezvous(routing.Key(string(t)), names)
	return ranked[:min(followersPerTrainer, len(ranked))]
}

// groupAssignment divides a trainer's groups between its followers. Followers that
// see other members than each other run some groups twice or, until the step's
// runner takes them over, not at all; neither does harm.
type groupAssignment struct {
	followers []string
	assigned  map[samples.GroupRef]bool
}

// setFollowers takes over who follows the trainer now.
func (w *groupAssignment) setFollowers(team []string) {
	if !slices.Equal(team, w.followers) {
		w.followers, w.assigned = team, make(map[samples.GroupRef]bool)
	}
}

// isAssigned reports whether the daemon of that name runs a group.
func (w *groupAssignment) isAssigned(g samples.GroupRef, self string) bool {
	owns, known := w.assigned[g]
	if !known {
		if len(w.assigned) >= maxCachedAssignments {
			clear(w.assigned)
		}
		key := routing.Key(string(g.Step) + "/" + string(g.Group))
		owns = slices.Contains(w.followers, self) && routing.Rank(key, w.followers, self) == 0
		w.assigned[g] = owns
	}
	return owns
}
