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
	contact    = 3 * time.Second // how long a disturbed daemon may take to be in touch again
	drainBound = 2 * time.Second // new work at a server that is leaving ends
)

// inTouch reports whether nothing disturbed a daemon or the store for a while.
func (j *injector) inTouch(daemon int, at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !slices.ContainsFunc(j.past, func(h happened) bool {
		mine := h.Subject == daemonName(daemon) || strings.HasSuffix(h.Subject, ":"+daemonName(daemon))
		over := !h.End.IsZero() && h.End.Before(at.Add(-contact))
		return (mine || h.Subject == "store" || h.Subject == "daemons") && h.Begin.Before(at) && !over
	})
}

// served returns how long the store has served since a time: faults of it come
// one after the other, and a seed may have many in a row.
func (j *injector) served(since time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	out := now.Sub(since)
	for _, h := range j.past {
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

// evidence is what the servers saw.
type evidence struct {
	arrivals map[string][]platform.Arrival // by request
	makers   map[string]map[int][]int      // weight versions of a request's events
}

func readEvidence(d *deployment) *evidence {
	e := &evidence{arrivals: make(map[string][]platform.Arrival), makers: make(map[string]map[int][]int)}
	for _, s := range d.servers() {
		for _, a := range s.History() {
			e.arrivals[a.Request] = append(e.arrivals[a.Request], a)
			if e.makers[a.Request] == nil {
				e.makers[a.Request] = make(map[int][]int)
			}
			for i, version := range a.Made {
				n := a.After + 1 + i
				e.makers[a.Request][n] = append(e.makers[a.Request][n], version)
			}
		}
	}
	return e
}

// judgeRequests compares what callers were told with what the servers saw.
func (r *Result) judgeRequests(requests []asked, e *evidence) {
	for _, a := range requests {
		r.Requests[fmt.Sprintf("%s%d", strings.Trim(a.Path, "/")+" ", a.Status)]++
		ran := len(e.arrivals[a.Request])
		own := a.Err == nil && a.Signature == ""
		switch {
		case a.Wrong != "":
			r.Count(&r.AnswersWrong, "%s at %s: %s", a.Request, daemonName(a.Daemon), a.Wrong)
		case a.Path == oncePath && ran > 1:
			r.Count(&r.RepeatedOnce, "%s at %s ran %d times", a.Request, daemonName(a.Daemon), ran)
		case a.Path == oncePath && own && a.NotRun() && ran > 0:
			r.Count(&r.FalseNotRun, "%s at %s was answered %d and ran", a.Request, daemonName(a.Daemon), a.Status)
		case a.Killer == "" && own && a.Status < http.StatusInternalServerError && a.Status >= http.StatusMultipleChoices && !a.NotRun():
			r.Count(&r.Denied, "%s at %s was answered %d", a.Request, daemonName(a.Daemon), a.Status)
		}
	}
}

// judgeSteps compares the results that trainers were given with what the servers made.
func (r *Result) judgeSteps(trainers []*trainer, e *evidence) {
	for _, t := range trainers {
		for _, s := range t.steps {
			r.Steps++
			seen := make(map[string]bool)
			for _, result := range s.listed {
				r.Results++
				if why := wrongResult(s, result, e); why != "" || seen[result.ID] {
					r.Count(&r.ResultsWrong, "%s of %s: %s, listed before: %t", result.ID, s.job.ID, why, seen[result.ID])
				}
				seen[result.ID] = true
			}
			for _, item := range s.job.Items {
				if s.refused && len(e.arrivals[item.ID]) > 0 {
					r.Count(&r.FalseNotRun, "%s was refused and %s ran", s.job.ID, item.ID)
				}
			}
		}
	}
}

// failures is how many failed attempts end an item.
const failures = 3

// wrongResult says why a result can't be the item's.
func wrongResult(s *step, result platform.Result, e *evidence) string {
	if !slices.ContainsFunc(s.job.Items, func(i platform.Item) bool { return i.ID == result.ID }) {
		return "not an item of the job"
	}
	if !result.Done() {
		if !s.ended && len(e.arrivals[result.ID]) < failures {
			return "given up too soon"
		}
		return ""
	}
	if result.Text != platform.Text(result.ID, itemEvents) {
		return "another text"
	}
	for n := 1; n <= itemEvents; n++ {
		made := e.makers[result.ID][n]
		if !slices.ContainsFunc(made, func(v int) bool { return slices.Contains(result.Versions, v) }) {
			return fmt.Sprintf("versions %v, event %d was made under %v", result.Versions, n, made)
		}
	}
	if slices.Min(result.Versions) < s.job.MinVersion {
		return fmt.Sprintf("versions %v, the oldest allowed is %d", result.Versions, s.job.MinVersion)
	}
	return ""
}

// judgeKillers counts how often a request that had crashed three servers was
// sent to another one.
func (r *Result) judgeKillers(requests []asked, e *evidence, j *injector) {
	type run struct {
		at     time.Time
		daemon int
	}
	runs := make(map[string][]run)
	for _, a := range requests {
		for _, arrival := range e.arrivals[a.Request] {
			if a.Killer != "" {
				runs[a.Killer] = append(runs[a.Killer], run{arrival.At, a.Daemon})
			}
		}
	}
	for killer, of := range runs {
		slices.SortFunc(of, func(a, b run) int { return a.at.Compare(b.at) })
		if len(of) < failures {
			continue
		}
		r.KillersJudged++
		late := 0
		for _, x := range of[failures:] {
			if x.at.Sub(of[failures-1].at) > contact && j.inTouch(x.daemon, x.at) {
				late++
			}
		}
		r.KillerRetries = max(r.KillerRetries, late)
		if late > killerRetries {
			r.Note("%s ran %d times, %d of them when it was known", killer, len(of), late)
		}
	}
}

// drained is a time during which a server said that it was leaving.
type drained struct {
	server     string // id
	begin, end time.Time
}

// judgeDrains counts requests that reached a server too long after it had said
// that it was leaving.
func (r *Result) judgeDrains(drains []drained, requests []asked, e *evidence, j *injector) {
	daemons := make(map[string]int)
	for _, a := range requests {
		daemons[a.Request] = a.Daemon
	}
	for _, d := range drains {
		if d.end.Sub(d.begin) > drainBound {
			r.DrainsJudged++
		}
		for id, arrivals := range e.arrivals {
			for _, a := range arrivals {
				if a.Server == d.server && a.At.After(d.begin.Add(drainBound)) && a.At.Before(d.end) && j.sentInTouch(daemons, id, a.At) {
					r.Count(&r.NewWorkAfterDrain, "%s got %s %s after it said that it was leaving", d.server, id, a.At.Sub(d.begin))
				}
			}
		}
	}
}

// sentInTouch reports whether the daemon that sent a request was in touch; all
// of them, where it isn't known.
func (j *injector) sentInTouch(daemons map[string]int, id string, at time.Time) bool {
	if i, ok := daemons[id]; ok {
		return j.inTouch(i, at)
	}
	for i := range daemonCount {
		if !j.inTouch(i, at) {
			return false
		}
	}
	return true
}

// judgeStops counts requests that a stop in the calm broke off.
func (r *Result) judgeStops(stops []happened, requests []asked, e *evidence) {
	for _, h := range stops {
		for _, a := range requests {
			if daemonName(a.Daemon) != h.Subject || a.Begin.After(h.End) || a.End.Before(h.Begin) || len(e.arrivals[a.Request]) == 0 {
				continue
			}
			r.StopsJudged++
			if a.Err != nil {
				r.Count(&r.CutByStop, "%s at %s: %v", a.Request, h.Subject, a.Err)
			}
		}
	}
}

// judgeOrders counts fencing tokens that two daemons used at one server.
func (r *Result) judgeOrders(d *deployment) {
	type used struct {
		server string
		fence  int
	}
	owners := make(map[used]string)
	for _, s := range d.engines {
		for _, o := range s.Orders() {
			key := used{o.Server, o.Fence}
			if before := owners[key]; before != "" && before != o.Owner {
				r.Count(&r.TwoHolders, "%s got orders with token %d of %s and %s", o.Server, o.Fence, before, o.Owner)
			}
			owners[key] = o.Owner
		}
	}
}
