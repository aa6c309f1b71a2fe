//go:build e2e

package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed to play")
	seeds     = flag.Int("seeds", 2, "number of seeds to play, each by itself")
	length    = flag.Duration("length", 8*time.Second, "how long the faults of a seed last")
)

// regressions are seeds that failed once, with what was found.
var regressions = map[uint64]string{}

const (
	jobsPerSecond   = 12
	storedPerSecond = 3
	// settleTime is given to a fleet to start, and to be as before afterwards.
	settleTime = 8 * time.Second
	// calmJobs are handed in afterwards; all have to be served.
	calmJobs = 12
)

func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "parsleyhilld")
	build := exec.Command("go", "build", "-o", bin, "./cmd/parsleyhilld")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	play := map[uint64]bool{}
	for seed := range regressions {
		play[seed] = true
	}
	for i := range *seeds {
		play[*firstSeed+uint64(i)] = true
	}
	for seed := range play {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, bin, seed)
		})
	}
}

// blocks hands out loopback blocks to the seeds that run at once.
var blocks struct {
	sync.Mutex
	next int
}

func takeBlock() int {
	blocks.Lock()
	defer blocks.Unlock()
	blocks.next++
	return 10 + blocks.next%200
}

// soak plays one seed.
func soak(t *testing.T, bin string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(t, bin, takeBlock())
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return f.ready(h) }, settleTime, 50*time.Millisecond, "%s is not ready", h.name)
	}
	var running sync.WaitGroup
	accepted := make(chan string, 1024)
	end := time.Now().Add(*length)
	f.load(&running, rng.Uint64(), end, accepted)
	for range seriesFaults {
		name, begin, heal := f.fault(rng)
		at := time.Duration(rng.Int64N(int64(*length)))
		lasts := faultShorter + time.Duration(rng.Int64N(int64(faultLonger)))
		running.Go(func() {
			time.Sleep(at)
			t.Logf("%6.3f s: %s, for %v", time.Since(f.ledger.begun).Seconds(), name, lasts.Round(time.Millisecond))
			begin()
			time.Sleep(lasts)
			heal()
		})
	}
	running.Wait()
	close(accepted)
	f.afterwards(accepted)
	for _, p := range f.ledger.problems {
		t.Error(p)
	}
	t.Logf("seed %d: %v; logs in %s if it failed", seed, f.ledger.counts, f.dir)
}

// load hands jobs in until the end of the faults.
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
		f.storeJob(rng, fmt.Sprintf(storedPrefix+"%015x", n), accepted)
	})
}

// afterwards checks that what was accepted ends, and that all is as before.
func (f *fleet) afterwards(accepted <-chan string) {
	limit := time.Now().Add(2 * settleTime)
	for _, h := range f.hosts {
		assert.Eventually(f.t, func() bool { return f.ready(h) }, settleTime, 50*time.Millisecond, "%s is not ready again", h.name)
	}
	n := 0
	for id := range accepted {
		f.outcome(f.hosts[n%len(f.hosts)], id, limit)
		n++
	}
	time.Sleep(time.Second)
	for i := range calmJobs {
		h := f.hosts[i%len(f.hosts)]
		id := fmt.Sprintf("2%015x", i)
		assert.True(f.t, f.submit(h, id), "job %s is not served by %s after the faults", id, h.name)
	}
}
