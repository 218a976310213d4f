package ledger

import (
	"errors"
	"maps"

	"dotterelmount.example/api"
)

// Image is the complete state of a ConfigFSM in encodable form, for checkpoints.
type Image struct {
	AppliedOffset api.Offset                      `json:"through"`
	Plans         api.PlanList                    `json:"plans"`
	PlansRevision api.Revision                    `json:"plans_revision"`
	Usage         api.UsageList                   `json:"usage"`
	UsageRevision api.Revision                    `json:"usage_revision"`
	Marks         map[api.UpstreamID]MarkState    `json:"marks"`
	Weights       map[api.ModelName]WeightState   `json:"weights"`
	Strikes       map[api.Fingerprint]StrikeState `json:"strikes"`
	Seen          []SeenRecord                    `json:"seen"`
	Crashes       map[api.UpstreamID][]Crash      `json:"recent_crashes,omitempty"`
}

// SeenRecord is a remembered record ID with its verdict. Detail is the text of the
// verdict's error, so checkpoints store the error texts of this package.
type SeenRecord struct {
	ID         api.RecordID `json:"id"`
	Offset     api.Offset   `json:"offset"`
	TimeMillis int64        `json:"time_millis"`
	Code       api.Code     `json:"code,omitempty"`
	Detail     string       `json:"detail,omitempty"`
}

// Image returns a copy of the state.
func (c *ConfigFSM) Image() Image {
	s := c.state
	img := Image{
		AppliedOffset: s.AppliedOffset,
		Plans:         *s.Plans, PlansRevision: s.PlansRevision,
		Usage: *s.Usage, UsageRevision: s.UsageRevision,
		Marks: maps.Clone(s.Marks), Weights: maps.Clone(s.Weights), Strikes: maps.Clone(s.Strikes),
		Crashes: maps.Clone(c.crashes),
	}
	for _, id := range c.idOrder {
		e := c.seen[id]
		r := SeenRecord{ID: id, Offset: e.verdict.Offset, TimeMillis: e.timeMillis}
		var failure *api.Error
		if errors.As(e.verdict.Err, &failure) {
			r.Code, r.Detail = failure.Code, failure.Detail
		}
		img.Seen = append(img.Seen, r)
	}
	return img
}

// ConfigFSMFromImage is the inverse of Image.
func ConfigFSMFromImage(img Image) *ConfigFSM {
	c := NewConfigFSM()
	c.state = State{
		AppliedOffset: img.AppliedOffset,
		Plans:         &img.Plans, PlansRevision: img.PlansRevision,
		Usage: &img.Usage, UsageRevision: img.UsageRevision,
		Marks: img.Marks, Weights: img.Weights, Strikes: img.Strikes,
	}
	if img.Crashes != nil {
		c.crashes = img.Crashes
	}
	for _, r := range img.Seen {
		v := Verdict{ID: r.ID, Offset: r.Offset}
		if r.Code != "" {
			v.Err = &api.Error{Code: r.Code, Detail: r.Detail}
		}
		c.seen[r.ID] = seenRecord{verdict: v, timeMillis: r.TimeMillis}
		c.idOrder = append(c.idOrder, r.ID)
	}
	return c
}
