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

// user starts and ends calls by shares that it sees late, and tells its needs late.
type user struct {
	table       *quota.Table
	published   map[quota.Resource]quota.Share
	publishedAs uint64
	seen        map[quota.Resource]quota.Share
	seenAt      time.Time
	seenAs      uint64
	long, short int
	shortInUse  int
	queued      int
}

// parcel is a batch on its way, or back with its answer.
type parcel struct {
	from   int
	batch  quota.RequestBatch
	grants []quota.ResourceGrant
	back   bool
	due    time.Duration
}

type field struct {
	now     time.Duration
	delay   int // most ticks that a message takes one way
	users   []*user
	parcels []parcel
}

func (f *field) clock(d int) time.Time { return t0.Add(f.now + time.Duration(d)*time.Hour) }

func newField(daemons, long, short int) *field {
	f := &field{}
	var ids []api.DaemonID
	for d := range daemons {
		ids = append(ids, api.DaemonID(fmt.Sprint(d)))
	}
	for d, id := range ids {
		u := &user{table: quota.NewTable(id, lease, 1)}
		u.table.SetMembers(ids, f.clock(d))
		u.table.SetSizes(map[quota.Resource]int{longPart: long, shortPart: short}, f.clock(d))
		f.users = append(f.users, u)
	}
	return f
}

// own lets a daemon's table do what is due.
func (f *field) own(t *rapid.T, d int) {
	u := f.users[d]
	for _, b := range u.table.DueRequests(8, f.clock(d)) {
		delay := rapid.IntRange(0, f.delay).Draw(t, "delay")
		f.parcels = append(f.parcels, parcel{from: d, batch: b, due: f.now + time.Duration(delay)*10*time.Millisecond})
	}
	u.published, u.publishedAs = u.table.PublishShares(f.clock(d))
}

func (f *field) deliver(t *rapid.T) {
	parcels := f.parcels
	f.parcels = nil
	for _, p := range parcels {
		switch {
		case p.due > f.now:
			f.parcels = append(f.parcels, p)
		case p.back:
			f.users[p.from].table.HandleGrants(p.batch, p.grants, f.clock(p.from))
		default:
			to := 0
			for fmt.Sprint(to) != string(p.batch.Target) {
				to++
			}
			p.grants, p.back = f.users[to].table.Handle(p.batch.Requests, f.clock(to)), true
			p.due += time.Duration(rapid.IntRange(0, f.delay).Draw(t, "way back")) * 10 * time.Millisecond
			f.parcels = append(f.parcels, p)
		}
	}
}

// slots returns the number seen, or less after a lapse.
func (u *user) slots(r quota.Resource, now time.Time) int {
	s := u.seen[r]
	return min(s.SlotsAt(u.seenAt), s.SlotsAt(now))
}

func (u *user) start(now time.Time) {
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

func (u *user) tell(now time.Time) {
	l := quota.Load{Long: u.long, Short: u.short, QueuedLong: u.queued, QueuedShort: u.queued}
	long, short := l.Demands(u.slots(shortPart, now), u.shortInUse)
	u.shortInUse = short.InUse
	u.table.SetDemand(longPart, long)
	u.table.SetDemand(shortPart, short)
	u.table.ConfirmShares(u.seenAs)
}

// TestCallsNeverPassTheWindowWithLateUsers: users see shares and tell needs at
// any later moment. Where answers may take longer than a daemon waits before it
// uses its floor, the floors may come on top.
func TestCallsNeverPassTheWindowWithLateUsers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		long, short := rapid.IntRange(1, 4).Draw(t, "long"), rapid.IntRange(0, 3).Draw(t, "short")
		f := newField(3, long, short)
		floors := 0
		if rapid.Bool().Draw(t, "late answers") {
			f.delay, floors = 15, short
		}
		for range 300 {
			f.now += 10 * time.Millisecond
			f.deliver(t)
			total := 0
			for d, u := range f.users {
				switch rapid.IntRange(0, 7).Draw(t, "action") {
				case 0, 1:
					u.shortInUse = quota.ShortInUse(u.short, u.shortInUse, u.slots(shortPart, f.clock(d)))
					u.seen, u.seenAs, u.seenAt = u.published, u.publishedAs, f.clock(d)
				case 2, 3:
					u.start(f.clock(d))
				case 4:
					u.tell(f.clock(d))
				case 5:
					u.long -= rapid.IntRange(0, u.long).Draw(t, "ended long")
					u.short -= rapid.IntRange(0, u.short).Draw(t, "ended short")
				case 6:
					u.queued = rapid.IntRange(0, 4).Draw(t, "queued")
				}
				f.own(t, d)
				total += u.long + u.short
			}
			assert.Assert(t, total <= long+short+floors, "%d calls in %d + %d slots", total, long, short)
		}
	})
}
