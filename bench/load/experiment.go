package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/routing"
)

// Experiment is the content of an experiment file: a deployment, its load, and
// the policies and variants that are run in turn.
type Experiment struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Repeats  int           `yaml:"repeats"`
	Warmup   time.Duration `yaml:"warmup"`   // load that isn't measured
	Duration time.Duration `yaml:"duration"` // measured load of each phase
	Deadline time.Duration `yaml:"deadline"` // per request
	Stream   bool          `yaml:"stream"`   // request streamed responses
	Daemons  int           `yaml:"daemons"`
	Engines  Engines       `yaml:"engines"`
	Dispatch Dispatch      `yaml:"dispatch"`
	Policies []string      `yaml:"policies"`
	// Load is the fraction of the engines' capacity that all classes use
	// together; it determines their rates. Zero: each variant sets its rate.
	Load        float64     `yaml:"load"`
	Classes     []Class     `yaml:"classes"`
	Trainers    []Trainer   `yaml:"trainers"`
	Slowdowns   Slowdowns   `yaml:"slowdowns"`
	Crashes     Crashes     `yaml:"crashes"`
	WeightSwaps WeightSwaps `yaml:"swaps"`
	// Variants are run for each policy. The others are compared with the first.
	Variants []Variant `yaml:"variants"`
}

// Engines configures the stand-in engines.
type Engines struct {
	Count       int           `yaml:"count"`
	Slots       int           `yaml:"slots"`        // sequences decoded concurrently
	TokenTime   time.Duration `yaml:"token_time"`   // per token of a sequence that runs alone
	BatchGrowth float64       `yaml:"batch_growth"` // fraction of TokenTime added by each further sequence
	PrefillTime time.Duration `yaml:"prefill_time"` // per uncached prompt token
	// Window is each engine's window in the usage list, in requests. A daemon
	// that doesn't share windows with its peers may fill each on its own.
	Window int `yaml:"window"`
}

// Dispatch holds the daemon settings that an experiment varies.
type Dispatch struct {
	ShortTokens  int     `yaml:"short_tokens"`  // maximum tokens of a short request
	ShortReserve float64 `yaml:"short_reserve"` // fraction of each window reserved for short requests
	Weights      Weights `yaml:"weights"`
}

// Weights are the scheduling weights of the lanes.
type Weights struct {
	Interactive int `yaml:"interactive"`
	Once        int `yaml:"once"`
	Rollout     int `yaml:"rollout"`
}

// Class is a class of members' requests with Poisson arrivals.
type Class struct {
	Name      string  `yaml:"name"`
	Share     float64 `yaml:"share"`     // share of all requests, relative to the other classes' shares
	Customers int     `yaml:"customers"` // number of customers, chosen at random per request
	// MinTokens and MaxTokens bound the tokens of a response, which follow a
	// uniform distribution or, if Alpha is set, a bounded Pareto distribution.
	MinTokens int     `yaml:"min_tokens"`
	MaxTokens int     `yaml:"max_tokens"`
	Alpha     float64 `yaml:"alpha"`
	// Prefixes is the number of different prompt prefixes, of PrefixTokens each.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
}

// Trainer configures a trainer that runs steps during the whole phase.
type Trainer struct {
	Name            string        `yaml:"name"`
	GroupsPerStep   int           `yaml:"groups"`
	SamplesPerGroup int           `yaml:"samples"`
	MaxTokens       int           `yaml:"max_tokens"`      // per sample
	TrainTime       time.Duration `yaml:"train"`           // simulated training time per group
	StalenessBound  uint64        `yaml:"staleness_bound"` // versions
}

// Slowdowns configures bursts in which some engines are slower.
type Slowdowns struct {
	EngineFraction float64       `yaml:"part"`   // fraction of the engines, drawn anew for each burst
	Factor         float64       `yaml:"factor"` // by which a slowed engine takes longer
	BurstDuration  time.Duration `yaml:"burst"`  // of each burst
	BurstGap       time.Duration `yaml:"gap"`    // between two bursts
}

// Crashes configures crashes in series: short bursts in which some engines cut all
// connections.
type Crashes struct {
	EngineFraction float64       `yaml:"part"` // fraction of the engines, drawn anew for each burst
	DownTime       time.Duration `yaml:"down"` // of each burst
	Gap            time.Duration `yaml:"gap"`  // between two bursts
}

// WeightSwaps configures the periodic announcement of new weight versions.
type WeightSwaps struct {
	Interval time.Duration `yaml:"every"` // zero: no swaps
}

// Variant is a variation of the load.
type Variant struct {
	Name string `yaml:"name"`
	// Classes are the classes that run; empty: all. The arrivals of a class are
	// the same in each variant.
	Classes []string `yaml:"classes"`
	Slowed  bool     `yaml:"slowed"`  // runs the experiment's slowdowns
	Crashed bool     `yaml:"crashed"` // runs the experiment's crashes
	Direct  bool     `yaml:"direct"`  // sends requests to the engines, without daemons
	Rate    float64  `yaml:"rate"`    // requests per second over all classes; overrides Load
	// Weights overrides the experiment's weights of the lanes.
	Weights *Weights `yaml:"weights"`
	// NoTrainers runs the variant without the trainers.
	NoTrainers bool `yaml:"no_trainers"`
}

// LoadExperiment reads and validates an experiment file. Errors: CodeInvalid.
func LoadExperiment(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "experiment: %w", err)
	}
	e := &Experiment{}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(e); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "experiment %s: %w", path, err)
	}
	return e, e.validate()
}

func (e *Experiment) validate() error {
	for _, c := range []struct {
		valid       bool
		requirement string
	}{
		{e.Name != "", "name must not be empty"},
		{e.Repeats >= 1, "repeats must be at least 1"},
		{e.Duration > 0 && e.Warmup >= 0 && e.Deadline > 0, "duration and deadline must be above 0, warmup must not be negative"},
		{e.Daemons >= 1 && e.Engines.Count >= 1, "daemons and engines.count must be at least 1"},
		{e.Engines.Slots >= 1 && e.Engines.TokenTime > 0 && e.Engines.Window >= 1, "engines: slots, token_time and window must be above 0"},
		{e.Dispatch.ShortTokens >= 1, "dispatch.short_tokens must be at least 1"},
		{len(e.Policies) > 0, "at least one policy is required"},
		{len(e.Variants) > 0, "at least one variant is required"},
		{len(e.Classes) > 0, "at least one class is required"},
	} {
		if !c.valid {
			return api.Errorf(api.CodeInvalid, "experiment %s: %s", e.Name, c.requirement)
		}
	}
	for _, p := range e.Policies {
		if _, err := routing.New(p); err != nil {
			return err
		}
	}
	return e.validateLoad()
}

func (e *Experiment) validateLoad() error {
	for i := range e.Classes {
		c := &e.Classes[i]
		if c.Share <= 0 || c.Customers < 1 || c.MinTokens < 1 || c.MaxTokens < c.MinTokens || c.Prefixes < 1 {
			return api.Errorf(api.CodeInvalid, "class %q: share, customers, min_tokens and prefixes must be above 0, max_tokens at least min_tokens", c.Name)
		}
	}
	s, c := e.Slowdowns, e.Crashes
	for _, v := range e.Variants {
		if v.Rate <= 0 && e.Load <= 0 {
			return api.Errorf(api.CodeInvalid, "variant %q: rate or the experiment's load is required", v.Name)
		}
		if v.Slowed && (s.EngineFraction <= 0 || s.Factor <= 0 || s.BurstDuration <= 0 || s.BurstGap <= 0) {
			return api.Errorf(api.CodeInvalid, "variant %q: slowdowns require part, factor, burst and gap above 0", v.Name)
		}
		if v.Crashed && (c.EngineFraction <= 0 || c.DownTime <= 0 || c.Gap <= 0) {
			return api.Errorf(api.CodeInvalid, "variant %q: crashes require part, down and gap above 0", v.Name)
		}
		for _, name := range v.Classes {
			if !slices.ContainsFunc(e.Classes, func(c Class) bool { return c.Name == name }) {
				return api.Errorf(api.CodeInvalid, "variant %q: unknown class %q", v.Name, name)
			}
		}
	}
	return nil
}

// Capacity returns the tokens per second of all engines with full batches.
func (e *Experiment) Capacity() float64 {
	step := e.Engines.TokenTime.Seconds() * (1 + e.Engines.BatchGrowth*float64(e.Engines.Slots-1))
	return float64(e.Engines.Count*e.Engines.Slots) / step
}

// Rate returns the requests per second of all classes in a variant.
func (e *Experiment) Rate(v *Variant) float64 {
	if v.Rate > 0 {
		return v.Rate
	}
	shares, tokens := 0.0, 0.0
	for i := range e.Classes {
		shares += e.Classes[i].Share
		tokens += e.Classes[i].Share * e.Classes[i].meanTokens()
	}
	return e.Load * e.Capacity() * shares / tokens
}

func (e *Experiment) weights(v *Variant) Weights {
	if v.Weights != nil {
		return *v.Weights
	}
	return e.Dispatch.Weights
}

func (v *Variant) runs(class string) bool {
	return len(v.Classes) == 0 || slices.Contains(v.Classes, class)
}

func engineID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("engine-%02d", i+1)) }
