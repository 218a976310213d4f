// Package admission decides which queued request runs next, which are shed
// under overload, and how many calls an upstream may have in progress. It is
// pure: the clock is an argument.
package admission

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// scanItems is the number of items that one Next looks at in a lane before
	// it gives up; the next call goes on where this one ended.
	scanItems = 128
	// scanPerCustomer is the least number of items looked at of each customer.
	scanPerCustomer = 4
	// maxIdleCustomers is the number of customers with nothing queued that a lane
	// remembers before it forgets those that owe nothing.
	maxIdleCustomers = 256
)

// Item is a queued request.
type Item struct {
	ID       api.RequestID
	Lane     api.Lane
	Customer api.CustomerID
	Cost     int       // tokens the answer may have; below 1 counts as 1
	Deadline time.Time // zero: none
	Enqueued time.Time
}

// Config describes a Queue.
type Config struct {
	Limit        int                // items queued at most
	Weights      [api.LaneCount]int // shares of the lanes; below 1 counts as 1
	RolloutShare float64            // part of Limit that rollouts may fill, 0 to 1
}

// Queue holds the requests that wait for an upstream. Lanes share the service
// by their weights, customers inside a lane share it evenly, both counted in
// tokens (start-time fair queueing). It belongs to one duty: it is not safe
// for concurrent use.
type Queue struct {
	cfg              Config
	lanes            [api.LaneCount]lane
	byID             map[api.RequestID]*entry
	sequence         uint64
	virtualTime      float64   // start tag of the lane served last
	earliestDeadline time.Time // no deadline is before it; zero: none
}

// entry is an item in its customer's queue.
type entry struct {
	Item
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{cfg: cfg, byID: make(map[api.RequestID]*entry)}
	for l := range q.lanes {
		q.cfg.Weights[l] = max(1, cfg.Weights[l])
		q.lanes[l].customers = make(map[api.CustomerID]*customer)
	}
	return q
}

// Push queues an item. In a full queue a member's item displaces the youngest
// rollout, which is returned in shed and was not run. Errors: CodeShed in
// overload, CodeDeadlineExceeded, CodeInvalid for an unknown lane or an id
// that is queued already.
func (q *Queue) Push(it Item, now time.Time) (shed []Item, err error) {
	if err := q.check(it, now); err != nil {
		return nil, err
	}
	if it.Lane == api.LaneRollout && q.lanes[api.LaneRollout].length >= q.rolloutLimit() {
		return nil, api.Errorf(api.CodeShed, "queue has %d rollouts", q.lanes[api.LaneRollout].length)
	}
	if q.Len() >= q.cfg.Limit {
		victim := q.lanes[api.LaneRollout].youngest()
		if it.Lane == api.LaneRollout || victim == nil {
			return nil, api.Errorf(api.CodeShed, "queue is full at %d requests", q.cfg.Limit)
		}
		q.drop(victim)
		shed = []Item{victim.Item}
	}
	q.insert(it)
	return shed, nil
}

func (q *Queue) check(it Item, now time.Time) error {
	if it.Lane >= api.LaneCount {
		return api.Errorf(api.CodeInvalid, "lane %d", it.Lane)
	}
	if _, queued := q.byID[it.ID]; queued {
		return api.Errorf(api.CodeInvalid, "request %q is queued already", it.ID)
	}
	if expired(it, now) {
		return api.Errorf(api.CodeDeadlineExceeded, "request %q", it.ID)
	}
	return nil
}

func (q *Queue) rolloutLimit() int { return int(q.cfg.RolloutShare * float64(q.cfg.Limit)) }

func (q *Queue) insert(it Item) {
	it.Cost = max(1, it.Cost)
	q.sequence++
	e := &entry{Item: it, sequence: q.sequence}
	q.byID[it.ID] = e
	l := &q.lanes[it.Lane]
	if l.length == 0 {
		l.startTag = max(l.startTag, q.virtualTime)
	}
	l.add(e)
	if !it.Deadline.IsZero() && (q.earliestDeadline.IsZero() || it.Deadline.Before(q.earliestDeadline)) {
		q.earliestDeadline = it.Deadline
	}
}

// Next removes and returns the item to run now. runnable tells whether an
// item could be dispatched at this moment; others behind one that can't be are
// tried, a bounded number in each call. Items past their deadline stay for
// Expired.
func (q *Queue) Next(now time.Time, runnable func(Item) bool) (Item, bool) {
	fits := func(it Item) bool { return !expired(it, now) && runnable(it) }
	for _, l := range q.laneOrder() {
		if q.lanes[l].length == 0 {
			continue
		}
		if e := q.lanes[l].pick(fits); e != nil {
			q.serve(e)
			return e.Item, true
		}
	}
	return Item{}, false
}

// laneOrder returns the lanes, the one that is owed most first.
func (q *Queue) laneOrder() [api.LaneCount]api.Lane {
	var order [api.LaneCount]api.Lane
	for l := range order {
		order[l] = api.Lane(l)
	}
	slices.SortStableFunc(order[:], func(a, b api.Lane) int {
		return compareTags(q.lanes[a].startTag, q.lanes[b].startTag)
	})
	return order
}

// serve charges the lane and the customer for an item that goes to run.
func (q *Queue) serve(e *entry) {
	l := &q.lanes[e.Lane]
	q.virtualTime = max(q.virtualTime, l.startTag)
	// A lane that could not run for a while must not claim all of that time later.
	l.startTag = max(l.startTag, q.virtualTime) + float64(e.Cost)/float64(q.cfg.Weights[e.Lane])
	l.charge(e)
	q.drop(e)
}

func (q *Queue) drop(e *entry) {
	delete(q.byID, e.ID)
	q.lanes[e.Lane].remove(e)
}

// Remove takes an item out and reports whether it was queued.
func (q *Queue) Remove(id api.RequestID) bool {
	e, ok := q.byID[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// Expired removes and returns the items whose deadline is past, oldest first.
func (q *Queue) Expired(now time.Time) []Item {
	if q.earliestDeadline.IsZero() || now.Before(q.earliestDeadline) {
		return nil
	}
	q.earliestDeadline = time.Time{}
	var late []*entry
	for _, e := range q.byID {
		switch {
		case e.Deadline.IsZero():
		case expired(e.Item, now):
			late = append(late, e)
		case q.earliestDeadline.IsZero() || e.Deadline.Before(q.earliestDeadline):
			q.earliestDeadline = e.Deadline
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return int(int64(a.sequence) - int64(b.sequence)) })
	items := make([]Item, len(late))
	for i, e := range late {
		q.drop(e)
		items[i] = e.Item
	}
	return items
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byID) }

// LenLane returns the number of items queued in a lane.
func (q *Queue) LenLane(l api.Lane) int { return q.lanes[l].length }

func expired(it Item, now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}

func compareTags(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
