// Package deploy holds example files for both deployments. The tests check that
// the files load and agree with each other.
package deploy

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/configcheck"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	"github.com/parsleyhill/parsleyhill/internal/standin"
)

// deployments maps each deployment to its zones.
var deployments = map[string][]string{
	"tamarind": {"westlands", "embakasi", "karen"},
	"vadodara": {"makarpura", "gorwa", "waghodia"},
}

// load decodes a file of JSON with comments and rejects unknown fields.
func load(t *testing.T, path string, into any) {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	plain, err := hujson.Standardize(raw)
	require.NoError(t, err)
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	require.NoError(t, dec.Decode(into), path)
}

func TestEntryHostsMatchTheSite(t *testing.T) {
	for deployment, zones := range deployments {
		var site standin.Site
		load(t, filepath.Join(deployment, "site.json"), &site)
		listed := map[string]platform.Host{}
		for _, h := range site.Hosts {
			require.Contains(t, zones, h.Zone)
			require.NotContains(t, listed, h.Name)
			if h.Role == platform.RoleEntry {
				listed[h.Name] = h
			}
		}
		paths, err := filepath.Glob(filepath.Join(deployment, "entry-*.json"))
		require.NoError(t, err)
		require.Len(t, paths, len(listed), deployment)
		seen := map[string]bool{}
		for _, path := range paths {
			s, err := settings.Load(path, settings.Overrides{})
			require.NoError(t, err)
			require.Equal(t, listed[s.Host].Zone, s.Zone, path)
			require.Equal(t, listed[s.Host].Address, s.Listen.Peers, path)
			seen[s.Zone] = true
		}
		require.Len(t, seen, len(zones), deployment)
	}
}

func TestCustomersCanBePlanned(t *testing.T) {
	for deployment := range deployments {
		var intent config.Intent
		load(t, filepath.Join(deployment, "customer.json"), &intent)
		require.Nil(t, intent.Check())
		require.Equal(t, deployment, intent.Customer)
	}
}

// TestCustomersHaveNoFindings checks the example intents against the hosts of
// their sites, with the expected run time of a request.
func TestCustomersHaveNoFindings(t *testing.T) {
	for deployment := range deployments {
		raw, err := os.ReadFile(filepath.Join(deployment, "customer.json"))
		require.NoError(t, err)
		plain, err := hujson.Standardize(raw)
		require.NoError(t, err)
		var site standin.Site
		load(t, filepath.Join(deployment, "site.json"), &site)
		report, err := configcheck.Check(configcheck.Input{
			Document: plain, InForce: &standing.State{}, Hosts: follower.Listed(site.Hosts), RunMs: 80,
		})
		require.NoError(t, err)
		require.Empty(t, report.Findings, deployment)
		require.Empty(t, report.Missing, deployment)
	}
}
