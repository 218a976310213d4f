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
	// fetchTimeout limits one load's reading of the weight store, its waits for
	// the rate limit included.
	fetchTimeout = time.Minute
	// defaultRetryAfter replaces a missing Retry-After of the weight store.
	defaultRetryAfter = time.Second
)

// loader carries out orders to load weights.
type loader struct {
	cfg    config
	loop   *loop
	client *http.Client
}

// storeError reports an answer of the weight store other than 200 and 429.
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
	// Like a real engine, goes on with the load when whoever ordered it is gone.
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
		serve.WriteError(w, http.StatusBadGateway, result, "the old version stays")
	}
}

// load returns the order's result. Errors: *duty.FullError.
func (l *loader) load(ctx context.Context, o loadOrder) (string, error) {
	begin := ring.NewSlot[beginResult]()
	started, err := postAndWait(ctx, l.loop, beginLoadCommand{order: o, reply: begin}, begin)
	if err != nil {
		return "", err
	}
	if started.refusal != "" {
		return started.refusal, nil
	}
	ok := l.fetch(ctx, o) == nil
	if ok {
		_ = sleep(ctx, l.cfg.loadTime)
	}
	reply := ring.NewSlot[string]()
	commit := commitLoadCommand{entry: started.entry, ok: ok, reply: reply}
	if err := l.loop.duty.PostWait(ctx, commit); err != nil {
		return "", err
	}
	return reply.Wait(ctx)
}

// fetch reads the weights, waiting as long as the weight store says when it
// limits the rate. Errors: *storeError, those of the connection, ctx.Err().
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

func (l *loader) fetchOnce(ctx context.Context, o loadOrder) (int, time.Duration, error) {
	url := fmt.Sprintf("%s/v1/weights/%s/%d", l.cfg.weightStore, o.Model, o.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, 0, err
	}
	retryAfter := defaultRetryAfter
	if n, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && n > 0 {
		retryAfter = time.Duration(n) * time.Second
	}
	return answer.StatusCode, retryAfter, nil
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
