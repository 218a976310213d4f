package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/server/intake"
)

const (
	maxBodyBytes      = 8 << 20 // enough for lists of some thousand upstreams
	defaultAuditLimit = 100     // entries
	maxAuditLimit     = 1000    // entries
	fingerprintBits   = 64
)

type handler struct{ service Service }

// NewHandler returns the handler of all routes under /v1/admin/.
func NewHandler(service Service) http.Handler {
	h := &handler{service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathPlanList, h.getPlanList)
	mux.HandleFunc("PUT "+PathPlanList, h.putPlanList)
	mux.HandleFunc("GET "+PathUsageList, h.getUsageList)
	mux.HandleFunc("PUT "+PathUsageList, h.putUsageList)
	mux.HandleFunc("POST "+PathUpstreams+"{id}/mark", h.postMark)
	mux.HandleFunc("POST "+PathWeights, h.postWeights)
	mux.HandleFunc("POST "+PathQuarantine+"{fingerprint}/lift", h.postLift)
	mux.HandleFunc("GET "+PathStatus, h.getStatus)
	mux.HandleFunc("GET "+PathAudit, h.getAudit)
	mux.HandleFunc("GET "+PathState, h.getState)
	return mux
}

func (h *handler) getPlanList(w http.ResponseWriter, _ *http.Request) {
	s := h.service.State()
	writeJSON(w, PlanListInForce{Revision: s.PlansRevision, List: *s.Plans})
}

func (h *handler) getUsageList(w http.ResponseWriter, _ *http.Request) {
	s := h.service.State()
	writeJSON(w, UsageListInForce{Revision: s.UsageRevision, List: *s.Usage})
}

func (h *handler) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, NewStateView(h.service.State()))
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, h.service.Status(r.Context()))
}

func (h *handler) putPlanList(w http.ResponseWriter, r *http.Request) {
	var in PutPlanListRequest
	h.publish(w, r, &in, func() (api.RecordBody, error) {
		if in.BaseRevision == nil || in.List == nil {
			return nil, missingList()
		}
		return api.PublishPlanList{Base: *in.BaseRevision, List: *in.List}, in.List.Validate()
	})
}

func (h *handler) putUsageList(w http.ResponseWriter, r *http.Request) {
	var in PutUsageListRequest
	h.publish(w, r, &in, func() (api.RecordBody, error) {
		if in.BaseRevision == nil || in.List == nil {
			return nil, missingList()
		}
		return api.PublishUsageList{Base: *in.BaseRevision, List: *in.List}, in.List.Validate()
	})
}

func missingList() error { return api.Errorf(api.CodeInvalid, "base and list are required") }

// publish decodes a request body into in and proposes the record that build
// returns.
func (h *handler) publish(w http.ResponseWriter, r *http.Request, in any, build func() (api.RecordBody, error)) {
	if err := decode(w, r, in); err != nil {
		refuse(w, err)
		return
	}
	body, err := build()
	if err != nil {
		refuse(w, err)
		return
	}
	h.propose(w, r, body)
}

func (h *handler) postMark(w http.ResponseWriter, r *http.Request) {
	var in MarkUpstreamRequest
	h.publish(w, r, &in, func() (api.RecordBody, error) {
		switch {
		case in.BaseRevision == nil:
			return nil, api.Errorf(api.CodeInvalid, "base is required")
		case in.Mark != api.MarkActive && in.Mark != api.MarkDraining:
			return nil, api.Errorf(api.CodeInvalid, "mark %q; must be active or draining", in.Mark)
		}
		return api.MarkUpstream{Base: *in.BaseRevision, Upstream: api.UpstreamID(r.PathValue("id")), Mark: in.Mark}, nil
	})
}

func (h *handler) postWeights(w http.ResponseWriter, r *http.Request) {
	var in AnnounceWeightsRequest
	h.publish(w, r, &in, func() (api.RecordBody, error) {
		if in.Model == "" || in.Version == 0 {
			return nil, api.Errorf(api.CodeInvalid, "model and a version above 0 are required")
		}
		return api.AnnounceWeights{Model: in.Model, Version: in.Version}, nil
	})
}

func (h *handler) postLift(w http.ResponseWriter, r *http.Request) {
	text := r.PathValue("fingerprint")
	f, err := strconv.ParseUint(text, 16, fingerprintBits)
	if err != nil {
		refuse(w, api.Errorf(api.CodeInvalid, "fingerprint %q; must be hexadecimal: %w", text, err))
		return
	}
	h.propose(w, r, api.LiftQuarantine{Fingerprint: api.Fingerprint(f)})
}

func (h *handler) getAudit(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from", 1)
	if err != nil {
		refuse(w, err)
		return
	}
	limit, err := queryUint(r, "limit", defaultAuditLimit)
	if err != nil {
		refuse(w, err)
		return
	}
	if limit < 1 || limit > maxAuditLimit {
		refuse(w, api.Errorf(api.CodeInvalid, "limit %d; must be 1 to %d", limit, maxAuditLimit))
		return
	}
	entries, err := h.service.Audit(r.Context(), api.Offset(from), int(limit))
	if err != nil {
		errmap.Write(w, err, api.OutcomeFailed)
		return
	}
	writeJSON(w, AuditPage{Entries: entries})
}

func (h *handler) propose(w http.ResponseWriter, r *http.Request, body api.RecordBody) {
	actor := r.Header.Get(HeaderOperator)
	if actor == "" {
		refuse(w, api.Errorf(api.CodeInvalid, "header %s is required", HeaderOperator))
		return
	}
	verdict, err := h.service.Propose(r.Context(), body, actor)
	if err != nil {
		errmap.Write(w, err, outcomeOf(err))
		return
	}
	if verdict.Err != nil {
		refuse(w, verdict.Err)
		return
	}
	writeJSON(w, ChangeResponse{RecordID: verdict.ID, Revision: verdict.Offset})
}

// outcomeOf returns the outcome of a change that failed without a verdict. Only
// errors before the append prove that the record is not in the log.
func outcomeOf(err error) api.Outcome {
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return api.OutcomeUnknown
	}
	switch api.CodeOf(err) {
	case api.CodeLogUnavailable, api.CodeNotReady, api.CodeInvalid, api.CodeShed, api.CodeTooLarge:
		return api.OutcomeNotRun
	default:
		return api.OutcomeUnknown
	}
}

func refuse(w http.ResponseWriter, err error) { errmap.Write(w, err, api.OutcomeNotRun) }

// decode reads a body with exactly one JSON value; unknown fields are an error.
// Errors: CodeInvalid, CodeTooLarge, CodeShed.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := intake.Body(w, r, maxBodyBytes)
	if err != nil {
		return intake.APIError(err)
	}
	if err := intake.ClaimJSON(r.Context(), data); err != nil {
		return intake.APIError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return api.Errorf(api.CodeInvalid, "body has more than one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return api.Errorf(api.CodeInvalid, "body is truncated: %w", err)
	}
	return api.Errorf(api.CodeInvalid, "decoding the body: %w", err)
}

func queryUint(r *http.Request, key string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, api.Errorf(api.CodeInvalid, "%s %q; must be a whole number: %w", key, text, err)
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(errmap.HeaderOutcome, api.OutcomeComplete.String())
	// A failed write means that the client disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
