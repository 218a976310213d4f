package main

import (
	"dotterelmount.example/api"
	"dotterelmount.example/lib/work"
)

// completionRequest is the body of POST /v1/chat/completions.
type completionRequest struct {
	Model                api.ModelName  `json:"model"`
	Messages             []work.Message `json:"messages"`
	MaxTokens            int            `json:"max_tokens"`
	Stream               bool           `json:"stream"`
	ContinueFinalMessage bool           `json:"continue_final_message"`
}

// chunkBody is one event of an answer.
type chunkBody struct {
	ID            string            `json:"id"`
	Object        string            `json:"object"`
	Model         api.ModelName     `json:"model"`
	WeightVersion api.WeightVersion `json:"weight_version"`
	Choices       []choiceBody      `json:"choices"`
	Usage         *usageBody        `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int       `json:"index"`
	Delta        deltaBody `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type deltaBody struct {
	Content string `json:"content"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"` // of this call
}

type modelBody struct {
	Name    api.ModelName     `json:"name"`
	Version api.WeightVersion `json:"version"`
}

// weightsBody is the answer of GET /v1/weights.
type weightsBody struct {
	Models []modelBody `json:"models"`
}

// loadReport is the answer of GET /load.
type loadReport struct {
	Running      int         `json:"running"`
	Waiting      int         `json:"waiting"`
	KVCacheUsage float64     `json:"kv_cache_usage"`
	AsOfMillis   int64       `json:"as_of_millis"`
	Models       []modelBody `json:"models"`
}

// loadOrder is the body of POST /v1/load_weights.
type loadOrder struct {
	Model   api.ModelName     `json:"model"`
	Version api.WeightVersion `json:"version"`
	Fence   api.Offset        `json:"fence"`
}

// controlBody is the body of POST /control; absent fields change nothing.
type controlBody struct {
	Mode      *mode    `json:"mode"`
	Factor    *float64 `json:"factor"`     // of mode slow
	CrashOn   *string  `json:"crash_on"`   // empty: no crash
	FailLoads *int     `json:"fail_loads"` // the next loads that fail partway
}

// mode is how the engine behaves.
type mode string

const (
	modeNormal mode = "normal"
	modeSlow   mode = "slow"
	modeHang   mode = "hang"
	modeCrash  mode = "crash"
	modeRefuse mode = "refuse"
	modeCut    mode = "cut"
	// modeTruncate ends streams halfway without their end marker, on
	// connections that stay whole.
	modeTruncate mode = "truncate"
)

func (m mode) valid() bool {
	switch m {
	case modeNormal, modeSlow, modeHang, modeCrash, modeRefuse, modeCut, modeTruncate:
		return true
	default:
		return false
	}
}

// cacheEvent tells of a prefix that entered or left the cache.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"`   // "stored" or "removed"
	Prefix string `json:"prefix"` // 64-bit FNV-1a, in hexadecimal, of the prefix's contents joined by newlines
}

// cacheEventsBody is the answer of GET /v1/cache_events.
type cacheEventsBody struct {
	Events []cacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// journalBody is the answer of GET /journal.
type journalBody struct {
	Requests []*requestEntry `json:"requests"`
	Orders   []*orderEntry   `json:"orders"`
	Dropped  int             `json:"dropped"` // old requests left out
}

// requestEntry tells what became of one request that arrived.
type requestEntry struct {
	RequestID     string         `json:"request_id"`
	PromptHash    string         `json:"prompt_hash"`
	StartedMillis int64          `json:"started_millis"`
	EndedMillis   int64          `json:"ended_millis"` // zero while it runs
	Tokens        int            `json:"tokens"`       // emitted by this call
	Versions      []versionRange `json:"versions"`
	Ended         ending         `json:"ended"`
}

// versionRange says which version made the tokens From up to, not including, To.
type versionRange struct {
	Version api.WeightVersion `json:"version"`
	From    int               `json:"from"`
	To      int               `json:"to"`
}

// ending is how a request ended.
type ending string

const (
	notEnded       ending = ""
	endedComplete  ending = "complete"
	endedCancelled ending = "cancelled"
	endedCut       ending = "cut"
	endedTruncated ending = "truncated"
	endedRefused   ending = "refused"
)

// orderEntry tells what became of one order to load weights.
type orderEntry struct {
	loadOrder
	ReceivedMillis int64  `json:"received_millis"`
	EndedMillis    int64  `json:"ended_millis"`
	Result         string `json:"result"` // "", "loaded", "stale-fence", "unknown-model" or "failed"
}
