package main

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
	"dotterelmount.example/standin/journal"
)

const (
	// outputRingSize is the number of tokens buffered for a connection; a
	// sequence whose ring is full is not decoded further.
	outputRingSize = 256
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 16
	// crashExitStatus is the process's exit status on a simulated crash.
	crashExitStatus = 3
)

// config describes the engine's speed and size.
type config struct {
	slots         int           // maximum number of sequences decoded concurrently
	tokenTime     time.Duration // time of a decoding step of one sequence
	batchGrowth   float64       // fraction of tokenTime that each further sequence adds to a step
	prefillTime   time.Duration // per prompt token that is not cached
	cacheEntries  int           // capacity of the prefix cache
	cacheLag      time.Duration // delay until a cache event can be read
	cacheGapEvery uint64        // every n-th cache event is lost; zero: none
	loadLag       time.Duration // age of the load report that is served
	loadTime      time.Duration // duration of loading a weight version
	fenced        bool          // refuse load orders with a stale fencing token
	weightStore   string        // URL; empty: none
	journalLimit  int           // requests kept in memory
	journal       *journal.File
	models        map[api.ModelName]api.WeightVersion
}

// output is one message from the decode duty to a sequence's connection.
type output struct {
	text          string
	version       api.WeightVersion
	finishReason  string // set only in the last output
	cutConnection bool
	// truncated ends the stream without its end marker.
	truncated bool
}

// sequence is one request, waiting or in the batch.
type sequence struct {
	model             api.ModelName
	messages          []work.Message // without the assistant message of a resumed generation
	resumeText        string         // content of that message
	promptHash        uint32
	nextToken         int // number of the next token
	endToken          int // number after that of the last token
	finishReason      string
	readyAt           time.Time // end of the prefill
	outputs           *ring.Ring[output]
	entry             *requestEntry
	journalledVersion api.WeightVersion // last version written to the journal file
}

// engine is the state of the stand-in. Only the decode duty uses it; the time is
// passed in, so that tests control it.
type engine struct {
	cfg            config
	exit           func(status int)
	mode           mode
	slowFactor     float64
	crashOn        string // crash on a prompt that contains it; empty: none
	waiting        []*sequence
	active         []*sequence // the batch
	stepAt         time.Time   // next decoding step; zero: none scheduled
	weights        *weights
	cache          *prefixCache
	reports        *reports
	journal        []*requestEntry
	droppedEntries int // of the journal
}

func newEngine(cfg config, exit func(int), now time.Time) *engine {
	w := &weights{fenced: cfg.fenced, versions: cfg.models, fences: make(map[api.ModelName]api.Offset)}
	e := &engine{
		cfg: cfg, exit: exit, mode: modeNormal, slowFactor: 1, weights: w,
		cache:   newPrefixCache(cfg.cacheEntries, cfg.cacheLag, cfg.cacheGapEvery),
		reports: &reports{lag: cfg.loadLag},
	}
	e.publishLoad(now)
	return e
}

var lengthPattern = regexp.MustCompile(`\blen=(\d{1,6})\b`)

// newSequence computes the length and the finish reason of a generation. The
// numbering of tokens continues after a resumed text; max_tokens counts only
// the tokens of this request.
func newSequence(id string, q *completionRequest) *sequence {
	s := &sequence{model: q.Model, messages: q.Messages, outputs: ring.New[output](outputRingSize)}
	if last := len(q.Messages) - 1; q.ContinueFinalMessage && last >= 0 && q.Messages[last].Role == "assistant" {
		s.messages, s.resumeText = q.Messages[:last], q.Messages[last].Content
	}
	s.promptHash = tokens.PromptHash(s.messages)
	s.nextToken = tokens.Count(s.resumeText)
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	s.endToken, s.finishReason = s.nextToken+limit, "length"
	if n := requestedLength(s.messages); n < s.endToken {
		s.endToken, s.finishReason = max(n, s.nextToken), "stop"
	}
	s.entry = &requestEntry{RequestID: id, PromptHash: fmt.Sprintf("%08x", s.promptHash)}
	return s
}

// requestedLength returns the N of "len=N" in the last user message, or
// math.MaxInt if there is none.
func requestedLength(messages []work.Message) int {
	for _, m := range slices.Backward(messages) {
		if m.Role != "user" {
			continue
		}
		if found := lengthPattern.FindStringSubmatch(m.Content); found != nil {
			n, _ := strconv.Atoi(found[1])
			return n
		}
		break
	}
	return math.MaxInt
}

// submit records a request in the journal and queues it unless it is refused.
// Errors: CodeUnknownModel, CodeShed.
func (e *engine) submit(now time.Time, s *sequence) error {
	s.entry.StartedMillis = now.UnixMilli()
	e.journal = append(e.journal, s.entry)
	if n := len(e.journal) - e.cfg.journalLimit; n > 0 {
		e.journal, e.droppedEntries = e.journal[n:], e.droppedEntries+n
	}
	if _, ok := e.weights.versions[s.model]; !ok {
		e.recordEnd(now, s, endedRefused)
		return api.Errorf(api.CodeUnknownModel, "model %q is not loaded", s.model)
	}
	if e.mode == modeRefuse {
		e.recordEnd(now, s, endedRefused)
		return api.Errorf(api.CodeShed, "refusing")
	}
	e.waiting = append(e.waiting, s)
	e.advance(now)
	return nil
}

// cancel removes a sequence whose caller disconnected.
func (e *engine) cancel(now time.Time, s *sequence) {
	if s.entry.Ended != notEnded {
		return
	}
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.active = slices.DeleteFunc(e.active, same)
	e.recordEnd(now, s, endedCancelled)
	e.advance(now)
}

// advance admits waiting sequences to free slots and runs the decoding step
// that is due.
func (e *engine) advance(now time.Time) {
	if e.mode == modeHang {
		return
	}
	e.admit(now)
	if len(e.active) == 0 {
		e.stepAt = time.Time{}
		return
	}
	if e.stepAt.IsZero() {
		e.stepAt = now.Add(e.stepInterval())
	}
	if now.Before(e.stepAt) {
		return
	}
	e.step(now)
	e.admit(now)
	e.stepAt = time.Time{}
	if len(e.active) > 0 {
		e.stepAt = now.Add(e.stepInterval())
	}
}

// admit moves waiting sequences to free slots, oldest first.
func (e *engine) admit(now time.Time) {
	admitted := false
	for len(e.waiting) > 0 && len(e.active) < e.cfg.slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.crashOn != "" && s.contains(e.crashOn) {
			e.exit(crashExitStatus)
		}
		uncached := e.cache.access(now, s.messages) + tokens.Count(s.resumeText)
		s.readyAt = now.Add(time.Duration(float64(uncached) * e.slowdown() * float64(e.cfg.prefillTime)))
		e.active = append(e.active, s)
		admitted = true
	}
	if admitted {
		e.publishLoad(now)
	}
}

// step emits one token of each sequence whose prefill has ended.
func (e *engine) step(now time.Time) {
	kept := e.active[:0]
	for _, s := range e.active {
		if now.Before(s.readyAt) || !e.emit(now, s) {
			kept = append(kept, s)
		}
	}
	clear(e.active[len(kept):])
	e.active = kept
	e.publishLoad(now)
}

// halfway reports whether at least half of the sequence's tokens have been
// generated.
func (s *sequence) halfway() bool {
	return s.entry.Tokens > 0 && 2*s.entry.Tokens >= s.entry.Tokens+s.endToken-s.nextToken
}

// abort ends a sequence early: in mode truncate it ends the stream, otherwise it
// closes the connection.
func (e *engine) abort(now time.Time, s *sequence) {
	end := endedCut
	if e.mode == modeTruncate {
		end = endedTruncated
	}
	_ = s.outputs.TryPush(output{cutConnection: end == endedCut, truncated: end == endedTruncated})
	s.outputs.Close()
	e.recordEnd(now, s, end)
}

// emit generates the sequence's next token and reports whether the sequence has
// ended. A sequence whose output ring is full is left unchanged.
func (e *engine) emit(now time.Time, s *sequence) bool {
	if (e.mode == modeCut || e.mode == modeTruncate) && s.halfway() {
		e.abort(now, s)
		return true
	}
	version := e.weights.versions[s.model]
	o := output{version: version}
	if s.nextToken < s.endToken {
		e.journalVersion(s, version)
		o.text = tokens.Token(s.promptHash, s.nextToken)
	}
	if s.nextToken+1 >= s.endToken {
		o.finishReason = s.finishReason
	}
	if s.outputs.TryPush(o) != nil {
		return false // the connection is slow
	}
	if o.text != "" {
		s.entry.addToken(version, s.nextToken)
		s.nextToken++
	}
	if o.finishReason == "" {
		return false
	}
	s.outputs.Close()
	e.recordEnd(now, s, endedComplete)
	return true
}

// journalVersion records in the journal file that version generates the tokens from
// nextToken on. It is called before the first of them is generated.
func (e *engine) journalVersion(s *sequence, version api.WeightVersion) {
	if s.journalledVersion == version {
		return
	}
	s.journalledVersion = version
	e.cfg.journal.Write(journal.Line{
		Event: journal.EventTokens, RequestID: s.entry.RequestID, Version: uint64(version), From: s.nextToken,
	})
}

// addToken records that version generated token number i.
func (e *requestEntry) addToken(version api.WeightVersion, i int) {
	e.Tokens++
	if n := len(e.Versions); n > 0 && e.Versions[n-1].Version == version {
		e.Versions[n-1].To = i + 1
		return
	}
	e.Versions = append(e.Versions, versionRange{Version: version, From: i, To: i + 1})
}

func (e *engine) recordEnd(now time.Time, s *sequence, end ending) {
	s.entry.Ended = end
	s.entry.EndedMillis = now.UnixMilli()
	e.cfg.journal.Write(journal.Line{Event: journal.EventEnd, RequestID: s.entry.RequestID, Ended: string(end)})
}

// stepInterval returns the duration of a decoding step at the current batch size.
func (e *engine) stepInterval() time.Duration {
	factor := 1 + e.cfg.batchGrowth*float64(len(e.active)-1)
	return time.Duration(float64(e.cfg.tokenTime) * factor * e.slowdown())
}

func (e *engine) slowdown() float64 {
	if e.mode == modeSlow {
		return e.slowFactor
	}
	return 1
}

func (e *engine) publishLoad(now time.Time) {
	e.reports.add(now, loadReport{
		Running:      len(e.active),
		Waiting:      len(e.waiting),
		KVCacheUsage: float64(len(e.active)) / float64(max(1, e.cfg.slots)),
		Models:       modelList(e.weights.versions),
	})
}

// control changes the engine's behaviour as the body of POST /control says.
func (e *engine) control(now time.Time, c controlBody) {
	if c.Factor != nil {
		e.slowFactor = *c.Factor
	}
	if c.CrashOn != nil {
		e.crashOn = *c.CrashOn
	}
	if c.FailLoads != nil {
		e.weights.failLoads = *c.FailLoads
	}
	if c.Mode != nil {
		e.mode = *c.Mode
	}
	if e.mode == modeCrash {
		e.exit(crashExitStatus)
	}
	e.advance(now)
}

func (s *sequence) contains(text string) bool {
	return slices.ContainsFunc(s.messages, func(m work.Message) bool { return strings.Contains(m.Content, text) })
}
