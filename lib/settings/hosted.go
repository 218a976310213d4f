package settings

import "time"

// Hosted are the settings of a daemon on an outside platform, which keeps what
// must last and says what the configuration is.
type Hosted struct {
	Daemon           string `yaml:"daemon" validate:"required"`             // unique name
	DataCentre       string `yaml:"data_centre" validate:"required"`        // where this host is
	CallerAddress    string `yaml:"callers" validate:"required,hostport"`   // address that callers are served on
	ReadinessAddress string `yaml:"readiness" validate:"required,hostport"` // address that tells whether the daemon is ready
	MetricsAddress   string `yaml:"metrics" validate:"omitempty,hostport"`  // address of counters and latencies; empty: none
	StoreAddress     string `yaml:"store" validate:"required,hostport"`     // address of the platform's store
	MaxRecordBytes   int    `yaml:"record_bytes" validate:"min=1024"`       // most of a record in the store
	MaxAppendBytes   int    `yaml:"call_bytes" validate:"min=1024"`         // most of one append
	// StoreReadsPerSecond is how many reading calls a second the store takes from all daemons together.
	StoreReadsPerSecond int `yaml:"store_reads" validate:"min=10"`
	// Retention is how long the store keeps records; a shorter one than
	// Remember is warned of at the start.
	Retention time.Duration `yaml:"retention" validate:"min=1s"`
	// JobRetention is how long after its submission a job that is over can be read.
	JobRetention time.Duration `yaml:"remember" validate:"min=1s"`
	// LeaseWait is how long a new holder of an upstream waits before its first order.
	LeaseWait time.Duration `yaml:"lease_wait" validate:"min=0s"`
	// ShutdownTimeout is the time between the signal to stop and the end of the process.
	ShutdownTimeout time.Duration `yaml:"grace" validate:"min=1s"`
	// LoadShare is the part of a service's model servers that load weights at once.
	LoadShare float64 `yaml:"load_share" validate:"gt=0,max=1"`
	Workers   int     `yaml:"carriers" validate:"min=1,max=4096"` // runs at once on this daemon
	// FatalInvariants ends the process on a broken invariant; for tests.
	FatalInvariants bool `yaml:"fatal_invariants"`
}

// The values of keys that a hosted daemon's file does not name.
const (
	DefaultMaxRecordBytes      = 256 << 10       // bytes
	DefaultMaxAppendBytes      = 2 << 20         // bytes
	DefaultStoreReadsPerSecond = 2000            // calls a second, the users' smaller stores
	DefaultRetention           = 5 * time.Minute // of the platform's own topics
	DefaultJobRetention        = 2 * time.Minute // within the store's retention
	DefaultLeaseWait           = 3 * time.Second // longer than the longest pause of a holder between its checks
	DefaultShutdownTimeout     = 8 * time.Second
	DefaultLoadShare           = 1.0 / 6 // of the model servers load without slowing each other
	DefaultRunWorkers          = 96      // eight model servers of twelve slots
)

// LoadHosted reads and checks a hosted daemon's settings file. Errors: as for Load.
func LoadHosted(path string) (*Hosted, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHosted(data)
}

// ParseHosted decodes and checks settings; unknown keys are refused. Errors: *Error.
func ParseHosted(data []byte) (*Hosted, error) {
	h := &Hosted{
		MaxRecordBytes: DefaultMaxRecordBytes, MaxAppendBytes: DefaultMaxAppendBytes, StoreReadsPerSecond: DefaultStoreReadsPerSecond, Retention: DefaultRetention, JobRetention: DefaultJobRetention,
		LeaseWait: DefaultLeaseWait, ShutdownTimeout: DefaultShutdownTimeout, LoadShare: DefaultLoadShare, Workers: DefaultRunWorkers,
	}
	if err := decode(data, h); err != nil {
		return nil, err
	}
	if err := h.Validate(); err != nil {
		return nil, err
	}
	return h, nil
}

// Validate checks every value and names the first that is not allowed. Errors: *Error.
func (h *Hosted) Validate() error { return check(h) }
