package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/upstream"
	"dotterelmount.example/lib/upstream/httpupstream"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
	"gotest.tools/v3/assert"
)

func testConfig() config {
	return config{
		slots: 2, tokenTime: 200 * time.Microsecond, cacheEntries: 4, journalLimit: 100,
		models: map[api.ModelName]api.WeightVersion{"m": 1},
	}
}

type fixture struct {
	t      *testing.T
	url    string
	client *httpupstream.Client
	target upstream.Target
	exits  chan int
}

func startEngine(t *testing.T, cfg config) *fixture {
	f := &fixture{t: t, client: httpupstream.New(httpupstream.Options{}), exits: make(chan int, 1)}
	h := newHandler(cfg, func(status int) { f.exits <- status })
	server := httptest.NewServer(h.routes())
	t.Cleanup(func() {
		h.gate.setClosed(false)
		server.Close()
		assert.Check(t, h.loop.stop(t.Context()) == nil || t.Context().Err() != nil)
	})
	f.url = server.URL
	f.target = upstream.Target{ID: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	return f
}

func (f *fixture) control(body string) {
	f.t.Helper()
	r, err := http.Post(f.url+"/control", "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	assert.NilError(f.t, r.Body.Close())
	assert.Equal(f.t, r.StatusCode, http.StatusNoContent)
}

func (f *fixture) journal() journalBody {
	f.t.Helper()
	r, err := http.Get(f.url + "/journal")
	assert.NilError(f.t, err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	assert.NilError(f.t, err)
	var j journalBody
	assert.NilError(f.t, json.NewDecoder(bytes.NewReader(body)).Decode(&j))
	return j
}

// generate runs one request; onChunk, if set, is called with each chunk.
func (f *fixture) generate(g *work.Generate, onChunk func(work.Chunk) error) (string, upstream.Finish, error) {
	text := ""
	finish, err := f.client.Generate(f.t.Context(), f.target, "r", "m", g, func(c work.Chunk) error {
		text += c.Text
		if onChunk != nil {
			return onChunk(c)
		}
		return nil
	})
	return text, finish, err
}

func userPrompt(content string, maxTokens int) *work.Generate {
	return &work.Generate{Messages: []work.Message{{Role: "user", Content: content}}, MaxTokens: maxTokens}
}

func TestOutputIsCompleteAndResumable(t *testing.T) {
	f := startEngine(t, testConfig())
	for _, c := range []struct {
		name, prompt, reason string
		max, resumed, want   int // tokens
	}{
		{"ends at max_tokens", "hello", "length", 5, 0, 5},
		{"ends at the requested length", "hello len=3", "stop", 5, 0, 3},
		{"resumed partway", "hello len=6", "stop", 9, 2, 4},
		{"resumed at the end", "hello len=2", "stop", 9, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := userPrompt(c.prompt, c.max)
			g.ResumeText = tokens.Output(g.Messages, c.resumed)
			text, finish, err := f.generate(g, nil)
			assert.NilError(t, err)
			assert.Equal(t, g.ResumeText+text, tokens.Output(g.Messages, c.resumed+c.want))
			assert.Equal(t, finish, upstream.Finish{Reason: c.reason, Tokens: c.want})
		})
	}
}

func TestStreamContinuesAcrossWeightLoad(t *testing.T) {
	f := startEngine(t, testConfig())
	loaded := false
	var last api.WeightVersion
	_, _, err := f.generate(userPrompt("x", 2000), func(c work.Chunk) error {
		last = c.Version
		if loaded {
			return nil
		}
		loaded = true
		return f.client.LoadWeights(t.Context(), f.target, upstream.LoadOrder{Model: "m", Version: 2})
	})
	assert.NilError(t, err)
	assert.Equal(t, last, api.WeightVersion(2))
	j := f.journal()
	assert.Equal(t, len(j.Requests[0].Versions), 2)
	assert.Equal(t, j.Requests[0].Ended, endedComplete)
	assert.Equal(t, j.Orders[0].Result, resultLoaded)
}

func TestLoadOrdersAreFencedAndMayFail(t *testing.T) {
	cfg := testConfig()
	cfg.fenced = true
	f := startEngine(t, cfg)
	load := func(version api.WeightVersion, fence api.Offset) api.Code {
		err := f.client.LoadWeights(t.Context(), f.target, upstream.LoadOrder{Model: "m", Version: version, Fence: fence})
		var call *upstream.CallError
		if errors.As(err, &call) {
			return call.Code
		}
		assert.NilError(t, err)
		return ""
	}
	assertLoaded := func(version api.WeightVersion) {
		t.Helper()
		loaded, err := f.client.LoadedVersions(t.Context(), f.target)
		assert.NilError(t, err)
		assert.Equal(t, loaded["m"], version)
	}
	assert.Equal(t, load(3, 10), api.Code(""))
	assert.Equal(t, load(2, 9), api.CodeSuperseded)
	assertLoaded(3)
	f.control(`{"fail_loads":1}`)
	assert.Equal(t, load(4, 11), api.CodeUpstreamFailed)
	assertLoaded(3)
	assert.Equal(t, load(4, 11), api.Code(""))
	assertLoaded(4)
}

func TestControlledFaults(t *testing.T) {
	t.Run("cut", func(t *testing.T) {
		f := startEngine(t, testConfig())
		f.control(`{"mode":"cut"}`)
		text, _, err := f.generate(userPrompt("x", 8), nil)
		assert.Assert(t, err != nil)
		assert.Equal(t, text, tokens.Output(userPrompt("x", 8).Messages, 4))
		assert.Equal(t, f.journal().Requests[0].Ended, endedCut)
	})
	t.Run("refuse", func(t *testing.T) {
		f := startEngine(t, testConfig())
		f.control(`{"mode":"refuse"}`)
		_, _, err := f.generate(userPrompt("x", 8), nil)
		var call *upstream.CallError
		assert.Assert(t, errors.As(err, &call))
		assert.Equal(t, call.Status, http.StatusServiceUnavailable)
	})
	t.Run("hang, then continue", func(t *testing.T) {
		f := startEngine(t, testConfig())
		chunks := 0
		text, _, err := f.generate(userPrompt("x", 600), func(work.Chunk) error {
			chunks++
			if chunks == 1 {
				f.control(`{"mode":"hang"}`)
				assert.Check(t, f.journal().Requests[0].Ended == notEnded)
				f.control(`{"mode":"normal"}`)
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, text, tokens.Output(userPrompt("x", 600).Messages, 600))
	})
	t.Run("crash on a prompt", func(t *testing.T) {
		f := startEngine(t, testConfig())
		f.control(`{"crash_on":"poison"}`)
		_, _, err := f.generate(userPrompt("some poison", 1), nil)
		assert.NilError(t, err) // the exit function of the test only records the status
		assert.Equal(t, <-f.exits, crashExitStatus)
	})
	t.Run("caller disconnects", func(t *testing.T) {
		f := startEngine(t, testConfig())
		errCaller := api.Errorf(api.CodeCancelled, "caller disconnected")
		_, _, err := f.generate(userPrompt("x", 100_000), func(work.Chunk) error { return errCaller })
		assert.Assert(t, errors.Is(err, errCaller))
		deadline := time.Now().Add(10 * time.Second)
		for f.journal().Requests[0].Ended != endedCancelled {
			assert.Assert(t, time.Now().Before(deadline))
		}
	})
}

func TestAdmissionIsFIFOWithinSlots(t *testing.T) {
	now := time.Unix(100, 0)
	e := newEngine(testConfig(), func(int) {}, now)
	var all []*sequence
	for range 4 {
		s := newSequence("r", &completionRequest{Model: "m", Messages: userPrompt("x", 2).Messages, MaxTokens: 2})
		assert.NilError(t, e.submit(now, s))
		all = append(all, s)
	}
	assert.Equal(t, len(e.active), 2)
	for len(e.active) > 0 {
		now = e.stepAt
		e.advance(now)
		assert.Assert(t, all[1].entry.Tokens >= all[2].entry.Tokens)
		assert.Assert(t, len(e.active) <= 2)
	}
	for _, s := range all {
		assert.Equal(t, s.entry.Tokens, 2)
	}
	assert.Equal(t, e.reports.visible(now).Running, 0)
}

func TestPrefixCacheHitsAndLaggingEvents(t *testing.T) {
	now := time.Unix(100, 0)
	c := newPrefixCache(2, time.Second, 3)
	messages := []work.Message{{Content: "one two"}, {Content: "three"}}
	assert.Equal(t, c.access(now, messages), 3)
	assert.Equal(t, c.access(now, messages), 0)
	assert.Equal(t, c.access(now, messages[1:]), 1)
	assert.Equal(t, len(c.eventsFrom(now, 1).Events), 0)
	events := c.eventsFrom(now.Add(time.Second), 1)
	assert.Equal(t, len(events.Events), 3, "the third of four events is lost")
	assert.Equal(t, events.Next, uint64(5))
}

func TestLoadReportLags(t *testing.T) {
	r := &reports{lag: time.Second}
	now := time.Unix(100, 0)
	r.add(now, loadReport{Running: 1})
	r.add(now.Add(500*time.Millisecond), loadReport{Running: 2})
	assert.Equal(t, r.visible(now.Add(1400*time.Millisecond)).Running, 1)
	assert.Equal(t, r.visible(now.Add(1500*time.Millisecond)).Running, 2)
}
