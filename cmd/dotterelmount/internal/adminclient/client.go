// Package adminclient is the client of the daemons' admin API. Its errors
// distinguish changes that certainly did not happen from unknown results.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/lib/samples"
)

const maxResponseBytes = 64 << 20

// RefusedError is a typed error response of a daemon.
type RefusedError struct {
	Daemon  string // address
	Status  int
	Code    api.Code
	Message string
	Outcome api.Outcome // zero if missing in the response
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("daemon %s refused: %s: %s", e.Daemon, e.Code, e.Message)
}

// UnreachableError reports that no daemon accepted the request. It certainly did
// not run.
type UnreachableError struct {
	Daemons []string // addresses tried
	Cause   error    // of the last address
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon reached of %v: %v", e.Daemons, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownError reports that a change was sent without a complete response, so that
// it may or may not take effect.
type UnknownError struct {
	Daemon string // address
	Cause  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown whether daemon %s accepted the change: %v", e.Daemon, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Client calls the first available of several daemons.
type Client struct {
	HTTP     *http.Client
	Daemons  []string // addresses (host:port), tried in order
	Operator string   // name of the operator who requests changes
}

// PlanList returns the plan list in force. Errors: *RefusedError, *UnreachableError.
func (c *Client) PlanList(ctx context.Context) (adminapi.PlanListInForce, error) {
	return read[adminapi.PlanListInForce](ctx, c, adminapi.PathPlanList)
}

// UsageList returns the usage list in force. Errors: as PlanList.
func (c *Client) UsageList(ctx context.Context) (adminapi.UsageListInForce, error) {
	return read[adminapi.UsageListInForce](ctx, c, adminapi.PathUsageList)
}

// State returns the rest of the configuration in force. Errors: as PlanList.
func (c *Client) State(ctx context.Context) (adminapi.StateView, error) {
	return read[adminapi.StateView](ctx, c, adminapi.PathState)
}

// Status returns the status of the first daemon that responds. Errors: as PlanList.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	return read[adminapi.Status](ctx, c, adminapi.PathStatus)
}

// StatusAt returns the status of the daemon at one address. Errors: as PlanList.
func (c *Client) StatusAt(ctx context.Context, address string) (adminapi.Status, error) {
	single := &Client{HTTP: c.HTTP, Daemons: []string{address}}
	return single.Status(ctx)
}

// Audit returns changes from an offset on. Errors: as PlanList.
func (c *Client) Audit(ctx context.Context, from api.Offset, limit int) (adminapi.AuditPage, error) {
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
	}
	return read[adminapi.AuditPage](ctx, c, adminapi.PathAudit+"?"+query.Encode())
}

// TrainerState returns the state of a trainer as JSON. Errors: as PlanList.
func (c *Client) TrainerState(ctx context.Context, name api.TrainerID) (json.RawMessage, error) {
	return read[json.RawMessage](ctx, c, "/v1/trainers/"+url.PathEscape(string(name)))
}

// AbandonStepResponse is the response to AbandonStep.
type AbandonStepResponse struct {
	Step        samples.StepID    `json:"step"`
	Offset      api.Offset        `json:"offset"` // of the record in the trainer's stream
	LostSamples []samples.SlotRef `json:"lost"`
}

// AbandonStep abandons a step of a trainer. Errors: as PutPlanList.
func (c *Client) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID) (AbandonStepResponse, error) {
	path := "/v1/trainers/" + url.PathEscape(string(t)) + "/steps/" + url.PathEscape(string(step)) + "/abandon"
	return change[AbandonStepResponse](ctx, c, http.MethodPost, path, nil)
}

// PutPlanList publishes a plan list. Errors: *RefusedError, *UnreachableError,
// *UnknownError.
func (c *Client) PutPlanList(ctx context.Context, base api.Revision, l *api.PlanList) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: &base, List: l})
}

// PutUsageList publishes a usage list. Errors: as PutPlanList.
func (c *Client) PutUsageList(ctx context.Context, base api.Revision, l *api.UsageList) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: &base, List: l})
}

// MarkUpstream sets the mark of an upstream. Errors: as PutPlanList.
func (c *Client) MarkUpstream(ctx context.Context, id api.UpstreamID, base api.Revision, m api.Mark) (adminapi.ChangeResponse, error) {
	path := adminapi.PathUpstreams + url.PathEscape(string(id)) + "/mark"
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &base, Mark: m})
}

// AnnounceWeights announces a weight version of a model. Errors: as PutPlanList.
func (c *Client) AnnounceWeights(ctx context.Context, m api.ModelName, v api.WeightVersion) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, adminapi.PathWeights, adminapi.AnnounceWeightsRequest{Model: m, Version: v})
}

// LiftQuarantine clears the strikes of a fingerprint (hexadecimal). Errors: as
// PutPlanList.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) (adminapi.ChangeResponse, error) {
	path := adminapi.PathQuarantine + url.PathEscape(fingerprint) + "/lift"
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, path, nil)
}

// read calls the daemons in order until one responds.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var response T
	var lastErr error
	for _, address := range c.Daemons {
		data, err := c.call(ctx, http.MethodGet, address, path, nil)
		var refused *RefusedError
		if errors.As(err, &refused) && refused.Code != api.CodeNotReady {
			return response, err
		}
		if err == nil {
			err = json.Unmarshal(data, &response)
		}
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return response, &UnreachableError{Daemons: c.Daemons, Cause: lastErr}
}

// change calls the daemons in order until one may have received the request.
func change[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var none T
	data, err := json.Marshal(body)
	if err != nil {
		return none, api.Errorf(api.CodeInvalid, "encoding the request: %w", err)
	}
	var lastErr error
	for _, address := range c.Daemons {
		response, err := c.call(ctx, method, address, path, data)
		if notSent(err) {
			lastErr = err
			continue
		}
		return decodeChange[T](address, response, err)
	}
	return none, &UnreachableError{Daemons: c.Daemons, Cause: lastErr}
}

func decodeChange[T any](address string, response []byte, err error) (T, error) {
	var value T
	var refused *RefusedError
	if errors.As(err, &refused) {
		return value, err
	}
	if err == nil {
		err = json.Unmarshal(response, &value)
	}
	if err != nil {
		return value, &UnknownError{Daemon: address, Cause: err}
	}
	return value, nil
}

// notSent reports whether err proves that no part of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "daemon address %q: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(adminapi.HeaderOperator, c.Operator)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("response of %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(address, resp, data)
	}
	return data, nil
}

func refusal(address string, resp *http.Response, data []byte) *RefusedError {
	e := &RefusedError{Daemon: address, Status: resp.StatusCode}
	e.Outcome, _ = api.ParseOutcome(resp.Header.Get(errmap.HeaderOutcome)) // zero if missing
	var body errmap.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		e.Code = api.CodeInternal
		e.Message = fmt.Sprintf("status %d without a typed error", resp.StatusCode)
		return e
	}
	e.Code = body.Error.Code
	e.Message = body.Error.Message
	return e
}
