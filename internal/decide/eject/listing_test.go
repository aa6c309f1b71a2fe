package eject

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLossOfManyListedServersIsTreatedAsListOutage(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	var l ListGuard
	keep := func(names []string) []string { return l.Update(now, names, 0.3) }
	require.Empty(t, keep(all))
	require.Empty(t, keep(all[:8]), "two of ten died")
	require.ElementsMatch(t, []string{"c", "d", "e", "f", "g", "h"}, keep(all[:2]))
	require.Len(t, keep(nil), 8)
	now = now.Add(vanishedHold - time.Second)
	require.Len(t, keep(all[:2]), 6)
	require.Empty(t, keep(all[:8]), "the list is back")
	require.Len(t, keep(all[:2]), 6)
	now = now.Add(vanishedHold)
	require.Empty(t, keep(all[:2]), "the list goes on saying so")
	require.Empty(t, keep(all), "new servers")
}
