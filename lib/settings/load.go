package settings

import (
	"errors"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/settings/internal/strictyaml"
)

// Error reports a key with an invalid value, and the allowed values.
type Error = strictyaml.Error

// Default settings.
const (
	DefaultWorkers            = 64  // threads
	DefaultQueueLimit         = 512 // requests
	DefaultRouting            = "affinity"
	DefaultProgressDeadline   = 5 * time.Second
	DefaultDeadline           = 60 * time.Second
	DefaultShortTokens        = 64 // tokens
	DefaultWeightInteractive  = 8
	DefaultWeightOnce         = 4
	DefaultWeightRollout      = 1
	DefaultBodyBytes          = 1 << 20  // bytes
	DefaultStepBytes          = 64 << 20 // bytes
	DefaultDisconnectTimeout  = 10 * time.Second
	DefaultLinger             = 500 * time.Millisecond
	DefaultCheckpointInterval = 10 * time.Minute
	DefaultShortReserve       = 0.25 // fraction of a window
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Defaults returns settings with all defaults set.
func Defaults() *Settings {
	return &Settings{
		Dispatch: Dispatch{
			Workers:          DefaultWorkers,
			QueueLimit:       DefaultQueueLimit,
			Routing:          DefaultRouting,
			ProgressDeadline: DefaultProgressDeadline,
			DefaultDeadline:  DefaultDeadline,
			ShortTokens:      DefaultShortTokens,
			ShortReserve:     DefaultShortReserve,
			Weights: Weights{
				Interactive: DefaultWeightInteractive,
				Once:        DefaultWeightOnce,
				Rollout:     DefaultWeightRollout,
			},
		},
		Platform: Platform{CheckpointInterval: DefaultCheckpointInterval},
		Limits:   Limits{BodyBytes: DefaultBodyBytes, StepBytes: DefaultStepBytes, DisconnectTimeout: DefaultDisconnectTimeout, Linger: DefaultLinger},
		Host:     HostLimits{MemoryMB: DefaultMemoryMB, Descriptors: DefaultDescriptors},
	}
}

// Load reads and validates a settings file. Errors: *Error for invalid content, an
// *api.Error with CodeInvalid if the file cannot be read.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "settings file: %w", err)
	}
	return data, nil
}

// Parse decodes and validates settings. Unknown keys are rejected. Errors: *Error.
func Parse(data []byte) (*Settings, error) {
	s := Defaults()
	if err := decode(data, s); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// decode decodes the content of a file into settings. Errors: *Error.
func decode(data []byte, settings any) error {
	if len(data) > maxFileBytes {
		return &Error{Value: "a larger file", Allowed: "at most 1 MiB"}
	}
	return strictyaml.Decode(data, settings)
}

// validate is safe for concurrent use after the registrations in newValidator.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(strictyaml.Name)
	// RegisterValidation only fails for an empty tag.
	_ = v.RegisterValidation("hostport", isAddrPort)
	return v
}

func isAddrPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// Validate checks all values. Errors: *Error for the first invalid one.
func (s *Settings) Validate() error { return check(s) }

func check(settings any) error {
	err := validate.Struct(settings)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &Error{Allowed: "settings that can be checked", Cause: err}
	}
	f := fields[0]
	_, key, _ := strings.Cut(f.Namespace(), ".")
	return &Error{Key: key, Value: valueText(f.Value()), Allowed: allowed(f), Cause: err}
}

func valueText(v any) string {
	if d, ok := v.(time.Duration); ok {
		return d.String()
	}
	return strings.TrimSpace(reflectText(reflect.ValueOf(v)))
}

func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "oneof":
		return strings.Join(strings.Fields(f.Param()), ", ")
	case "hostport":
		return "ip:port"
	case "min":
		return "at least " + f.Param()
	case "gt":
		return "more than " + f.Param()
	case "max":
		return "at most " + f.Param()
	case "required":
		return "a value that is not empty"
	default:
		return f.Tag() + " " + f.Param()
	}
}

func reflectText(v reflect.Value) string {
	switch {
	case v.CanInt():
		return strconv.FormatInt(v.Int(), 10)
	case v.Kind() == reflect.String:
		return v.String()
	default:
		return v.Kind().String()
	}
}
