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

func sha(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// making says that a version made the tokens of a request from From on.
type making struct {
	version api.WeightVersion
	from    int
}

// evidence is what the journals of the stand-ins show.
type evidence struct {
	ran      map[api.RequestID]int      // starts that were not refused
	makings  map[api.RequestID][]making // by all engines together
	bodies   map[string]int             // starts of plain calls, by the hash of the body
	arrivals map[api.UpstreamID][]arrival
	// bySlot lists the requests made for a trainer's slot "trainer/step/group/index/".
	bySlot       map[string][]api.RequestID
	firstArrival map[api.RequestID]time.Time
	broken       map[api.RequestID][]string // how engines broke it off
}

type arrival struct {
	at      time.Time
	request api.RequestID
}

func newEvidence() *evidence {
	return &evidence{
		ran: make(map[api.RequestID]int), makings: make(map[api.RequestID][]making),
		bodies: make(map[string]int), arrivals: make(map[api.UpstreamID][]arrival),
		bySlot: make(map[string][]api.RequestID), firstArrival: make(map[api.RequestID]time.Time),
		broken: make(map[api.RequestID][]string),
	}
}

// ownCall is the request id of calls that the soak makes without a daemon.
const ownCall = api.RequestID("soak")

// add takes in the journal of one stand-in.
func (e *evidence) add(upstream api.UpstreamID, lines []journal.Line) {
	for _, l := range lines {
		id := api.RequestID(l.RequestID)
		if id == ownCall {
			continue
		}
		switch l.Event {
		case journal.EventStart:
			e.ran[id]++
			e.arrived(upstream, id, time.UnixMilli(l.AtMillis))
			if l.BodySHA256 != "" {
				e.bodies[l.BodySHA256]++
			}
		case journal.EventTokens:
			e.makings[id] = append(e.makings[id], making{version: api.WeightVersion(l.Version), from: l.From})
		case journal.EventEnd:
			switch l.Ended {
			case journal.EndRefused:
				e.ran[id]--
			case journal.EndCut, journal.EndTruncated:
				e.broken[id] = append(e.broken[id], l.Ended)
			}
		}
	}
}

// slotParts is the number of parts of a request id that name its slot.
const slotParts = 4

func (e *evidence) arrived(upstream api.UpstreamID, id api.RequestID, at time.Time) {
	e.arrivals[upstream] = append(e.arrivals[upstream], arrival{at: at, request: id})
	if first, ok := e.firstArrival[id]; !ok || at.Before(first) {
		e.firstArrival[id] = at
	}
	parts := strings.Split(string(id), "/")
	if len(parts) <= slotParts {
		return // not a trainer's
	}
	slot := strings.Join(parts[:slotParts], "/") + "/"
	if !slices.Contains(e.bySlot[slot], id) {
		e.bySlot[slot] = append(e.bySlot[slot], id)
	}
}

// wrongVersions reports whether the versions that an answer of so many tokens
// names can't be those that made it: one that made none of it, a first token
// that no named version made or, where a single engine had the request, any
// other set than the one in its journal.
func (e *evidence) wrongVersions(id api.RequestID, versions []api.WeightVersion, tokens int) bool {
	var made []api.WeightVersion // those that made tokens of the answer
	first := false               // a named version made the first token
	for _, m := range e.makings[id] {
		if m.from >= tokens {
			continue
		}
		if !slices.Contains(made, m.version) {
			made = append(made, m.version)
		}
		first = first || m.from == 0 && slices.Contains(versions, m.version)
	}
	for _, v := range versions {
		if !slices.Contains(made, v) {
			return true
		}
	}
	return !first || e.ran[id] == 1 && len(made) != len(versions)
}

// afterMark returns the requests that an upstream got while it was drained,
// later than the bound.
func (e *evidence) afterMark(d drained) []api.RequestID {
	var late []api.RequestID
	for _, a := range e.arrivals[d.Upstream] {
		if a.at.After(d.Accepted.Add(drainBound)) && a.at.Before(d.Until) {
			late = append(late, a.request)
		}
	}
	return late
}
