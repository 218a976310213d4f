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

// tokenRun says that a version made the tokens of a request from From on.
type tokenRun struct {
	version    api.WeightVersion
	firstToken int
}

// journalIndex is what the journals of the stand-ins show.
type journalIndex struct {
	executions      map[api.RequestID]int        // starts that were not refused
	tokenRuns       map[api.RequestID][]tokenRun // by all engines together
	plainExecutions map[string]int               // starts of plain calls, by the hash of the body
	arrivals        map[api.UpstreamID][]arrival
	// bySample lists the requests made for a trainer's slot "trainer/step/group/index/".
	bySample      map[string][]api.RequestID
	firstArrival  map[api.RequestID]time.Time
	interruptions map[api.RequestID][]string // how engines broke it off
}

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

// soakRequestID is the request id of calls that the soak makes without a daemon.
const soakRequestID = api.RequestID("soak")

// add takes in the journal of one stand-in.
func (e *journalIndex) add(upstream api.UpstreamID, lines []journal.Line) {
	for _, l := range lines {
		id := api.RequestID(l.RequestID)
		if id == soakRequestID {
			continue
		}
		switch l.Event {
		case journal.EventStart:
			e.executions[id]++
			e.addArrival(upstream, id, time.UnixMilli(l.AtMillis))
			if l.BodySHA256 != "" {
				e.plainExecutions[l.BodySHA256]++
			}
		case journal.EventTokens:
			e.tokenRuns[id] = append(e.tokenRuns[id], tokenRun{version: api.WeightVersion(l.Version), firstToken: l.From})
		case journal.EventEnd:
			switch l.Ended {
			case journal.EndRefused:
				e.executions[id]--
			case journal.EndCut, journal.EndTruncated:
				e.interruptions[id] = append(e.interruptions[id], l.Ended)
			}
		}
	}
}

// sampleIDParts is the number of parts of a request id that name its slot.
const sampleIDParts = 4

func (e *journalIndex) addArrival(upstream api.UpstreamID, id api.RequestID, at time.Time) {
	e.arrivals[upstream] = append(e.arrivals[upstream], arrival{time: at, request: id})
	if first, ok := e.firstArrival[id]; !ok || at.Before(first) {
		e.firstArrival[id] = at
	}
	parts := strings.Split(string(id), "/")
	if len(parts) <= sampleIDParts {
		return // not a trainer's
	}
	slot := strings.Join(parts[:sampleIDParts], "/") + "/"
	if !slices.Contains(e.bySample[slot], id) {
		e.bySample[slot] = append(e.bySample[slot], id)
	}
}

// wrongVersions reports whether the versions that an answer of so many tokens
// names can't be those that made it: one that made none of it, a first token
// that no named version made or, where a single engine had the request, any
// other set than the one in its journal.
func (e *journalIndex) wrongVersions(id api.RequestID, versions []api.WeightVersion, tokens int) bool {
	var made []api.WeightVersion // those that made tokens of the answer
	first := false               // a named version made the first token
	for _, m := range e.tokenRuns[id] {
		if m.firstToken >= tokens {
			continue
		}
		if !slices.Contains(made, m.version) {
			made = append(made, m.version)
		}
		first = first || m.firstToken == 0 && slices.Contains(versions, m.version)
	}
	for _, v := range versions {
		if !slices.Contains(made, v) {
			return true
		}
	}
	return !first || e.executions[id] == 1 && len(made) != len(versions)
}

// lateArrivals returns the requests that an upstream got while it was drained,
// later than the bound.
func (e *journalIndex) lateArrivals(d drainPeriod) []api.RequestID {
	var late []api.RequestID
	for _, a := range e.arrivals[d.Upstream] {
		if a.time.After(d.Accepted.Add(maxDrainDelay)) && a.time.Before(d.Ended) {
			late = append(late, a.request)
		}
	}
	return late
}
