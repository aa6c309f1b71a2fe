package settings

import (
	"fmt"
	"os"

	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
)

// LoadPolicies reads and validates the policy settings at path, JSON with
// comments. An empty path returns the defaults. The error is a Faults with all
// faults of the file, or wraps the error of reading it.
func LoadPolicies(path string) (policy.Settings, error) {
	if path == "" {
		return policy.Settings{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("read policy settings: %w", err)
	}
	var s policy.Settings
	d := decode(path, raw, &s)
	if len(d.faults) > 0 {
		return policy.Settings{}, d.faults
	}
	if err := s.Check(); err != nil {
		return policy.Settings{}, Faults{{Source: path, Reason: err.Error()}}
	}
	return s, nil
}
