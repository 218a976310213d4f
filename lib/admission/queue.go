// Package admission decides which queued request runs next, which requests are
// shed under overload, and how many calls an upstream may have in progress. It
// does no I/O and takes the current time as an argument.
package admission

import (
	"slices"
	"time"

	"dotterelmount.example/api"
)

const (
	// scanItems is the maximum number of items that one call of Next examines in
	// a lane; the next call continues where the previous one stopped.
	scanItems = 128
	// scanPerCustomer is the minimum number of items examined per customer.
	scanPerCustomer = 4
	// maxIdleCustomers is the number of customers without queued items at which
	// a lane drops those whose start tag is not ahead of the virtual time.
	maxIdleCustomers = 256
)

// Item is a queued request.
type Item struct {
	ID       api.RequestID
	Lane     api.Lane
	Customer api.CustomerID
	Cost     int       // maximum tokens of the response; below 1 counts as 1
	Deadline time.Time // zero: none
	Enqueued time.Time
}

// Config configures a Queue.
type Config struct {
	Limit        int                // maximum number of queued items
	Weights      [api.LaneCount]int // weights of the lanes; below 1 counts as 1
	RolloutShare float64            // fraction of Limit available to rollouts, 0 to 1
}

// Queue holds the requests that wait for an upstream. It implements start-time
// fair queueing in tokens: lanes are served by their weights, and the customers
// of a lane evenly. It is not safe for concurrent use.
type Queue struct {
	cfg              Config
	lanes            [api.LaneCount]lane
	byID             map[api.RequestID]*entry
	sequence         uint64
	virtualTime      float64   // start tag of the lane served last
	earliestDeadline time.Time // lower bound of all deadlines; zero: none
}

// entry is an item in a customer's queue.
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

// Push queues an item. If the queue is full, an item of another lane displaces
// the most recently queued rollout, which is returned in shed and has not run.
// Errors: CodeShed under overload, CodeDeadlineExceeded, CodeInvalid for an
// unknown lane or an ID that is already queued.
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
		return api.Errorf(api.CodeInvalid, "unknown lane %d", it.Lane)
	}
	if _, queued := q.byID[it.ID]; queued {
		return api.Errorf(api.CodeInvalid, "request %q is already queued", it.ID)
	}
	if expired(it, now) {
		return api.Errorf(api.CodeDeadlineExceeded, "deadline of request %q has passed", it.ID)
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

// Next removes and returns the item to run now. runnable reports whether an
// item can be dispatched at this moment; items that cannot are skipped, and each
// call examines a bounded number of items. Items past their deadline are left
// for Expired.
func (q *Queue) Next(now time.Time, runnable func(Item) bool) (Item, bool) {
	eligible := func(it Item) bool { return !expired(it, now) && runnable(it) }
	for _, l := range q.laneOrder() {
		if q.lanes[l].length == 0 {
			continue
		}
		if e := q.lanes[l].pick(eligible); e != nil {
			q.serve(e)
			return e.Item, true
		}
	}
	return Item{}, false
}

// laneOrder returns the lanes by start tag, lowest first.
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

// serve charges the lane and the customer for an item and removes it.
func (q *Queue) serve(e *entry) {
	l := &q.lanes[e.Lane]
	q.virtualTime = max(q.virtualTime, l.startTag)
	// A lane that was blocked for a while does not accumulate credit for that time.
	l.startTag = max(l.startTag, q.virtualTime) + float64(e.Cost)/float64(q.cfg.Weights[e.Lane])
	l.charge(e)
	q.drop(e)
}

func (q *Queue) drop(e *entry) {
	delete(q.byID, e.ID)
	q.lanes[e.Lane].remove(e)
}

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(id api.RequestID) bool {
	e, ok := q.byID[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// Expired removes and returns the items whose deadline has passed, oldest first.
func (q *Queue) Expired(now time.Time) []Item {
	if q.earliestDeadline.IsZero() || now.Before(q.earliestDeadline) {
		return nil
	}
	q.earliestDeadline = time.Time{}
	var expiredEntries []*entry
	for _, e := range q.byID {
		switch {
		case e.Deadline.IsZero():
		case expired(e.Item, now):
			expiredEntries = append(expiredEntries, e)
		case q.earliestDeadline.IsZero() || e.Deadline.Before(q.earliestDeadline):
			q.earliestDeadline = e.Deadline
		}
	}
	slices.SortFunc(expiredEntries, func(a, b *entry) int { return int(int64(a.sequence) - int64(b.sequence)) })
	items := make([]Item, len(expiredEntries))
	for i, e := range expiredEntries {
		q.drop(e)
		items[i] = e.Item
	}
	return items
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byID) }

// LenLane returns the number of queued items of a lane.
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
