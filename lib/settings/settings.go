// Package settings reads and checks a daemon's YAML settings.
package settings

import "time"

// Settings of one daemon.
type Settings struct {
	Daemon     string   `yaml:"daemon" validate:"required"`      // unique name
	DataCentre string   `yaml:"data_centre" validate:"required"` // where this host is
	Listen     Listen   `yaml:"listen"`
	Platform   Platform `yaml:"platform"`
	// Peers are addresses (ip:port) of some other daemons to join by.
	Peers    []string `yaml:"peers" validate:"dive,hostport"`
	Dispatch Dispatch `yaml:"dispatch"`
	Limits   Limits   `yaml:"limits"`
	// FatalInvariants ends the process on a broken invariant; for tests.
	FatalInvariants bool `yaml:"fatal_invariants"`
}

// Listen holds the addresses (ip:port) this daemon serves on.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,hostport"` // members, directors, trainers, operators
	Peers   string `yaml:"peers" validate:"required,hostport"`   // other daemons
	// AdvertisePeers is the address that other daemons are told to use; empty:
	// the one listened on.
	AdvertisePeers string `yaml:"advertise_peers" validate:"omitempty,hostport"`
}

// Platform holds the addresses (ip:port) of the platform's services.
type Platform struct {
	Log         string `yaml:"log" validate:"required,hostport"`
	WeightStore string `yaml:"weight_store" validate:"omitempty,hostport"`
	HostList    string `yaml:"host_list" validate:"omitempty,hostport"`
	// CheckpointInterval is the longest time without a checkpoint in the log; it
	// must be well below the log's retention.
	CheckpointInterval time.Duration `yaml:"checkpoint_every" validate:"min=100ms"`
}

// Dispatch tunes the queue in front of the upstreams.
type Dispatch struct {
	Workers          int           `yaml:"carriers" validate:"min=1,max=4096"` // threads that talk to upstreams
	QueueLimit       int           `yaml:"queue_limit" validate:"min=1"`       // requests queued at most
	Routing          string        `yaml:"routing" validate:"oneof=affinity two-choice round-robin random least-in-flight"`
	ProgressDeadline time.Duration `yaml:"progress_deadline" validate:"min=10ms"`  // silence after which a call is given up
	DefaultDeadline  time.Duration `yaml:"default_deadline" validate:"min=10ms"`   // for requests that name none
	ShortTokens      int           `yaml:"short_tokens" validate:"min=1"`          // up to this many tokens work is short
	ShortReserve     float64       `yaml:"short_reserve" validate:"min=0,max=0.9"` // part of each window kept for short work
	Weights          Weights       `yaml:"weights"`
}

// Weights are the shares of the lanes when all of them have work queued.
type Weights struct {
	Interactive int `yaml:"interactive" validate:"min=1"`
	Once        int `yaml:"once" validate:"min=1"`
	Rollout     int `yaml:"rollout" validate:"min=1"`
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes         int64         `yaml:"body_bytes" validate:"min=1"`  // of a member's or director's request
	StepBytes         int64         `yaml:"step_bytes" validate:"min=1"`  // of a trainer's request
	DisconnectTimeout time.Duration `yaml:"cut_off" validate:"min=100ms"` // without log and peers for longer: not ready
	// Linger is how long a stopping daemon still answers, as not run, before it
	// closes its address.
	Linger time.Duration `yaml:"linger" validate:"min=0s"`
}
