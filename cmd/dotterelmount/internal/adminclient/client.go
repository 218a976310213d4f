// Package adminclient calls the operators' interface of daemons. It tells
// what certainly did not happen from what is not known.
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

// RefusedError is a daemon's typed refusal.
type RefusedError struct {
	Daemon  string // address
	Status  int
	Code    api.Code
	Message string
	Outcome api.Outcome // zero when the daemon did not say
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("daemon %s refused: %s: %s", e.Daemon, e.Code, e.Message)
}

// UnreachableError says that no daemon took the request; it certainly did not run.
type UnreachableError struct {
	Daemons []string // addresses tried
	Cause   error    // of the last one
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon reached of %v: %v", e.Daemons, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownError says that a change was sent and its answer did not come whole:
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

// Client calls one of several daemons.
type Client struct {
	HTTP     *http.Client
	Daemons  []string // addresses (host:port), tried in order
	Operator string   // who asks for changes
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

// Status returns the first answering daemon's status. Errors: as PlanList.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	return read[adminapi.Status](ctx, c, adminapi.PathStatus)
}

// StatusAt returns the status of the daemon at one address. Errors: as PlanList.
func (c *Client) StatusAt(ctx context.Context, address string) (adminapi.Status, error) {
	one := &Client{HTTP: c.HTTP, Daemons: []string{address}}
	return one.Status(ctx)
}

// Audit returns changes from an offset on. Errors: as PlanList.
func (c *Client) Audit(ctx context.Context, from api.Offset, limit int) (adminapi.AuditPage, error) {
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
	}
	return read[adminapi.AuditPage](ctx, c, adminapi.PathAudit+"?"+query.Encode())
}

// TrainerState returns what a daemon says of a trainer. Errors: as PlanList.
func (c *Client) TrainerState(ctx context.Context, name api.TrainerID) (json.RawMessage, error) {
	return read[json.RawMessage](ctx, c, "/v1/trainers/"+url.PathEscape(string(name)))
}

// AbandonStepResponse is a daemon's answer to AbandonStep.
type AbandonStepResponse struct {
	Step        samples.StepID    `json:"step"`
	Offset      api.Offset        `json:"offset"` // of the record in the trainer's stream
	LostSamples []samples.SlotRef `json:"lost"`
}

// AbandonStep ends a trainer's step. Errors: as PutPlanList.
func (c *Client) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID) (AbandonStepResponse, error) {
	path := "/v1/trainers/" + url.PathEscape(string(t)) + "/steps/" + url.PathEscape(string(step)) + "/abandon"
	return change[AbandonStepResponse](ctx, c, http.MethodPost, path, nil)
}

// PutPlanList publishes a plan list. Errors: *RefusedError, *UnreachableError, *UnknownError.
func (c *Client) PutPlanList(ctx context.Context, base api.Revision, l *api.PlanList) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPut, adminapi.PathPlanList, adminapi.PutPlanListRequest{BaseRevision: &base, List: l})
}

// PutUsageList publishes a usage list. Errors: as PutPlanList.
func (c *Client) PutUsageList(ctx context.Context, base api.Revision, l *api.UsageList) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPut, adminapi.PathUsageList, adminapi.PutUsageListRequest{BaseRevision: &base, List: l})
}

// MarkUpstream changes the mark of an upstream. Errors: as PutPlanList.
func (c *Client) MarkUpstream(ctx context.Context, id api.UpstreamID, base api.Revision, m api.Mark) (adminapi.ChangeResponse, error) {
	path := adminapi.PathUpstreams + url.PathEscape(string(id)) + "/mark"
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, path, adminapi.MarkUpstreamRequest{BaseRevision: &base, Mark: m})
}

// AnnounceWeights puts a weight version in force. Errors: as PutPlanList.
func (c *Client) AnnounceWeights(ctx context.Context, m api.ModelName, v api.WeightVersion) (adminapi.ChangeResponse, error) {
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, adminapi.PathWeights, adminapi.AnnounceWeightsRequest{Model: m, Version: v})
}

// LiftQuarantine clears the strikes of a fingerprint (hexadecimal). Errors: as PutPlanList.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) (adminapi.ChangeResponse, error) {
	path := adminapi.PathQuarantine + url.PathEscape(fingerprint) + "/lift"
	return change[adminapi.ChangeResponse](ctx, c, http.MethodPost, path, nil)
}

// read asks one daemon after the other until one answers.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	var last error
	for _, address := range c.Daemons {
		data, err := c.call(ctx, http.MethodGet, address, path, nil)
		var refused *RefusedError
		if errors.As(err, &refused) && refused.Code != api.CodeNotReady {
			return answer, err
		}
		if err == nil {
			err = json.Unmarshal(data, &answer)
		}
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return answer, &UnreachableError{Daemons: c.Daemons, Cause: last}
}

// change asks one daemon after the other until one may have got the request.
func change[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var none T
	data, err := json.Marshal(body)
	if err != nil {
		return none, api.Errorf(api.CodeInvalid, "encode: %w", err)
	}
	var last error
	for _, address := range c.Daemons {
		answer, err := c.call(ctx, method, address, path, data)
		if notSent(err) {
			last = err
			continue
		}
		return changed[T](address, answer, err)
	}
	return none, &UnreachableError{Daemons: c.Daemons, Cause: last}
}

func changed[T any](address string, answer []byte, err error) (T, error) {
	var value T
	var refused *RefusedError
	if errors.As(err, &refused) {
		return value, err
	}
	if err == nil {
		err = json.Unmarshal(answer, &value)
	}
	if err != nil {
		return value, &UnknownError{Daemon: address, Cause: err}
	}
	return value, nil
}

// notSent reports whether err proves that no byte of the request left.
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
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, refusal(address, res, data)
	}
	return data, nil
}

func refusal(address string, res *http.Response, data []byte) *RefusedError {
	e := &RefusedError{Daemon: address, Status: res.StatusCode}
	e.Outcome, _ = api.ParseOutcome(res.Header.Get(errmap.HeaderOutcome)) // zero when not said
	var body errmap.Body
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		e.Code = api.CodeInternal
		e.Message = fmt.Sprintf("status %d without a typed error", res.StatusCode)
		return e
	}
	e.Code = body.Error.Code
	e.Message = body.Error.Message
	return e
}
