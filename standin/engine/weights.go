package main

import (
	"time"

	"dotterelmount.example/api"
)

// Results of orders in the journal and in answers.
const (
	resultLoaded       = "loaded"
	resultStaleFence   = "stale-fence"
	resultUnknownModel = "unknown-model"
	resultFailed       = "failed"
)

// weights holds the loaded versions and the orders that change them.
type weights struct {
	fenced    bool
	versions  map[api.ModelName]api.WeightVersion
	fences    map[api.ModelName]api.Offset
	failLoads int
	orders    []*orderEntry
}

// beginLoad accepts or refuses an order; it returns "" when the load may go on.
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

// commitLoad ends a load that was read whole, or failed when ok is false. The old
// version stays unless the result is resultLoaded.
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

func (w *weights) stale(o loadOrder) bool { return w.fenced && o.Fence < w.fences[o.Model] }

func (w *weights) recordResult(now time.Time, entry *orderEntry, result string) string {
	entry.EndedMillis = now.UnixMilli()
	entry.Result = result
	return result
}
