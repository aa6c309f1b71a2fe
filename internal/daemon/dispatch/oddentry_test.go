package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// One odd entry among those of the workers, left by another writer, must not end a
// host, stop it from following the list, or become a worker.
func TestOddEntryAmongTheWorkersIsIgnored(t *testing.T) {
	entry := func(field, value string) string {
		fields := map[string]string{
			"service": `"s"`, "addr": `"worker-0:1"`, "zone": `"z"`, "state": `"ready"`, "born": "1",
			"capacity": `{"cpu": 32000, "mem_mb": 1024}`,
		}
		fields[field] = value
		var b strings.Builder
		for name, v := range fields {
			fmt.Fprintf(&b, ", %q: %s", name, v)
		}
		return "{" + b.String()[2:] + "}"
	}
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, c := range map[string]struct{ key, value string }{
		"deeply nested":           {"odd", nested},
		"deeply nested field":     {"odd", entry("note", nested)},
		"number too large":        {"odd", entry("born", "1e400")},
		"capacity too large":      {"odd", entry("capacity", `{"cpu": 9223372036854775807, "mem_mb": 9223372036854775807}`)},
		"negative capacity":       {"odd", entry("capacity", `{"cpu": -32000, "mem_mb": -1}`)},
		"incarnation too large":   {"odd", entry("born", "9223372036854775807")},
		"time too large":          {"odd", entry("cold_left_ms", "1e300")},
		"port out of range":       {"odd", entry("addr", `"worker-0:99999"`)},
		"port zero":               {"odd", entry("addr", `"worker-0:0"`)},
		"negative port":           {"odd", entry("addr", `"worker-0:-1"`)},
		"no port":                 {"odd", entry("addr", `"worker-0"`)},
		"address is no host":      {"odd", entry("addr", `"a b%zz:1"`)},
		"key is not valid UTF-8":  {"odd\xff", entry("state", `"ready"`)},
		"not JSON":                {"odd", "\x00\xff"},
		"wrong types":             {"odd", entry("labels", "7")},
		"odd entry of a worker":   {"worker-0", entry("born", "9223372036854775807")},
		"null instead of a value": {"odd", "null"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 2)
				defer f.stopAll()
				f.store.PutWorker(c.key, []byte(c.value))
				time.Sleep(2 * time.Second)
				f.addWorker("z", taskTime)
				f.addWorker("z", taskTime)
				time.Sleep(2 * time.Second)
				// Six tasks run at once only on the three workers that are known to be sound.
				started := time.Now()
				status, answer := f.submit("host-0", "00000000000000a1", 6)
				assert.Equal(t, http.StatusOK, status, answer)
				assert.Less(t, time.Since(started), 2*taskTime, "the list is still followed")
				for host, d := range f.hosts {
					sound, known := len(f.workers), 0
					if c.key == "worker-0" {
						sound--
					}
					d.postAndWait(func(time.Time) { known = d.core.Ownership.WorkerCount() })
					assert.Equal(t, sound, known, "workers that %s knows", host)
				}
				assert.Len(t, f.stops, 2, "the hosts run")
			})
		})
	}
}
