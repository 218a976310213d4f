package scaling

import (
	"math"
	"slices"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/batch"
)

const (
	// minHomes is the number of upstreams that each model keeps, so that one of them can
	// load a new version while the other runs items.
	minHomes = 2
	// minRunFraction is the fraction of a job's time within which its work can be asked to be
	// done at most, however long its longest texts take.
	minRunFraction = 0.25
	// maxCatchUp bounds the additional upstreams for late jobs, in relation to those that the
	// same work needs in time: a job may be late for other reasons than its upstreams.
	maxCatchUp = 1.5
	// minAvailable bounds the fraction of time that upstreams are taken to be free of loads.
	minAvailable = 0.5
)

// Need is the number of upstreams that a service needs.
type Need struct {
	Base    int // for the work to be done in time
	Reserve int // in addition, for upstreams that fail
	ByModel map[api.ModelName]int
	// Settled is true if jobs have been seen for long enough to know their peak.
	Settled bool
	Late    bool // a job will be late with the upstreams needed for work that is on time
}

// Total returns the sum of Base and Reserve.
func (n Need) Total() int { return n.Base + n.Reserve }

// Assess returns the need of a service, or false while it can't be told: no job was seen, or
// no upstream was measured. Steps of the models in late were late lately: the next ones begin
// together with their successors.
func (c *Config) Assess(in *Input, late map[api.ModelName]bool) (Need, bool) {
	interval, slots := measured(in.Upstreams)
	need := Need{ByModel: make(map[api.ModelName]int, len(in.Models))}
	oldest := time.Duration(-1)
	for _, j := range in.Jobs {
		oldest = max(oldest, j.Age)
	}
	if interval <= 0 || slots <= 0 || oldest < 0 {
		return need, false
	}
	need.Settled = oldest >= c.MinHistory
	for _, m := range in.Models {
		jobs := c.recent(in.Jobs, m)
		busy, behind := c.slotsFor(jobs, interval, in.Autoscale.BootTime, late[m])
		n := max(minHomes, int(math.Ceil(busy/slots)))
		need.ByModel[m] = n
		need.Base += n
		need.Late = need.Late || behind
	}
	need.Reserve = int(math.Ceil(c.Reserve * float64(need.Base)))
	return need, true
}

// measured returns the median event interval of the upstreams, in seconds, and their mean
// number of slots; 0 if unknown.
func measured(upstreams []Upstream) (interval, slots float64) {
	var intervals []time.Duration
	for _, u := range upstreams {
		slots += float64(u.Slots)
		if u.Interval > 0 {
			intervals = append(intervals, u.Interval)
		}
	}
	if len(intervals) == 0 {
		return 0, 0
	}
	slices.Sort(intervals)
	return intervals[len(intervals)/2].Seconds(), slots / float64(len(upstreams))
}

// recent returns the jobs of a model that are open or were submitted within Window.
func (c *Config) recent(jobs []batch.Workload, m api.ModelName) []batch.Workload {
	var out []batch.Workload
	for _, j := range jobs {
		if j.Model == m && (j.Age <= c.Window || j.Remaining > 0) {
			if j.Target <= 0 {
				j.Target = c.DefaultTarget
			}
			out = append(out, j)
		}
	}
	return out
}

// meanLongEvents returns the mean length of long texts of the jobs that have ended.
func meanLongEvents(jobs []batch.Workload) float64 {
	sum, n := 0.0, 0
	for _, j := range jobs {
		if j.LongEvents > 0 {
			sum += j.LongEvents
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// slotsFor returns the slots that the jobs of a model need, and whether one of them will be
// late with as many. If steps coincide, those that overlap count as begun together.
func (c *Config) slotsFor(jobs []batch.Workload, interval float64, boot time.Duration, coincide bool) (slots float64, late bool) {
	available, long := 1.0, meanLongEvents(jobs)*interval
	for _, j := range jobs {
		target := j.Target.Seconds()
		// Work that is spread over slots ends when the mean slot is done, at the latest by the
		// length of the longest text after it.
		inTime := max(c.OnTime*target-long, minRunFraction*target)
		begin := inTime
		if coincide {
			begin = target
		}
		// Steps overlap: what is submitted within that time begins together, and all that is
		// submitted until the first one is due shares the slots.
		together, work, steps := 0.0, 0.0, 0
		for _, o := range jobs {
			since := (j.Age - o.Age).Seconds()
			if since >= 0 && since < begin {
				together += o.Events * interval
			}
			if since >= 0 && since < target {
				work += o.Events * interval
				steps++
			}
		}
		slots = max(slots, together/inTime, work/target/c.Utilisation)
		available = min(available, 1-float64(steps)*c.LoadTime.Seconds()/target)
	}
	catchUp := 0.0
	for _, j := range jobs {
		left := (j.Target - j.Age - boot).Seconds()
		catchUp = max(catchUp, j.Remaining*interval/max(left, minRunFraction*j.Target.Seconds()))
	}
	late = catchUp > slots
	slots = max(slots, min(catchUp, maxCatchUp*slots))
	return slots / max(available, minAvailable), late
}
