package eject

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLossOfManyListedServersIsTreatedAsListOutage(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	var guard ListGuard
	update := func(names []string) []string { return guard.Update(now, names, 0.3) }
	require.Empty(t, update(all))
	require.Empty(t, update(all[:8]), "two of ten servers vanished")
	require.ElementsMatch(t, []string{"c", "d", "e", "f", "g", "h"}, update(all[:2]))
	require.Len(t, update(nil), 8)
	now = now.Add(vanishedHoldTime - time.Second)
	require.Len(t, update(all[:2]), 6)
	require.Empty(t, update(all[:8]), "the list shows the servers again")
	require.Len(t, update(all[:2]), 6)
	now = now.Add(vanishedHoldTime)
	require.Empty(t, update(all[:2]), "the servers are still missing after the hold time")
	require.Empty(t, update(all), "new servers")
}
