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
	// outputRing is how many tokens of a sequence wait for its connection; a
	// sequence whose ring is full pauses.
	outputRing = 256
	// defaultMaxTokens is the length of an answer whose request names none.
	defaultMaxTokens = 16
	// crashStatus is the exit status of a crash.
	crashStatus = 3
)

// config describes the engine's speed and size.
type config struct {
	slots        int           // sequences decoded at once
	tokenTime    time.Duration // for one token of a sequence that runs alone
	growth       float64       // share of tokenTime that each further sequence adds
	prefillTime  time.Duration // for one prompt token that is not cached
	cacheEntries int
	cacheLag     time.Duration
	cacheGap     uint64
	loadLag      time.Duration
	loadTime     time.Duration
	fenced       bool
	weightStore  string
	journalLimit int // requests
	journal      *journal.File
	models       map[api.ModelName]api.WeightVersion
}

// output is what the decode loop hands to a sequence's connection.
type output struct {
	text    string
	version api.WeightVersion
	reason  string // set in the last one
	cut     bool   // close the connection
	// truncated ends the stream without its end marker.
	truncated bool
}

// sequence is one request in the queue or in the batch.
type sequence struct {
	model    api.ModelName
	messages []work.Message // without a resumed answer
	resume   string
	hash     uint32
	next     int // number of the next token
	target   int // number of the token after the last one
	reason   string
	readyAt  time.Time // end of its prefill
	out      *ring.Ring[output]
	entry    *requestEntry
	noted    api.WeightVersion // last version in the journal's file
}

// batch is the engine's state. It is used by one duty alone; time comes in.
type batch struct {
	cfg     config
	exit    func(status int)
	mode    mode
	factor  float64
	crashOn string
	waiting []*sequence
	active  []*sequence
	stepAt  time.Time // next decoding step; zero: none due
	weights *weights
	cache   *prefixCache
	reports *reports
	journal []*requestEntry
	dropped int
}

func newBatch(cfg config, exit func(int), now time.Time) *batch {
	w := &weights{fenced: cfg.fenced, versions: cfg.models, fences: make(map[api.ModelName]api.Offset)}
	b := &batch{
		cfg: cfg, exit: exit, mode: modeNormal, factor: 1, weights: w,
		cache:   newPrefixCache(cfg.cacheEntries, cfg.cacheLag, cfg.cacheGap),
		reports: &reports{lag: cfg.loadLag},
	}
	b.publish(now)
	return b
}

var wantedLength = regexp.MustCompile(`\blen=(\d{1,6})\b`)

// newSequence works out what the engine will answer. Token numbers go on
// behind a resumed text; max_tokens counts the tokens of this call only.
func newSequence(id string, q *completionRequest) *sequence {
	s := &sequence{model: q.Model, messages: q.Messages, out: ring.New[output](outputRing)}
	if last := len(q.Messages) - 1; q.ContinueFinalMessage && last >= 0 && q.Messages[last].Role == "assistant" {
		s.messages, s.resume = q.Messages[:last], q.Messages[last].Content
	}
	s.hash = tokens.Hash32(s.messages)
	s.next = tokens.Count(s.resume)
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	s.target, s.reason = s.next+limit, "length"
	if n := lengthOf(s.messages); n < s.target {
		s.target, s.reason = max(n, s.next), "stop"
	}
	s.entry = &requestEntry{RequestID: id, PromptHash: fmt.Sprintf("%08x", s.hash)}
	return s
}

// lengthOf returns the N of "len=N" in the last user message.
func lengthOf(messages []work.Message) int {
	for _, m := range slices.Backward(messages) {
		if m.Role != "user" {
			continue
		}
		if found := wantedLength.FindStringSubmatch(m.Content); found != nil {
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
		b.journal, b.dropped = b.journal[n:], b.dropped+n
	}
	if _, ok := b.weights.versions[s.model]; !ok {
		b.ended(now, s, endedRefused)
		return api.Errorf(api.CodeUnknownModel, "model %q is not loaded", s.model)
	}
	if b.mode == modeRefuse {
		b.ended(now, s, endedRefused)
		return api.Errorf(api.CodeShed, "refusing")
	}
	b.waiting = append(b.waiting, s)
	b.advance(now)
	return nil
}

// cancel forgets a sequence whose caller went away.
func (b *batch) cancel(now time.Time, s *sequence) {
	if s.entry.Ended != endedNot {
		return
	}
	same := func(o *sequence) bool { return o == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	b.ended(now, s, endedCancelled)
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
		b.stepAt = now.Add(b.interval())
	}
	if now.Before(b.stepAt) {
		return
	}
	b.step(now)
	b.admit(now)
	b.stepAt = time.Time{}
	if len(b.active) > 0 {
		b.stepAt = now.Add(b.interval())
	}
}

func (b *batch) admit(now time.Time) {
	admitted := false
	for len(b.waiting) > 0 && len(b.active) < b.cfg.slots {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		if b.crashOn != "" && s.contains(b.crashOn) {
			b.exit(crashStatus)
		}
		missing := b.cache.use(now, s.messages) + tokens.Count(s.resume)
		s.readyAt = now.Add(time.Duration(float64(missing) * b.slowdown() * float64(b.cfg.prefillTime)))
		b.active = append(b.active, s)
		admitted = true
	}
	if admitted {
		b.publish(now)
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
	b.publish(now)
}

// halfway reports whether half of the tokens to make have been made.
func (s *sequence) halfway() bool {
	return s.entry.Tokens > 0 && 2*s.entry.Tokens >= s.entry.Tokens+s.target-s.next
}

// breakOff ends a sequence early, with its connection or without.
func (b *batch) breakOff(now time.Time, s *sequence) {
	how := endedCut
	if b.mode == modeTruncate {
		how = endedTruncated
	}
	_ = s.out.TryPush(output{cut: how == endedCut, truncated: how == endedTruncated})
	s.out.Close()
	b.ended(now, s, how)
}

// emit makes the next token, or ends the sequence and returns true.
func (b *batch) emit(now time.Time, s *sequence) bool {
	if (b.mode == modeCut || b.mode == modeTruncate) && s.halfway() {
		b.breakOff(now, s)
		return true
	}
	version := b.weights.versions[s.model]
	o := output{version: version}
	if s.next < s.target {
		b.noteVersion(s, version)
		o.text = tokens.Text(s.hash, s.next)
	}
	if s.next+1 >= s.target {
		o.reason = s.reason
	}
	if s.out.TryPush(o) != nil {
		return false // its connection is slow
	}
	if o.text != "" {
		s.entry.emitted(version, s.next)
		s.next++
	}
	if o.reason == "" {
		return false
	}
	s.out.Close()
	b.ended(now, s, endedComplete)
	return true
}

// noteVersion journals, before its first token is made, that a version makes
// the tokens from here on.
func (b *batch) noteVersion(s *sequence, version api.WeightVersion) {
	if s.noted == version {
		return
	}
	s.noted = version
	b.cfg.journal.Write(journal.Line{
		Event: journal.EventTokens, RequestID: s.entry.RequestID, Version: uint64(version), From: s.next,
	})
}

// emitted journals token number i.
func (e *requestEntry) emitted(version api.WeightVersion, i int) {
	e.Tokens++
	if n := len(e.Versions); n > 0 && e.Versions[n-1].Version == version {
		e.Versions[n-1].To = i + 1
		return
	}
	e.Versions = append(e.Versions, versionRange{Version: version, From: i, To: i + 1})
}

func (b *batch) ended(now time.Time, s *sequence, how ending) {
	s.entry.Ended = how
	s.entry.EndedMillis = now.UnixMilli()
	b.cfg.journal.Write(journal.Line{Event: journal.EventEnd, RequestID: s.entry.RequestID, Ended: string(how)})
}

// interval is the time of one decoding step at the present batch size.
func (b *batch) interval() time.Duration {
	size := 1 + b.cfg.growth*float64(len(b.active)-1)
	return time.Duration(float64(b.cfg.tokenTime) * size * b.slowdown())
}

func (b *batch) slowdown() float64 {
	if b.mode == modeSlow {
		return b.factor
	}
	return 1
}

func (b *batch) publish(now time.Time) {
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
		b.factor = *c.Factor
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
		b.exit(crashStatus)
	}
	b.advance(now)
}

func (s *sequence) contains(text string) bool {
	return slices.ContainsFunc(s.messages, func(m work.Message) bool { return strings.Contains(m.Content, text) })
}
