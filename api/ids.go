package api

import "strconv"

// DaemonID identifies a daemon across restarts; it is set in the daemon's settings.
type DaemonID string

// UpstreamID identifies an engine or a plain service of the usage list.
type UpstreamID string

// DataCentre identifies a data centre in the settings and the usage list.
type DataCentre string

// CustomerID identifies a customer of the plan list.
type CustomerID string

// PlanName is the name of a plan, shared by the plan list and the usage list.
type PlanName string

// ModelName is the name of a model that engines can load.
type ModelName string

// TrainerID identifies a trainer.
type TrainerID string

// RequestID identifies a caller's request; it is unique across daemons.
type RequestID string

// RecordID identifies a log record; readers ignore records with an ID they have
// already seen.
type RecordID string

// Offset is the position of a record in its log stream, starting at 1.
type Offset uint64

// Revision is the offset of the record that activated a piece of configuration.
// Zero means that nothing has been published yet.
type Revision = Offset

// WeightVersion is the version number of a model's weights; it only increases.
// Zero means unknown.
type WeightVersion uint64

// String returns the version in decimal.
func (v WeightVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

// Fingerprint is a hash of a request's content, independent of its sender.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
