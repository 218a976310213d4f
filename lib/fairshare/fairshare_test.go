package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelmount.example/lib/fairshare"
	"dotterelmount.example/lib/outstanding"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func request(customer string, priority int) fairshare.Request {
	return fairshare.Request{Customer: customer, Priority: priority, Deadline: epoch.Add(time.Second)}
}

// A small customer's request starts before the backlog of a large one, whoever came first.
func TestSmallCustomerDoesNotWaitBehindBacklog(t *testing.T) {
	s := fairshare.New()
	waiting := slices.Repeat([]fairshare.Request{request("large", 1)}, 100)
	for n := range 50 {
		s.Started("large", epoch.Add(time.Duration(n)*100*time.Millisecond))
	}
	now := epoch.Add(5 * time.Second)
	waiting = append(waiting, request("small", 1))
	assert.Equal(t, s.Order(waiting)[0], 100)
	assert.Equal(t, s.Delay(waiting[:100], request("small", 1), 10, now), time.Duration(0))
	assert.Assert(t, s.Delay(waiting[:100], request("large", 1), 10, now) >= 4*time.Second)
	waiting = append(waiting, request("large", 0))
	assert.Equal(t, s.Order(waiting)[0], 101, "a more urgent request starts first")
}

// A customer that was alone isn't charged for it when others come, beyond the few requests by
// which those may catch up.
func TestUseOfIdleRoomIsNotCharged(t *testing.T) {
	s := fairshare.New()
	for range 1000 {
		s.Started("alone", epoch)
	}
	waiting := slices.Repeat([]fairshare.Request{request("new", 0)}, 30)
	order := s.Order(append(waiting, request("alone", 0)))
	assert.Assert(t, slices.Index(order, 30) <= 10, "%v", order)
}

// Customers that always wait start equally often, and each request is ordered once.
func TestBackloggedCustomersShareEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, served := fairshare.New(), map[string]int{}
		var waiting []fairshare.Request
		customers := rapid.IntRange(2, 10).Draw(t, "customers")
		for c := range customers {
			backlog := rapid.IntRange(1, 20).Draw(t, "backlog")
			waiting = append(waiting, slices.Repeat([]fairshare.Request{request(fmt.Sprint(c), 0)}, backlog)...)
		}
		for range 20 * customers {
			order := s.Order(waiting)
			sorted := slices.Clone(order)
			slices.Sort(sorted)
			for n, i := range sorted {
				assert.Equal(t, n, i)
			}
			c := waiting[order[0]].Customer // it sends its next one at once
			served[c]++
			s.Started(c, epoch)
		}
		for c, n := range served {
			assert.Assert(t, n >= 19 && n <= 21, "%s: %d", c, n)
		}
	})
}

// A customer that asks for much more than others has at least a quarter of its part of the demand.
func TestLargestCustomerIsNotStarved(t *testing.T) {
	s, served := fairshare.New(), map[string]int{}
	now, waiting := epoch, []fairshare.Request{}
	const small, perRound = 50, 1000 // of the large one; each small one asks once
	ask := func(c string) {
		s.Asked(c, now)
		waiting = append(waiting, request(c, 0))
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		waiting = waiting[:0]
		for range perRound {
			ask("large")
		}
		for c := range small {
			ask(fmt.Sprint(c))
		}
		for range 100 { // a tenth is served
			first := s.Order(waiting)[0]
			c := waiting[first].Customer
			served[c]++
			s.Started(c, now)
			waiting = slices.Delete(waiting, first, first+1)
		}
	}
	assert.Assert(t, served["large"] >= 40*100/4, "%d", served["large"])
	for c := range small {
		assert.Assert(t, served[fmt.Sprint(c)] >= 36, "%d: %d", c, served[fmt.Sprint(c)])
	}
}

// daemon is what one daemon knows: its waiting requests, its shares and the window of a server.
type daemon struct {
	shares  *fairshare.Shares
	window  *outstanding.Window
	waiting []fairshare.Request
	calls   []call // of waiting
	load    int
}

type call struct {
	customer, step int // and when it was first sent
	retried        bool
}

// room plays the load of many customers of uneven demand on several daemons before one server, which
// runs slots requests a step and queues a few more. A refused request comes back once, at any
// daemon, after the delay that it was told. It returns what each customer asked for and got,
// of the requests sent in the first steps; the load goes on until they have ended.
func room(rng *rand.Rand, demand []float64, daemons, slots, steps int) (asked, got []int) {
	const step = 25 * time.Millisecond
	const deadline, aim = 60, 6 // steps
	asked, got = make([]int, len(demand)), make([]int, len(demand))
	fleet := make([]*daemon, daemons)
	for i := range fleet {
		fleet[i] = &daemon{shares: fairshare.New(), window: outstanding.New(slots)}
	}
	type held struct {
		at *daemon
		call
	}
	var server []held
	again := make(map[int][]call) // refused requests, by the step at which they come back
	send := func(c call, n int) {
		now, d := epoch.Add(time.Duration(n)*step), fleet[rng.IntN(daemons)]
		r := fairshare.Request{Customer: fmt.Sprint(c.customer), Deadline: now.Add(deadline * step)}
		d.shares.Asked(r.Customer, now)
		delay := d.shares.Delay(d.waiting, r, float64(d.window.Limit())/step.Seconds(), now)
		if delay <= (deadline-aim)*step {
			d.waiting, d.calls = append(d.waiting, r), append(d.calls, c)
		} else if back := n + 1 + int(delay/step); !c.retried {
			c.retried = true
			again[back] = append(again[back], c)
		}
	}
	for n := range steps + 5*deadline {
		now := epoch.Add(time.Duration(n) * step)
		for _, c := range again[n] {
			send(c, n)
		}
		for c, perStep := range demand {
			count := int(perStep)
			if rng.Float64() < perStep-float64(count) {
				count++
			}
			for range count {
				if n < steps {
					asked[c]++
				}
				send(call{customer: c, step: n}, n)
			}
		}
		rng.Shuffle(daemons, func(a, b int) { fleet[a], fleet[b] = fleet[b], fleet[a] })
		for _, d := range fleet {
			for i := len(d.waiting) - 1; i >= 0; i-- {
				if d.waiting[i].Deadline.Before(now) {
					d.waiting, d.calls = slices.Delete(d.waiting, i, i+1), slices.Delete(d.calls, i, i+1)
				}
			}
			for len(d.waiting) > 0 && d.window.Wait(now, outstanding.Load{Requests: d.load}, 0, step) == 0 {
				if len(server) >= 2*slots {
					d.window.Refused(now, outstanding.Load{Requests: d.load}, step)
					break
				}
				first := d.shares.Order(d.waiting)[0]
				d.shares.Started(d.waiting[first].Customer, now)
				server = append(server, held{d, d.calls[first]})
				d.waiting, d.calls = slices.Delete(d.waiting, first, first+1), slices.Delete(d.calls, first, first+1)
				d.load++
			}
		}
		for range min(slots, len(server)) {
			h := server[0]
			server = server[1:]
			if h.step < steps {
				got[h.customer]++
			}
			h.at.window.Answered(outstanding.Load{Requests: h.at.load}, 0, slots, true)
			h.at.load--
		}
	}
	return asked, got
}

// Demand falls with the customers' rank, and together they ask for twice what there is room
// for: those that ask for no more than an equal share are served, and the room is used.
func TestCustomersWithinTheirShareAreServed(t *testing.T) {
	const customers, daemons, slots, steps = 84, 6, 18, 1000
	for seed := range uint64(2) {
		demand, sum := make([]float64, customers), 0.0
		for c := range demand {
			demand[c] = math.Pow(float64(c+1), -1.2)
			sum += demand[c]
		}
		for c := range demand {
			demand[c] *= 2 * slots / sum
		}
		const share = float64(slots) / customers
		asked, got := room(rand.New(rand.NewPCG(seed, 1)), demand, daemons, slots, steps)
		total := 0
		for c := range demand {
			total += got[c]
			if demand[c] <= share {
				assert.Check(t, float64(got[c]) >= 0.95*float64(asked[c]), "customer %d: %d of %d", c, got[c], asked[c])
			}
		}
		assert.Check(t, total >= slots*steps*9/10, "%d of %d", total, slots*steps)
		allAsked := 0
		for c := range demand {
			allAsked += asked[c]
		}
		for c := range demand {
			assert.Check(t, 4*float64(got[c])*float64(allAsked) >= float64(total)*float64(asked[c]), "customer %d, %d of %d, is served less than a quarter as often as all, %d of %d", c, got[c], asked[c], total, allAsked)
		}
	}
}
