package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChangesBecomeVisibleAfterTheLag(t *testing.T) {
	now := time.Unix(100, 0)
	h := newHandler(time.Second, func() time.Time { return now })
	call := func(method, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "/v1/hosts", strings.NewReader(body)))
		return w
	}
	assert.Equal(t, call("POST", `{"id":"a","address":"127.0.0.1:1","state":"gone"}`).Code, 400)
	assert.Equal(t, call("POST", `{"id":"a","address":"127.0.0.1:1","state":"live"}`).Code, 204)
	assert.Equal(t, call("GET", "").Body.String(), `{"hosts":[]}`+"\n")
	now = now.Add(time.Second)
	assert.Equal(t, call("POST", `{"id":"a","address":"127.0.0.1:1","state":"leaving"}`).Code, 204)
	assert.Assert(t, strings.Contains(call("GET", "").Body.String(), `"live"`))
	now = now.Add(time.Second)
	assert.Assert(t, strings.Contains(call("GET", "").Body.String(), `"leaving"`))
}

func TestUnchangedListIsNotModified(t *testing.T) {
	now := time.Unix(100, 0)
	h := newHandler(time.Second, func() time.Time { return now })
	get := func(etag string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest("GET", "/v1/hosts", nil)
		r.Header.Set("If-None-Match", etag)
		h.ServeHTTP(w, r)
		return w
	}
	first := get("")
	assert.Equal(t, first.Code, 200)
	etag := first.Header().Get("ETag")
	assert.Equal(t, get(etag).Code, 304)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/hosts", strings.NewReader(`{"id":"a","address":"127.0.0.1:1","state":"live"}`)))
	assert.Equal(t, get(etag).Code, 304) // the change is not visible yet
	now = now.Add(time.Second)
	assert.Equal(t, get(etag).Code, 200)
}
