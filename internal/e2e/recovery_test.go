//go:build e2e

package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/worker"
)

func TestHostIsReplacedWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	underLoad(t, 8, func(ctx context.Context, f *fleet) {
		f.setPlatform(standinplatform.Faults{Down: true, HostsDown: true})
		e := f.entries[1]
		f.kill(e)
		f.start(e)
		f.waitReady(e)
		pause(ctx, faultDuration)
		f.setPlatform(standinplatform.Faults{})
	})
}

func (f *fleet) setPlatform(faults standinplatform.Faults) {
	f.post(f.platformURL()+"/v1/faults", faults)
}

// toggleDrain confirms n changes that alternately drain and undrain one worker,
// and returns the last configuration version.
func (f *fleet) toggleDrain(n int) int64 {
	var version int64
	for i := range n {
		verb := config.Drain
		if i%2 == 1 {
			verb = config.Undrain
		}
		p := f.plan(f.entries[0], config.Intent{Operator: "achieng", Reason: "rota", Verb: verb, Host: "worker-karen-1"})
		c, kind := f.confirm(f.entries[0], p)
		require.Empty(f.t, kind)
		version = c.Version
	}
	return version
}

func TestConfigurationSurvivesLogRetention(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 1)
	f.configureCustomer(standing.PolicyShares)
	f.setPlatform(standinplatform.Faults{Retain: 40})
	version := f.toggleDrain(120)
	f.waitInForce(version)
	for _, e := range f.entries {
		f.replace(e)
	}
	f.waitInForce(version)
	o := outcome{id: "after-trim"}
	newLoad(f).attempt(&o, f.entries[3], `{"run_ms": 50}`, 1)
	assert.True(t, o.answered, "a customer configured before the log was trimmed is not served: %s", o.kind)
}

func TestConfirmReportsResultDespiteLostReply(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	f.configureCustomer(standing.PolicyShares)
	p := f.plan(f.entries[0], config.Intent{Operator: "achieng", Verb: config.Drain, Host: "worker-karen-1"})
	f.setPlatform(standinplatform.Faults{LoseReplies: 1})
	c, kind := f.confirm(f.entries[0], p)
	require.Empty(t, kind)
	assert.Equal(t, operator.ResultAccepted, c.Result)
	f.setPlatform(standinplatform.Faults{Down: true})
	q := f.plan(f.entries[1], config.Intent{Operator: "achieng", Verb: config.Undrain, Host: "worker-karen-1"})
	_, kind = f.confirm(f.entries[1], q)
	assert.Equal(t, errkind.LogUnavailable, kind)
	f.setPlatform(standinplatform.Faults{})
	f.waitInForce(c.Version)
}

func TestWorkersFailAndLeave(t *testing.T) {
	t.Parallel()
	underLoad(t, 9, func(ctx context.Context, f *fleet) {
		f.post("http://"+f.host("worker-westlands-1").Address+"/v1/faults", worker.Faults{FailAll: true})
		f.post("http://"+f.host("worker-embakasi-1").Address+"/v1/faults", worker.Faults{Leaving: true})
		f.post("http://"+f.host("worker-karen-1").Address+"/v1/faults", worker.Faults{SlowBy: 4})
		pause(ctx, 2*faultDuration)
	})
}

// fault is one kind of failure: how to begin and how to end it.
type fault struct {
	name  string
	begin func(f *fleet, rng *rand.Rand)
	end   func(f *fleet)
}

func faults() []fault {
	var frozen *entryHost
	var failing string
	return []fault{
		{
			"kill and replace an entry host",
			func(f *fleet, rng *rand.Rand) {
				e := f.entries[rng.IntN(len(f.entries))]
				f.kill(e)
				f.start(e)
			},
			func(*fleet) {},
		},
		{
			"suspend an entry host",
			func(f *fleet, rng *rand.Rand) {
				frozen = f.entries[rng.IntN(len(f.entries))]
				f.signal(frozen, syscall.SIGSTOP)
			},
			func(f *fleet) { f.signal(frozen, syscall.SIGCONT) },
		},
		{
			"partition a zone",
			func(f *fleet, _ *rand.Rand) { f.cutZone("embakasi", true) },
			func(f *fleet) { f.cutZone("embakasi", false) },
		},
		{
			"platform down",
			func(f *fleet, _ *rand.Rand) { f.setPlatform(standinplatform.Faults{Down: true, HostsEmpty: true}) },
			func(f *fleet) { f.setPlatform(standinplatform.Faults{LoseReplies: 3}) },
		},
		{
			"backend server fails",
			func(f *fleet, rng *rand.Rand) {
				failing = fmt.Sprintf("backend-%s-1", zoneNames[rng.IntN(len(zoneNames))])
				f.post("http://"+f.host(failing).Address+"/v1/faults", backend.Faults{FailAll: rng.IntN(2) == 0, Frozen: rng.IntN(2) == 0})
			},
			func(f *fleet) { f.post("http://"+f.host(failing).Address+"/v1/faults", backend.Faults{}) },
		},
	}
}

// TestTwoFaultsOverlap injects two faults at a time, drawn by the seed.
func TestTwoFaultsOverlap(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{10, 11} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			underLoad(t, seed, func(ctx context.Context, f *fleet) {
				rng := rand.New(rand.NewPCG(seed, 1))
				all := faults()
				for range 4 {
					order := rng.Perm(len(all))
					first, second := all[order[0]], all[order[1]]
					t.Logf("overlapping faults: %s, %s", first.name, second.name)
					first.begin(f, rng)
					second.begin(f, rng)
					pause(ctx, faultDuration)
					first.end(f)
					second.end(f)
					pause(ctx, faultDuration/2)
				}
				for _, e := range f.entries {
					f.waitReady(e)
				}
			})
		})
	}
}
