package httpupstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/work"
)

const (
	pathLoadReport  = "/load"
	pathWeights     = "/v1/weights"
	pathLoadWeights = "/v1/load_weights"
	codeStaleFence  = "stale-fence"
)

type modelBody struct {
	Name    api.ModelName     `json:"name"`
	Version api.WeightVersion `json:"version"`
}

type loadReportBody struct {
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	Models  []modelBody `json:"models"`
}

type weightsBody struct {
	Models []modelBody `json:"models"`
}

type loadOrderBody struct {
	Model   api.ModelName     `json:"model"`
	Version api.WeightVersion `json:"version"`
	Fence   api.Offset        `json:"fence"`
}

type failureBody struct {
	Error errorBody `json:"error"`
}

// CallPlain implements upstream.Client. A response whose end cannot be
// distinguished from a lost connection counts as truncated.
func (c *Client) CallPlain(ctx context.Context, t upstream.Target, id api.RequestID, p *work.Plain) (upstream.PlainResponse, error) {
	k := c.newCall(ctx, t)
	resp, err := k.do(request{method: p.Method, path: p.Path, contentType: p.ContentType, id: id, body: p.Body})
	if err != nil {
		return upstream.PlainResponse{}, k.fail(err)
	}
	defer resp.Body.Close()
	body, err := k.readAll(resp)
	if err != nil {
		return upstream.PlainResponse{}, k.fail(err)
	}
	if !framed(resp) {
		return upstream.PlainResponse{}, k.fail(api.Errorf(api.CodeTruncated, "response has neither a length nor an end marker"))
	}
	contentType := resp.Header.Get("Content-Type")
	return upstream.PlainResponse{Status: resp.StatusCode, ContentType: contentType, Body: body}, nil
}

// framed reports whether net/http can detect a truncated body.
func framed(resp *http.Response) bool {
	if resp.Request.Method == http.MethodHead {
		return true
	}
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// Status implements upstream.Client.
func (c *Client) Status(ctx context.Context, t upstream.Target) (upstream.Status, error) {
	var b loadReportBody
	err := c.newCall(ctx, t).exchangeJSON(request{method: http.MethodGet, path: pathLoadReport}, &b)
	if err != nil {
		return upstream.Status{}, err
	}
	return upstream.Status{Running: b.Running, Waiting: b.Waiting, LoadedVersions: versions(b.Models)}, nil
}

// LoadedVersions implements upstream.Client.
func (c *Client) LoadedVersions(ctx context.Context, t upstream.Target) (map[api.ModelName]api.WeightVersion, error) {
	var b weightsBody
	err := c.newCall(ctx, t).exchangeJSON(request{method: http.MethodGet, path: pathWeights}, &b)
	if err != nil {
		return nil, err
	}
	return versions(b.Models), nil
}

// LoadWeights implements upstream.Client. An order that the engine rejects
// because of an outdated fence fails with CodeSuperseded.
func (c *Client) LoadWeights(ctx context.Context, t upstream.Target, o upstream.LoadOrder) error {
	k := c.newCall(ctx, t)
	body, err := json.Marshal(loadOrderBody(o))
	if err != nil {
		return k.fail(err)
	}
	err = k.exchangeJSON(request{method: http.MethodPost, path: pathLoadWeights, contentType: "application/json", body: body}, nil)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	var f failureBody
	if json.Unmarshal([]byte(status.Body), &f) == nil && f.Error.Code == codeStaleFence {
		return k.fail(api.Errorf(api.CodeSuperseded, "fence %d is outdated: %w", o.Fence, status))
	}
	return err
}

func versions(models []modelBody) map[api.ModelName]api.WeightVersion {
	loaded := make(map[api.ModelName]api.WeightVersion, len(models))
	for _, m := range models {
		loaded[m.Name] = m.Version
	}
	return loaded
}
