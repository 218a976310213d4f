// Package trainerapi is the HTTP API for trainers. It decodes requests, calls the
// sampler and encodes responses; it makes no decisions.
package trainerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/intake"
	"dotterelmount.example/server/sampler"
)

// ErrorWriter writes the response for a typed error.
type ErrorWriter func(http.ResponseWriter, error)

// Service handles trainers' calls; *sampler.Sampler implements it.
type Service interface {
	OpenStep(ctx context.Context, t api.TrainerID, step samples.StepOpened) error
	AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, actor string) (sampler.AbandonResult, error)
	Pull(ctx context.Context, r sampler.PullRequest) (sampler.PullResult, error)
	TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error)
}

// Config holds the limits of the handlers.
type Config struct {
	MaxBodyBytes int64         // bytes
	CallTimeout  time.Duration // of a call, in addition to the wait of a pull
	MaxWait      time.Duration // longest wait of a pull
}

type handlers struct {
	cfg        Config
	service    Service
	writeError ErrorWriter
}

// Register adds the routes for trainers to mux.
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

// GroupSpec describes one group of a step.
type GroupSpec struct {
	ID        samples.GroupID `json:"id"`
	Messages  []work.Message  `json:"messages"`
	N         int             `json:"n"`
	MaxTokens int             `json:"max_tokens"`
}

// OpenStepResponse is the response to POST /v1/trainers/{trainer}/steps.
type OpenStepResponse struct {
	Step       samples.StepID `json:"step"`
	SamplesDue int            `json:"due"`
}

// PullRequest is the body of POST /v1/trainers/{trainer}/pull.
type PullRequest struct {
	Cursor        api.Offset        `json:"cursor"`
	PullNumber    uint64            `json:"pull"`
	MaxGroups     int               `json:"max_groups"`
	WeightVersion api.WeightVersion `json:"weight_version"`
	WaitMillis    int64             `json:"wait_ms"`
}

// PullResponse is the response to a pull. The trainer stores NextOffset, the
// cursor of the next pull, with the samples.
type PullResponse struct {
	FromOffset     api.Offset        `json:"from"`
	NextOffset     api.Offset        `json:"next"`
	PullNumber     uint64            `json:"pull"`
	Groups         []GroupResponse   `json:"groups"`
	DroppedSamples []samples.SlotRef `json:"dropped"`
	CompletedSteps []samples.StepID  `json:"step_whole"`
}

// GroupResponse is a complete group.
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

// StateResponse is the response to GET /v1/trainers/{trainer}.
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
	var req OpenStepRequest
	if err := h.decode(w, r, &req); err != nil {
		h.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	step := req.step()
	if err := h.service.OpenStep(ctx, t, step); err != nil {
		h.writeError(w, err)
		return
	}
	samplesDue := 0
	for i := range step.Groups {
		samplesDue += step.Groups[i].N
	}
	h.writeJSON(w, OpenStepResponse{Step: step.Step, SamplesDue: samplesDue})
}

func (req *OpenStepRequest) step() samples.StepOpened {
	s := samples.StepOpened{Step: req.Step, Model: req.Model, Customer: req.Customer}
	for _, g := range req.Groups {
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
	var req PullRequest
	if err := h.decode(w, r, &req); err != nil {
		h.writeError(w, err)
		return
	}
	if req.WaitMillis < 0 || req.MaxGroups < 0 {
		h.writeError(w, api.Errorf(api.CodeInvalid, "wait_ms %d, max_groups %d; must be 0 or more", req.WaitMillis, req.MaxGroups))
		return
	}
	wait := min(time.Duration(min(req.WaitMillis, h.cfg.MaxWait.Milliseconds()))*time.Millisecond, h.cfg.MaxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait+h.cfg.CallTimeout)
	defer cancel()
	result, err := h.service.Pull(ctx, sampler.PullRequest{
		Trainer: t, PullNumber: req.PullNumber, Cursor: req.Cursor, MaxGroups: req.MaxGroups, KnownVersion: req.WeightVersion, Wait: wait,
	})
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writePull(w, r, newPullResponse(&result))
}

// newPullResponse converts a result. Empty lists are encoded as [], not null.
func newPullResponse(result *sampler.PullResult) PullResponse {
	resp := PullResponse{
		FromOffset: result.FromOffset, NextOffset: result.NextOffset, PullNumber: result.PullNumber, Groups: make([]GroupResponse, 0, len(result.Groups)),
		DroppedSamples: append([]samples.SlotRef{}, result.DroppedSamples...), CompletedSteps: append([]samples.StepID{}, result.CompletedSteps...),
	}
	for _, g := range result.Groups {
		group := GroupResponse{Step: g.Step, ID: g.Group}
		for i, s := range g.Samples {
			group.Samples = append(group.Samples, SampleResponse{
				Index: i, Text: s.Text, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason,
			})
		}
		resp.Groups = append(resp.Groups, group)
	}
	return resp
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

// trainerPattern restricts trainer names, because log streams are named after
// them.
var trainerPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]{0,63}$`)

func trainerOf(r *http.Request) (api.TrainerID, error) {
	name := r.PathValue("trainer")
	if !trainerPattern.MatchString(name) {
		return "", api.Errorf(api.CodeInvalid, "trainer %q; must be 1 to 64 letters, digits, '.', '_' or '-'", name)
	}
	return api.TrainerID(name), nil
}

// decode reads a JSON body into v. Errors: CodeTooLarge, CodeShed,
// CodeInvalid.
func (h *handlers) decode(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := intake.Body(w, r, h.cfg.MaxBodyBytes)
	if err != nil {
		return intake.APIError(err)
	}
	if err := intake.ClaimJSON(r.Context(), data); err != nil {
		return intake.APIError(err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return api.Errorf(api.CodeInvalid, "decoding the body: %w", err)
	}
	return nil
}

// writePull responds to a pull. A trainer repeats a pull that is refused.
func (h *handlers) writePull(w http.ResponseWriter, r *http.Request, resp PullResponse) {
	size := 0
	for _, g := range resp.Groups {
		for _, s := range g.Samples {
			size += len(s.Text)
		}
	}
	if err := intake.Answer(r.Context(), size); err != nil {
		h.writeError(w, intake.APIError(err))
		return
	}
	h.writeJSON(w, resp)
}

func (h *handlers) writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		h.writeError(w, api.Errorf(api.CodeInternal, "encoding the response: %w", err))
		return
	}
	w.Header().Set(errmap.HeaderOutcome, api.OutcomeComplete.String())
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a trainer whose connection broke repeats the call
}
