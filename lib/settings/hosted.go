package settings

import "time"

// Hosted contains the settings of a daemon on an external platform, which provides
// the configuration and stores the durable state.
type Hosted struct {
	Daemon           string `yaml:"daemon" validate:"required"`             // unique name
	DataCentre       string `yaml:"data_centre" validate:"required"`        // data centre of this host
	CallerAddress    string `yaml:"callers" validate:"required,hostport"`   // listen address for callers
	ReadinessAddress string `yaml:"readiness" validate:"required,hostport"` // listen address of the readiness check
	MetricsAddress   string `yaml:"metrics" validate:"omitempty,hostport"`  // listen address of the metrics; empty: none
	// PeerAddress is the listen address for other daemons, which send requests there while
	// they can't reach the upstreams; empty: none.
	PeerAddress  string `yaml:"peers" validate:"omitempty,hostport"`
	StoreAddress string `yaml:"store" validate:"required,hostport"` // address of the platform's store
	// UpstreamSource is the local IP address of connections to upstreams; empty: the
	// system chooses it.
	UpstreamSource string `yaml:"upstream_source" validate:"omitempty,ip"`
	MaxRecordBytes int    `yaml:"record_bytes" validate:"min=1024"` // maximum size of a record in the store
	MaxAppendBytes int    `yaml:"call_bytes" validate:"min=1024"`   // maximum size of an append
	// StoreReadsPerSecond is the store's limit on read calls over all daemons.
	StoreReadsPerSecond int `yaml:"store_reads" validate:"min=10"`
	// Retention is how long the store retains records. A checkpoint is written in each
	// quarter of it. The daemon logs a warning at start if it is shorter than
	// JobRetention.
	Retention time.Duration `yaml:"retention" validate:"min=1s"`
	// JobRetention is how long after its submission a finished job can be read.
	JobRetention time.Duration `yaml:"remember" validate:"min=1s"`
	// LeaseWait is how long a new lease holder waits before its first load order
	// to the upstream.
	LeaseWait time.Duration `yaml:"lease_wait" validate:"min=0s"`
	// ShutdownTimeout is the time between the stop signal and the process exit.
	ShutdownTimeout time.Duration `yaml:"grace" validate:"min=1s"`
	// LoadShare is the maximum fraction of a service's engines that load weights at
	// the same time.
	LoadShare float64 `yaml:"load_share" validate:"gt=0,max=1"`
	// MaxRuns bounds the concurrent runs of this daemon, besides its memory and descriptors;
	// 0: they alone do.
	MaxRuns int `yaml:"carriers" validate:"min=0,max=4096"`
	// ProcessorShare is the processor capacity of this host, in cores. Hosts with more
	// run more of the batch jobs.
	ProcessorShare float64 `yaml:"processor_share" validate:"gt=0,max=1024"`
	// Keys says what holds for the keys of customers while the configuration can't be read.
	Keys Keys `yaml:"keys"`
	// Limits are the limits of this host on the process.
	Limits HostLimits `yaml:"limits"`
	// Duties are the calls to the platform that one daemon at a time makes.
	Duties   Duties   `yaml:"duties"`
	Locality Locality `yaml:"locality"`
	// UpstreamWindows bounds what this daemon has outstanding at each upstream by the
	// upstream's refusals and losses.
	UpstreamWindows bool `yaml:"upstream_windows"`
	// MoveLateItems moves items that would miss their job's due time where they run to another
	// upstream, if they end in time there.
	MoveLateItems bool `yaml:"move_late_items"`
	// PlaceBySpeed places items on the faster upstreams of a service first.
	PlaceBySpeed bool `yaml:"place_by_speed"`
	// FatalInvariants terminates the process on an invariant violation; for tests.
	FatalInvariants bool `yaml:"fatal_invariants"`
}

// Keys configures what holds for the keys of customers while the configuration can't be read.
type Keys struct {
	// FailClosed refuses keys that may have been taken away Revoke or longer ago. Otherwise
	// they stay valid until the configuration is read again.
	FailClosed bool          `yaml:"fail_closed"`
	Revoke     time.Duration `yaml:"revoke" validate:"min=0s"`
}

// HostLimits are the limits of a host on a process. What callers send is taken only within
// them.
type HostLimits struct {
	MemoryMB    int `yaml:"memory_mb" validate:"min=32"`   // MiB; the process is ended above it
	Descriptors int `yaml:"descriptors" validate:"min=64"` // open files and sockets
}

// Duties configures the calls to the platform that one daemon at a time makes.
type Duties struct {
	Address string `yaml:"address" validate:"omitempty,hostport"` // of the platform's API; empty: there are no duties
	// Names are the duties that the platform asks for.
	Names []string `yaml:"names"`
	// CallsPerSecond is the platform's limit on the calls of all daemons together.
	CallsPerSecond float64 `yaml:"calls_per_second" validate:"min=0"`
	// FencesChecked is set if the platform refuses calls with a fencing token below the
	// highest that it has seen.
	FencesChecked bool `yaml:"fences_checked"`
	// Lease is how long a daemon holds a duty after it has last renewed it.
	Lease time.Duration `yaml:"lease" validate:"min=0s"`
	// UsageWindow is the length of the windows in which usage is counted, and UsageDelay the
	// time after the end of a window within which it must be reported.
	UsageWindow time.Duration `yaml:"usage_window" validate:"min=0s"`
	UsageDelay  time.Duration `yaml:"usage_delay" validate:"min=0s"`
}

// Locality configures which work leaves its data centre. The zero value lets all work leave it.
type Locality struct {
	// MinGain is the fraction of its latency target by which a request must be answered
	// earlier in another data centre.
	MinGain float64 `yaml:"min_gain" validate:"min=0,max=100"`
	// LeaseExcess is how many times as loaded as others the daemons of a data centre must be
	// before one elsewhere takes the lease on an upstream there.
	LeaseExcess float64 `yaml:"lease_excess" validate:"min=0,max=100"`
}

// Defaults of a hosted daemon's settings.
const (
	DefaultMaxRecordBytes      = 256 << 10       // bytes
	DefaultMaxAppendBytes      = 2 << 20         // bytes
	DefaultStoreReadsPerSecond = 2000            // reads per second that the platform's smaller stores allow
	DefaultRetention           = 5 * time.Minute // retention of the platform's own topics
	DefaultJobRetention        = 2 * time.Minute // must be within the store's retention
	DefaultLeaseWait           = 3 * time.Second // exceeds the longest pause between a holder's lease checks
	DefaultShutdownTimeout     = 8 * time.Second
	DefaultLoadShare           = 1.0 / 5         // that many engines can load without slowing each other down
	DefaultProcessorShare      = 1.0             // cores
	DefaultRevoke              = 5 * time.Second // several reads of the configuration
	DefaultMemoryMB            = 2048            // MiB; a host that names no limit is taken for a large one
	DefaultDescriptors         = 8192
)

// LoadHosted reads and validates a hosted daemon's settings file. Errors: as Load.
func LoadHosted(path string) (*Hosted, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHosted(data)
}

// ParseHosted decodes and validates settings. Unknown keys are rejected. Errors:
// *Error.
func ParseHosted(data []byte) (*Hosted, error) {
	h := &Hosted{
		MaxRecordBytes: DefaultMaxRecordBytes, MaxAppendBytes: DefaultMaxAppendBytes, StoreReadsPerSecond: DefaultStoreReadsPerSecond, Retention: DefaultRetention, JobRetention: DefaultJobRetention,
		LeaseWait: DefaultLeaseWait, ShutdownTimeout: DefaultShutdownTimeout, LoadShare: DefaultLoadShare, ProcessorShare: DefaultProcessorShare,
		Keys:   Keys{Revoke: DefaultRevoke},
		Limits: HostLimits{MemoryMB: DefaultMemoryMB, Descriptors: DefaultDescriptors},
	}
	if err := decode(data, h); err != nil {
		return nil, err
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	return h, nil
}

// Validate checks all values. Errors: *Error for the first invalid one.
func (h *Hosted) Validate() error { return check(h) }

// Capacity returns the processor capacity of this host, in thousandths of a core.
func (h *Hosted) Capacity() int { return int(h.ProcessorShare * 1000) }
