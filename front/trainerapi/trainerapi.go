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
	AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, by string) (sampler.AbandonResult, error)
	Pull(ctx context.Context, r sampler.PullRequest) (sampler.PullResult, error)
	TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error)
}

// Config bounds what the handlers accept.
type Config struct {
	MaxBodyBytes int64         // bytes
	CallTimeout  time.Duration // of a call, on top of a pull's own wait
	MaxWait      time.Duration // longest wait of a pull
}

type handlers struct {
	cfg        Config
	service    Service
	writeError ErrorWriter
}

// Register adds the trainers' routes to mux.
func Register(mux *http.ServeMux, cfg Config, s Service, fail ErrorWriter) {
	h := &handlers{cfg: cfg, service: s, writeError: fail}
	mux.HandleFunc("POST /v1/trainers/{trainer}/steps", h.openStep)
	mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}/abandon", h.abandonStep)
	mux.HandleFunc("POST /v1/trainers/{trainer}/pull", h.pull)
	mux.HandleFunc("GET /v1/trainers/{trainer}", h.trainerState)
}

// OpenStepRequest is the body of POST /v1/trainers/{trainer}/steps.
type OpenStepRequest struct {
	Customer api.CustomerID `json:"customer"`
	Model    api.ModelName  `json:"model"`
	Step     samples.StepID `json:"step"`
	Groups   []GroupSpec    `json:"groups"`
}

// GroupSpec is one group of a step.
type GroupSpec struct {
	ID        samples.GroupID `json:"id"`
	Messages  []work.Message  `json:"messages"`
	N         int             `json:"n"`
	MaxTokens int             `json:"max_tokens"`
}

// OpenStepResponse says that a step's samples are due.
type OpenStepResponse struct {
	Step       samples.StepID `json:"step"`
	SamplesDue int            `json:"due"` // samples
}

// PullRequest is the body of POST /v1/trainers/{trainer}/pull.
type PullRequest struct {
	Cursor        api.Offset        `json:"cursor"`
	PullNumber    uint64            `json:"pull"`
	MaxGroups     int               `json:"max_groups"`
	WeightVersion api.WeightVersion `json:"weight_version"`
	WaitMillis    int64             `json:"wait_ms"`
}

// PullResponse is the answer to a pull. Next is the cursor to store with the samples.
type PullResponse struct {
	FromOffset     api.Offset        `json:"from"`
	NextOffset     api.Offset        `json:"next"`
	PullNumber     uint64            `json:"pull"`
	Groups         []GroupResponse   `json:"groups"`
	DroppedSamples []samples.SlotRef `json:"dropped"`
	CompletedSteps []samples.StepID  `json:"step_whole"`
}

// GroupResponse is a whole group.
type GroupResponse struct {
	Step    samples.StepID   `json:"step"`
	ID      samples.GroupID  `json:"id"`
	Samples []SampleResponse `json:"samples"`
}

// SampleResponse is one sample with the weight versions that produced it.
type SampleResponse struct {
	Index        int                 `json:"index"`
	Text         string              `json:"text"`
	Tokens       int                 `json:"tokens"`
	Versions     []api.WeightVersion `json:"versions"`
	FinishReason string              `json:"finish_reason"`
}

// StateResponse is the answer of GET /v1/trainers/{trainer}.
type StateResponse struct {
	Trainer api.TrainerID `json:"trainer"`
	samples.Report
}

func (h *handlers) openStep(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	var b OpenStepRequest
	if err := h.decode(w, r, &b); err != nil {
		h.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	step := b.step()
	if err := h.service.OpenStep(ctx, t, step); err != nil {
		h.writeError(w, err)
		return
	}
	due := 0
	for i := range step.Groups {
		due += step.Groups[i].N
	}
	h.writeJSON(w, OpenStepResponse{Step: step.Step, SamplesDue: due})
}

func (b *OpenStepRequest) step() samples.StepOpened {
	s := samples.StepOpened{Step: b.Step, Model: b.Model, Customer: b.Customer}
	for _, g := range b.Groups {
		s.Groups = append(s.Groups, samples.GroupSpec(g))
	}
	return s
}

func (h *handlers) pull(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	var b PullRequest
	if err := h.decode(w, r, &b); err != nil {
		h.writeError(w, err)
		return
	}
	if b.WaitMillis < 0 || b.MaxGroups < 0 {
		h.writeError(w, api.Errorf(api.CodeInvalid, "wait_ms %d, max_groups %d; allowed: 0 or more", b.WaitMillis, b.MaxGroups))
		return
	}
	wait := min(time.Duration(min(b.WaitMillis, h.cfg.MaxWait.Milliseconds()))*time.Millisecond, h.cfg.MaxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait+h.cfg.CallTimeout)
	defer cancel()
	a, err := h.service.Pull(ctx, sampler.PullRequest{
		Trainer: t, PullNumber: b.PullNumber, Cursor: b.Cursor, MaxGroups: b.MaxGroups, KnownVersion: b.WeightVersion, Wait: wait,
	})
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, newPullResponse(&a))
}

// newPullResponse uses empty lists in place of null.
func newPullResponse(a *sampler.PullResult) PullResponse {
	out := PullResponse{
		FromOffset: a.FromOffset, NextOffset: a.NextOffset, PullNumber: a.PullNumber, Groups: make([]GroupResponse, 0, len(a.Groups)),
		DroppedSamples: append([]samples.SlotRef{}, a.DroppedSamples...), CompletedSteps: append([]samples.StepID{}, a.CompletedSteps...),
	}
	for _, g := range a.Groups {
		group := GroupResponse{Step: g.Step, ID: g.Group}
		for i, s := range g.Samples {
			group.Samples = append(group.Samples, SampleResponse{
				Index: i, Text: s.Text, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason,
			})
		}
		out.Groups = append(out.Groups, group)
	}
	return out
}

func (h *handlers) trainerState(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	report, err := h.service.TrainerState(ctx, t)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, StateResponse{Trainer: t, Report: report})
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
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return api.Errorf(api.CodeTooLarge, "body over %d bytes", h.cfg.MaxBodyBytes)
	case err != nil:
		return api.Errorf(api.CodeInvalid, "body truncated: %w", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return api.Errorf(api.CodeInvalid, "body: %w", err)
	}
	return nil
}

func (h *handlers) writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		h.writeError(w, api.Errorf(api.CodeInternal, "answer: %w", err))
		return
	}
	w.Header().Set(errmap.HeaderOutcome, api.OutcomeComplete.String())
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // a trainer that went away asks again
}
