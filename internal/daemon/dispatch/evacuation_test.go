package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

// evacuate writes the operator's record that evacuates or readmits a zone.
func (f *testFleet) evacuate(zone string, active bool) {
	record := store.Record{Key: "evacuate/" + zone}
	if active {
		record.Value = []byte("{}")
	}
	f.store.PutOperator(record)
}

// startsIn returns how many tasks were started on workers of the zone with an index.
func (f *testFleet) startsIn(zone int) int {
	n := 0
	for i, w := range f.workers {
		if i%len(f.zones) == zone {
			for _, starts := range w.Started() {
				n += starts
			}
		}
	}
	return n
}

func (f *testFleet) get(address, path string) (int, string) {
	resp, err := f.client.Get("http://" + address + path)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, string(body)
}

// Guards against starts in an evacuated zone over the whole path from the operator's
// record to the worker, against hosts of the zone that stop serving callers, and
// against workers that stay unused after the readmission.
func TestEvacuatedZoneIsServedByTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInZones(t, []string{"y", "z"}, 2, 4)
		defer f.stopAll()
		status, answer := f.submit("host-0", "00000000000000a1", 8)
		require.Equal(t, http.StatusOK, status, answer)
		require.Positive(t, f.startsIn(0))
		require.Positive(t, f.startsIn(1))

		running := make(chan int, 1)
		go func() {
			status, _ := f.submit("host-0", "00000000000000a2", 8)
			running <- status
		}()
		time.Sleep(taskTime / 2)
		f.evacuate("y", true)
		time.Sleep(taskTime / 10)
		before := f.startsIn(0)
		assert.Equal(t, http.StatusOK, <-running, "runs under way finish")
		status, answer = f.submit("host-0", "00000000000000a3", 4)
		assert.Equal(t, http.StatusOK, status, answer)
		assert.Equal(t, before, f.startsIn(0))
		status, answer = f.get("host-0:4", "/metrics")
		assert.Equal(t, http.StatusOK, status)
		assert.Contains(t, answer, `parsleyhill_zone_evacuated{zone="y"} 1`)

		f.evacuate("z", true)
		time.Sleep(taskTime)
		for _, name := range []string{"host-0", "host-1"} {
			status, answer = f.submit(name, "00000000000000a4", 1)
			assert.Equal(t, http.StatusServiceUnavailable, status)
			assert.Contains(t, answer, "evacuated zones: y, z")
			status, answer = f.get(name+":2", "/")
			assert.Equal(t, http.StatusOK, status, "the host refuses by itself: %s", answer)
		}

		f.evacuate("z", false)
		f.evacuate("y", false)
		time.Sleep(taskTime)
		status, answer = f.submit("host-1", "00000000000000a5", 8)
		assert.Equal(t, http.StatusOK, status, answer)
		assert.Greater(t, f.startsIn(0), before)
	})
}

// Guards against a host that starts, or accepts jobs, before it has read which zones
// are evacuated, and against an evacuation that is lost while the store is away.
func TestHostThatStartsReadsTheEvacuatedZonesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInZones(t, []string{"y", "z"}, 2, 4)
		defer f.stopAll()
		f.evacuate("y", true)
		time.Sleep(taskTime)
		f.stops["host-0"]()
		f.store.SetDown(true)
		f.startIn("host-0", "y")
		time.Sleep(2 * time.Second)
		status, _ := f.get("host-0:2", "/")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		status, answer := f.submit("host-1", "00000000000000a1", 2)
		assert.Equal(t, http.StatusOK, status, answer)
		f.store.CompactOperator()
		f.store.SetDown(false)
		time.Sleep(2 * time.Second)
		status, answer = f.submit("host-0", "00000000000000a2", 4)
		assert.Equal(t, http.StatusOK, status, answer)
		assert.Zero(t, f.startsIn(0))
		f.evacuate("y", false)
		time.Sleep(taskTime)
		status, answer = f.submit("host-0", "00000000000000a3", 8)
		assert.Equal(t, http.StatusOK, status, answer)
		assert.Positive(t, f.startsIn(0))
	})
}

// Guards against log lines that leave out where a change came from.
func TestChangesOfZonesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		logOutput = &lines
		defer func() { logOutput = io.Discard }()
		f := newFleetInZones(t, []string{"y", "z"}, 1, 2)
		f.evacuate("elsewhere", true)
		f.evacuate("", true)
		time.Sleep(taskTime)
		f.stopAll()
		for _, want := range []string{
			"zone evacuated", "zone=elsewhere offset=1 source=store", "evacuated zone is not in the settings", "evacuation record",
		} {
			assert.Contains(t, lines.String(), want)
		}
	})
}

func TestEvacuationsSurviveTheFrame(t *testing.T) {
	m := host.Evacuations{Changes: []evacuation.Change{{Zone: "y", Offset: 3, Active: true}, {Zone: "z", Offset: 4}}}
	frame := &dispatchv1.Frame{}
	addMessage(frame, time.Time{}, m)
	assert.Equal(t, []host.Message{m}, messagesFromProto(time.Time{}, "self", frame))
}

// Guards against a host that is cut off from the store and does not learn of changes
// from its streams, and against a peer that keeps an outdated evacuation.
func TestStreamCarriesTheEvacuatedZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInZones(t, []string{"y", "z"}, 1, 2)
		defer f.stopAll()
		f.evacuate("y", true)
		time.Sleep(taskTime)
		f.store.SetDown(true)
		stream := dialPeer(t, f)
		next := func() []*dispatchv1.Evacuation {
			for {
				frame, err := stream.Receive()
				require.NoError(t, err)
				if frame.GetEvacuations() != nil {
					return frame.GetEvacuations()
				}
			}
		}
		known := evacuationsFromProto(next()).Changes
		require.Equal(t, []evacuation.Change{{Zone: "y", Offset: 1, Active: true}}, known)
		require.NoError(t, stream.Send(&dispatchv1.Frame{Evacuations: []*dispatchv1.Evacuation{
			{Zone: "y", Offset: 0}, {Zone: "z", Offset: 5, Active: true},
		}}))
		learned := evacuationsFromProto(next()).Changes
		assert.ElementsMatch(t, []evacuation.Change{known[0], {Zone: "z", Offset: 5, Active: true}}, learned,
			"the correction, and the change for all linked hosts")
		status, answer := f.submit("host-0", "00000000000000a1", 1)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, answer, "evacuated zones: y, z")
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}
