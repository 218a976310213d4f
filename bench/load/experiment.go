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

// Experiment is one file: a deployment, its load, and the policies and variants
// that are run in turn.
type Experiment struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Repeats  int           `yaml:"repeats"`
	Warmup   time.Duration `yaml:"warmup"`   // load before anything is counted
	Duration time.Duration `yaml:"duration"` // counted load of each phase
	Deadline time.Duration `yaml:"deadline"` // of each request
	Stream   bool          `yaml:"stream"`   // ask for streamed answers
	Daemons  int           `yaml:"daemons"`
	Engines  Engines       `yaml:"engines"`
	Dispatch Dispatch      `yaml:"dispatch"`
	Policies []string      `yaml:"policies"`
	// Load is the part of the engines' capacity that the classes take
	// together; it sets their rates. Zero: each variant names its rate.
	Load        float64     `yaml:"load"`
	Classes     []Class     `yaml:"classes"`
	Trainers    []Trainer   `yaml:"trainers"`
	Slowdowns   Slowdowns   `yaml:"slowdowns"`
	WeightSwaps WeightSwaps `yaml:"swaps"`
	// Variants are run for each policy; the first is the reference of the others.
	Variants []Variant `yaml:"variants"`
}

// Engines describes the stand-in engines.
type Engines struct {
	Count       int           `yaml:"count"`
	Slots       int           `yaml:"slots"`        // sequences decoded at once
	TokenTime   time.Duration `yaml:"token_time"`   // of one token of a sequence that runs alone
	BatchGrowth float64       `yaml:"batch_growth"` // share of TokenTime that each further sequence adds
	PrefillTime time.Duration `yaml:"prefill_time"` // of one prompt token that is not cached
	// Window of the usage list, in requests. A daemon that does not share the
	// windows with its peers takes each whole.
	Window int `yaml:"window"`
}

// Dispatch holds the settings of the daemons that an experiment varies.
type Dispatch struct {
	ShortTokens  int     `yaml:"short_tokens"`
	ShortReserve float64 `yaml:"short_reserve"`
	Weights      Weights `yaml:"weights"`
}

// Weights are the shares of the lanes.
type Weights struct {
	Interactive int `yaml:"interactive"`
	Once        int `yaml:"once"`
	Rollout     int `yaml:"rollout"`
}

// Class is one kind of members' requests with Poisson arrivals.
type Class struct {
	Name      string  `yaml:"name"`
	Share     float64 `yaml:"share"`     // part of all requests
	Customers int     `yaml:"customers"` // who send them, in turn at random
	// Tokens of the answer are MinTokens to MaxTokens, uniform, or by a bounded
	// Pareto distribution where Alpha is set.
	MinTokens int     `yaml:"min_tokens"`
	MaxTokens int     `yaml:"max_tokens"`
	Alpha     float64 `yaml:"alpha"`
	// Prefixes is the number of different prompts' beginnings, of PrefixTokens each.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
}

// Trainer is one trainer that pulls steps during the whole phase.
type Trainer struct {
	Name            string        `yaml:"name"`
	GroupsPerStep   int           `yaml:"groups"`     // of a step
	SamplesPerGroup int           `yaml:"samples"`    // of a group
	MaxTokens       int           `yaml:"max_tokens"` // of a sample
	TrainTime       time.Duration `yaml:"train"`      // time spent on each group
	StalenessBound  uint64        `yaml:"staleness_bound"`
}

// Slowdowns are bursts in which a part of the engines is slower.
type Slowdowns struct {
	EngineFraction float64       `yaml:"part"` // of the engines, others in each burst
	Factor         float64       `yaml:"factor"`
	BurstDuration  time.Duration `yaml:"burst"`
	BurstGap       time.Duration `yaml:"gap"`
}

// WeightSwaps announce the next weight version again and again.
type WeightSwaps struct {
	Interval time.Duration `yaml:"every"` // zero: none
}

// Variant is one way of running the load.
type Variant struct {
	Name string `yaml:"name"`
	// Classes that run; empty: all. The arrivals of a class are the same in
	// each variant.
	Classes []string `yaml:"classes"`
	Slowed  bool     `yaml:"slowed"`
	Direct  bool     `yaml:"direct"` // straight to the engines, past the daemons
	Rate    float64  `yaml:"rate"`   // requests a second of all classes; overrides Load
	// Weights of the lanes in place of the experiment's.
	Weights *Weights `yaml:"weights"`
	// NoTrainers leaves the trainers out.
	NoTrainers bool `yaml:"no_trainers"`
}

// LoadExperiment reads and checks a file. Errors: CodeInvalid.
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
		ok   bool
		what string
	}{
		{e.Name != "", "name: not empty"},
		{e.Repeats >= 1, "repeats: at least 1"},
		{e.Duration > 0 && e.Warmup >= 0 && e.Deadline > 0, "duration, deadline: above 0"},
		{e.Daemons >= 1 && e.Engines.Count >= 1, "daemons, engines.count: at least 1"},
		{e.Engines.Slots >= 1 && e.Engines.TokenTime > 0 && e.Engines.Window >= 1, "engines: slots, token_time and window above 0"},
		{e.Dispatch.ShortTokens >= 1, "dispatch.short_tokens: at least 1"},
		{len(e.Policies) > 0, "policies: at least one"},
		{len(e.Variants) > 0, "variants: at least one"},
		{len(e.Classes) > 0, "classes: at least one"},
	} {
		if !c.ok {
			return api.Errorf(api.CodeInvalid, "experiment %s: %s", e.Name, c.what)
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
			return api.Errorf(api.CodeInvalid, "class %q: share, customers, min_tokens, max_tokens and prefixes must be above 0", c.Name)
		}
	}
	s := e.Slowdowns
	for _, v := range e.Variants {
		if v.Rate <= 0 && e.Load <= 0 {
			return api.Errorf(api.CodeInvalid, "variant %q: a rate, or the experiment's load", v.Name)
		}
		if v.Slowed && (s.EngineFraction <= 0 || s.Factor <= 0 || s.BurstDuration <= 0 || s.BurstGap <= 0) {
			return api.Errorf(api.CodeInvalid, "variant %q: slowdowns need part, factor, burst and gap", v.Name)
		}
		for _, name := range v.Classes {
			if !slices.ContainsFunc(e.Classes, func(c Class) bool { return c.Name == name }) {
				return api.Errorf(api.CodeInvalid, "variant %q: no class %q", v.Name, name)
			}
		}
	}
	return nil
}

// Capacity returns the tokens a second of all engines with full batches.
func (e *Experiment) Capacity() float64 {
	step := e.Engines.TokenTime.Seconds() * (1 + e.Engines.BatchGrowth*float64(e.Engines.Slots-1))
	return float64(e.Engines.Count*e.Engines.Slots) / step
}

// Rate returns the requests a second of all classes in a variant.
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
