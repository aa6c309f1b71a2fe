package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/hostlimits"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

const topicJobs = "keyed.jobs"

// oddJob is the id of a job that no host can run.
const oddJob = "00000000000000ff"

// acceptedJob returns the record of a job of the given steps, as another version may
// have written it.
func acceptedJob(t *testing.T, id string, steps ...fleet.Step) string {
	t.Helper()
	route := fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, Timeout: 1500 * time.Millisecond}
	data, err := json.Marshal(acceptedRecord{Job: fleet.Job{ID: id, Spec: "x", Steps: steps}, Route: route})
	require.NoError(t, err)
	return string(data)
}

func steps(n, count int) []fleet.Step {
	list := make([]fleet.Step, n)
	for i := range list {
		list[i] = fleet.Step{Count: count, Size: fleet.Size{MilliCPU: 14000, MemoryMB: 64}, Estimate: taskTime}
	}
	return list
}

// assertSetAside asserts that two hosts, one after the other, live with a record of a
// job that neither can run, that they show the job as failed with a reason, and that
// the other jobs are done.
func assertSetAside(t *testing.T, value, reason string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 4)
		logs := &syncBuffer{}
		f.logOutput = logs
		defer f.stopAll()
		var others []string
		for i := range 4 {
			others = append(others, fmt.Sprintf("%016x", i+1))
			f.store.Put(topicJobs, store.Record{Key: "a/" + others[i], Value: []byte(acceptedJob(t, others[i], steps(2, 2)...))})
		}
		f.store.Put(topicJobs, store.Record{Key: "a/" + oddJob, Value: []byte(value)})
		quoted, err := json.Marshal(reason)
		require.NoError(t, err)
		answer := `{"state":"failed","reason":` + string(quoted) + `}`
		for i, name := range []string{"host-0", "host-1"} {
			f.start(name)
			time.Sleep(assignmentTime)
			f.waitForState(oddJob, "failed", time.Second, name)
			_, got := f.call(http.MethodGet, name, "/jobs/"+oddJob, nil)
			assert.Equal(t, answer, got)
			for _, id := range others {
				f.waitForState(id, "completed", 10*time.Second, name)
			}
			id := fmt.Sprintf("%016x", 0x100+i)
			status, got := f.submitStored(name, id)
			require.Equal(t, http.StatusOK, status, got)
			f.waitForState(id, "completed", 10*time.Second, name)
			if name == "host-0" {
				_, metrics := f.get(name+":4", "/metrics")
				assert.Regexp(t, `parsleyhill_jobs_set_aside_total{cause="(damaged|too_large)"} 1\n`, metrics)
			}
			f.stops[name]()
		}
		for task := range f.startCounts() {
			assert.False(t, strings.HasPrefix(task, oddJob), "%s of the odd job has run", task)
		}
		lines := logs.lines("stored job set aside")
		if assert.Len(t, lines, 1, "the next host finds the job closed") {
			assert.Contains(t, lines[0], oddJob)
		}
	})
}

// Guards against a job of an older version, with more tasks or steps than a host can
// carry, that ends every host that drives it.
func TestTooLargeJobOfTheLogIsSetAside(t *testing.T) {
	const tasks, stepCount = hostlimits.MaxJobTasks + 1, hostlimits.MaxJobSteps + 1
	for name, c := range map[string]struct {
		steps  []fleet.Step
		reason string
	}{
		"one step":   {steps(1, tasks), fmt.Sprintf("job has more than %d tasks", hostlimits.MaxJobTasks)},
		"two steps":  {steps(2, hostlimits.MaxJobTasks), fmt.Sprintf("job has more than %d tasks", hostlimits.MaxJobTasks)},
		"many steps": {steps(stepCount, 1), fmt.Sprintf("job has more than %d steps", hostlimits.MaxJobSteps)},
	} {
		t.Run(name, func(t *testing.T) { assertSetAside(t, acceptedJob(t, oddJob, c.steps...), c.reason) })
	}
}

// Guards against a job of an older version whose sizes, times or work pass the bounds of
// this one: messages between hosts cut its numbers, and sums of work overflow.
func TestJobOfTheLogBeyondTheBoundsOfAStepIsSetAside(t *testing.T) {
	const tooLarge = math.MaxInt32 + 1
	for name, c := range map[string]struct {
		change func(*fleet.Step)
		reason string
	}{
		"cpu":               {func(s *fleet.Step) { s.Size.MilliCPU = tooLarge }, "step 1 has 2147483648 thousandths of a core, not from 0 to 2147483647"},
		"memory":            {func(s *fleet.Step) { s.Size.MemoryMB = tooLarge }, "step 1 has 2147483648 MB of memory, not from 0 to 2147483647"},
		"memory cut to 64":  {func(s *fleet.Step) { s.Size.MemoryMB = 1<<32 + 64 }, "step 1 has 4294967360 MB of memory, not from 0 to 2147483647"},
		"gpus":              {func(s *fleet.Step) { s.Size.GPUs = tooLarge }, "step 1 has 2147483648 GPUs, not from 0 to 2147483647"},
		"per worker":        {func(s *fleet.Step) { s.MaxPerWorker = tooLarge }, "step 1 has at most 2147483648 tasks on a worker, not from 0 to 2147483647"},
		"per worker below":  {func(s *fleet.Step) { s.MaxPerWorker = -1 }, "step 1 has at most -1 tasks on a worker, not from 0 to 2147483647"},
		"estimate":          {func(s *fleet.Step) { s.Estimate = tooLarge * time.Millisecond }, "step 1 has an estimate of 596h31m23.648s, not from 0 to 596h31m23.647s"},
		"estimate below":    {func(s *fleet.Step) { s.Estimate = -time.Millisecond }, "step 1 has an estimate of -1ms, not from 0 to 596h31m23.647s"},
		"work":              {func(s *fleet.Step) { s.Size.MilliCPU, s.Estimate = 1<<20, 1<<30*time.Millisecond }, "job has work of 2251799816485248 with step 1, more than 1125899906842624"},
		"after twice":       {func(s *fleet.Step) { s.After = []int{0, 0} }, "step 1 lists 2 dependencies, more than the 1 earlier steps"},
		"after many a time": {func(s *fleet.Step) { s.After = make([]int, 100_000) }, "step 1 lists 100000 dependencies, more than the 1 earlier steps"},
	} {
		t.Run(name, func(t *testing.T) {
			list := steps(2, 2)
			c.change(&list[1])
			assertSetAside(t, acceptedJob(t, oddJob, list...), c.reason)
		})
	}
	t.Run("after twice among others", func(t *testing.T) {
		list := steps(3, 2)
		list[2].After = []int{1, 1}
		assertSetAside(t, acceptedJob(t, oddJob, list...), "step 2 depends on step 1 twice")
	})
}

// Guards against a damaged record of a job that ends the host that drives it, or that
// leaves the job unknown although it was accepted.
func TestDamagedJobOfTheLogIsSetAside(t *testing.T) {
	step := func(change func(*fleet.Step)) string {
		list := steps(2, 2)
		change(&list[1])
		return acceptedJob(t, oddJob, list...)
	}
	sound := acceptedJob(t, oddJob, steps(2, 2)...)
	for name, c := range map[string]struct{ value, reason string }{
		"bytes":          {"\x00\xff", "record cannot be read: invalid character '\\x00' looking for beginning of value"},
		"cut off":        {sound[:len(sound)-1], "record cannot be read: unexpected end of JSON input"},
		"wrong type":     {`{"job":7}`, "record cannot be read: json: cannot unmarshal number into Go struct field acceptedRecord.job of type fleet.Job"},
		"null":           {"null", `record names job ""`},
		"another job":    {acceptedJob(t, "00000000000000fe", steps(1, 1)...), `record names job "00000000000000fe"`},
		"no steps":       {acceptedJob(t, oddJob), "job has no steps"},
		"count zero":     {step(func(s *fleet.Step) { s.Count = 0 }), "step 1 has count 0, less than 1"},
		"count negative": {step(func(s *fleet.Step) { s.Count = -1 }), "step 1 has count -1, less than 1"},
		"cpu negative":   {step(func(s *fleet.Step) { s.Size.MilliCPU = -1 }), "step 1 has -1 thousandths of a core, not from 0 to 2147483647"},
		"after itself":   {step(func(s *fleet.Step) { s.After = []int{1} }), "step 1 depends on step 1, which is not an earlier step"},
		"after forward":  {step(func(s *fleet.Step) { s.After = []int{2} }), "step 1 depends on step 2, which is not an earlier step"},
		"after negative": {step(func(s *fleet.Step) { s.After = []int{-1} }), "step 1 depends on step -1, which is not an earlier step"},
		"too many tasks": {step(func(s *fleet.Step) { s.Count = math.MaxInt }), "job has more than 8192 tasks"},
	} {
		t.Run(name, func(t *testing.T) { assertSetAside(t, c.value, c.reason) })
	}
}

// A damaged record is cancelled like any other, and dropped from the log after its
// retention.
func TestDamagedJobOfTheLogIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		f.store.Put(topicJobs, store.Record{Key: "a/" + oddJob, Value: []byte("{")})
		f.waitForState(oddJob, "failed", 4*time.Second, "host-0")
		const cancelled = "00000000000000fd"
		status, _ := f.call(http.MethodDelete, "host-0", "/jobs/"+cancelled, nil)
		require.Equal(t, http.StatusOK, status)
		f.store.Put(topicJobs, store.Record{Key: "a/" + cancelled, Value: []byte("{")})
		f.waitForState(cancelled, "cancelled", 4*time.Second, "host-0")
		time.Sleep(2*time.Minute + 10*time.Second)
		f.start("host-1")
		time.Sleep(assignmentTime)
		for _, id := range []string{oddJob, cancelled} {
			assert.Equal(t, "Gone", f.state("host-0", id))
			assert.Equal(t, "Gone", f.state("host-1", id))
		}
	})
}

// Guards against the damaged record of an ended job that leaves the job unknown or
// open, and that is never dropped from the log.
func TestDamagedEndOfAJobOfTheLogIsFailed(t *testing.T) {
	const reason = "record of the end cannot be used"
	for name, value := range map[string]string{
		"bytes":         "\x00\xff",
		"null":          "null",
		"open state":    `{"queue":"r","state":"running"}`,
		"unknown state": `{"queue":"r","state":"?"}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 0, 2)
				logs := &syncBuffer{}
				f.logOutput = logs
				f.start("host-0")
				defer f.stopAll()
				f.store.Put(topicJobs, store.Record{Key: "d/" + oddJob, Value: []byte(value)})
				time.Sleep(assignmentTime)
				_, answer := f.call(http.MethodGet, "host-0", "/jobs/"+oddJob, nil)
				assert.Contains(t, answer, `{"state":"failed","reason":"`+reason)
				assert.Len(t, logs.lines("stored job set aside"), 1)
				const id = "00000000000000a1"
				status, answer := f.submitStored("host-0", id)
				require.Equal(t, http.StatusOK, status, answer)
				f.waitForState(id, "completed", 10*time.Second, "host-0")
				time.Sleep(2*time.Minute + 10*time.Second)
				f.start("host-1")
				time.Sleep(assignmentTime)
				for _, host := range []string{"host-0", "host-1"} {
					assert.Equal(t, "Gone", f.state(host, oddJob))
				}
			})
		})
	}
}

// Guards against a record of a shard, or of a run, that ends each host that reads it or
// counts a task as done that its job does not have.
func TestOddRecordsAmongOthersOfTheLogAreIgnored(t *testing.T) {
	const id = "00000000000000a1"
	for name, r := range map[string]store.Record{
		"negative shard":            {Key: "s/-1", Value: []byte("1")},
		"shard out of range":        {Key: "s/9223372036854775807", Value: []byte("1")},
		"negative takeovers":        {Key: "s/0", Value: []byte("-1")},
		"negative taker":            {Key: "t/0/host-9", Value: []byte(`{"takeovers":-1,"host":"host-9","nonce":7}`)},
		"handover without takeover": {Key: "h/0/0", Value: []byte(`{"Shard":0,"Part":0,"Parts":1}`)},
		"handover out of range":     {Key: "h/99/0", Value: []byte(`{"Shard":99,"Part":0,"Parts":1,"Takeovers":1}`)},
		"end of no step":            {Key: "b/" + id + "/7/0/1", Value: []byte("1")},
		"end of no task":            {Key: "b/" + id + "/0/99/1", Value: []byte("1")},
		"end of a negative task":    {Key: "b/" + id + "/0/-1/1", Value: []byte("1")},
		"end of an unknown kind":    {Key: "b/" + id + "/0/0/1", Value: []byte("77")},
		"end that is not a number":  {Key: "b/" + id + "/0/0/1", Value: []byte("x")},
		"loss of a task out of job": {Key: "l/" + id + "/7/-1/1", Value: []byte(`{}`)},
		"loss that is no loss":      {Key: "l/" + id + "/0/0/1", Value: []byte(`[`)},
		"no kind":                   {Key: "", Value: []byte("1")},
		"accepted without job":      {Key: "a/", Value: []byte("{")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 0, 2)
				defer f.stopAll()
				f.store.Put(topicJobs, store.Record{Key: "a/" + id, Value: []byte(acceptedJob(t, id, steps(2, 2)...))})
				f.store.Put(topicJobs, r)
				for _, host := range []string{"host-0", "host-1"} {
					f.start(host)
					time.Sleep(assignmentTime)
					f.waitForState(id, "completed", 10*time.Second, host)
					f.stops[host]()
				}
				assert.Len(t, f.startCounts(), 4, "each task has run")
			})
		})
	}
}
