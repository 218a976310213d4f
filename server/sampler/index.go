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
	// without being asked, so that its steps go on and outlive the log's
	// retention whichever daemons are replaced.
	followers = 3
	// maxNoticed bounds the trainers that notices name.
	maxNoticed = 1024
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
func (c *core) chosen(t api.TrainerID) bool {
	live := c.deps.Members.Live()
	names := make([]string, 0, len(live)+1)
	for _, id := range live {
		names = append(names, string(id))
	}
	self := string(c.cfg.Member)
	if !slices.Contains(names, self) {
		names = append(names, self)
	}
	return routing.Rank(routing.Key(string(t)), names, self) < followers
}
