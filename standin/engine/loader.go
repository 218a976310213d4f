package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dotterelmount.example/lib/ring"
	"dotterelmount.example/standin/serve"
)

const (
	// fetchTimeout limits the download of one load from the weight store,
	// including the waits for its rate limit.
	fetchTimeout = time.Minute
	// defaultRetryAfter applies if the weight store sends no Retry-After.
	defaultRetryAfter = time.Second
)

// loader executes load orders.
type loader struct {
	cfg    config
	loop   *loop
	client *http.Client
}

// storeError reports a response of the weight store with a status other than 200
// and 429.
type storeError struct{ status int }

// Error implements error.
func (e *storeError) Error() string { return fmt.Sprintf("weight store: status %d", e.status) }

func newLoader(cfg config, l *loop) *loader {
	return &loader{cfg: cfg, loop: l, client: &http.Client{Timeout: fetchTimeout}}
}

func (h *handler) loadWeights(w http.ResponseWriter, r *http.Request) {
	var o loadOrder
	if !serve.DecodeJSON(w, r, &o) {
		return
	}
	// As in a real engine, the load continues if the caller disconnects.
	result, err := h.loader.load(context.WithoutCancel(r.Context()), o)
	switch {
	case err != nil:
		serve.WriteError(w, http.StatusServiceUnavailable, "busy", err.Error())
	case result == resultLoaded:
		serve.WriteJSON(w, http.StatusOK, modelBody{Name: o.Model, Version: o.Version})
	case result == resultStaleFence:
		serve.WriteError(w, http.StatusConflict, result, fmt.Sprintf("fence %d", o.Fence))
	case result == resultUnknownModel:
		serve.WriteError(w, http.StatusNotFound, result, string(o.Model))
	default:
		serve.WriteError(w, http.StatusBadGateway, result, "load failed; the previous version stays loaded")
	}
}

// load executes a load order and returns its result. Errors: *duty.FullError,
// *ring.ClosedError, ctx.Err().
func (l *loader) load(ctx context.Context, o loadOrder) (string, error) {
	beginReply := ring.NewSlot[beginResult]()
	begun, err := postAndWait(ctx, l.loop, beginLoadCommand{order: o, reply: beginReply}, beginReply)
	if err != nil {
		return "", err
	}
	if begun.refusal != "" {
		return begun.refusal, nil
	}
	ok := l.fetch(ctx, o) == nil
	if ok {
		_ = sleep(ctx, l.cfg.loadTime)
	}
	reply := ring.NewSlot[string]()
	commit := commitLoadCommand{entry: begun.entry, ok: ok, reply: reply}
	if err := l.loop.duty.PostWait(ctx, commit); err != nil {
		return "", err
	}
	return reply.Wait(ctx)
}

// fetch downloads the weights. While the weight store limits the rate, it retries
// after the delay that the store asks for. Errors: *storeError, those of the
// connection, ctx.Err().
func (l *loader) fetch(ctx context.Context, o loadOrder) error {
	if l.cfg.weightStore == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		status, retryAfter, err := l.fetchOnce(ctx, o)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			return nil
		}
		if status != http.StatusTooManyRequests {
			return &storeError{status: status}
		}
		if err := sleep(ctx, retryAfter); err != nil {
			return err
		}
	}
}

// fetchOnce returns the status of one download and the delay before the next
// attempt. Errors: those of the connection, ctx.Err().
func (l *loader) fetchOnce(ctx context.Context, o loadOrder) (int, time.Duration, error) {
	url := fmt.Sprintf("%s/v1/weights/%s/%d", l.cfg.weightStore, o.Model, o.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, err
	}
	retryAfter := defaultRetryAfter
	if n, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && n > 0 {
		retryAfter = time.Duration(n) * time.Second
	}
	return response.StatusCode, retryAfter, nil
}

// sleep waits for d or until ctx ends. Errors: ctx.Err().
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
