package admission

import (
	"slices"

	"dotterelmount.example/api"
)

// lane is the queue of one class of work, with start-time fair queueing between
// customers: the customer with the lowest start tag is served first, and serving an
// item advances its customer's tag by the item's cost.
type lane struct {
	customers   map[api.CustomerID]*customer
	active      []*customer // customers with queued items
	length      int         // items of all customers
	startTag    float64     // start tag of the lane's next item
	virtualTime float64     // start tag of the customer served last
	cursor      int         // index in active at which the next scan starts
}

// customer is one customer's queue, oldest item first.
type customer struct {
	id       api.CustomerID
	items    []*entry
	startTag float64 // start tag of the customer's next item
	cursor   int     // index in items at which the next scan starts
}

func (l *lane) add(e *entry) {
	c, ok := l.customers[e.Customer]
	if !ok {
		l.dropIdleCustomers()
		c = &customer{id: e.Customer}
		l.customers[e.Customer] = c
	}
	if len(c.items) == 0 {
		c.startTag = max(c.startTag, l.virtualTime)
		l.active = append(l.active, c)
	}
	c.items = append(c.items, e)
	l.length++
}

// dropIdleCustomers drops the customers without queued items whose start tag is
// not ahead of the virtual time. The others have used more than their share, so
// their tags still count.
func (l *lane) dropIdleCustomers() {
	if len(l.customers)-len(l.active) < maxIdleCustomers {
		return
	}
	for id, c := range l.customers {
		if len(c.items) == 0 && c.startTag <= l.virtualTime {
			delete(l.customers, id)
		}
	}
}

// pick returns the first runnable item of the customer with the lowest start tag
// among the items of a bounded scan, or nil if none of them is runnable.
func (l *lane) pick(runnable func(Item) bool) *entry {
	perCustomer := max(scanPerCustomer, scanItems/len(l.active))
	customers := min(len(l.active), scanItems/scanPerCustomer)
	start := l.cursor % len(l.active)
	var best *entry
	var bestCustomer *customer
	for k := range customers {
		c := l.active[(start+k)%len(l.active)]
		if bestCustomer != nil && c.startTag >= bestCustomer.startTag {
			continue
		}
		if e := c.scan(perCustomer, runnable); e != nil {
			best, bestCustomer = e, c
		}
	}
	if customers < len(l.active) {
		l.cursor = start + customers
	}
	return best
}

// scan returns the first runnable item among a bounded number of items, or nil.
// If the bound covers the whole queue the scan starts at the oldest item;
// otherwise an unsuccessful scan makes the next one start where it ended.
func (c *customer) scan(items int, runnable func(Item) bool) *entry {
	n := len(c.items)
	if n <= items {
		c.cursor = 0
	}
	start := c.cursor % n
	for k := range min(n, items) {
		e := c.items[(start+k)%n]
		if runnable(e.Item) {
			c.cursor = 0
			return e
		}
	}
	c.cursor = start + items
	return nil
}

// charge advances the customer's start tag by the cost of a served item.
func (l *lane) charge(e *entry) {
	c := l.customers[e.Customer]
	l.virtualTime = max(l.virtualTime, c.startTag)
	c.startTag = max(c.startTag, l.virtualTime) + float64(e.Cost)
}

func (l *lane) remove(e *entry) {
	c := l.customers[e.Customer]
	i := slices.Index(c.items, e)
	c.items = slices.Delete(c.items, i, i+1)
	l.length--
	if len(c.items) > 0 {
		return
	}
	c.cursor = 0
	k := slices.Index(l.active, c)
	l.active = slices.Delete(l.active, k, k+1)
}

// youngest returns the most recently queued item, or nil if the lane is empty.
func (l *lane) youngest() *entry {
	var last *entry
	for _, c := range l.active {
		e := c.items[len(c.items)-1]
		if last == nil || e.sequence > last.sequence {
			last = e
		}
	}
	return last
}
