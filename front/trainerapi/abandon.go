package trainerapi

import (
	"context"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
)

// HeaderOperator is the header with the name of the operator who abandons a step;
// without it, the trainer is recorded as the actor.
const HeaderOperator = "X-Operator"

// AbandonStepResponse is the response to
// POST /v1/trainers/{trainer}/steps/{step}/abandon.
type AbandonStepResponse struct {
	Step   samples.StepID `json:"step"`
	Offset api.Offset     `json:"offset"` // of the record in the trainer's stream
	// LostSamples are the samples that will be neither generated nor delivered.
	// Samples that were handed over but not confirmed by the trainer are lost with
	// its next pull.
	LostSamples []samples.SlotRef `json:"lost"`
}

func (h *handlers) abandonStep(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	actor := r.Header.Get(HeaderOperator)
	if actor == "" {
		actor = "trainer " + string(t)
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	step := samples.StepID(r.PathValue("step"))
	result, err := h.service.AbandonStep(ctx, t, step, actor)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, AbandonStepResponse{Step: step, Offset: result.Offset, LostSamples: append([]samples.SlotRef{}, result.LostSamples...)})
}
