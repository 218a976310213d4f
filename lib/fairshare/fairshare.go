// Package fairshare shares the room of a service between customers. It does no I/O and takes
// the current time as an argument.
//
// The load that it answers: a few customers send far more than a service has room for, beside
// many that send little. Each daemon shares the room that it has, by start-time fair queueing: no
// share is idle while another customer could use it, and a request waits for its own
// customer's others, not for those of customers that use more. A customer that asks for very
// much has a larger share, so that it isn't served less than a quarter as often as all.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Request is a request that waits for room.
type Request struct {
	Customer string
	Priority int // 0 is the most urgent
	Deadline time.Time
}

const (
	// rateWindow is the time over which a customer's rate is averaged: long enough for some
	// requests of a backlogged customer, below the time in which demands change.
	rateWindow = 2 * time.Second
	// credit is the number of requests by which a customer that used less than its share may
	// catch up: requests come at random, so that one within its share has moments of more.
	credit = 8
	// demandWindow is the time over which a customer's demand is averaged.
	demandWindow = 10 * time.Second
	// floorDivisor makes the weights of customers whose demand is above this multiple of the
	// mean grow with it. All weights together are then at most 4/3 of their number, so that
	// nobody's part of the room is below a quarter of its part of the demand.
	floorDivisor = 3
	// maxIdle is the number of customers that are remembered although they wait for nothing.
	maxIdle = 1024
)

// Shares is what customers have used of a service. It is not safe for concurrent use.
type Shares struct {
	virtual   float64 // start tag of the request started last
	customers map[string]*usage
	began     time.Time // of the first request
	asked     float64   // requests of all customers, decaying with demandWindow
	askedAt   time.Time
}

type usage struct {
	finish float64 // finish tag of the customer's request started last
	count  float64 // of starts, decaying with rateWindow
	at     time.Time
	// asked are the customer's requests, decaying with demandWindow, and weight its share in
	// relation to that of customers with little demand.
	asked   float64
	askedAt time.Time
	weight  float64
}

// New returns shares of which nothing is used.
func New() *Shares { return &Shares{customers: make(map[string]*usage)} }

// start returns the start tag of a customer's next request.
func (s *Shares) start(customer string) float64 {
	if u := s.customers[customer]; u != nil {
		return max(s.virtual-credit, u.finish)
	}
	return s.virtual - credit
}

// Asked takes note of a new request.
func (s *Shares) Asked(customer string, now time.Time) {
	s.asked, s.askedAt = decayed(s.asked, s.askedAt, now, demandWindow)+1, now
	u := s.usageOf(customer, now)
	u.asked, u.askedAt = decayed(u.asked, u.askedAt, now, demandWindow)+1, now
	u.weight = max(1, u.asked*float64(len(s.customers))/(floorDivisor*s.asked))
}

// usageOf returns what a customer has used, which may be nothing yet.
func (s *Shares) usageOf(customer string, now time.Time) *usage {
	u := s.customers[customer]
	if u == nil {
		s.dropIdle()
		u = &usage{at: now, weight: 1, finish: s.virtual - credit}
		s.customers[customer] = u
	}
	return u
}

// cost returns what a request of a customer costs of its share.
func (s *Shares) cost(customer string) float64 {
	if u := s.customers[customer]; u != nil {
		return 1 / u.weight
	}
	return 1
}

// decayed returns a count that decays with a time constant.
func decayed(count float64, at, now time.Time, window time.Duration) float64 {
	return count * math.Exp(-max(0, now.Sub(at)).Seconds()/window.Seconds())
}

// Started charges a customer for a request that has started.
func (s *Shares) Started(customer string, now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	start := s.start(customer)
	s.virtual = max(s.virtual, start)
	u := s.usageOf(customer, now)
	u.finish, u.count, u.at = start+1/u.weight, u.countAt(now)+1, now
}

// dropIdle drops customers that used no more than others who wait.
func (s *Shares) dropIdle() {
	if len(s.customers) < maxIdle {
		return
	}
	for c, u := range s.customers {
		if u.finish <= s.virtual-credit {
			delete(s.customers, c)
		}
	}
}

func (u *usage) countAt(now time.Time) float64 {
	return decayed(u.count, u.at, now, rateWindow)
}

// Order returns the indexes of waiting requests in the order in which they start: by priority,
// then by their customers' shares and, of one customer, by deadline.
func (s *Shares) Order(waiting []Request) []int {
	order := make([]int, len(waiting))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(waiting[a].Priority, waiting[b].Priority), waiting[a].Deadline.Compare(waiting[b].Deadline))
	})
	tags, own := make([]float64, len(waiting)), make(map[string]float64)
	for _, n := range order {
		c := waiting[n].Customer
		tags[n] = s.start(c) + own[c]
		own[c] += s.cost(c)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(waiting[a].Priority, waiting[b].Priority), cmp.Compare(tags[a], tags[b]))
	})
	return order
}

// Delay returns the expected time until a request starts that begins to wait now, beside those
// waiting; perSecond is the rate at which requests of all customers start. It is the time for those
// ahead of it or, if longer, that until its turn among those of its own customer, at the highest
// rate at which a customer is served: backlogged customers are all served at that rate.
func (s *Shares) Delay(waiting []Request, r Request, perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64
	}
	position := slices.Index(s.Order(append(slices.Clone(waiting), r)), len(waiting))
	seconds := float64(position) / perSecond
	ownAhead := 0.0
	for _, o := range waiting {
		if o.Customer == r.Customer && o.Priority <= r.Priority {
			ownAhead += s.cost(r.Customer)
		}
	}
	rounds := s.start(r.Customer) + ownAhead - s.virtual
	if rate := s.highestRate(now); rounds > 0 && rate > 0 {
		seconds = max(seconds, rounds/rate)
	}
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// highestRate returns the highest rate at which a customer uses its share; 0: it isn't known yet.
func (s *Shares) highestRate(now time.Time) float64 {
	const minObserved = 200 * time.Millisecond
	observed := now.Sub(s.began)
	if s.began.IsZero() || observed < minObserved {
		return 0
	}
	highest := 0.0
	for _, u := range s.customers {
		highest = max(highest, u.countAt(now)/u.weight)
	}
	return highest / (rateWindow.Seconds() * (1 - math.Exp(-observed.Seconds()/rateWindow.Seconds())))
}
