package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// model is the model that all engines serve.
const model = api.ModelName("coach")

// arrival is one request of the schedule.
type arrival struct {
	offset    time.Duration // intended, from the phase's start
	class     int
	customer  api.CustomerID
	target    int // number of the daemon, or engine, that gets it
	maxTokens int
	prompt    []work.Message
}

// newSchedule draws a phase's arrivals: each class is a Poisson process of its own
// seed, so that it is the same whatever other classes run.
func newSchedule(e *Experiment, v *Variant, repeat int) []arrival {
	shares := 0.0
	for i := range e.Classes {
		shares += e.Classes[i].Share
	}
	total := e.Warmup + e.Duration
	targets := e.Daemons
	if v.Direct {
		targets = e.Engines.Count
	}
	var all []arrival
	for i := range e.Classes {
		c := &e.Classes[i]
		if !v.runs(c.Name) {
			continue
		}
		rnd := rand.New(rand.NewPCG(e.Seed+uint64(repeat), uint64(i)))
		rate := e.Rate(v) * c.Share / shares
		for at := drawInterval(rnd, rate); at < total; at += drawInterval(rnd, rate) {
			all = append(all, c.drawArrival(rnd, i, at, targets))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.offset - b.offset) })
	return all
}

// drawInterval draws the time between two arrivals of a Poisson process.
func drawInterval(rnd *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
}

func (c *Class) drawArrival(rnd *rand.Rand, index int, at time.Duration, targets int) arrival {
	a := arrival{offset: at, class: index, maxTokens: c.drawTokens(rnd)}
	a.customer = customerID(c, rnd.IntN(c.Customers))
	prefix := rnd.IntN(c.Prefixes)
	a.target = int(rnd.Float64() * float64(targets))
	a.prompt = []work.Message{
		{Role: "system", Content: prefixText(c.Name, prefix, c.PrefixTokens)},
		{Role: "user", Content: fmt.Sprintf("question %d", rnd.Uint64())},
	}
	return a
}

func customerID(c *Class, n int) api.CustomerID {
	return api.CustomerID(fmt.Sprintf("%s-%d", c.Name, n+1))
}

func prefixText(class string, n, tokens int) string {
	return fmt.Sprintf("%s %d", class, n) + strings.Repeat(" word", max(0, tokens-2))
}

func (c *Class) drawTokens(rnd *rand.Rand) int {
	if c.Alpha <= 0 {
		return c.MinTokens + rnd.IntN(c.MaxTokens-c.MinTokens+1)
	}
	return int(boundedPareto(rnd.Float64(), c.Alpha, float64(c.MinTokens), float64(c.MaxTokens)))
}

// boundedPareto returns the value at quantile u, in [0, 1).
func boundedPareto(u, alpha, low, high float64) float64 {
	ratio := math.Pow(low/high, alpha)
	return low / math.Pow(1-u*(1-ratio), 1/alpha)
}

// meanTokens returns the mean of the class's answers.
func (c *Class) meanTokens() float64 {
	low, high := float64(c.MinTokens), float64(c.MaxTokens)
	if c.Alpha <= 0 || low == high {
		return (low + high) / 2
	}
	if c.Alpha == 1 {
		return low * high / (high - low) * math.Log(high/low)
	}
	ratio := math.Pow(low/high, c.Alpha)
	return math.Pow(low, c.Alpha) / (1 - ratio) * c.Alpha / (c.Alpha - 1) *
		(math.Pow(low, 1-c.Alpha) - math.Pow(high, 1-c.Alpha))
}

// burst is one time in which some engines are slow.
type burst struct {
	start, end time.Duration // from the phase's start
	engines    []int
}

// drawBursts draws the slowdowns of a phase; they are the same for each policy.
func drawBursts(e *Experiment, repeat int) []burst {
	s := e.Slowdowns
	rnd := rand.New(rand.NewPCG(e.Seed+uint64(repeat), math.MaxUint32))
	count := max(1, int(math.Round(s.EngineFraction*float64(e.Engines.Count))))
	var all []burst
	for from := s.BurstGap / 2; from < e.Warmup+e.Duration; from += s.BurstDuration + s.BurstGap {
		all = append(all, burst{start: from, end: from + s.BurstDuration, engines: rnd.Perm(e.Engines.Count)[:count]})
	}
	return all
}
