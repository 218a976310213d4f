package main

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/standin/journal"
)

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// tokenRun records the weight version that generated a request's tokens from index
// firstToken on.
type tokenRun struct {
	version    api.WeightVersion
	firstToken int
}

// journalIndex indexes the content of the stand-ins' journals.
type journalIndex struct {
	executions      map[api.RequestID]int        // starts minus refusals
	tokenRuns       map[api.RequestID][]tokenRun // of all engines
	plainExecutions map[string]int               // starts of plain calls, by the SHA-256 of the body
	arrivals        map[api.UpstreamID][]arrival
	// bySample holds the requests for a trainer's sample, by "trainer/step/group/index/".
	bySample      map[string][]api.RequestID
	firstArrival  map[api.RequestID]time.Time
	interruptions map[api.RequestID][]string // EndCut or EndTruncated for each response that an engine interrupted
}

// arrival is the start of a request at an upstream.
type arrival struct {
	time    time.Time
	request api.RequestID
}

func newJournalIndex() *journalIndex {
	return &journalIndex{
		executions: make(map[api.RequestID]int), tokenRuns: make(map[api.RequestID][]tokenRun),
		plainExecutions: make(map[string]int), arrivals: make(map[api.UpstreamID][]arrival),
		bySample: make(map[string][]api.RequestID), firstArrival: make(map[api.RequestID]time.Time),
		interruptions: make(map[api.RequestID][]string),
	}
}

// soakRequestID is the request ID of calls that the soak sends directly to stand-ins.
const soakRequestID = api.RequestID("soak")

// add adds the journal of one stand-in.
func (index *journalIndex) add(upstream api.UpstreamID, lines []journal.Line) {
	for _, l := range lines {
		id := api.RequestID(l.RequestID)
		if id == soakRequestID {
			continue
		}
		switch l.Event {
		case journal.EventStart:
			index.executions[id]++
			index.addArrival(upstream, id, time.UnixMilli(l.AtMillis))
			if l.BodySHA256 != "" {
				index.plainExecutions[l.BodySHA256]++
			}
		case journal.EventTokens:
			index.tokenRuns[id] = append(index.tokenRuns[id], tokenRun{version: api.WeightVersion(l.Version), firstToken: l.From})
		case journal.EventEnd:
			switch l.Ended {
			case journal.EndRefused:
				index.executions[id]--
			case journal.EndCut, journal.EndTruncated:
				index.interruptions[id] = append(index.interruptions[id], l.Ended)
			}
		}
	}
}

// sampleIDParts is the number of parts of a request ID that name a sample.
const sampleIDParts = 4

func (index *journalIndex) addArrival(upstream api.UpstreamID, id api.RequestID, at time.Time) {
	index.arrivals[upstream] = append(index.arrivals[upstream], arrival{time: at, request: id})
	if first, ok := index.firstArrival[id]; !ok || at.Before(first) {
		index.firstArrival[id] = at
	}
	parts := strings.Split(string(id), "/")
	if len(parts) <= sampleIDParts {
		return // not a request of a trainer
	}
	sample := strings.Join(parts[:sampleIDParts], "/") + "/"
	if !slices.Contains(index.bySample[sample], id) {
		index.bySample[sample] = append(index.bySample[sample], id)
	}
}

// wrongVersions reports whether the reported versions of a response with the given
// number of tokens contradict the journals: a reported version generated none of
// its tokens, no reported version generated the first token or, if the request was
// executed once, the set differs from the one in the journal.
func (index *journalIndex) wrongVersions(id api.RequestID, versions []api.WeightVersion, tokens int) bool {
	var used []api.WeightVersion // versions that generated tokens of the response
	first := false               // a reported version generated the first token
	for _, run := range index.tokenRuns[id] {
		if run.firstToken >= tokens {
			continue
		}
		if !slices.Contains(used, run.version) {
			used = append(used, run.version)
		}
		first = first || run.firstToken == 0 && slices.Contains(versions, run.version)
	}
	for _, v := range versions {
		if !slices.Contains(used, v) {
			return true
		}
	}
	return !first || index.executions[id] == 1 && len(used) != len(versions)
}

// lateArrivals returns the requests that arrived at an upstream during a drain, more
// than maxDrainDelay after its start.
func (index *journalIndex) lateArrivals(d drainPeriod) []api.RequestID {
	var late []api.RequestID
	for _, a := range index.arrivals[d.Upstream] {
		if a.time.After(d.Accepted.Add(maxDrainDelay)) && a.time.Before(d.Ended) {
			late = append(late, a.request)
		}
	}
	return late
}
