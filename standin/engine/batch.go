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
	// outputRingSize is how many tokens of a sequence wait for its connection; a
	// sequence whose ring is full pauses.
	outputRingSize = 256
	// defaultMaxTokens is the length of an answer whose request names none.
	defaultMaxTokens = 16
	// crashExitStatus is the exit status of a crash.
	crashExitStatus = 3
)

// config describes the engine's speed and size.
type config struct {
	slots         int           // sequences decoded at once
	tokenTime     time.Duration // for one token of a sequence that runs alone
	batchGrowth   float64       // share of tokenTime that each further sequence adds
	prefillTime   time.Duration // for one prompt token that is not cached
	cacheEntries  int
	cacheLag      time.Duration
	cacheGapEvery uint64
	loadLag       time.Duration
	loadTime      time.Duration
	fenced        bool
	weightStore   string
	journalLimit  int // requests
	journal       *journal.File
	models        map[api.ModelName]api.WeightVersion
}

// output is what the decode loop hands to a sequence's connection.
type output struct {
	text          string
	version       api.WeightVersion
	finishReason  string // set in the last one
	cutConnection bool   // close the connection
	// truncated ends the stream without its end marker.
	truncated bool
}

// sequence is one request in the queue or in the batch.
type sequence struct {
	model             api.ModelName
	messages          []work.Message // without a resumed answer
	resumeText        string
	promptHash        uint32
	nextToken         int // number of the next token
	endToken          int // number of the token after the last one
	finishReason      string
	readyAt           time.Time // end of its prefill
	outputs           *ring.Ring[output]
	entry             *requestEntry
	journalledVersion api.WeightVersion // last version in the journal's file
}

// batch is the engine's state. It is used by one duty alone; time comes in.
type batch struct {
	cfg            config
	exit           func(status int)
	mode           mode
	slowFactor     float64
	crashOn        string
	waiting        []*sequence
	active         []*sequence
	stepAt         time.Time // next decoding step; zero: none due
	weights        *weights
	cache          *prefixCache
	reports        *reports
	journal        []*requestEntry
	droppedEntries int
}

func newBatch(cfg config, exit func(int), now time.Time) *batch {
	w := &weights{fenced: cfg.fenced, versions: cfg.models, fences: make(map[api.ModelName]api.Offset)}
	b := &batch{
		cfg: cfg, exit: exit, mode: modeNormal, slowFactor: 1, weights: w,
		cache:   newPrefixCache(cfg.cacheEntries, cfg.cacheLag, cfg.cacheGapEvery),
		reports: &reports{lag: cfg.loadLag},
	}
	b.publishLoad(now)
	return b
}

var lengthPattern = regexp.MustCompile(`\blen=(\d{1,6})\b`)

// newSequence works out what the engine will answer. Token numbers go on
// behind a resumed text; max_tokens counts the tokens of this call only.
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

// requestedLength returns the N of "len=N" in the last user message.
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

// submit journals a request and queues it unless the engine refuses it.
// Errors: CodeUnknownModel, CodeShed.
func (b *batch) submit(now time.Time, s *sequence) error {
	s.entry.StartedMillis = now.UnixMilli()
	b.journal = append(b.journal, s.entry)
	if n := len(b.journal) - b.cfg.journalLimit; n > 0 {
		b.journal, b.droppedEntries = b.journal[n:], b.droppedEntries+n
	}
	if _, ok := b.weights.versions[s.model]; !ok {
		b.recordEnd(now, s, endedRefused)
		return api.Errorf(api.CodeUnknownModel, "model %q is not loaded", s.model)
	}
	if b.mode == modeRefuse {
		b.recordEnd(now, s, endedRefused)
		return api.Errorf(api.CodeShed, "refusing")
	}
	b.waiting = append(b.waiting, s)
	b.advance(now)
	return nil
}

// cancel forgets a sequence whose caller went away.
func (b *batch) cancel(now time.Time, s *sequence) {
	if s.entry.Ended != notEnded {
		return
	}
	same := func(o *sequence) bool { return o == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	b.recordEnd(now, s, endedCancelled)
	b.advance(now)
}

// advance admits what has room and does the decoding step that is due.
func (b *batch) advance(now time.Time) {
	if b.mode == modeHang {
		return
	}
	b.admit(now)
	if len(b.active) == 0 {
		b.stepAt = time.Time{}
		return
	}
	if b.stepAt.IsZero() {
		b.stepAt = now.Add(b.stepInterval())
	}
	if now.Before(b.stepAt) {
		return
	}
	b.step(now)
	b.admit(now)
	b.stepAt = time.Time{}
	if len(b.active) > 0 {
		b.stepAt = now.Add(b.stepInterval())
	}
}

func (b *batch) admit(now time.Time) {
	admitted := false
	for len(b.waiting) > 0 && len(b.active) < b.cfg.slots {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		if b.crashOn != "" && s.contains(b.crashOn) {
			b.exit(crashExitStatus)
		}
		missing := b.cache.access(now, s.messages) + tokens.Count(s.resumeText)
		s.readyAt = now.Add(time.Duration(float64(missing) * b.slowdown() * float64(b.cfg.prefillTime)))
		b.active = append(b.active, s)
		admitted = true
	}
	if admitted {
		b.publishLoad(now)
	}
}

// step emits one token of each sequence that is past its prefill.
func (b *batch) step(now time.Time) {
	kept := b.active[:0]
	for _, s := range b.active {
		if now.Before(s.readyAt) || !b.emit(now, s) {
			kept = append(kept, s)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
	b.publishLoad(now)
}

// halfway reports whether half of the tokens to make have been made.
func (s *sequence) halfway() bool {
	return s.entry.Tokens > 0 && 2*s.entry.Tokens >= s.entry.Tokens+s.endToken-s.nextToken
}

// abort ends a sequence early, with its connection or without.
func (b *batch) abort(now time.Time, s *sequence) {
	how := endedCut
	if b.mode == modeTruncate {
		how = endedTruncated
	}
	_ = s.outputs.TryPush(output{cutConnection: how == endedCut, truncated: how == endedTruncated})
	s.outputs.Close()
	b.recordEnd(now, s, how)
}

// emit makes the next token, or ends the sequence and returns true.
func (b *batch) emit(now time.Time, s *sequence) bool {
	if (b.mode == modeCut || b.mode == modeTruncate) && s.halfway() {
		b.abort(now, s)
		return true
	}
	version := b.weights.versions[s.model]
	o := output{version: version}
	if s.nextToken < s.endToken {
		b.journalVersion(s, version)
		o.text = tokens.Token(s.promptHash, s.nextToken)
	}
	if s.nextToken+1 >= s.endToken {
		o.finishReason = s.finishReason
	}
	if s.outputs.TryPush(o) != nil {
		return false // its connection is slow
	}
	if o.text != "" {
		s.entry.addToken(version, s.nextToken)
		s.nextToken++
	}
	if o.finishReason == "" {
		return false
	}
	s.outputs.Close()
	b.recordEnd(now, s, endedComplete)
	return true
}

// journalVersion journals, before its first token is made, that a version makes
// the tokens from here on.
func (b *batch) journalVersion(s *sequence, version api.WeightVersion) {
	if s.journalledVersion == version {
		return
	}
	s.journalledVersion = version
	b.cfg.journal.Write(journal.Line{
		Event: journal.EventTokens, RequestID: s.entry.RequestID, Version: uint64(version), From: s.nextToken,
	})
}

// addToken journals token number i.
func (e *requestEntry) addToken(version api.WeightVersion, i int) {
	e.Tokens++
	if n := len(e.Versions); n > 0 && e.Versions[n-1].Version == version {
		e.Versions[n-1].To = i + 1
		return
	}
	e.Versions = append(e.Versions, versionRange{Version: version, From: i, To: i + 1})
}

func (b *batch) recordEnd(now time.Time, s *sequence, how ending) {
	s.entry.Ended = how
	s.entry.EndedMillis = now.UnixMilli()
	b.cfg.journal.Write(journal.Line{Event: journal.EventEnd, RequestID: s.entry.RequestID, Ended: string(how)})
}

// stepInterval is the time of one decoding step at the present batch size.
func (b *batch) stepInterval() time.Duration {
	size := 1 + b.cfg.batchGrowth*float64(len(b.active)-1)
	return time.Duration(float64(b.cfg.tokenTime) * size * b.slowdown())
}

func (b *batch) slowdown() float64 {
	if b.mode == modeSlow {
		return b.slowFactor
	}
	return 1
}

func (b *batch) publishLoad(now time.Time) {
	b.reports.add(now, loadReport{
		Running:      len(b.active),
		Waiting:      len(b.waiting),
		KVCacheUsage: float64(len(b.active)) / float64(max(1, b.cfg.slots)),
		Models:       modelList(b.weights.versions),
	})
}

// control changes the engine's behaviour.
func (b *batch) control(now time.Time, c controlBody) {
	if c.Factor != nil {
		b.slowFactor = *c.Factor
	}
	if c.CrashOn != nil {
		b.crashOn = *c.CrashOn
	}
	if c.FailLoads != nil {
		b.weights.failLoads = *c.FailLoads
	}
	if c.Mode != nil {
		b.mode = *c.Mode
	}
	if b.mode == modeCrash {
		b.exit(crashExitStatus)
	}
	b.advance(now)
}

func (s *sequence) contains(text string) bool {
	return slices.ContainsFunc(s.messages, func(m work.Message) bool { return strings.Contains(m.Content, text) })
}
