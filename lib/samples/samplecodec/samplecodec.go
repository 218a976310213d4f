// Package samplecodec encodes the records of a trainer's stream, and trainer
// notices, as JSON for the log.
package samplecodec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/samples"
)

type envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// The kinds of records, as stored in the log.
const (
	kindStepOpened    = "step-opened"
	kindSampleDone    = "sample-done"
	kindHandOver      = "hand-over"
	kindStepRunner    = "step-runner"
	kindStepAbandoned = "step-abandoned"
	kindCheckpoint    = "checkpoint"
)

var decoders = map[string]func([]byte) (samples.RecordBody, error){
	kindStepOpened:    decode[samples.StepOpened],
	kindSampleDone:    decode[samples.SampleDone],
	kindHandOver:      decode[samples.HandOver],
	kindStepRunner:    decode[samples.StepRunner],
	kindStepAbandoned: decode[samples.StepAbandoned],
	kindCheckpoint:    decode[samples.Checkpoint],
}

func kindOf(b samples.RecordBody) string {
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
	case samples.Checkpoint:
		return kindCheckpoint
	default:
		return ""
	}
}

func decode[T samples.RecordBody](raw []byte) (samples.RecordBody, error) {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, api.Errorf(api.CodeInvalid, "sample record body: %w", err)
	}
	return v, nil
}

// Encode returns the payload of a record. The record ID is not part of the
// payload. Errors: CodeInvalid.
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
	decodeBody, ok := decoders[e.Kind]
	if !ok {
		return samples.Record{}, api.Errorf(api.CodeInvalid, "sample record %s has kind %q", id, e.Kind)
	}
	body, err := decodeBody(e.Body)
	if err != nil {
		return samples.Record{}, err
	}
	return samples.Record{ID: id, Body: body}, nil
}

// EncodeTrainerNotice returns the payload of a notice. Errors: CodeInvalid.
func EncodeTrainerNotice(n samples.TrainerNotice) ([]byte, error) {
	payload, err := json.Marshal(n)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "notice: %w", err)
	}
	return payload, nil
}

// DecodeTrainerNotice is the inverse of EncodeTrainerNotice. Errors:
// CodeInvalid.
func DecodeTrainerNotice(payload []byte) (samples.TrainerNotice, error) {
	var n samples.TrainerNotice
	if err := json.Unmarshal(payload, &n); err != nil {
		return samples.TrainerNotice{}, api.Errorf(api.CodeInvalid, "notice: %w", err)
	}
	if n.Trainer == "" {
		return samples.TrainerNotice{}, api.Errorf(api.CodeInvalid, "notice without a trainer")
	}
	return n, nil
}

// maxImageBytes bounds an uncompressed image.
const maxImageBytes = 256 << 20

// EncodeImage returns the compressed state of a stream, for checkpoints. Errors:
// CodeInvalid.
func EncodeImage(img *samples.Image) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(z).Encode(img)
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "image: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeImage is the inverse of EncodeImage. Errors: CodeInvalid.
func DecodeImage(state []byte) (samples.Image, error) {
	var img samples.Image
	z, err := gzip.NewReader(bytes.NewReader(state))
	if err == nil {
		err = json.NewDecoder(io.LimitReader(z, maxImageBytes)).Decode(&img)
	}
	if err != nil {
		return samples.Image{}, api.Errorf(api.CodeInvalid, "image: %w", err)
	}
	return img, nil
}
