//go:build e2e

package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed to run")
	seeds     = flag.Int("seeds", 2, "number of seeds to run, each on a fleet of its own")
	length    = flag.Duration("length", 8*time.Second, "period in which the faults of a seed begin")
)

// regressions maps seeds that failed before to the fault they found. They always
// run.
var regressions = map[uint64]string{}

const (
	jobsPerSecond   = 12
	storedPerSecond = 3
	deadlyPerSecond = 0.3
	// recoveryTimeout is how long a fleet may take to become ready, at its start and
	// after the faults.
	recoveryTimeout = 8 * time.Second
	// recoveryJobs is the number of jobs submitted after the faults, all of which
	// must complete.
	recoveryJobs = 12
)

func TestSoak(t *testing.T) {
	bin := buildDaemon(t)
	selected := map[uint64]bool{}
	for seed := range regressions {
		selected[seed] = true
	}
	for i := range *seeds {
		selected[*firstSeed+uint64(i)] = true
	}
	for seed := range selected {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, bin, seed)
		})
	}
}

// buildDaemon builds the daemon and returns the path of the program.
func buildDaemon(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "parsleyhilld")
	build := exec.Command("go", "build", "-o", bin, "./cmd/parsleyhilld")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return bin
}

// subnets assigns a loopback subnet to each of the seeds that run in parallel.
var subnets struct {
	sync.Mutex
	next int
}

func nextSubnet() int {
	subnets.Lock()
	defer subnets.Unlock()
	subnets.next++
	return 10 + subnets.next%200
}

// soak runs one seed: load and faults, then the check that the fleet recovers.
func soak(t *testing.T, bin string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(t, bin, soakLayout, nextSubnet())
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return f.ready(h) }, recoveryTimeout, 50*time.Millisecond, "%s is not ready", h.name)
	}
	var running sync.WaitGroup
	accepted := make(chan string, 1024)
	end := time.Now().Add(*length)
	f.load(&running, rng.Uint64(), end, accepted)
	for range faultsPerSeed {
		name, begin, heal := f.drawFault(rng)
		at := time.Duration(rng.Int64N(int64(*length)))
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(faultDurationRange)))
		running.Go(func() {
			time.Sleep(at)
			t.Logf("%6.3f s: %s, for %v", time.Since(f.ledger.startTime).Seconds(), name, duration.Round(time.Millisecond))
			if strings.HasPrefix(name, "store") {
				f.ledger.locked(func() { f.ledger.storeAway += duration })
			}
			begin()
			time.Sleep(duration)
			heal()
		})
	}
	zone, at, duration := drawEvacuation(seed, *length)
	running.Go(func() {
		time.Sleep(at)
		t.Logf("%6.3f s: zone %s evacuated, for %v", time.Since(f.ledger.startTime).Seconds(), zone, duration.Round(time.Millisecond))
		f.evacuate(zone, true)
		time.Sleep(duration)
		f.evacuate(zone, false)
	})
	running.Wait()
	close(accepted)
	f.checkRecovery(accepted)
	for _, p := range f.ledger.violations {
		t.Error(p)
	}
	t.Logf("seed %d: %v; logs in %s if it failed", seed, f.ledger.counts, f.dir)
}

// load submits best-effort and stored jobs until end.
func (f *fleet) load(running *sync.WaitGroup, seed uint64, end time.Time, accepted chan<- string) {
	send := func(perSecond float64, stream uint64, one func(rng *rand.Rand, n int)) {
		rng := rand.New(rand.NewPCG(seed, stream))
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				single := rand.New(rand.NewPCG(seed+uint64(n), stream))
				running.Go(func() { one(single, n) })
			}
		})
	}
	send(jobsPerSecond, 3, func(rng *rand.Rand, n int) {
		f.submit(f.hosts[rng.IntN(len(f.hosts))], fmt.Sprintf("1%015x", n))
	})
	send(storedPerSecond, 4, func(rng *rand.Rand, n int) {
		f.submitStored(rng, fmt.Sprintf(storedPrefix+"%015x", n), accepted)
	})
	send(deadlyPerSecond, 5, func(rng *rand.Rand, n int) {
		f.submitStored(rng, fmt.Sprintf(deadlyPrefix+"%014x", n), accepted)
	})
}

// checkRecovery checks that all hosts become ready, that accepted stored jobs end,
// and that new jobs complete.
func (f *fleet) checkRecovery(accepted <-chan string) {
	limit := time.Now().Add(2 * recoveryTimeout)
	for _, h := range f.hosts {
		assert.Eventually(f.t, func() bool { return f.ready(h) }, recoveryTimeout, 50*time.Millisecond, "%s is not ready after the faults", h.name)
	}
	n := 0
	for id := range accepted {
		f.awaitStored(f.hosts[n%len(f.hosts)], id, limit)
		n++
	}
	time.Sleep(time.Second)
	for i := range recoveryJobs {
		h := f.hosts[i%len(f.hosts)]
		id := fmt.Sprintf("2%015x", i)
		assert.True(f.t, f.submit(h, id), "job %s was not completed by %s after the faults", id, h.name)
	}
}
