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

// Guards against a caller who is told that a job does not exist that another host has accepted
// a moment before.
func TestAcceptedJobIsKnownAtOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		for i := range 10 {
			id := fmt.Sprintf("%016x", 0xa1+i)
			status, answer := f.submitStored("host-0", id)
			require.Equal(t, http.StatusOK, status, answer)
			if i == 0 {
				// A host that knows of no stored job yet reads an idle log.
				time.Sleep(idleLogWait)
			}
			status, answer = f.call(http.MethodGet, "host-1", "/jobs/"+id, nil)
			assert.Equal(t, http.StatusOK, status, "job %d: %s", i, answer)
		}
		began := time.Now()
		status, _ := f.call(http.MethodGet, "host-1", "/jobs/00000000000000ff", nil)
		assert.Equal(t, http.StatusGone, status)
		assert.LessOrEqual(t, time.Since(began), stateWait+tickInterval)
	})
}
