package dispatch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against requests in work that a change of the configuration or of the settings
// ends: their route is removed, and the store's address changes to one where none is.
func TestChangedConfigurationEndsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.stopAll()
		answered := make(chan int, 1)
		go func() {
			status, _ := f.submit("host-0", "00000000000000a1", 1)
			answered <- status
		}()
		time.Sleep(taskTime / 4)
		f.configure(2, "/other/")
		time.Sleep(taskTime / 4)
		status, _ := f.call(http.MethodGet, "host-0", "/jobs/", nil)
		assert.Equal(t, http.StatusNotFound, status, "the route is removed while the request is in work")
		moved := f.hosts["host-0"].settings
		moved.StoreAddress = "store:2"
		f.hosts["host-0"].Reload(moved)
		assert.Equal(t, http.StatusOK, <-answered)
		assert.Len(t, f.startCounts(), 1)
	})
}
