package trainerapi

import (
	"context"
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
)

// HeaderOperator names the operator who abandons a step; without it the
// trainer is taken to do so itself.
const HeaderOperator = "X-Operator"

// AbandonStepResponse is the answer of POST /v1/trainers/{trainer}/steps/{step}/abandon.
type AbandonStepResponse struct {
	Step   samples.StepID `json:"step"`
	Offset api.Offset     `json:"offset"` // of the record in the trainer's stream
	// LostSamples lists the samples that will not be made or handed any more. What was
	// handed and not taken is lost with the trainer's next pull.
	LostSamples []samples.SlotRef `json:"lost"`
}

func (h *handlers) abandonStep(w http.ResponseWriter, r *http.Request) {
	t, err := trainerOf(r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	by := r.Header.Get(HeaderOperator)
	if by == "" {
		by = "trainer " + string(t)
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.cfg.CallTimeout)
	defer cancel()
	step := samples.StepID(r.PathValue("step"))
	a, err := h.service.AbandonStep(ctx, t, step, by)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, AbandonStepResponse{Step: step, Offset: a.Offset, LostSamples: append([]samples.SlotRef{}, a.LostSamples...)})
}
