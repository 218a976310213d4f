// Package errmap maps typed errors and outcomes to HTTP responses. All HTTP front
// ends use it, so that an error code has the same status everywhere.
package errmap

import (
	"encoding/json"
	"errors"
	"net/http"

	"dotterelmount.example/api"
)

// HeaderOutcome is the header that carries the outcome of a request.
const HeaderOutcome = "X-Outcome"

// retryAfterSeconds is the Retry-After value of status 429.
const retryAfterSeconds = "1"

// Values of the "type" field of an error in the OpenAI API.
const (
	typeInvalid     = "invalid_request_error"
	typePermission  = "permission_error"
	typeNotFound    = "not_found_error"
	typeConflict    = "conflict_error"
	typeRateLimit   = "rate_limit_error"
	typeTimeout     = "timeout_error"
	typeUnavailable = "service_unavailable_error"
	typeUpstream    = "upstream_error"
	typeServer      = "server_error"
)

var statuses = map[api.Code]int{
	api.CodeInvalid:          http.StatusBadRequest,
	api.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	api.CodeTruncated:        http.StatusBadGateway,
	api.CodeUnknownCustomer:  http.StatusForbidden,
	api.CodeUnknownPlan:      http.StatusNotFound,
	api.CodeUnknownModel:     http.StatusNotFound,
	api.CodeUnknownUpstream:  http.StatusNotFound,
	api.CodeUnknownTrainer:   http.StatusNotFound,
	api.CodeUnknownStep:      http.StatusNotFound,
	api.CodeConflict:         http.StatusConflict,
	api.CodeStillInUse:       http.StatusConflict,
	api.CodeStaleVersion:     http.StatusConflict,
	api.CodeDuplicateKey:     http.StatusConflict,
	api.CodeSuperseded:       http.StatusConflict,
	api.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	api.CodeCancelled:        http.StatusBadGateway,
	api.CodeShed:             http.StatusTooManyRequests,
	api.CodeQuotaExceeded:    http.StatusTooManyRequests,
	api.CodeQuarantined:      http.StatusUnprocessableEntity,
	api.CodeNoUpstream:       http.StatusServiceUnavailable,
	api.CodeUpstreamFailed:   http.StatusBadGateway,
	api.CodeUpstreamSilent:   http.StatusBadGateway,
	api.CodeLogUnavailable:   http.StatusServiceUnavailable,
	api.CodeUnknownResult:    http.StatusGatewayTimeout,
	api.CodeNotReady:         http.StatusServiceUnavailable,
	api.CodeInternal:         http.StatusInternalServerError,
}

var types = map[int]string{
	http.StatusBadRequest:            typeInvalid,
	http.StatusRequestEntityTooLarge: typeInvalid,
	http.StatusUnprocessableEntity:   typeInvalid,
	http.StatusForbidden:             typePermission,
	http.StatusNotFound:              typeNotFound,
	http.StatusConflict:              typeConflict,
	http.StatusTooManyRequests:       typeRateLimit,
	http.StatusGatewayTimeout:        typeTimeout,
	http.StatusServiceUnavailable:    typeUnavailable,
	http.StatusBadGateway:            typeUpstream,
}

// Body is the JSON body of every error response.
type Body struct {
	Error   Detail `json:"error"`
	Outcome string `json:"outcome"`
}

// Detail is an error object as in the OpenAI API.
type Detail struct {
	Message string   `json:"message"`
	Type    string   `json:"type"`
	Code    api.Code `json:"code"`
}

// Status returns the HTTP status of a code; 500 for an unknown code.
func Status(code api.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// NewBody returns the body for err and outcome.
func NewBody(err error, outcome api.Outcome) Body {
	code := api.CodeOf(err)
	errorType, ok := types[Status(code)]
	if !ok {
		errorType = typeServer
	}
	return Body{
		Error:   Detail{Message: message(err), Type: errorType, Code: code},
		Outcome: outcome.String(),
	}
}

// Write writes a response with the status, outcome header and JSON body of err.
// It must be called before any part of the response is written.
func Write(w http.ResponseWriter, err error, outcome api.Outcome) {
	status := Status(api.CodeOf(err))
	h := w.Header()
	h.Set(HeaderOutcome, outcome.String())
	h.Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(NewBody(err, outcome))
}

func message(err error) string {
	if err == nil {
		return ""
	}
	var e *api.Error
	if errors.As(err, &e) && e.Detail != "" {
		return e.Detail
	}
	return err.Error()
}
