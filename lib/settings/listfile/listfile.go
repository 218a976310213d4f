// Package listfile reads plan lists and usage lists from YAML files.
package listfile

import (
	"os"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/settings/internal/strictyaml"
)

// LoadPlanList reads and validates a plan list. Errors: *settings.Error for invalid
// YAML, an *api.Error with CodeInvalid otherwise.
func LoadPlanList(path string) (*api.PlanList, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParsePlanList(data)
}

// ParsePlanList decodes and validates a plan list. Errors: as LoadPlanList.
func ParsePlanList(data []byte) (*api.PlanList, error) {
	var l api.PlanList
	if err := strictyaml.Decode(data, &l); err != nil {
		return nil, err
	}
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &l, nil
}

// LoadUsageList reads and validates a usage list. Errors: as LoadPlanList.
func LoadUsageList(path string) (*api.UsageList, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseUsageList(data)
}

// ParseUsageList decodes and validates a usage list. Errors: as LoadPlanList.
func ParseUsageList(data []byte) (*api.UsageList, error) {
	var l api.UsageList
	if err := strictyaml.Decode(data, &l); err != nil {
		return nil, err
	}
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &l, nil
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, api.Errorf(api.CodeInvalid, "list file: %w", err)
	}
	return data, nil
}
