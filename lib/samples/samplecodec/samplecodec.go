// Package samplecodec encodes the records of a trainer's stream as JSON. It is
// the only place that knows their form in the log.
package samplecodec

import (
	"encoding/json"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
)

type envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// The kinds of records in the log.
const (
	kindStepOpened    = "step-opened"
	kindSampleDone    = "sample-done"
	kindHandOver      = "hand-over"
	kindStepRunner    = "step-runner"
	kindStepAbandoned = "step-abandoned"
)

var decoders = map[string]func([]byte) (samples.Body, error){
	kindStepOpened:    decode[samples.StepOpened],
	kindSampleDone:    decode[samples.SampleDone],
	kindHandOver:      decode[samples.HandOver],
	kindStepRunner:    decode[samples.StepRunner],
	kindStepAbandoned: decode[samples.StepAbandoned],
}

func kindOf(b samples.Body) string {
	switch b.(type) {
	case samples.StepOpened:
		return kindStepOpened
	case samples.SampleDone:
		return kindSampleDone
	case samples.HandOver:
		return kindHandOver
	case samples.StepRunner:
		return kindStepRunner
	case samples.StepAbandoned:
		return kindStepAbandoned
	default:
		return ""
	}
}

func decode[T samples.Body](raw []byte) (samples.Body, error) {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "sample record body: %w", err)
	}
	return v, nil
}

// Encode returns the payload of a record; its id travels outside the payload.
// Errors: CodeInvalid for a body of no known type.
func Encode(r samples.Record) ([]byte, error) {
	kind := kindOf(r.Body)
	if kind == "" {
		return nil, api.Errorf(api.CodeInvalid, "sample record body of type %T", r.Body)
	}
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "sample record body: %w", err)
	}
	payload, err := json.Marshal(envelope{Kind: kind, Body: body})
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "sample record: %w", err)
	}
	return payload, nil
}

// Decode is the inverse of Encode. Errors: CodeInvalid.
func Decode(id api.RecordID, payload []byte) (samples.Record, error) {
	var e envelope
	if err := json.Unmarshal(payload, &e); err != nil {
		return samples.Record{}, api.Errorf(api.CodeInvalid, "sample record %s: %w", id, err)
	}
	dec, ok := decoders[e.Kind]
	if !ok {
		return samples.Record{}, api.Errorf(api.CodeInvalid, "sample record %s has kind %q", id, e.Kind)
	}
	body, err := dec(e.Body)
	if err != nil {
		return samples.Record{}, err
	}
	return samples.Record{ID: id, Body: body}, nil
}
