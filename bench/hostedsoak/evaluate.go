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
	reconnectTime = 3 * time.Second // allowed for a daemon to recover after a fault
	maxDrainDelay = 2 * time.Second // after which a draining server must get no new work
)

// undisturbed reports whether, in the reconnectTime before at, no fault affected
// the daemon, all daemons or the store.
func (j *injector) undisturbed(daemon int, at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !slices.ContainsFunc(j.injected, func(f injectedFault) bool {
		affectsDaemon := f.Subject == daemonName(daemon) || strings.HasSuffix(f.Subject, ":"+daemonName(daemon))
		ended := !f.End.IsZero() && f.End.Before(at.Add(-reconnectTime))
		return (affectsDaemon || f.Subject == "store" || f.Subject == "daemons") && f.Begin.Before(at) && !ended
	})
}

// storeUptime returns for how long since the given time the store had no fault.
// Timeouts of steps use it, because a seed may schedule many store faults in a
// row. Store faults don't overlap.
func (j *injector) storeUptime(since time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	uptime := now.Sub(since)
	for _, f := range j.injected {
		if f.Subject != "store" {
			continue
		}
		end := f.End
		if end.IsZero() {
			end = now
		}
		begin := f.Begin
		if begin.Before(since) {
			begin = since
		}
		uptime -= max(0, end.Sub(begin))
	}
	return uptime
}

// arrivalIndex indexes the requests that the servers received by request ID.
type arrivalIndex struct {
	arrivals      map[string][]platform.Arrival
	eventVersions map[string]map[int][]int // weight versions under which each event was generated, by event number
}

// readArrivals indexes the arrivals at all servers.
func readArrivals(d *deployment) *arrivalIndex {
	index := &arrivalIndex{arrivals: make(map[string][]platform.Arrival), eventVersions: make(map[string]map[int][]int)}
	for _, s := range d.servers() {
		for _, a := range s.Arrivals() {
			index.arrivals[a.RequestID] = append(index.arrivals[a.RequestID], a)
			if index.eventVersions[a.RequestID] == nil {
				index.eventVersions[a.RequestID] = make(map[int][]int)
			}
			for i, version := range a.EventVersions {
				n := a.LastEventID + 1 + i
				index.eventVersions[a.RequestID][n] = append(index.eventVersions[a.RequestID][n], version)
			}
		}
	}
	return index
}

// evaluateRequests compares the responses to callers with the servers' arrivals.
func (r *Result) evaluateRequests(requests []requestRecord, index *arrivalIndex) {
	for _, req := range requests {
		r.Requests[fmt.Sprintf("%s%d", strings.Trim(req.Path, "/")+" ", req.Status)]++
		runs := len(index.arrivals[req.SentID])
		fromDaemon := req.Err == nil && req.Signature == "" // only servers sign responses
		switch {
		case req.Mismatch != "":
			r.Countf(&r.WrongResponses, "%s at %s: %s", req.SentID, daemonName(req.Daemon), req.Mismatch)
		case req.Path == oncePath && runs > 1:
			r.Countf(&r.RepeatedOnce, "%s at %s ran %d times", req.SentID, daemonName(req.Daemon), runs)
		case req.Path == oncePath && fromDaemon && req.PromisesNotRun() && runs > 0:
			r.Countf(&r.FalseNotRun, "%s at %s got status %d and ran", req.SentID, daemonName(req.Daemon), req.Status)
		case req.Killer == "" && fromDaemon && req.Status < http.StatusInternalServerError && req.Status >= http.StatusMultipleChoices && !req.PromisesNotRun():
			r.Countf(&r.Denied, "%s at %s got status %d", req.SentID, daemonName(req.Daemon), req.Status)
		}
	}
}

// evaluateSteps compares the results that trainers read with the servers' output.
func (r *Result) evaluateSteps(trainers []*trainer, index *arrivalIndex) {
	for _, t := range trainers {
		for _, s := range t.steps {
			r.Steps++
			seen := make(map[string]bool)
			for _, result := range s.results {
				r.Results++
				if mismatch := resultMismatch(s, result, index); mismatch != "" || seen[result.ID] {
					r.Countf(&r.ResultsWrong, "%s of %s: %s, duplicate: %t", result.ID, s.job.ID, mismatch, seen[result.ID])
				}
				seen[result.ID] = true
			}
			for _, item := range s.job.Items {
				if s.promisedNotRun && len(index.arrivals[item.ID]) > 0 {
					r.Countf(&r.FalseNotRun, "%s was rejected and %s ran", s.job.ID, item.ID)
				}
			}
		}
	}
}

// scoreMismatch returns why the score of a completed result is invalid, or "".
func scoreMismatch(s *step, result platform.Result, index *arrivalIndex) string {
	n := slices.IndexFunc(s.job.Items, func(i platform.Item) bool { return i.ID == result.ID })
	scorer := s.job.Items[n].Scorer
	switch {
	case scorer == nil && result.Score != "":
		return "score without a scorer"
	case scorer != nil && result.Score != "signed-"+scorer.ID:
		return fmt.Sprintf("score %q", result.Score)
	case scorer != nil && len(index.arrivals[scorer.ID]) == 0:
		return "score without a reward call"
	}
	return ""
}

// maxFailedAttempts is the number of failed attempts after which an item or a
// killer request is given up.
const maxFailedAttempts = 3

// resultMismatch returns why a result is invalid, or "" if it is valid.
func resultMismatch(s *step, result platform.Result, index *arrivalIndex) string {
	if !slices.ContainsFunc(s.job.Items, func(i platform.Item) bool { return i.ID == result.ID }) {
		return "not an item of the job"
	}
	if !result.Completed() {
		if !s.ended && len(index.arrivals[result.ID]) < maxFailedAttempts && len(index.arrivals[scorePrefix+result.ID]) < maxFailedAttempts {
			return "given up after too few attempts"
		}
		return ""
	}
	if !platform.IsItemText(result.ID, eventsPerItem, result.Text) {
		return "wrong text"
	}
	if s.path == singlePath && len(result.Versions) != 1 {
		return fmt.Sprintf("versions %v in a job of one version", result.Versions)
	}
	for n := 1; n <= eventsPerItem; n++ {
		versions := index.eventVersions[result.ID][n]
		if !slices.ContainsFunc(versions, func(v int) bool { return slices.Contains(result.Versions, v) }) {
			return fmt.Sprintf("versions %v, but event %d was generated under %v", result.Versions, n, versions)
		}
	}
	if mismatch := scoreMismatch(s, result, index); mismatch != "" {
		return mismatch
	}
	if slices.Min(result.Versions) < s.job.MinVersion {
		return fmt.Sprintf("versions %v, but the minimum is %d", result.Versions, s.job.MinVersion)
	}
	return ""
}

// evaluateKillers counts how often a request that had crashed maxFailedAttempts
// servers was sent to another one. Attempts count only if they came more than
// reconnectTime after the last of these crashes and the daemon was undisturbed.
func (r *Result) evaluateKillers(requests []requestRecord, index *arrivalIndex, j *injector) {
	type run struct {
		startedAt time.Time
		daemon    int
	}
	runs := make(map[string][]run)
	for _, req := range requests {
		for _, arrival := range index.arrivals[req.SentID] {
			if req.Killer != "" {
				runs[req.Killer] = append(runs[req.Killer], run{arrival.StartedAt, req.Daemon})
			}
		}
	}
	for killer, killerRuns := range runs {
		slices.SortFunc(killerRuns, func(a, b run) int { return a.startedAt.Compare(b.startedAt) })
		if len(killerRuns) < maxFailedAttempts {
			continue
		}
		r.EvaluatedKillers++
		retries := 0
		for _, retry := range killerRuns[maxFailedAttempts:] {
			if retry.startedAt.Sub(killerRuns[maxFailedAttempts-1].startedAt) > reconnectTime && j.undisturbed(retry.daemon, retry.startedAt) {
				retries++
			}
		}
		r.KillerRetries = max(r.KillerRetries, retries)
		if retries > maxKillerRetries {
			r.Errorf("%s ran %d times, %d of them after its crashes were known", killer, len(killerRuns), retries)
		}
	}
}

// drainPeriod is a period during which a server was marked as draining.
type drainPeriod struct {
	instanceID string
	begin, end time.Time
	// announced is set if the server said in its responses only that it leaves. The daemons
	// know it from the first of them on.
	announced bool
}

// known returns when the daemons could first know of a drain.
func (d *drainPeriod) known(index *arrivalIndex) time.Time {
	if !d.announced {
		return d.begin
	}
	first := d.end
	for _, arrivals := range index.arrivals {
		for _, a := range arrivals {
			if a.InstanceID == d.instanceID && a.StartedAt.After(d.begin) && a.StartedAt.Before(first) {
				first = a.StartedAt
			}
		}
	}
	return first
}

// evaluateDrains counts requests that started at a server more than maxDrainDelay
// after it was marked as draining.
func (r *Result) evaluateDrains(drains []drainPeriod, requests []requestRecord, index *arrivalIndex, j *injector) {
	daemons := make(map[string]int)
	for _, req := range requests {
		daemons[req.SentID] = req.Daemon
	}
	for _, d := range drains {
		known := d.known(index)
		if d.end.Sub(known) > maxDrainDelay {
			r.EvaluatedDrains++
		}
		for id, arrivals := range index.arrivals {
			for _, a := range arrivals {
				if a.InstanceID == d.instanceID && a.StartedAt.After(known.Add(maxDrainDelay)) && a.StartedAt.Before(d.end) && j.senderUndisturbed(daemons, id, a.StartedAt) {
					r.Countf(&r.NewWorkAfterDrain, "%s got %s %s after it was marked as draining", d.instanceID, id, a.StartedAt.Sub(d.begin))
				}
			}
		}
	}
}

// senderUndisturbed reports whether the daemon that forwarded a request was
// undisturbed. If that daemon is unknown, all daemons must have been.
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

// evaluateStops counts the requests that were in progress at the graceful stops of
// the calm phase (see runCalm), and how many of them failed.
func (r *Result) evaluateStops(stops []injectedFault, requests []requestRecord, index *arrivalIndex) {
	for _, stop := range stops {
		for _, req := range requests {
			if daemonName(req.Daemon) != stop.Subject || req.Begin.After(stop.End) || req.End.Before(stop.Begin) || len(index.arrivals[req.SentID]) == 0 {
				continue
			}
			r.InProgressAtStops++
			if req.Err != nil {
				r.Countf(&r.CutByStop, "%s at %s: %v", req.SentID, stop.Subject, req.Err)
			}
		}
	}
}

// evaluateLoadOrders counts fencing tokens that two daemons used at the same
// server in orders to load weights.
func (r *Result) evaluateLoadOrders(d *deployment) {
	type tokenKey struct {
		incarnation string
		fenceToken  int
	}
	owners := make(map[tokenKey]string)
	for _, s := range d.engines {
		for _, o := range s.LoadOrders() {
			key := tokenKey{o.Incarnation, o.FenceToken}
			if previous := owners[key]; previous != "" && previous != o.Owner {
				r.Countf(&r.TwoHolders, "%s got load orders with token %d from both %s and %s", o.Incarnation, o.FenceToken, previous, o.Owner)
			}
			owners[key] = o.Owner
		}
	}
}
