package api

import "strconv"

// DaemonID names one incarnation-independent daemon; it comes from its settings.
type DaemonID string

// UpstreamID names a model engine or a plain service in the usage list.
type UpstreamID string

// DataCentre names a data centre, as in the settings and the usage list.
type DataCentre string

// CustomerID names a customer of the plan list.
type CustomerID string

// PlanName names a plan; the plan list and the usage list share these names.
type PlanName string

// ModelName names a model that engines can load.
type ModelName string

// TrainerID names a trainer.
type TrainerID string

// RequestID identifies one caller's request; it is unique across daemons.
type RequestID string

// RecordID identifies one record of the log; repeats of an id are ignored.
type RecordID string

// Offset is the position of a record in its log stream, counted from 1.
type Offset uint64

// Revision is the offset of the record that put a piece of configuration in
// force. Zero means that nothing was published yet.
type Revision = Offset

// WeightVersion numbers the weights of one model; it only grows. Zero is unknown.
type WeightVersion uint64

// String returns the version in decimal.
func (v WeightVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

// Fingerprint identifies the content of a request, whoever sends it.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
