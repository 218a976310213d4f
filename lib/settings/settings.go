// Package settings reads and validates a daemon's YAML settings. The keys are stable;
// some differ from the names of their fields.
package settings

import "time"

// Settings contains the settings of a daemon.
type Settings struct {
	Daemon     string   `yaml:"daemon" validate:"required"`      // unique name
	DataCentre string   `yaml:"data_centre" validate:"required"` // data centre of this host
	Listen     Listen   `yaml:"listen"`
	Platform   Platform `yaml:"platform"`
	// Peers are the addresses (ip:port) of daemons through which this daemon joins
	// the others.
	Peers    []string `yaml:"peers" validate:"dive,hostport"`
	Dispatch Dispatch `yaml:"dispatch"`
	Limits   Limits   `yaml:"limits"`
	// Host contains the limits of this host on the process.
	Host HostLimits `yaml:"host"`
	// FatalInvariants terminates the process on an invariant violation; for tests.
	FatalInvariants bool `yaml:"fatal_invariants"`
}

// Listen contains the listen addresses (ip:port) of the daemon.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,hostport"` // members, directors, trainers, operators
	Peers   string `yaml:"peers" validate:"required,hostport"`   // other daemons
	// AdvertisePeers is the address advertised to other daemons; empty: the
	// value of Peers.
	AdvertisePeers string `yaml:"advertise_peers" validate:"omitempty,hostport"`
}

// Platform contains the addresses (ip:port) of the platform's services.
type Platform struct {
	Log         string `yaml:"log" validate:"required,hostport"`
	WeightStore string `yaml:"weight_store" validate:"omitempty,hostport"`
	HostList    string `yaml:"host_list" validate:"omitempty,hostport"`
	// CheckpointInterval is the maximum time between two checkpoints in the log.
	// It must be well below the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_every" validate:"min=100ms"`
}

// Dispatch configures the dispatcher.
type Dispatch struct {
	Workers          int           `yaml:"carriers" validate:"min=1,max=4096"` // threads that call upstreams
	QueueLimit       int           `yaml:"queue_limit" validate:"min=1"`       // maximum number of queued requests
	Routing          string        `yaml:"routing" validate:"oneof=affinity two-choice round-robin random least-in-flight"`
	ProgressDeadline time.Duration `yaml:"progress_deadline" validate:"min=10ms"`  // time without progress after which a call is aborted
	DefaultDeadline  time.Duration `yaml:"default_deadline" validate:"min=10ms"`   // for requests without a deadline
	ShortTokens      int           `yaml:"short_tokens" validate:"min=1"`          // maximum tokens of a short request
	ShortReserve     float64       `yaml:"short_reserve" validate:"min=0,max=0.9"` // fraction of each window reserved for short requests
	Weights          Weights       `yaml:"weights"`
}

// Weights are the shares of the lanes while all of them have queued work.
type Weights struct {
	Interactive int `yaml:"interactive" validate:"min=1"`
	Once        int `yaml:"once" validate:"min=1"`
	Rollout     int `yaml:"rollout" validate:"min=1"`
}

// Limits contains limits on requests, and shutdown and readiness timeouts.
type Limits struct {
	BodyBytes         int64         `yaml:"body_bytes" validate:"min=1"`  // maximum body size of member and director requests
	StepBytes         int64         `yaml:"step_bytes" validate:"min=1"`  // maximum body size of trainer requests
	DisconnectTimeout time.Duration `yaml:"cut_off" validate:"min=100ms"` // time without log and peers after which the daemon is not ready
	// Linger is how long a stopping daemon still rejects requests as not run
	// before it closes its listener.
	Linger time.Duration `yaml:"linger" validate:"min=0s"`
}
