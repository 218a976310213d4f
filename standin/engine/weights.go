package main

import (
	"time"

	"dotterelmount.example/api"
)

// The results of load orders, in the journal and as error codes of responses.
const (
	resultLoaded       = "loaded"
	resultStaleFence   = "stale-fence"
	resultUnknownModel = "unknown-model"
	resultFailed       = "failed"
)

// weights holds the loaded versions and the load orders received.
type weights struct {
	fenced    bool
	versions  map[api.ModelName]api.WeightVersion
	fences    map[api.ModelName]api.Offset // highest fencing token accepted
	failLoads int                          // how many of the following loads fail
	orders    []*orderEntry
}

// beginLoad records a load order and accepts or refuses it. It returns the result
// of a refused one and "" for an accepted one.
func (w *weights) beginLoad(now time.Time, o loadOrder) (*orderEntry, string) {
	entry := &orderEntry{loadOrder: o, ReceivedMillis: now.UnixMilli()}
	w.orders = append(w.orders, entry)
	if _, ok := w.versions[o.Model]; !ok {
		return entry, w.recordResult(now, entry, resultUnknownModel)
	}
	if w.stale(o) {
		return entry, w.recordResult(now, entry, resultStaleFence)
	}
	w.fences[o.Model] = max(w.fences[o.Model], o.Fence)
	return entry, ""
}

// commitLoad ends a load and returns its result; ok reports whether the weights
// were downloaded. The previous version stays loaded unless the result is
// resultLoaded.
func (w *weights) commitLoad(now time.Time, entry *orderEntry, ok bool) string {
	if w.failLoads > 0 {
		w.failLoads--
		ok = false
	}
	if !ok {
		return w.recordResult(now, entry, resultFailed)
	}
	if w.stale(entry.loadOrder) {
		return w.recordResult(now, entry, resultStaleFence)
	}
	w.versions[entry.Model] = entry.Version
	return w.recordResult(now, entry, resultLoaded)
}

// stale reports whether the order's fencing token is below the highest accepted.
func (w *weights) stale(o loadOrder) bool { return w.fenced && o.Fence < w.fences[o.Model] }

func (w *weights) recordResult(now time.Time, entry *orderEntry, result string) string {
	entry.EndedMillis = now.UnixMilli()
	entry.Result = result
	return result
}
