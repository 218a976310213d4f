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

// model is the only model, served by all engines.
const model = api.ModelName("coach")

// arrival is one request of the schedule.
type arrival struct {
	offset    time.Duration // intended send time, from the start of the phase
	class     int           // index into Experiment.Classes
	customer  api.CustomerID
	target    int // index of the daemon or engine that receives it
	maxTokens int
	prompt    []work.Message
}

// newSchedule draws a phase's arrivals, sorted by time. Each class is a Poisson
// process with its own seed, so that its arrivals don't depend on which other
// classes run.
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
	for classIndex := range e.Classes {
		c := &e.Classes[classIndex]
		if !v.runs(c.Name) {
			continue
		}
		rnd := rand.New(rand.NewPCG(e.Seed+uint64(repeat), uint64(classIndex)))
		rate := e.Rate(v) * c.Share / shares
		for offset := drawInterval(rnd, rate); offset < total; offset += drawInterval(rnd, rate) {
			all = append(all, c.drawArrival(rnd, classIndex, offset, targets))
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.offset - b.offset) })
	return all
}

// drawInterval draws the time between two arrivals of a Poisson process.
func drawInterval(rnd *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
}

// drawArrival draws the customer, target and prompt of an arrival. The prompt
// consists of one of the class's prefixes and a unique question.
func (c *Class) drawArrival(rnd *rand.Rand, index int, offset time.Duration, targets int) arrival {
	a := arrival{offset: offset, class: index, maxTokens: c.drawTokens(rnd)}
	a.customer = customerID(c, rnd.IntN(c.Customers))
	prefix := rnd.IntN(c.Prefixes)
	a.target = int(rnd.Float64() * float64(targets)) // one draw for any number of targets, so that later draws don't depend on it
	a.prompt = []work.Message{
		{Role: "system", Content: prefixText(c.Name, prefix, c.PrefixTokens)},
		{Role: "user", Content: fmt.Sprintf("question %d", rnd.Uint64())},
	}
	return a
}

func customerID(c *Class, n int) api.CustomerID {
	return api.CustomerID(fmt.Sprintf("%s-%d", c.Name, n+1))
}

// prefixText returns prefix n of a class, with the given number of words.
func prefixText(class string, n, tokens int) string {
	return fmt.Sprintf("%s %d", class, n) + strings.Repeat(" word", max(0, tokens-2))
}

func (c *Class) drawTokens(rnd *rand.Rand) int {
	if c.Alpha <= 0 {
		return c.MinTokens + rnd.IntN(c.MaxTokens-c.MinTokens+1)
	}
	return int(boundedPareto(rnd.Float64(), c.Alpha, float64(c.MinTokens), float64(c.MaxTokens)))
}

// boundedPareto returns the quantile u, in [0, 1), of the Pareto distribution
// with shape alpha bounded to [low, high].
func boundedPareto(u, alpha, low, high float64) float64 {
	ratio := math.Pow(low/high, alpha)
	return low / math.Pow(1-u*(1-ratio), 1/alpha)
}

// meanTokens returns the mean number of tokens in the class's responses.
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

// burst is a period in which some engines are slow.
type burst struct {
	start, end time.Duration // from the start of the phase
	engines    []int         // indexes
}

// drawSlowdowns draws the slowdowns of a phase, which are the same for each policy.
func drawSlowdowns(e *Experiment, repeat int) []burst {
	s := e.Slowdowns
	return drawBursts(e, repeat, s.EngineFraction, s.BurstDuration, s.BurstGap)
}

// drawCrashes draws the crashes of a phase, which are the same for each policy.
func drawCrashes(e *Experiment, repeat int) []burst {
	return drawBursts(e, repeat, e.Crashes.EngineFraction, e.Crashes.DownTime, e.Crashes.Gap)
}

// drawBursts draws a fraction of the engines for each burst of a phase.
func drawBursts(e *Experiment, repeat int, fraction float64, duration, gap time.Duration) []burst {
	rnd := rand.New(rand.NewPCG(e.Seed+uint64(repeat), math.MaxUint32))
	count := max(1, int(math.Round(fraction*float64(e.Engines.Count))))
	var all []burst
	for start := gap / 2; start < e.Warmup+e.Duration; start += duration + gap {
		all = append(all, burst{start: start, end: start + duration, engines: rnd.Perm(e.Engines.Count)[:count]})
	}
	return all
}
