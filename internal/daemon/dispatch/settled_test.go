package dispatch

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

// A run whose caller waited lapsed because its host, after a standstill that ended no
// stream, sent the frame that says that it has settled only with the next heartbeat.
func TestRunOutlivesAStandstillThatEndsNoStream(t *testing.T) {
	for _, c := range []struct{ after, standstill time.Duration }{
		{300 * time.Millisecond, 500 * time.Millisecond},
		{350 * time.Millisecond, 500 * time.Millisecond},
		{300 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v after %v", c.standstill, c.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetInZones(t, []string{"z", "y"}, 2, 0)
				defer f.stopAll()
				f.addWorker("z", 1300*time.Millisecond)
				ended := make(chan string, 10)
				f.workers[0].Observe(func(e taskworker.Event) {
					if e.Kind != taskworker.Started {
						ended <- e.Kind
					}
				})
				time.Sleep(2 * time.Second)
				body := f.encode(map[string]any{"best_effort": true, "spec": "x", "steps": []any{
					map[string]any{"count": 1, "cpu": 14000, "mem_mb": 64, "est_runtime_ms": 1300},
				}})
				go f.call(http.MethodPost, "host-1", "/jobs/00000000000000a1", body)
				time.Sleep(c.after)
				f.hosts["host-1"].post(func(time.Time) { time.Sleep(c.standstill) })
				assert.Equal(t, "done", <-ended)
				time.Sleep(2 * time.Second)
			})
		})
	}
}
