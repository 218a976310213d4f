package main

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRateLimit(t *testing.T) {
	now := time.Unix(100, 0)
	h := newHandler(0.5, 1, func() time.Time { return now })
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		return w
	}
	assert.Equal(t, get("/v1/weights/m/x").Code, 400)
	assert.Equal(t, get("/v1/weights/m/1").Code, 200)
	limited := get("/v1/weights/m/1")
	assert.Equal(t, limited.Code, 429)
	assert.Equal(t, limited.Header().Get("Retry-After"), "2")
	now = now.Add(2 * time.Second)
	assert.Equal(t, get("/v1/weights/m/1").Code, 200)
}
