// Package recordcodec encodes the configuration and claim records of package api
// as JSON. It alone defines their format in the log.
package recordcodec

import (
	"encoding/json"

	"dotterelmount.example/api"
)

type envelope struct {
	Kind          string          `json:"kind"`
	Actor         string          `json:"actor,omitempty"`
	AppendedBy    api.DaemonID    `json:"via,omitempty"`
	CreatedMillis int64           `json:"at_millis,omitempty"`
	Body          json.RawMessage `json:"body"`
}

// KindOf returns the kind of a body in the log and in the audit trail, or "" if
// its type is unknown.
func KindOf(b api.RecordBody) string {
	switch b.(type) {
	case api.PublishPlanList:
		return "publish-plan-list"
	case api.PublishUsageList:
		return "publish-usage-list"
	case api.MarkUpstream:
		return "mark-upstream"
	case api.AnnounceWeights:
		return "announce-weights"
	case api.Strike:
		return "strike"
	case api.LiftQuarantine:
		return "lift-quarantine"
	case api.Claim:
		return "claim"
	case api.Settle:
		return "settle"
	case api.Checkpoint:
		return "checkpoint"
	default:
		return ""
	}
}

var decoders = map[string]func([]byte) (api.RecordBody, error){
	"publish-plan-list":  decode[api.PublishPlanList],
	"publish-usage-list": decode[api.PublishUsageList],
	"mark-upstream":      decode[api.MarkUpstream],
	"announce-weights":   decode[api.AnnounceWeights],
	"strike":             decode[api.Strike],
	"lift-quarantine":    decode[api.LiftQuarantine],
	"claim":              decode[api.Claim],
	"settle":             decode[api.Settle],
	"checkpoint":         decode[api.Checkpoint],
}

func decode[T api.RecordBody](raw []byte) (api.RecordBody, error) {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "record body: %w", err)
	}
	return v, nil
}

// Encode returns the payload of a record, which does not contain the record's ID.
// Errors: CodeInvalid for a body of an unknown type.
func Encode(r api.Record) ([]byte, error) {
	kind := KindOf(r.Body)
	if kind == "" {
		return nil, api.Errorf(api.CodeInvalid, "record body of unknown type %T", r.Body)
	}
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "record body: %w", err)
	}
	payload, err := json.Marshal(envelope{Kind: kind, Actor: r.Actor, AppendedBy: r.AppendedBy, CreatedMillis: r.CreatedMillis, Body: body})
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "record: %w", err)
	}
	return payload, nil
}

// Decode is the inverse of Encode. Errors: CodeInvalid.
func Decode(id api.RecordID, payload []byte) (api.Record, error) {
	var e envelope
	if err := json.Unmarshal(payload, &e); err != nil {
		return api.Record{}, api.Errorf(api.CodeInvalid, "record %s: %w", id, err)
	}
	dec, ok := decoders[e.Kind]
	if !ok {
		return api.Record{}, api.Errorf(api.CodeInvalid, "record %s has unknown kind %q", id, e.Kind)
	}
	body, err := dec(e.Body)
	if err != nil {
		return api.Record{}, err
	}
	return api.Record{ID: id, Actor: e.Actor, AppendedBy: e.AppendedBy, CreatedMillis: e.CreatedMillis, Body: body}, nil
}
