package main

import (
	"slices"
	"strings"
	"time"

	"dotterelmount.example/api"
)

// reports delays load reports by a lag.
type reports struct {
	lag  time.Duration
	list []timedReport // oldest first; after trim the first one is visible
}

type timedReport struct {
	loadReport
	at time.Time
}

// add stores a report, which becomes visible once it is as old as the lag.
func (r *reports) add(now time.Time, report loadReport) {
	report.AsOfMillis = now.UnixMilli()
	r.list = append(r.list, timedReport{loadReport: report, at: now})
	r.trim(now)
}

// visible returns the newest report that is at least as old as the lag, or the
// oldest one if there is none.
func (r *reports) visible(now time.Time) loadReport {
	r.trim(now)
	if len(r.list) == 0 {
		return loadReport{}
	}
	return r.list[0].loadReport
}

// trim drops the reports older than the visible one.
func (r *reports) trim(now time.Time) {
	visibleUntil := now.Add(-r.lag)
	n := 0
	for n+1 < len(r.list) && !r.list[n+1].at.After(visibleUntil) {
		n++
	}
	r.list = r.list[n:]
}

// modelList returns the loaded versions, sorted by model name.
func modelList(versions map[api.ModelName]api.WeightVersion) []modelBody {
	models := make([]modelBody, 0, len(versions))
	for name, version := range versions {
		models = append(models, modelBody{Name: name, Version: version})
	}
	slices.SortFunc(models, func(a, b modelBody) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return models
}
