// Package batchcodec encodes the records of package batch: one byte for the
// kind, followed by MessagePack.
package batchcodec

import (
	"fmt"

	"dotterelmount.example/lib/batch"
	"github.com/vmihailenco/msgpack/v5"
)

// FormatError reports a record that could not be encoded or decoded.
type FormatError struct{ Cause error }

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("batch record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// UnknownKindError reports a record of a kind that this build doesn't read.
type UnknownKindError struct{ Kind byte }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind %d", e.Kind) }

// ChangesStates reports whether records of the kind may change states: the numbers from
// 128 on are for kinds that never do, which any build may skip.
func (e *UnknownKindError) ChangesStates() bool { return e.Kind > 0 && e.Kind < 128 }

// The kinds of records. The numbers are stored: a retired one is not reused.
const (
	kindJobAccepted byte = iota + 1
	kindJobEnded
	_ // retired in December 2026: text stored in the journal itself
	kindItemFailed
	kindItemExpired
	kindItemMoved
	kindDaemonAlive
	kindDaemonLeft
	kindLeaseAcquired
	kindUpstreamRemoved
	kindUpstreamChanged
	kindEventIntervalMeasured
	kindRequestCrashed
	kindTextAdded
	kindItemScored
	kindRewardFailed
	kindRequestLimitNamed
	kindDemandReported
	kindStreamBegan
	kindUpstreamLeaving
	kindJobRerouted
	kindTextDropped
	kindStateReset
	kindHomesSwapped
	kindRulesRaised
)

func kindOf(r batch.Record) byte {
	switch r.(type) {
	case *batch.JobAccepted:
		return kindJobAccepted
	case *batch.JobEnded:
		return kindJobEnded
	case *batch.TextAdded:
		return kindTextAdded
	case *batch.ItemFailed:
		return kindItemFailed
	case *batch.ItemExpired:
		return kindItemExpired
	case *batch.ItemMoved:
		return kindItemMoved
	case *batch.DaemonAlive:
		return kindDaemonAlive
	case *batch.DaemonLeft:
		return kindDaemonLeft
	case *batch.LeaseAcquired:
		return kindLeaseAcquired
	case *batch.UpstreamRemoved:
		return kindUpstreamRemoved
	case *batch.EventIntervalMeasured:
		return kindEventIntervalMeasured
	case *batch.RequestCrashed:
		return kindRequestCrashed
	case *batch.ItemScored:
		return kindItemScored
	case *batch.RewardFailed:
		return kindRewardFailed
	case *batch.RequestLimitNamed:
		return kindRequestLimitNamed
	case *batch.DemandReported:
		return kindDemandReported
	case *batch.StreamBegan:
		return kindStreamBegan
	case *batch.UpstreamLeaving:
		return kindUpstreamLeaving
	case *batch.JobRerouted:
		return kindJobRerouted
	case *batch.TextDropped:
		return kindTextDropped
	case *batch.StateReset:
		return kindStateReset
	case *batch.RulesRaised:
		return kindRulesRaised
	case *batch.HomesSwapped:
		return kindHomesSwapped
	default:
		return kindUpstreamChanged
	}
}

var decoders = map[byte]func([]byte) (batch.Record, error){
	kindJobAccepted:           decode[batch.JobAccepted],
	kindJobEnded:              decode[batch.JobEnded],
	kindTextAdded:             decode[batch.TextAdded],
	kindItemFailed:            decode[batch.ItemFailed],
	kindItemExpired:           decode[batch.ItemExpired],
	kindItemMoved:             decode[batch.ItemMoved],
	kindDaemonAlive:           decode[batch.DaemonAlive],
	kindDaemonLeft:            decode[batch.DaemonLeft],
	kindLeaseAcquired:         decode[batch.LeaseAcquired],
	kindUpstreamRemoved:       decode[batch.UpstreamRemoved],
	kindUpstreamChanged:       decode[batch.UpstreamChanged],
	kindEventIntervalMeasured: decode[batch.EventIntervalMeasured],
	kindRequestCrashed:        decode[batch.RequestCrashed],
	kindItemScored:            decode[batch.ItemScored],
	kindRewardFailed:          decode[batch.RewardFailed],
	kindRequestLimitNamed:     decode[batch.RequestLimitNamed],
	kindDemandReported:        decode[batch.DemandReported],
	kindStreamBegan:           decode[batch.StreamBegan],
	kindUpstreamLeaving:       decode[batch.UpstreamLeaving],
	kindJobRerouted:           decode[batch.JobRerouted],
	kindTextDropped:           decode[batch.TextDropped],
	kindStateReset:            decode[batch.StateReset],
	kindHomesSwapped:          decode[batch.HomesSwapped],
	kindRulesRaised:           decode[batch.RulesRaised],
}

// decode returns a *T, which is a batch.Record for every T in decoders.
func decode[T any](data []byte) (batch.Record, error) {
	v := new(T)
	if err := Unmarshal(data, v); err != nil {
		return nil, err
	}
	return any(v).(batch.Record), nil
}

// Encode returns the encoding of a record. Errors: *FormatError.
func Encode(r batch.Record) ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	return append([]byte{kindOf(r)}, data...), nil
}

// Decode is the inverse of Encode. Errors: *FormatError.
func Decode(data []byte) (batch.Record, error) {
	if len(data) == 0 {
		return nil, &FormatError{Cause: &UnknownKindError{}}
	}
	f, ok := decoders[data[0]]
	if !ok {
		return nil, &FormatError{Cause: &UnknownKindError{Kind: data[0]}}
	}
	r, err := f(data[1:])
	if err != nil {
		return nil, &FormatError{Cause: err}
	}
	return r, nil
}
