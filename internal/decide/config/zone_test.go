package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

var zoneHosts = ListedHosts{
	Backends: []Backend{
		{Name: "b1", Customer: "tamarind", Zone: "karen", Slots: 8},
		{Name: "b2", Customer: "tamarind", Zone: "gorwa", Slots: 4},
		{Name: "b3", Customer: "vadodara", Zone: "karen", Slots: 8},
	},
	Workers: []Worker{{Name: "w1", Zone: "karen", Cores: 32}, {Name: "w2", Zone: "gorwa", Cores: 16}},
	Zones:   []string{"gorwa", "karen"},
}

func zoneIntent(verb Verb, zone string) Intent {
	return Intent{ID: "i-" + string(verb) + "-" + zone, Operator: "patel", Reason: "power", Verb: verb, Zone: zone, Force: true}
}

// planZone plans and applies an intent about a zone.
func planZone(t *testing.T, state *standing.State, i Intent) (*standing.State, Plan) {
	t.Helper()
	p, err := MakePlan("plan-"+i.ID+fmt.Sprint(state.Offset), state, zoneHosts, i)
	require.Nil(t, err)
	next, outcome := Apply(state, state.Offset+1, changeRecord(p))
	require.True(t, outcome.Accepted, outcome.Reason)
	return next, p
}

// Guards against an evacuation that the operator did not mean: of an unknown zone,
// once more, of the last zone, or of a customer's last servers.
func TestZonePlanWarnings(t *testing.T) {
	state := stateWithTamarind(t)
	evacuated, first := planZone(t, state, zoneIntent(EvacuateZone, "karen"))
	require.Empty(t, first.Warnings)
	require.Contains(t, first.Effects[0], "zone karen: 2 backend servers with 16 slots, 1 workers with 32 cores")
	require.Equal(t, []string{"pool/tamarind", "pool/vadodara", "zone/karen", "zones"}, first.Keys)
	require.Contains(t, first.Subjects(), "karen")
	require.Equal(t, standing.Evacuation{Since: 2, Intent: first.Intent.ID, Operator: "patel", Reason: "power"}, evacuated.Evacuations["karen"])
	cases := []struct {
		name, zone string
		want       []string
	}{
		{"again", "karen", []string{`zone "karen" is evacuated already, since version 2 by patel`}},
		{"unknown", "nowhere", []string{`the host list names no host in zone "nowhere"`}},
		{"last", "gorwa", []string{"customer tamarind has no usable backend", `zone "gorwa" is the last one in service`, "no worker is left"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := zoneIntent(EvacuateZone, c.zone)
			i.Force = false
			p, err := MakePlan("p", evacuated, zoneHosts, i)
			require.Nil(t, err)
			for _, want := range c.want {
				require.Contains(t, fmt.Sprint(p.Warnings), want)
			}
			require.NotNil(t, p.Verify(), "a plan with warnings must need force")
		})
	}
}

// Guards against a readmission that leaves the zone out of service, and against plans
// that name no zone or one in service.
func TestReadmissionOfAZone(t *testing.T) {
	state, _ := planZone(t, stateWithTamarind(t), zoneIntent(EvacuateZone, "karen"))
	state, _ = planZone(t, state, zoneIntent(ReadmitZone, "karen"))
	require.False(t, state.Evacuated("karen"))
	_, err := MakePlan("p", state, zoneHosts, zoneIntent(ReadmitZone, "karen"))
	require.NotNil(t, err)
	require.Contains(t, err.Detail, `zone "karen" is not evacuated`)
	for _, verb := range []Verb{EvacuateZone, ReadmitZone} {
		require.Contains(t, zoneIntent(verb, "").Check().Detail, `needs "zone"`)
	}
}

// Guards against two evacuations, planned on one version, that together leave no
// zone in service although neither plan warned of it.
func TestConcurrentEvacuationsOfTwoZonesConflict(t *testing.T) {
	state := stateWithTamarind(t)
	second, err := MakePlan("plan-2", state, zoneHosts, zoneIntent(EvacuateZone, "gorwa"))
	require.Nil(t, err)
	state, _ = planZone(t, state, zoneIntent(EvacuateZone, "karen"))
	_, outcome := Apply(state, state.Offset+1, changeRecord(second))
	require.False(t, outcome.Accepted)
}
