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
	// followersPerTrainer is the number of live daemons that follow a trainer with
	// open steps. They divide its groups and write its checkpoints, so that steps
	// continue and outlive the log's retention when daemons are replaced.
	followersPerTrainer = 8
	// maxNoticedTrainers bounds the trainers in the index.
	maxNoticedTrainers = 1024
	// maxCachedAssignments bounds the groups with a cached assignment.
	maxCachedAssignments = 1 << 14
)

// trainerIndex lists the trainers with open steps, from notices in the stream
// api.StreamTrainers.
type trainerIndex struct {
	nextOffset api.Offset
	lastNotice map[api.TrainerID]time.Time // local time at which the last notice was read
}

func newIndex() trainerIndex {
	return trainerIndex{nextOffset: 1, lastNotice: make(map[api.TrainerID]time.Time)}
}

// applyNotices reads notices. Expired ones are repeated while they apply.
func (t *trainerIndex) applyNotices(b *eventlog.Batch, now time.Time) {
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < t.nextOffset {
			continue
		}
		t.nextOffset = e.Offset + 1
		n, err := samplecodec.DecodeTrainerNotice(e.Payload)
		if err != nil {
			undecodableRecords.Add(1)
			continue
		}
		if _, known := t.lastNotice[n.Trainer]; known || len(t.lastNotice) < maxNoticedTrainers {
			t.lastNotice[n.Trainer] = now
		}
	}
	t.nextOffset = max(t.nextOffset, b.Oldest)
}

// publishNotice appends a notice of a trainer unless one was read within half of
// CheckpointInterval. A lost notice is repeated with the next checkpoint.
func (c *core) publishNotice(ts *trainerState) {
	now := c.deps.Now()
	at, known := c.index.lastNotice[ts.trainer]
	if known && now.Sub(at) < c.cfg.CheckpointInterval/2 {
		return
	}
	payload, err := samplecodec.EncodeTrainerNotice(samples.TrainerNotice{Trainer: ts.trainer})
	if err != nil {
		return
	}
	rec := eventlog.Record{ID: api.RecordID(c.newID()), Payload: payload}
	_ = c.appendRecord(api.StreamTrainers, rec, func(error) {})
}

// followNoticed follows the trainers that this daemon is a follower of.
func (c *core) followNoticed() {
	for t := range c.index.lastNotice {
		ts := c.followed[t]
		switch {
		case ts != nil && ts.replica.Synced() && ts.stream().OpenSteps() == 0:
			delete(c.index.lastNotice, t)
		case ts == nil && c.isFollower(t):
			_, _ = c.follow(t) // beyond MaxTrainers it is left to the other followers
		}
	}
}

// isFollower reports whether this daemon is one of a trainer's followers.
func (c *core) isFollower(t api.TrainerID) bool {
	return slices.Contains(c.trainerFollowers(t), string(c.cfg.Member))
}

// trainerFollowers returns the daemons that follow a trainer, chosen by
// rendezvous hashing over the live members. This daemon counts as live.
func (c *core) trainerFollowers(t api.TrainerID) []string {
	if live := c.deps.Members.Live(); c.followersOf == nil || !slices.Equal(live, c.liveDaemons) {
		c.liveDaemons, c.followersOf = slices.Clone(live), make(map[api.TrainerID][]string)
	}
	followers, known := c.followersOf[t]
	if !known {
		followers = c.chooseFollowers(t)
		c.followersOf[t] = followers
	}
	return followers
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

// groupAssignment divides a trainer's groups among its followers. While followers
// disagree on the live members, some groups run twice, or not at all until the
// step's runner takes them over; both are safe.
type groupAssignment struct {
	followers []string
	assigned  map[samples.GroupRef]bool
}

// setFollowers sets the current followers and clears the cache if they changed.
func (a *groupAssignment) setFollowers(followers []string) {
	if !slices.Equal(followers, a.followers) {
		a.followers, a.assigned = followers, make(map[samples.GroupRef]bool)
	}
}

// isAssigned reports whether the daemon self runs a group.
func (a *groupAssignment) isAssigned(g samples.GroupRef, self string) bool {
	assigned, known := a.assigned[g]
	if !known {
		if len(a.assigned) >= maxCachedAssignments {
			clear(a.assigned)
		}
		key := routing.Key(string(g.Step) + "/" + string(g.Group))
		assigned = slices.Contains(a.followers, self) && routing.Rank(key, a.followers, self) == 0
		a.assigned[g] = assigned
	}
	return assigned
}
