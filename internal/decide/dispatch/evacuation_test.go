package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Guards against requests that wait until their deadline while all backend servers
// are in evacuated zones, and against refusing one that is in flight.
func TestAllBackendsInEvacuatedZonesRefusesRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New("tamarind", standing.Customer{}, route.NewLeastLoaded("karen", rand.New(rand.NewPCG(1, 1))))
	c.SetBackends(now, []route.Backend{{Name: "b", Zone: "karen", Slots: 1, Weight: 1}})
	for _, id := range []string{"in flight", "waits"} {
		c.Arrive(now, Request{ID: id, Deadline: now.Add(10 * time.Second)})
	}
	require.Equal(t, 1, c.Waiting())
	c.SetBackends(now, nil)
	actions := append(c.SetEvacuated(now, []string{"karen"}), c.Arrive(now, Request{ID: "late", Deadline: now.Add(10 * time.Second)})...)
	refused := map[string]bool{}
	for _, a := range actions {
		if e, ok := a.(LogEvent); ok && e.Record.Action == "refuse" {
			require.Contains(t, e.Record.Subjects, "karen", "explain finds it by the zone")
		}
		if f, ok := a.(Finish); ok {
			refused[f.ID] = true
			require.Equal(t, errkind.NotRun, f.Err.Run)
			require.Contains(t, f.Err.Detail, "evacuated zones: karen")
			require.Positive(t, f.RetryAfter)
		}
	}
	require.Equal(t, map[string]bool{"waits": true, "late": true}, refused)
	c.SetEvacuated(now, nil)
	c.SetBackends(now, []route.Backend{{Name: "b", Zone: "karen", Slots: 2, Weight: 1}})
	sent := false
	for _, a := range c.Arrive(now, Request{ID: "after", Deadline: now.Add(10 * time.Second)}) {
		if s, ok := a.(Send); ok && s.ID == "after" {
			sent = true
		}
	}
	require.True(t, sent, "the readmitted zone gets requests at once")
}
