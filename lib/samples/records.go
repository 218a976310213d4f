// Package samples decides which training samples exist, which are handed to
// their trainer, and which slot is run when. A trainer's log stream is folded
// record by record; every daemon that folds the same records reaches the same
// verdicts. There is no I/O, no clock and no random source here.
package samples

import (
	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// StepID names a step of one trainer.
type StepID string

// GroupID names a group of samples within its step.
type GroupID string

// GroupRef names a group of a trainer.
type GroupRef struct {
	Step  StepID  `json:"step"`
	Group GroupID `json:"group"`
}

// SlotRef names one sample that is due.
type SlotRef struct {
	Step  StepID  `json:"step"`
	Group GroupID `json:"group"`
	Index int     `json:"index"`
}

// GroupSpec asks for N samples of the same prompt.
type GroupSpec struct {
	ID        GroupID        `json:"id"`
	Messages  []work.Message `json:"messages"`
	N         int            `json:"n"`
	MaxTokens int            `json:"max_tokens"`
}

// RecordBody is the content of a record in a trainer's stream.
type RecordBody interface{ sampleBody() }

// Record is one entry of a trainer's stream before it has an offset.
type Record struct {
	ID   api.RecordID
	Body RecordBody
}

// StepOpened makes the samples of a step due. The first record of a step wins.
type StepOpened struct {
	Step     StepID         `json:"step"`
	Model    api.ModelName  `json:"model"`
	Customer api.CustomerID `json:"customer"`
	Plan     api.PlanName   `json:"plan"`
	Groups   []GroupSpec    `json:"groups"`
}

// Sample is one whole answer with the weight versions that produced it.
type Sample struct {
	Text         string              `json:"text"`
	Tokens       int                 `json:"tokens"`
	Versions     []api.WeightVersion `json:"versions"` // as the engine reported them, oldest first
	FinishReason string              `json:"finish_reason"`
}

// Oldest returns the version that decides staleness; zero if none is known.
func (s *Sample) Oldest() api.WeightVersion {
	if len(s.Versions) == 0 {
		return 0
	}
	oldest := s.Versions[0]
	for _, v := range s.Versions[1:] {
		oldest = min(oldest, v)
	}
	return oldest
}

// SampleDone fills a slot if it is the first of the slot's current attempt.
type SampleDone struct {
	Slot    SlotRef       `json:"slot"`
	Model   api.ModelName `json:"model"`
	Attempt int           `json:"attempt"`
	Sample  Sample        `json:"sample"`
	Daemon  api.DaemonID  `json:"daemon"`
}

// StepLimit is what decides freshness of a step's samples in one hand-over.
type StepLimit struct {
	Step  StepID        `json:"step"`
	Model api.ModelName `json:"model"`
	// InForce is the version in force as the appending daemon or the trainer knew it.
	InForce api.WeightVersion `json:"in_force"`
	// StalenessBound is the most versions that a sample may be behind.
	StalenessBound uint64 `json:"bound"`
}

// HandOver proposes to hand groups to the trainer. It takes effect only if its
// pull number is above all earlier ones; its offset is then the next cursor.
type HandOver struct {
	PullNumber uint64      `json:"pull"`
	Cursor     api.Offset  `json:"cursor"`
	Limits     []StepLimit `json:"limits,omitempty"`
	Groups     []GroupRef  `json:"groups,omitempty"`
	Dropped    []SlotRef   `json:"dropped,omitempty"`
}

// StepRunner says which daemon runs a step's open slots. It is a hint only.
type StepRunner struct {
	Step   StepID       `json:"step"`
	Daemon api.DaemonID `json:"daemon"`
}

// StepAbandoned ends a step; what the trainer did not take is lost, by name.
type StepAbandoned struct {
	Step  StepID `json:"step"`
	Actor string `json:"by"` // operator or trainer, for operators to read
}

func (StepOpened) sampleBody()    {}
func (SampleDone) sampleBody()    {}
func (HandOver) sampleBody()      {}
func (StepRunner) sampleBody()    {}
func (StepAbandoned) sampleBody() {}

// TrainerNotice tells daemons that nobody asked that a trainer has an open step. It
// stands in a stream of its own, and is repeated while it holds.
type TrainerNotice struct {
	Trainer api.TrainerID `json:"trainer"`
}

// Validate checks the form of a step. Errors: CodeInvalid.
func (s *StepOpened) Validate() error {
	if s.Step == "" || s.Model == "" || s.Customer == "" {
		return api.Errorf(api.CodeInvalid, "step %q: step, model and customer must be set", s.Step)
	}
	if len(s.Groups) == 0 {
		return api.Errorf(api.CodeInvalid, "step %q has no groups", s.Step)
	}
	seen := make(map[GroupID]bool, len(s.Groups))
	for i := range s.Groups {
		g := &s.Groups[i]
		if g.ID == "" || seen[g.ID] {
			return api.Errorf(api.CodeInvalid, "step %q: group id %q is empty or appears twice", s.Step, g.ID)
		}
		seen[g.ID] = true
		if err := g.validate(); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of a group.
const (
	MaxSamplesPerGroup = 1024
	MaxTokensPerSample = 1 << 20
)

func (g *GroupSpec) validate() error {
	if g.N < 1 || g.N > MaxSamplesPerGroup {
		return api.Errorf(api.CodeInvalid, "group %q has n %d; allowed: 1 to %d", g.ID, g.N, MaxSamplesPerGroup)
	}
	if g.MaxTokens < 1 || g.MaxTokens > MaxTokensPerSample {
		return api.Errorf(api.CodeInvalid, "group %q has max_tokens %d; allowed: 1 to %d", g.ID, g.MaxTokens, MaxTokensPerSample)
	}
	if len(g.Messages) == 0 {
		return api.Errorf(api.CodeInvalid, "group %q has no messages", g.ID)
	}
	return nil
}
