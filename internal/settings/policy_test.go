package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
)

// Guards against a policy that stays on, or is turned off, because of a misspelt
// setting.
func TestPolicySettings(t *testing.T) {
	for name, c := range map[string]struct {
		file string
		want policy.Settings
		err  string
	}{
		"comments":       {file: "{// all but one\n\"near_wait\": \"off\"}", want: policy.Settings{NearWait: policy.Off}},
		"unknown policy": {file: `{"near": "off"}`, err: `near: unknown field`},
		"unknown mode":   {file: `{"near_wait": "never"}`, err: `policy "near_wait" is "never"`},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "policy.json")
			require.NoError(t, os.WriteFile(path, []byte(c.file), 0o600))
			got, err := LoadPolicies(path)
			if c.err != "" {
				require.ErrorContains(t, err, c.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, c.want, got)
		})
	}
}
