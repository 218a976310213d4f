package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routes"
	"dotterelmount.example/lib/singleton"
)

// maxReduction is the fraction of a service's upstreams that leave at once at most: their
// items move to the rest.
const maxReduction = 0.25

// Planner plans the orders of one service. It is used by the holder of the duty from the
// beginning of its term: it knows the orders of that term only, and takes what the directory
// lists as what was ordered before. It is not safe for concurrent use.
type Planner struct {
	cfg       Config
	orders    map[Place]*sentOrder
	refused   map[Place]time.Time // until when nothing is ordered
	seen      map[Place]sighting
	lateAt    map[api.ModelName]time.Time // when an open job of a model was last seen to be late
	reducedAt time.Time
}

// sentOrder is the newest order for a place, until the directory shows its effect.
type sentOrder struct {
	count, before int // upstreams ordered, and present when the order was planned
	sentAt        time.Time
	answered      bool
}

// sighting is the highest number of upstreams listed at a place lately.
type sighting struct {
	count int
	at    time.Time
}

// NewPlanner returns a Planner that knows of no orders.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, orders: make(map[Place]*sentOrder), refused: make(map[Place]time.Time), seen: make(map[Place]sighting), lateAt: make(map[api.ModelName]time.Time)}
}

// plan is the state of one decision.
type plan struct {
	*Planner
	now     time.Time
	scale   *routes.Autoscale
	present map[Place]int // listed, without those that leave
	counts  map[Place]int // the same after the orders under way and those planned
	places  []api.DataCentre
	ordered map[Place]bool
}

// Plan returns the orders to send now, those that add upstreams first. Each holds the whole
// number of upstreams that its place should have, so that it may be sent any number of times.
func (p *Planner) Plan(now time.Time, in *Input) ([]Order, Need) {
	need, known := p.cfg.Assess(in, p.late(now, in))
	d := &plan{Planner: p, now: now, scale: &in.Autoscale, present: make(map[Place]int), ordered: make(map[Place]bool)}
	d.countPresent(in)
	d.settleOrders()
	d.places = dataCentres(in)
	d.keepMinimum()
	if known {
		d.grow(need)
		if len(d.ordered) == 0 && need.Settled && !need.Late {
			d.reduce(in, need)
		}
	}
	return d.take(in.Service), need
}

// late returns the models of which a job was late within Window.
func (p *Planner) late(now time.Time, in *Input) map[api.ModelName]bool {
	for _, j := range in.Jobs {
		if j.Remaining > 0 && j.Target > 0 && j.Age > j.Target {
			p.lateAt[j.Model] = now
		}
	}
	out := make(map[api.ModelName]bool, len(p.lateAt))
	for m, at := range p.lateAt {
		out[m] = now.Sub(at) <= p.cfg.Window
	}
	return out
}

// countPresent counts the upstreams and notes where some are reclaimed.
func (d *plan) countPresent(in *Input) {
	leaving := make(map[Place]bool)
	for _, u := range in.Upstreams {
		if !u.Draining {
			d.present[u.Place]++
			continue
		}
		leaving[u.Place] = true
		if u.Reclaimable {
			d.refuse(u.Place, d.now)
		}
	}
	for place, n := range d.present {
		if s := d.seen[place]; n >= s.count || leaving[place] || d.now.Sub(s.at) >= d.cfg.SightTime {
			d.seen[place] = sighting{count: n, at: d.now}
		}
	}
	maps.DeleteFunc(d.seen, func(place Place, s sighting) bool {
		return leaving[place] && d.present[place] == 0 || d.now.Sub(s.at) >= d.cfg.SightTime
	})
}

// settleOrders forgets the orders whose effect the directory shows, or should have shown.
func (d *plan) settleOrders() {
	d.counts = maps.Clone(d.present)
	for place, o := range d.orders {
		n := d.present[place]
		limit := d.cfg.ConfirmTimeout
		if o.count > o.before {
			limit += d.scale.BootTime
		}
		if n == o.count {
			d.seen[place] = sighting{count: n, at: d.now}
		}
		if n == o.count || n < min(o.before, o.count) || d.now.Sub(o.sentAt) >= limit && o.answered {
			delete(d.orders, place)
			continue
		}
		d.counts[place] = o.count
	}
}

// dataCentres returns the data centres where upstreams may be ordered, sorted.
func dataCentres(in *Input) []api.DataCentre {
	set := make(map[api.DataCentre]bool, len(in.Autoscale.Prices))
	for dc := range in.Autoscale.Prices {
		set[dc] = true
	}
	if len(set) == 0 {
		for _, u := range in.Upstreams {
			set[u.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func (d *plan) total(reclaimable bool) int {
	n := 0
	for place, count := range d.counts {
		if place.Reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

// both returns the upstreams of a data centre of both kinds.
func (d *plan) both(dc api.DataCentre) int {
	return d.counts[Place{dc, false}] + d.counts[Place{dc, true}]
}

// keepMinimum orders what a data centre lacks to its minimum.
func (d *plan) keepMinimum() {
	for _, dc := range d.places {
		for d.both(dc) < d.scale.Min && d.add(Place{dc, false}) {
		}
	}
}

// grow adds what is missing: all work must be done in time by upstreams that aren't
// reclaimable, since all those that are may be taken away at once. They serve as the reserve.
func (d *plan) grow(need Need) {
	slack := 0
	if !need.Late {
		slack = int(d.cfg.Shortage * float64(need.Total()))
	}
	cheap := d.scale.SpotPrice > 0 && d.scale.SpotPrice < 1
	if missing := need.Base - d.total(false); missing > slack {
		d.addMany(missing, false)
	}
	if !cheap {
		if missing := need.Total() - d.total(false); missing > slack {
			d.addMany(missing, false)
		}
		return
	}
	if !need.Settled && d.total(false)+d.total(true) >= need.Total() {
		return // the surplus serves as the reserve until it is given back
	}
	if missing := need.Reserve - d.total(true); missing > 0 && (missing > slack || d.total(true) == 0) {
		d.addMany(missing, true)
	}
}

// addMany adds upstreams of a kind one by one, as long as there is a place for them.
func (d *plan) addMany(n int, reclaimable bool) {
	for target := d.total(reclaimable) + n; d.total(reclaimable) < target; {
		places := slices.Clone(d.places)
		slices.SortStableFunc(places, func(a, b api.DataCentre) int { return d.compare(a, b, reclaimable) })
		if !slices.ContainsFunc(places, func(dc api.DataCentre) bool { return d.add(Place{dc, reclaimable}) }) {
			return
		}
	}
}

// compare orders data centres by where the next upstream should be added. Reclaimable ones
// are spread evenly, as all of a data centre are reclaimed at once; others go where they are
// cheapest, but no data centre gets more than half of them.
func (d *plan) compare(a, b api.DataCentre, reclaimable bool) int {
	n, m := d.counts[Place{a, reclaimable}], d.counts[Place{b, reclaimable}]
	byPrice := cmp.Compare(d.scale.Prices[a], d.scale.Prices[b])
	if reclaimable {
		return cmp.Or(cmp.Compare(n, m), byPrice)
	}
	half := d.total(false) / 2
	return cmp.Or(cmp.Compare(boolInt(n > half), boolInt(m > half)), byPrice, cmp.Compare(n, m))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// add adds an upstream at a place, or takes back a reduction there. It returns false if there is no room, or none to be had.
func (d *plan) add(place Place) bool {
	if d.both(place.DataCentre) >= d.scale.Max || d.now.Before(d.refused[place]) {
		return false
	}
	// An earlier order of fewer may not have been executed.
	d.counts[place] = max(d.counts[place]+1, d.present[place])
	d.ordered[place] = true
	return true
}

// reduce gives back what is above the need by more than the surplus, in steps: whichever
// upstreams the platform takes away, each model keeps minHomes.
func (d *plan) reduce(in *Input, need Need) {
	if d.now.Sub(d.reducedAt) < d.cfg.ReduceInterval || len(d.orders) > 0 {
		return
	}
	step := min(spareHomes(in), int(math.Ceil(maxReduction*float64(d.total(false)+d.total(true)))))
	reclaimable := d.total(true)
	if extra := reclaimable - need.Reserve; float64(extra) > d.cfg.Surplus*float64(need.Reserve) && extra > 1 {
		step -= d.removeMany(min(extra, step), true)
	}
	ordinary := d.total(false)
	extra := min(ordinary-need.Base, ordinary+min(reclaimable, need.Reserve)-need.Total())
	if float64(extra) > d.cfg.Surplus*float64(need.Base) {
		d.removeMany(min(extra, step), false)
	}
	if len(d.ordered) > 0 {
		d.reducedAt = d.now
	}
}

// spareHomes returns how many upstreams may leave, whichever these are, while each model keeps
// minHomes that stay.
func spareHomes(in *Input) int {
	homes := make(map[api.ModelName]int, len(in.Models))
	present := 0
	for _, u := range in.Upstreams {
		if !u.Draining {
			homes[u.Model]++
			present++
		}
	}
	spare := present
	for _, m := range in.Models {
		spare = min(spare, homes[m]-minHomes)
	}
	return max(0, spare)
}

// removeMany removes up to n upstreams of a kind, the most expensive first, and returns how
// many. A data centre keeps its minimum and, of those that aren't reclaimable, half of its
// equal share.
func (d *plan) removeMany(n int, reclaimable bool) int {
	removed := 0
	for ; removed < n; removed++ {
		keep := 0
		if !reclaimable && len(d.places) > 0 {
			keep = d.total(false) / (2 * len(d.places))
		}
		best := Place{}
		for _, dc := range d.places {
			place := Place{dc, reclaimable}
			if d.seen[place].count > d.present[place] || d.counts[place] <= keep || d.both(dc) <= d.scale.Min {
				continue
			}
			if best.DataCentre == "" || cmp.Or(cmp.Compare(d.scale.Prices[dc], d.scale.Prices[best.DataCentre]), cmp.Compare(d.counts[place], d.counts[best])) > 0 {
				best = place
			}
		}
		if best.DataCentre == "" {
			break
		}
		d.counts[best]--
		d.ordered[best] = true
	}
	return removed
}

// take returns the planned orders, and the earlier ones that are due again, and notes them as
// sent.
func (d *plan) take(service string) []Order {
	var out []Order
	for place := range d.ordered {
		n, before := d.counts[place], d.present[place]
		if n >= before { // upstreams that are no longer listed may come back
			n = max(n, min(d.seen[place].count, d.scale.Max-d.counts[Place{place.DataCentre, !place.Reclaimable}]))
		}
		d.orders[place] = &sentOrder{count: n, before: before, sentAt: d.now}
		out = append(out, Order{UpstreamOrder: place.order(service, n), Present: before})
	}
	for place, o := range d.orders {
		if !d.ordered[place] && !o.answered && d.now.Sub(o.sentAt) >= d.cfg.RetryInterval {
			o.sentAt = d.now
			out = append(out, Order{UpstreamOrder: place.order(service, o.count), Present: d.present[place], Repeat: true})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Count-a.Present, b.Count-b.Present)*-1, cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(boolInt(a.Reclaimable), boolInt(b.Reclaimable)))
	})
	return out
}

// Accepted notes that an order was accepted.
func (p *Planner) Accepted(o singleton.UpstreamOrder) {
	if sent := p.orders[PlaceOf(o)]; sent != nil && sent.count == o.Count {
		sent.answered = true
	}
}

// Refused notes that none of the ordered upstreams are available for now.
func (p *Planner) Refused(now time.Time, o singleton.UpstreamOrder) {
	place := PlaceOf(o)
	if sent := p.orders[place]; sent != nil && sent.count == o.Count {
		delete(p.orders, place)
	}
	p.refuse(place, now)
}

func (p *Planner) refuse(place Place, now time.Time) { p.refused[place] = now.Add(p.cfg.RefusalTime) }
