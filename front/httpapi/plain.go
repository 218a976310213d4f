package httpapi

import (
	"net/http"

	"dotterelmount.example/api"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/fingerprint"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/server/intake"
)

// plain forwards a request to a plain service.
func (h *handler) plain(w http.ResponseWriter, r *http.Request) {
	q, body, err := h.readRequest(w, r)
	if err != nil {
		errmap.Write(w, err, api.OutcomeNotRun)
		return
	}
	defer q.cancel()
	service := r.PathValue("service")
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	q.job.Model = api.ModelName(service)
	q.job.Call = work.Call{Plain: &work.Plain{
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
	}}
	q.job.Fingerprint = fingerprint.Plain(service, q.job.Call.Plain)
	result, replayed := h.run(q, nil)
	setResponseHeaders(w, result, replayed)
	if result.Err != nil {
		errmap.Write(w, result.Err, result.Outcome)
		return
	}
	if err := intake.Answer(r.Context(), len(result.Body)); err != nil {
		errmap.Write(w, intake.APIError(err), api.OutcomeUnknown)
		return
	}
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body) // fails only if the caller disconnected
}
