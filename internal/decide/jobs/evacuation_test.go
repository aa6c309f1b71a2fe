package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Guards against jobs that wait while all workers are in evacuated zones, and against
// workers that stay unused after the readmission.
func TestAllWorkersInEvacuatedZonesRefusesJobs(t *testing.T) {
	f := newFixture()
	list := func(zones ...string) {
		var infos []WorkerInfo
		for i, zone := range zones {
			infos = append(infos, WorkerInfo{
				Name: []string{"worker-1", "worker-2"}[i], Capacity: placement.Size{Cores: 8, MemoryMB: 8}, Live: true, EvacuatedZone: zone,
			})
		}
		f.core.UpdateWorkers(f.now, infos, nil)
	}
	job := jobOf(1)
	job.Attempt = 1
	list("karen", "gorwa")
	require.False(t, f.core.workers["worker-1"].usable(f.now))
	err := f.core.Submit(f.now, job, "d")
	require.NotNil(t, err)
	require.Equal(t, errkind.NotRun, err.Run)
	require.Contains(t, err.Detail, "evacuated zones: gorwa, karen")
	list("karen", "")
	require.Nil(t, f.core.Submit(f.now, job, "d"), "one zone is left")
	list("", "")
	require.True(t, f.core.workers["worker-1"].usable(f.now))
}
