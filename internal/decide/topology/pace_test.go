package topology

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestReportIntervalGrowsWithPeersUpToTheHeartbeat(t *testing.T) {
	for _, c := range []struct {
		peers    int
		sameZone bool
		want     time.Duration
	}{
		{0, true, MinReportInterval},
		{4, true, MinReportInterval},
		{4, false, 2 * MinReportInterval},
		{20, true, 100 * time.Millisecond},
		{20, false, 200 * time.Millisecond},
		{53, true, HeartbeatInterval},
		{53, false, HeartbeatInterval},
	} {
		assert.Equal(t, c.want, ReportInterval(c.peers, c.sameZone), "%d peers, same zone %v", c.peers, c.sameZone)
	}
}

// A zone of 30 hosts with 16 links to other zones, as on a deployment of 147
// hosts.
func TestReportsOfALargeFleetAreBounded(t *testing.T) {
	const sameZone, remote, budget = 29, 16, 200
	rate := sameZone*time.Second/ReportInterval(sameZone+remote, true) + remote*time.Second/ReportInterval(sameZone+remote, false)
	assert.LessOrEqual(t, int(rate), budget, "reports a second")
}
