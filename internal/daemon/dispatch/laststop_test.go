package dispatch

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against hosts that give up their workers for a planned stop although no host is
// left to take them over: requests in work got neither an answer nor a refusal.
func TestStoppingHostsServeUntilOthersTakeOver(t *testing.T) {
	for _, hosts := range []int{1, 2} {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, hosts, 0)
				defer f.stopAll()
				for range 3 {
					f.addWorker("z", time.Second)
				}
				time.Sleep(3 * time.Second)
				last := fmt.Sprintf("host-%d", hosts-1)
				answers := []<-chan stoppedAnswer{f.submitSlow(last, "00000000000000a1", time.Second)}
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, f.runningTasks())
				stopped := make(chan time.Duration, hosts)
				for i := range hosts {
					stop := f.stops[fmt.Sprintf("host-%d", i)]
					go func() {
						began := time.Now()
						stop()
						stopped <- time.Since(began)
					}()
					time.Sleep(300 * time.Millisecond)
				}
				answers = append(answers, f.submitSlow(last, "00000000000000a2", time.Second))
				for _, a := range answers {
					answer := <-a
					require.NoError(t, answer.err)
					assert.Equal(t, http.StatusOK, answer.status)
				}
				for range hosts {
					assert.Less(t, <-stopped, stopGrace)
				}
				assert.Zero(t, f.runningTasks())
			})
		})
	}
}

// Guards against workers without an owner after the end of a host that has kept them: the
// other members of its groups have to wait for its membership to expire.
func TestLastHandOverIsNotLeftToTheExpiryOfAMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		defer f.stopAll()
		for range 4 {
			f.addWorker("z", 4*time.Second)
		}
		time.Sleep(3 * time.Second)
		stopped := make(chan struct{}, 2)
		for _, stop := range []func(){f.stops["host-0"], f.stops["host-1"]} {
			go func() {
				stop()
				stopped <- struct{}{}
			}()
		}
		time.Sleep(50 * time.Millisecond)
		var answers []<-chan stoppedAnswer
		for i := range 8 {
			answers = append(answers, f.submitSlow("host-1", fmt.Sprintf("00000000000000b%d", i), 4*time.Second))
		}
		<-stopped
		for _, a := range answers {
			answer := <-a
			require.NoError(t, answer.err)
			assert.Equal(t, http.StatusOK, answer.status, "some of the runs were on workers of the first host")
		}
		for task, starts := range f.startCounts() {
			assert.Equal(t, 1, starts, "%s", task)
		}
		<-stopped
	})
}
