package quota_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/quota"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	longPart  = quota.Resource{Kind: quota.KindLong, Name: "u"}
	shortPart = quota.Resource{Kind: quota.KindShort, Name: "u"}
)

// user starts and ends calls. It gets shares and reports its demand with delays.
type user struct {
	table               *quota.Table
	published           map[quota.Resource]quota.Share
	publishedGeneration uint64
	seen                map[quota.Resource]quota.Share
	seenAt              time.Time
	seenGeneration      uint64
	long, short         int
	shortInUse          int
	queued              int
}

// delivery is a batch in flight, or its grants in flight back.
type delivery struct {
	from    int
	batch   quota.RequestBatch
	grants  []quota.ResourceGrant
	granted bool
	due     time.Duration
}

// network has users with separate clocks and messages with delays.
type network struct {
	now        time.Duration
	delay      int // maximum one-way delay of a message, in ticks of 10 ms
	users      []*user
	deliveries []delivery
}

func (n *network) clock(d int) time.Time { return t0.Add(n.now + time.Duration(d)*time.Hour) }

func newNetwork(daemons, long, short int) *network {
	n := &network{}
	var ids []api.DaemonID
	for d := range daemons {
		ids = append(ids, api.DaemonID(fmt.Sprint(d)))
	}
	for d, id := range ids {
		u := &user{table: quota.NewTable(id, lease, 1)}
		u.table.SetMembers(ids, n.clock(d))
		u.table.SetSizes(map[quota.Resource]int{longPart: long, shortPart: short}, n.clock(d))
		n.users = append(n.users, u)
	}
	return n
}

// runTable sends the due requests of a daemon's table and publishes its shares.
func (n *network) runTable(t *rapid.T, d int) {
	u := n.users[d]
	for _, b := range u.table.DueRequests(8, n.clock(d)) {
		delay := rapid.IntRange(0, n.delay).Draw(t, "delay")
		n.deliveries = append(n.deliveries, delivery{from: d, batch: b, due: n.now + time.Duration(delay)*10*time.Millisecond})
	}
	u.published, u.publishedGeneration = u.table.PublishShares(n.clock(d))
}

func (n *network) deliver(t *rapid.T) {
	inFlight := n.deliveries
	n.deliveries = nil
	for _, p := range inFlight {
		switch {
		case p.due > n.now:
			n.deliveries = append(n.deliveries, p)
		case p.granted:
			n.users[p.from].table.HandleGrants(p.batch, p.grants, n.clock(p.from))
		default:
			to := 0
			for fmt.Sprint(to) != string(p.batch.Target) {
				to++
			}
			p.grants, p.granted = n.users[to].table.Handle(p.batch.Requests, n.clock(to)), true
			p.due += time.Duration(rapid.IntRange(0, n.delay).Draw(t, "way back")) * 10 * time.Millisecond
			n.deliveries = append(n.deliveries, p)
		}
	}
}

// slots returns the slots of the share that the user has, or fewer if it expired.
func (u *user) slots(r quota.Resource, now time.Time) int {
	s := u.seen[r]
	return min(s.SlotsAt(u.seenAt), s.SlotsAt(now))
}

func (u *user) startCalls(now time.Time) {
	long, short := u.slots(longPart, now), u.slots(shortPart, now)
	for u.queued > 0 && u.long+u.short < long+short {
		u.queued--
		if u.queued%2 == 0 && u.long < long {
			u.long++
		} else {
			u.short++
		}
	}
}

func (u *user) reportDemand(now time.Time) {
	l := quota.Load{Long: u.long, Short: u.short, QueuedLong: u.queued, QueuedShort: u.queued}
	long, short := l.Demands(u.slots(shortPart, now), u.shortInUse)
	u.shortInUse = short.InUse
	u.table.SetDemand(longPart, long)
	u.table.SetDemand(shortPart, short)
	u.table.ConfirmShares(u.seenGeneration)
}

// Users get shares and report demands with any delay. If grants can take longer
// than a daemon waits before it uses its fallback slots, the calls may exceed the
// window by the fallback slots.
func TestCallsNeverExceedWindowWithDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		long, short := rapid.IntRange(1, 4).Draw(t, "long"), rapid.IntRange(0, 3).Draw(t, "short")
		n := newNetwork(3, long, short)
		fallback := 0
		if rapid.Bool().Draw(t, "late grants") {
			n.delay, fallback = 15, short
		}
		for range 300 {
			n.now += 10 * time.Millisecond
			n.deliver(t)
			total := 0
			for d, u := range n.users {
				switch rapid.IntRange(0, 7).Draw(t, "action") {
				case 0, 1:
					u.shortInUse = quota.ShortInUse(u.short, u.shortInUse, u.slots(shortPart, n.clock(d)))
					u.seen, u.seenGeneration, u.seenAt = u.published, u.publishedGeneration, n.clock(d)
				case 2, 3:
					u.startCalls(n.clock(d))
				case 4:
					u.reportDemand(n.clock(d))
				case 5:
					u.long -= rapid.IntRange(0, u.long).Draw(t, "ended long")
					u.short -= rapid.IntRange(0, u.short).Draw(t, "ended short")
				case 6:
					u.queued = rapid.IntRange(0, 4).Draw(t, "queued")
				}
				n.runTable(t, d)
				total += u.long + u.short
			}
			assert.Assert(t, total <= long+short+fallback, "%d calls in %d + %d slots", total, long, short)
		}
	})
}
