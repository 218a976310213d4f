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
	// followers is how many live daemons follow a trainer with open steps
	// without being asked. They run its groups between them, and its steps go
	// on and outlive the log's retention whichever daemons are replaced.
	followers = 8
	// maxNoticed bounds the trainers that notices name.
	maxNoticed = 1024
	// maxOwned bounds the groups of which it is remembered who runs them.
	maxOwned = 1 << 14
)

// index follows the stream that names the trainers with open steps.
type index struct {
	next    api.Offset
	noticed map[api.TrainerID]time.Time // last notice read here
}

func newIndex() index { return index{next: 1, noticed: make(map[api.TrainerID]time.Time)} }

// take reads notices on. Those that expired are repeated while they hold.
func (x *index) take(b *eventlog.Batch, now time.Time) {
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Offset < x.next {
			continue
		}
		x.next = e.Offset + 1
		n, err := samplecodec.DecodeNotice(e.Payload)
		if err != nil {
			undecodable.Add(1)
			continue
		}
		if _, known := x.noticed[n.Trainer]; known || len(x.noticed) < maxNoticed {
			x.noticed[n.Trainer] = now
		}
	}
	x.next = max(x.next, b.Oldest)
}

// notice names a trainer unless that was done not long ago. It is a hint: a
// lost one is repeated with the next checkpoint.
func (c *core) notice(f *follow) {
	now := c.deps.Now()
	at, known := c.index.noticed[f.trainer]
	if known && now.Sub(at) < c.cfg.CheckpointEvery/2 {
		return
	}
	payload, err := samplecodec.EncodeNotice(samples.Notice{Trainer: f.trainer})
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
		case f == nil && c.chosen(t):
			_, _ = c.follow(t) // too many are followed: the other chosen daemons do it
		}
	}
}

// chosen reports whether this daemon is one of a trainer's followers.
func (c *core) chosen(t api.TrainerID) bool { return slices.Contains(c.team(t), string(c.cfg.Member)) }

// team returns the daemons that follow a trainer, by rendezvous.
func (c *core) team(t api.TrainerID) []string {
	if live := c.deps.Members.Live(); c.teams == nil || !slices.Equal(live, c.live) {
		c.live, c.teams = slices.Clone(live), make(map[api.TrainerID][]string)
	}
	team, known := c.teams[t]
	if !known {
		team = c.choose(t)
		c.teams[t] = team
	}
	return team
}

func (c *core) choose(t api.TrainerID) []string {
	names := make([]string, 0, len(c.live)+1)
	for _, id := range c.live {
		names = append(names, string(id))
	}
	if self := string(c.cfg.Member); !slices.Contains(names, self) {
		names = append(names, self)
	}
	ranked := routing.Rendezvous(routing.Key(string(t)), names)
	return ranked[:min(followers, len(ranked))]
}

// teamwork divides a trainer's groups between its followers. Followers that
// see other members than each other run some groups twice or, until the step's
// runner takes them over, not at all; neither does harm.
type teamwork struct {
	team []string
	owns map[samples.GroupRef]bool
}

// adopt takes over who follows the trainer now.
func (w *teamwork) adopt(team []string) {
	if !slices.Equal(team, w.team) {
		w.team, w.owns = team, make(map[samples.GroupRef]bool)
	}
}

// owned reports whether the daemon of that name runs a group.
func (w *teamwork) owned(g samples.GroupRef, self string) bool {
	owns, known := w.owns[g]
	if !known {
		if len(w.owns) >= maxOwned {
			clear(w.owns)
		}
		key := routing.Key(string(g.Step) + "/" + string(g.Group))
		owns = slices.Contains(w.team, self) && routing.Rank(key, w.team, self) == 0
		w.owns[g] = owns
	}
	return owns
}
