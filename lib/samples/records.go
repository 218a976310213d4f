// Package samples is the replicated state machine of training samples: which
// samples exist, which are handed over to their trainer, and which sample slots
// a daemon runs. Daemons that apply the same records of a trainer's log stream
// reach the same verdicts. The package does no I/O and uses no clock or random
// numbers.
package samples

import (
	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// StepID identifies a training step of one trainer.
type StepID string

// GroupID identifies a group of samples within a step.
type GroupID string

// GroupRef identifies a group of a trainer.
type GroupRef struct {
	Step  StepID  `json:"step"`
	Group GroupID `json:"group"`
}

// SlotRef identifies the slot of one requested sample.
type SlotRef struct {
	Step  StepID  `json:"step"`
	Group GroupID `json:"group"`
	Index int     `json:"index"`
}

// GroupSpec requests N samples for one prompt.
type GroupSpec struct {
	ID        GroupID        `json:"id"`
	Messages  []work.Message `json:"messages"`
	N         int            `json:"n"`
	MaxTokens int            `json:"max_tokens"`
}

// RecordBody is the body of a record in a trainer's stream.
type RecordBody interface{ sampleBody() }

// Record is a record of a trainer's stream without its offset.
type Record struct {
	ID   api.RecordID
	Body RecordBody
}

// StepOpened opens a step and its sample slots. Only the first record of a step
// takes effect.
type StepOpened struct {
	Step     StepID         `json:"step"`
	Model    api.ModelName  `json:"model"`
	Customer api.CustomerID `json:"customer"`
	Plan     api.PlanName   `json:"plan"`
	Groups   []GroupSpec    `json:"groups"`
}

// Sample is a complete generation and the weight versions that produced it.
type Sample struct {
	Text         string              `json:"text"`
	Tokens       int                 `json:"tokens"`
	Versions     []api.WeightVersion `json:"versions"` // as reported by the engine, oldest first
	FinishReason string              `json:"finish_reason"`
}

// Oldest returns the oldest version, which determines staleness; zero if no
// version is known.
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

// SampleDone fills a slot if it is the first record for the current attempt of
// the slot.
type SampleDone struct {
	Slot    SlotRef       `json:"slot"`
	Model   api.ModelName `json:"model"`
	Attempt int           `json:"attempt"`
	Sample  Sample        `json:"sample"`
	Daemon  api.DaemonID  `json:"daemon"`
}

// StepLimit is the staleness limit for the samples of a step in one hand-over.
type StepLimit struct {
	Step  StepID        `json:"step"`
	Model api.ModelName `json:"model"`
	// InForce is the version in force according to the appending daemon or the
	// trainer.
	InForce api.WeightVersion `json:"in_force"`
	// StalenessBound is the number of versions that a sample may be behind InForce.
	StalenessBound uint64 `json:"bound"`
}

// HandOver proposes groups to hand over to the trainer in response to a pull.
// It takes effect only if its pull number is above all earlier ones. Its offset
// is the trainer's next cursor.
type HandOver struct {
	PullNumber uint64      `json:"pull"`
	Cursor     api.Offset  `json:"cursor"` // offset of the last hand-over that the trainer received
	Limits     []StepLimit `json:"limits,omitempty"`
	Groups     []GroupRef  `json:"groups,omitempty"`
	Dropped    []SlotRef   `json:"dropped,omitempty"`
}

// StepRunner names the daemon that runs the open slots of a step. It is a hint:
// other daemons may run them too.
type StepRunner struct {
	Step   StepID       `json:"step"`
	Daemon api.DaemonID `json:"daemon"`
}

// StepAbandoned ends a step before it is complete. Samples that the trainer did
// not receive are lost, and their slots are reported.
type StepAbandoned struct {
	Step  StepID `json:"step"`
	Actor string `json:"by"` // name of the operator or trainer, for reports
}

func (StepOpened) sampleBody()    {}
func (SampleDone) sampleBody()    {}
func (HandOver) sampleBody()      {}
func (StepRunner) sampleBody()    {}
func (StepAbandoned) sampleBody() {}

// TrainerNotice tells daemons that received no request from a trainer that it
// has an open step. Notices have their own stream and are repeated while a step
// is open.
type TrainerNotice struct {
	Trainer api.TrainerID `json:"trainer"`
}

// Validate checks the fields of a step. Errors: CodeInvalid.
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

// Limits of a group.
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
