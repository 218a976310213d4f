package singleton

import (
	"encoding/json"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/journal"
	decision "dotterelmount.example/lib/singleton"
)

// TopicOf returns the name of the keyed topic with the record of a duty, without the prefix of
// such topics.
func TopicOf(d decision.Duty) string { return "duty-" + string(d) }

// RecordOf returns the record of a duty among those of its topic, and the true time at which it
// was appended, as its holder knew it; zero if it didn't. The record is nil if there is none.
// Errors: *api.Error.
func RecordOf(d decision.Duty, records []journal.KeyedRecord) (*decision.Record, time.Time, error) {
	for _, r := range records {
		if r.Key != string(d) {
			continue
		}
		record, millis, err := decodeRecord(r.Value)
		if err != nil || millis == 0 {
			return record, time.Time{}, err
		}
		return record, time.UnixMilli(millis), nil
	}
	return nil, time.Time{}, nil
}

// recordDoc is a record as stored.
type recordDoc struct {
	Holder    api.DaemonID   `json:"holder"`
	Process   string         `json:"process"`
	Fence     uint64         `json:"fence"`
	Renewal   uint64         `json:"renewal"`
	Released  bool           `json:"released,omitempty"`
	Unsettled bool           `json:"unsettled,omitempty"`
	Earlier   []api.DaemonID `json:"earlier,omitempty"`
	// Millis is the true time of the append in Unix milliseconds, as the holder knows it; 0:
	// it does not.
	Millis int64 `json:"millis,omitempty"`
}

func encodeRecord(r *decision.Record, trueTime func() (time.Time, bool)) ([]byte, error) {
	d := recordDoc{
		Holder: r.Holder, Process: r.Process, Fence: r.Fence, Renewal: r.Renewal, Released: r.Released, Unsettled: r.Unsettled, Earlier: r.Earlier,
	}
	if now, ok := trueTime(); ok {
		d.Millis = now.UnixMilli()
	}
	return json.Marshal(d)
}

func decodeRecord(data []byte) (*decision.Record, int64, error) {
	var d recordDoc
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, 0, api.Errorf(api.CodeInvalid, "record of a duty: %w", err)
	}
	return &decision.Record{
		Holder: d.Holder, Process: d.Process, Fence: d.Fence, Renewal: d.Renewal, Released: d.Released, Unsettled: d.Unsettled, Earlier: d.Earlier,
	}, d.Millis, nil
}
