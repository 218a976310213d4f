package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"dotterelmount.example/standin/platform"
)

const (
	reconnectTime = 3 * time.Second // how long a disturbed daemon may take to be in touch again
	maxDrainDelay = 2 * time.Second // new work at a server that is leaving ends
)

// undisturbed reports whether nothing disturbed a daemon or the store for a while.
func (j *injector) undisturbed(daemon int, at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !slices.ContainsFunc(j.injected, func(h injectedFault) bool {
		mine := h.Subject == daemonName(daemon) || strings.HasSuffix(h.Subject, ":"+daemonName(daemon))
		over := !h.End.IsZero() && h.End.Before(at.Add(-reconnectTime))
		return (mine || h.Subject == "store" || h.Subject == "daemons") && h.Begin.Before(at) && !over
	})
}

// storeUptime returns how long the store has served since a time: faults of it come
// one after the other, and a seed may have many in a row.
func (j *injector) storeUptime(since time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	out := now.Sub(since)
	for _, h := range j.injected {
		if h.Subject != "store" {
			continue
		}
		end := h.End
		if end.IsZero() {
			end = now
		}
		begin := h.Begin
		if begin.Before(since) {
			begin = since
		}
		out -= max(0, end.Sub(begin))
	}
	return out
}

// arrivalIndex is what the servers saw.
type arrivalIndex struct {
	arrivals      map[string][]platform.Arrival // by request
	eventVersions map[string]map[int][]int      // weight versions of a request's events
}

func readArrivals(d *deployment) *arrivalIndex {
	e := &arrivalIndex{arrivals: make(map[string][]platform.Arrival), eventVersions: make(map[string]map[int][]int)}
	for _, s := range d.servers() {
		for _, a := range s.Arrivals() {
			e.arrivals[a.RequestID] = append(e.arrivals[a.RequestID], a)
			if e.eventVersions[a.RequestID] == nil {
				e.eventVersions[a.RequestID] = make(map[int][]int)
			}
			for i, version := range a.EventVersions {
				n := a.LastEventID + 1 + i
				e.eventVersions[a.RequestID][n] = append(e.eventVersions[a.RequestID][n], version)
			}
		}
	}
	return e
}

// evaluateRequests compares what callers were told with what the servers saw.
func (r *Result) evaluateRequests(requests []requestRecord, e *arrivalIndex) {
	for _, a := range requests {
		r.Requests[fmt.Sprintf("%s%d", strings.Trim(a.Path, "/")+" ", a.Status)]++
		ran := len(e.arrivals[a.SentID])
		own := a.Err == nil && a.Signature == ""
		switch {
		case a.Mismatch != "":
			r.Countf(&r.WrongResponses, "%s at %s: %s", a.SentID, daemonName(a.Daemon), a.Mismatch)
		case a.Path == oncePath && ran > 1:
			r.Countf(&r.RepeatedOnce, "%s at %s ran %d times", a.SentID, daemonName(a.Daemon), ran)
		case a.Path == oncePath && own && a.PromisesNotRun() && ran > 0:
			r.Countf(&r.FalseNotRun, "%s at %s was answered %d and ran", a.SentID, daemonName(a.Daemon), a.Status)
		case a.Killer == "" && own && a.Status < http.StatusInternalServerError && a.Status >= http.StatusMultipleChoices && !a.PromisesNotRun():
			r.Countf(&r.Denied, "%s at %s was answered %d", a.SentID, daemonName(a.Daemon), a.Status)
		}
	}
}

// evaluateSteps compares the results that trainers were given with what the servers made.
func (r *Result) evaluateSteps(trainers []*trainer, e *arrivalIndex) {
	for _, t := range trainers {
		for _, s := range t.steps {
			r.Steps++
			seen := make(map[string]bool)
			for _, result := range s.results {
				r.Results++
				if why := resultMismatch(s, result, e); why != "" || seen[result.ID] {
					r.Countf(&r.ResultsWrong, "%s of %s: %s, listed before: %t", result.ID, s.job.ID, why, seen[result.ID])
				}
				seen[result.ID] = true
			}
			for _, item := range s.job.Items {
				if s.promisedNotRun && len(e.arrivals[item.ID]) > 0 {
					r.Countf(&r.FalseNotRun, "%s was refused and %s ran", s.job.ID, item.ID)
				}
			}
		}
	}
}

// maxFailedAttempts is how many failed attempts end an item.
const maxFailedAttempts = 3

// resultMismatch says why a result can't be the item's.
func resultMismatch(s *step, result platform.Result, e *arrivalIndex) string {
	if !slices.ContainsFunc(s.job.Items, func(i platform.Item) bool { return i.ID == result.ID }) {
		return "not an item of the job"
	}
	if !result.Completed() {
		if !s.ended && len(e.arrivals[result.ID]) < maxFailedAttempts {
			return "given up too soon"
		}
		return ""
	}
	if result.Text != platform.ItemText(result.ID, eventsPerItem) {
		return "another text"
	}
	for n := 1; n <= eventsPerItem; n++ {
		made := e.eventVersions[result.ID][n]
		if !slices.ContainsFunc(made, func(v int) bool { return slices.Contains(result.Versions, v) }) {
			return fmt.Sprintf("versions %v, event %d was made under %v", result.Versions, n, made)
		}
	}
	if slices.Min(result.Versions) < s.job.MinVersion {
		return fmt.Sprintf("versions %v, the oldest allowed is %d", result.Versions, s.job.MinVersion)
	}
	return ""
}

// evaluateKillers counts how often a request that had crashed three servers was
// sent to another one.
func (r *Result) evaluateKillers(requests []requestRecord, e *arrivalIndex, j *injector) {
	type run struct {
		at     time.Time
		daemon int
	}
	runs := make(map[string][]run)
	for _, a := range requests {
		for _, arrival := range e.arrivals[a.SentID] {
			if a.Killer != "" {
				runs[a.Killer] = append(runs[a.Killer], run{arrival.StartedAt, a.Daemon})
			}
		}
	}
	for killer, of := range runs {
		slices.SortFunc(of, func(a, b run) int { return a.at.Compare(b.at) })
		if len(of) < maxFailedAttempts {
			continue
		}
		r.EvaluatedKillers++
		late := 0
		for _, x := range of[maxFailedAttempts:] {
			if x.at.Sub(of[maxFailedAttempts-1].at) > reconnectTime && j.undisturbed(x.daemon, x.at) {
				late++
			}
		}
		r.KillerRetries = max(r.KillerRetries, late)
		if late > maxKillerRetries {
			r.Errorf("%s ran %d times, %d of them when it was known", killer, len(of), late)
		}
	}
}

// drainPeriod is a time during which a server said that it was leaving.
type drainPeriod struct {
	instanceID string // id
	begin, end time.Time
}

// evaluateDrains counts requests that reached a server too long after it had said
// that it was leaving.
func (r *Result) evaluateDrains(drains []drainPeriod, requests []requestRecord, e *arrivalIndex, j *injector) {
	daemons := make(map[string]int)
	for _, a := range requests {
		daemons[a.SentID] = a.Daemon
	}
	for _, d := range drains {
		if d.end.Sub(d.begin) > maxDrainDelay {
			r.EvaluatedDrains++
		}
		for id, arrivals := range e.arrivals {
			for _, a := range arrivals {
				if a.InstanceID == d.instanceID && a.StartedAt.After(d.begin.Add(maxDrainDelay)) && a.StartedAt.Before(d.end) && j.senderUndisturbed(daemons, id, a.StartedAt) {
					r.Countf(&r.NewWorkAfterDrain, "%s got %s %s after it said that it was leaving", d.instanceID, id, a.StartedAt.Sub(d.begin))
				}
			}
		}
	}
}

// senderUndisturbed reports whether the daemon that sent a request was in touch; all
// of them, where it isn't known.
func (j *injector) senderUndisturbed(daemons map[string]int, id string, at time.Time) bool {
	if i, ok := daemons[id]; ok {
		return j.undisturbed(i, at)
	}
	for i := range daemonCount {
		if !j.undisturbed(i, at) {
			return false
		}
	}
	return true
}

// evaluateStops counts requests that a stop in the calm broke off.
func (r *Result) evaluateStops(stops []injectedFault, requests []requestRecord, e *arrivalIndex) {
	for _, h := range stops {
		for _, a := range requests {
			if daemonName(a.Daemon) != h.Subject || a.Begin.After(h.End) || a.End.Before(h.Begin) || len(e.arrivals[a.SentID]) == 0 {
				continue
			}
			r.InProgressAtStops++
			if a.Err != nil {
				r.Countf(&r.CutByStop, "%s at %s: %v", a.SentID, h.Subject, a.Err)
			}
		}
	}
}

// evaluateLoadOrders counts fencing tokens that two daemons used at one server.
func (r *Result) evaluateLoadOrders(d *deployment) {
	type used struct {
		server string
		fence  int
	}
	owners := make(map[used]string)
	for _, s := range d.engines {
		for _, o := range s.LoadOrders() {
			key := used{o.Incarnation, o.FenceToken}
			if before := owners[key]; before != "" && before != o.Owner {
				r.Countf(&r.TwoHolders, "%s got orders with token %d of %s and %s", o.Incarnation, o.FenceToken, before, o.Owner)
			}
			owners[key] = o.Owner
		}
	}
}
