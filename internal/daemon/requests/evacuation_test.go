package requests

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// Guards against requests that are routed to backend servers of an evacuated zone,
// and against a refusal while servers of other zones are left.
func TestServersOfEvacuatedZonesAreNotRoutable(t *testing.T) {
	c := &customer{name: "tamarind", addresses: map[string]string{}, lastListed: map[string]platform.Host{}}
	hosts := []platform.Host{
		{Name: "b1", Role: platform.RoleBackend, Customer: "tamarind", Zone: "karen", State: platform.HostLive, Slots: 1},
		{Name: "b2", Role: platform.RoleBackend, Customer: "tamarind", Zone: "gorwa", State: platform.HostLive, Slots: 1},
	}
	state := &standing.State{Evacuations: map[string]standing.Evacuation{"karen": {}}}
	backends, zones := c.routableBackends(time.Now(), standing.Customer{}, state, hosts)
	require.Len(t, backends, 1)
	require.Equal(t, "b2", backends[0].Name)
	require.Empty(t, zones)
	state.Evacuations["gorwa"] = standing.Evacuation{}
	backends, zones = c.routableBackends(time.Now(), standing.Customer{}, state, hosts)
	require.Empty(t, backends)
	require.Equal(t, []string{"gorwa", "karen"}, zones)
}
