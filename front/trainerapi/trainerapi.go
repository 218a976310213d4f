// Package trainerapi speaks HTTP and JSON with trainers: it decodes, asks the
// sampler and encodes. It decides nothing.
package trainerapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/sampler"
)

// ErrorWriter answers with a typed error.
type ErrorWriter func(http.ResponseWriter, error)

// Service is what the handlers ask; *sampler.Sampler implements it.
type Service interface {
	OpenStep(ctx context.Context, t api.TrainerID, step samples.StepOpened) error
	AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, by string) (sampler.Abandonment, error)
	Pull(ctx context.Context, r sampler.PullRequest) (sampler.PullAnswer, error)
	TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error)
}

// Config bounds what the handlers accept.
type Config struct {
	BodyLimit   int64         // bytes
	CallTimeout time.Duration // of a call, on top of a pull's own wait
	MaxWait     time.Duration // longest wait of a pull
}

type handlers struct {
	cfg       Config
	service   Service
	writeFail ErrorWriter
}

// Register adds the trainers' routes to mux.
func Register(mux *http.ServeMux, cfg Config, s Service, fail ErrorWriter) {
	h := &handlers{cfg: cfg, service: s, writeFail: fail}
	mux.HandleFunc("POST /v1/trainers/{trainer}/steps", h.openStep)
	mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}/abandon", h.abandonStep)
	mux.HandleFunc("POST /v1/trainers/{trainer}/pull", h.pull)
	mux.HandleFunc("GET /v1/trainers/{trainer}", h.state)
}

// StepBody is the body of POST /v1/trainers/{trainer}/steps.
type StepBody struct {
	Customer api.CustomerID `json:"customer"`
	Model    api.ModelName  `json:"model"`
	Step     samples.StepID `json:"step"`
	Groups   []GroupBody    `json:"groups"`
}

// GroupBody is one group of a step.
type GroupBody struct {
	ID        samples.GroupID `json:"id"`
	Messages  []work.Message  `json:"messages"`
	N         int             `json:"n"`
	MaxTokens int             `json:"max_tokens"`
}

// StepAnswer says that a step's samples are due.
type StepAnswer struct {
	Step samples.StepID `json:"step"`
	Due  int            `json:"due"` // samples
}

// PullBody is the body of POST /v1/trainers/{trainer}/pull.
type PullBody struct {
	Cursor        api.Offset        `json:"cursor"`
	Pull          uint64            `json:"pull"`
	MaxGroups     int               `json:"max_groups"`
	WeightVersion api.WeightVersion `json:"weight_version"`
	WaitMillis    int64             `json:"wait_ms"`
}

// PullAnswer is the answer to a pull. Next is the cursor to store with the samples.
type PullAnswer struct {
	From      api.Offset        `json:"from"`
	Next      api.Offset        `json:"next"`
	Pull      uint64            `json:"pull"`
	Groups    []GroupAnswer     `json:"groups"`
	Dropped   []samples.SlotRef `json:"dropped"`
	StepWhole []samples.StepID  `json:"step_whole"`
}

// GroupAnswer is a whole group.
type GroupAnswer struct {
	Step    samples.StepID  `json:"step"`
	ID      samples.GroupID `json:"id"`
	Samples []SampleAnswer  `json:"samples"`
}

// SampleAnswer is one sample with the weight versions that produced it.
type SampleAnswer struct {
	Index        int                 `json:"index"`
	Text         string              `json:"text"`
	Tokens       int                 `json:"tokens"`
	Versions     []api.WeightVersion `json:"versions"`
	FinishReason string              `json:"finish_reason"`
}

// StateAnswer is the answer of GET /v1/trainers/{trainer}.
type StateAnswer struct {
	Trainer api.TrainerID `json:"trainer"`
	samples.Report
}

func (h *handlers) openStep(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeFail(w, err)
		return
	}
	var b StepBody
	if err := h.decode(w, r, &b); err != nil {
		h.writeFail(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	step := b.step()
	if err := h.service.OpenStep(ctx, t, step); err != nil {
		h.writeFail(w, err)
		return
	}
	due := 0
	for i := range step.Groups {
		due += step.Groups[i].N
	}
	h.write(w, StepAnswer{Step: step.Step, Due: due})
}

func (b *StepBody) step() samples.StepOpened {
	s := samples.StepOpened{Step: b.Step, Model: b.Model, Customer: b.Customer}
	for _, g := range b.Groups {
		s.Groups = append(s.Groups, samples.GroupSpec(g))
	}
	return s
}

func (h *handlers) pull(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeFail(w, err)
		return
	}
	var b PullBody
	if err := h.decode(w, r, &b); err != nil {
		h.writeFail(w, err)
		return
	}
	if b.WaitMillis < 0 || b.MaxGroups < 0 {
		h.writeFail(w, api.Errorf(api.CodeInvalid, "wait_ms %d, max_groups %d; allowed: 0 or more", b.WaitMillis, b.MaxGroups))
		return
	}
	wait := min(time.Duration(min(b.WaitMillis, h.cfg.MaxWait.Milliseconds()))*time.Millisecond, h.cfg.MaxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait+h.cfg.CallTimeout)
	defer cancel()
	a, err := h.service.Pull(ctx, sampler.PullRequest{
		Trainer: t, Pull: b.Pull, Cursor: b.Cursor, MaxGroups: b.MaxGroups, InForce: b.WeightVersion, Wait: wait,
	})
	if err != nil {
		h.writeFail(w, err)
		return
	}
	h.write(w, answerOf(&a))
}

// answerOf uses empty lists in place of null.
func answerOf(a *sampler.PullAnswer) PullAnswer {
	out := PullAnswer{
		From: a.From, Next: a.Next, Pull: a.Pull, Groups: make([]GroupAnswer, 0, len(a.Groups)),
		Dropped: append([]samples.SlotRef{}, a.Dropped...), StepWhole: append([]samples.StepID{}, a.Whole...),
	}
	for _, g := range a.Groups {
		group := GroupAnswer{Step: g.Step, ID: g.Group}
		for i, s := range g.Samples {
			group.Samples = append(group.Samples, SampleAnswer{
				Index: i, Text: s.Text, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason,
			})
		}
		out.Groups = append(out.Groups, group)
	}
	return out
}

func (h *handlers) state(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeFail(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	report, err := h.service.TrainerState(ctx, t)
	if err != nil {
		h.writeFail(w, err)
		return
	}
	h.write(w, StateAnswer{Trainer: t, Report: report})
}

// trainerPattern keeps the names of log streams plain.
var trainerPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}$`)

func trainerOf(r *http.Request) (api.TrainerID, error) {
	name := r.PathValue("trainer")
	if !trainerPattern.MatchString(name) {
		return "", api.Errorf(api.CodeInvalid, "trainer %q; allowed: 1 to 64 letters, digits, '.', '_', '-'", name)
	}
	return api.TrainerID(name), nil
}

// decode reads one JSON object. Errors: CodeTooLarge, CodeInvalid.
func (h *handlers) decode(w http.ResponseWriter, r *http.Request, v any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.BodyLimit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.CodeTooLarge, "body over %d bytes", h.cfg.BodyLimit)
	case err != nil:
		return api.Errorf(api.CodeInvalid, "body truncated: %w", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return api.Errorf(api.CodeInvalid, "body: %w", err)
	}
	return nil
}

func (h *handlers) write(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		h.writeFail(w, api.Errorf(api.CodeInternal, "answer: %w", err))
		return
	}
	w.Header().Set(errmap.HeaderOutcome, api.OutcomeComplete.String())
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // a trainer that went away asks again
}
