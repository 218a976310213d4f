package access

import (
	"cmp"
	"slices"
	"time"
)

// ReportPath is where a daemon serves its Report as JSON.
const ReportPath = "/debug/keys"

// Report is what a daemon knows of the keys of customers, without keys in clear.
type Report struct {
	Daemon        string           `json:"daemon"`
	ConfigVersion uint64           `json:"config"` // 0: not loaded
	AsOf          time.Time        `json:"as_of"`  // start of the last confirmed read of the configuration
	AgeSeconds    float64          `json:"age_s"`  // since then
	Required      bool             `json:"required"`
	FailClosed    bool             `json:"fail_closed"`
	Customers     []CustomerReport `json:"customers"`
	Ignored       []string         `json:"ignored,omitempty"` // invalid entries of the configuration
}

// CustomerReport describes a customer without its keys in clear.
type CustomerReport struct {
	Name     string   `json:"name"`
	Priority *int     `json:"priority,omitempty"` // nil: that of the route
	Keys     []string `json:"keys"`               // fingerprints, sorted
}

// Report describes the customers, sorted by name.
func (x *Index) Report() []CustomerReport {
	out := []CustomerReport{}
	if x == nil {
		return out
	}
	for _, c := range x.byName {
		r := CustomerReport{Name: c.Name, Priority: c.Priority, Keys: make([]string, 0, len(c.keys))}
		for _, k := range c.keys {
			r.Keys = append(r.Keys, k.Fingerprint())
		}
		slices.Sort(r.Keys)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b CustomerReport) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
