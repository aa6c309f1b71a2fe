package dispatch

import (
	"slices"
	"time"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

// addMessage adds a message to a frame. A withdrawal also removes the job's, or
// the task's, offers and claims that are still in the frame, because the receiver handles
// withdrawals before them.
func addMessage(f *dispatchv1.Frame, now time.Time, m host.Message) {
	switch m := m.(type) {
	case host.Offers:
		f.Offers = append(f.Offers, offersToProto(now, m.Tasks)...)
	case host.Withdrawal:
		f.Withdrawals = append(f.Withdrawals, m.Job)
		f.Offers = slices.DeleteFunc(f.Offers, func(o *dispatchv1.Offer) bool { return o.GetJob() == m.Job })
		f.Claims = slices.DeleteFunc(f.Claims, func(c *dispatchv1.Claim) bool { return c.GetOffer().GetJob() == m.Job })
	case host.TaskWithdrawal:
		f.TaskWithdrawals = append(f.TaskWithdrawals, runToProto(fleet.RunID{Task: m.Task}, 0))
		removeOffer(f, m.Task)
		f.Claims = slices.DeleteFunc(f.Claims, func(c *dispatchv1.Claim) bool { return isFor(c.GetOffer(), m.Task) })
	case host.TaskLoss:
		f.Losses = append(f.Losses, &dispatchv1.TaskLoss{
			Run: runToProto(fleet.RunID{Task: m.Task, Run: m.Loss.Run}, 0), Worker: m.Loss.Worker, Loss: lossToProto(m.Loss),
		})
	case host.Recall:
		f.Recalls = append(f.Recalls, m.Job)
	case host.JobStarted:
		f.Begun = append(f.Begun, m.Job)
	case offer.Claim:
		f.Claims = append(f.Claims, &dispatchv1.Claim{Worker: m.Worker, Offer: offersToProto(now, []offer.Task{m.Task})[0]})
	case offer.Outcome:
		f.Outcomes = append(f.Outcomes, outcomeToProto(m))
	case host.LogAppended:
		f.Logged = append(f.Logged, logRecordsToProto(m)...)
	case offer.Inventory:
		f.Sightings = append(f.Sightings, inventoryToProto(m))
	case host.Evacuations:
		f.Evacuations = append(f.Evacuations, evacuationsToProto(m.Changes)...)
	}
}

// removeOffer removes the offers of a task that are still in a frame.
func removeOffer(f *dispatchv1.Frame, name fleet.TaskName) {
	for _, o := range f.GetOffers() {
		if o.GetJob() == name.Job && int(o.GetStep()) == name.Step {
			o.Tasks = slices.DeleteFunc(o.GetTasks(), func(t *dispatchv1.OfferedTask) bool { return int(t.GetIndex()) == name.Index })
		}
	}
}

// isFor reports whether an offer of a single task is for the named one.
func isFor(o *dispatchv1.Offer, name fleet.TaskName) bool {
	return o.GetJob() == name.Job && int(o.GetStep()) == name.Step && len(o.GetTasks()) == 1 && int(o.GetTasks()[0].GetIndex()) == name.Index
}

// messagesFromProto returns the messages of a frame in the order in which they
// must be handled: recalls after the offers that they refer to, withdrawals
// before later offers of the same job.
func messagesFromProto(now time.Time, self string, f *dispatchv1.Frame) []host.Message {
	var messages []host.Message
	if len(f.GetEvacuations()) > 0 {
		messages = append(messages, evacuationsFromProto(f.GetEvacuations()))
	}
	if len(f.GetLogged()) > 0 {
		messages = append(messages, logAppendedFromProto(f.GetLogged()))
	}
	for _, job := range f.GetWithdrawals() {
		messages = append(messages, host.Withdrawal{Job: job})
	}
	for _, r := range f.GetTaskWithdrawals() {
		messages = append(messages, host.TaskWithdrawal{Task: runFromProto(r).Task})
	}
	for _, o := range f.GetOffers() {
		messages = append(messages, host.Offers{Tasks: tasksFromProto(now, o)})
	}
	for _, job := range f.GetRecalls() {
		messages = append(messages, host.Recall{Job: job})
	}
	for _, job := range f.GetBegun() {
		messages = append(messages, host.JobStarted{Job: job})
	}
	for _, c := range f.GetClaims() {
		for _, t := range tasksFromProto(now, c.GetOffer()) {
			messages = append(messages, offer.Claim{Worker: c.GetWorker(), Task: t})
		}
	}
	for _, l := range f.GetLosses() {
		run := runFromProto(l.GetRun())
		messages = append(messages, host.TaskLoss{Task: run.Task, Loss: lossFromProto(run.Run, l.GetWorker(), l.GetLoss())})
	}
	for _, o := range f.GetOutcomes() {
		messages = append(messages, outcomeFromProto(self, o))
	}
	for _, s := range f.GetSightings() {
		messages = append(messages, inventoryFromProto(s))
	}
	return messages
}

// logRecordsToProto skips entries that cannot be encoded: the failure was
// logged when they were queued for the job log.
func logRecordsToProto(m host.LogAppended) []*dispatchv1.LogRecord {
	var out []*dispatchv1.LogRecord
	for _, e := range m.Entries {
		records, err := encodeEntry(e)
		if err != nil {
			continue
		}
		for _, r := range records {
			out = append(out, &dispatchv1.LogRecord{Key: r.Key, Value: r.Value})
		}
	}
	return out
}

// logAppendedFromProto skips records that cannot be decoded: they are reported
// when the job log itself is read.
func logAppendedFromProto(records []*dispatchv1.LogRecord) host.LogAppended {
	var m host.LogAppended
	for _, r := range records {
		keyed := platform.KeyedRecord{Key: r.GetKey()}
		if len(r.GetValue()) > 0 {
			keyed.Value = r.GetValue()
		}
		if e, err := decodeRecord(keyed); err == nil && e != nil {
			m.Entries = append(m.Entries, e)
		}
	}
	return m
}

func sizeToProto(s fleet.Size) *dispatchv1.Size {
	return &dispatchv1.Size{MilliCpu: int32(s.MilliCPU), MemoryMb: int32(s.MemoryMB), Gpus: int32(s.GPUs)}
}

func sizeFromProto(s *dispatchv1.Size) fleet.Size {
	return fleet.Size{MilliCPU: int(s.GetMilliCpu()), MemoryMB: int(s.GetMemoryMb()), GPUs: int(s.GetGpus())}
}

func remainingMs(now, t time.Time) int32 { return int32(t.Sub(now).Milliseconds()) }

func timeIn(now time.Time, ms int32) time.Time {
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// offersToProto returns one offer for each run of consecutive tasks of the same
// job and step.
func offersToProto(now time.Time, tasks []offer.Task) []*dispatchv1.Offer {
	var offers []*dispatchv1.Offer
	var last *dispatchv1.Offer
	for _, t := range tasks {
		if last == nil || last.GetJob() != t.Name.Job || int(last.GetStep()) != t.Name.Step || last.GetSubmission() != t.Submission {
			last = &dispatchv1.Offer{
				Job: t.Name.Job, Step: int32(t.Name.Step), Spec: t.Spec, Service: t.Service, Size: sizeToProto(t.Size),
				EstimateMs: int32(t.Estimate.Milliseconds()), RequiredLabel: t.RequiredLabel, Affinity: t.Affinity,
				MaxPerWorker: int32(t.MaxPerWorker), Priority: int32(t.Priority),
				StartInMs: remainingMs(now, t.StartBy), UsefulMs: remainingMs(now, t.Deadline),
				Begun: t.JobStarted, MaxAttempts: int32(t.MaxAttempts), Stored: t.Stored,
				Route: t.Route, JobTasks: int32(t.JobTasks), Submission: t.Submission, Takeover: int32(t.Takeover),
			}
			offers = append(offers, last)
		}
		last.Tasks = append(last.Tasks, &dispatchv1.OfferedTask{
			Index: int32(t.Name.Index), NextRun: int32(t.NextRun), Failed: int32(len(t.FailedRuns)), FailedRuns: runSetToProto(t.FailedRuns), Avoid: t.Avoid,
			Exclusive: t.Exclusive,
		})
	}
	return offers
}

func tasksFromProto(now time.Time, o *dispatchv1.Offer) []offer.Task {
	tasks := make([]offer.Task, 0, len(o.GetTasks()))
	for _, t := range o.GetTasks() {
		tasks = append(tasks, offer.Task{
			Name:       fleet.TaskName{Job: o.GetJob(), Step: int(o.GetStep()), Index: int(t.GetIndex())},
			Submission: o.GetSubmission(), Takeover: int(o.GetTakeover()),
			Stored: o.GetStored(), Spec: o.GetSpec(), Service: o.GetService(), Route: o.GetRoute(), JobTasks: int(o.GetJobTasks()), Size: sizeFromProto(o.GetSize()),
			Estimate:      time.Duration(o.GetEstimateMs()) * time.Millisecond,
			RequiredLabel: o.GetRequiredLabel(), Affinity: o.GetAffinity(), MaxPerWorker: int(o.GetMaxPerWorker()),
			Priority: int(o.GetPriority()), StartBy: timeIn(now, o.GetStartInMs()), Deadline: timeIn(now, o.GetUsefulMs()),
			JobStarted: o.GetBegun(), Avoid: t.GetAvoid(), Exclusive: t.GetExclusive(), NextRun: int(t.GetNextRun()), FailedRuns: runSetFromProto(t.GetFailedRuns()), MaxAttempts: int(o.GetMaxAttempts()),
		})
	}
	return tasks
}

func outcomeToProto(o offer.Outcome) *dispatchv1.Outcome {
	p := &dispatchv1.Outcome{
		Job: o.Task.Job, Step: int32(o.Task.Step), Index: int32(o.Task.Index), Run: int32(o.Run), Failed: int32(len(o.FailedRuns)),
		FailedRuns: runSetToProto(o.FailedRuns),
		Result:     int32(o.Result), Ran: o.MayHaveRun, Worker: o.Worker, Fence: o.Fence, Why: o.Why, Submission: o.Submission, OverInMs: int32(o.MaxRemaining.Milliseconds()),
	}
	if o.Loss != nil {
		p.Loss = lossToProto(*o.Loss)
	}
	return p
}

func runSetToProto(s offer.RunSet) []int32 {
	numbers := make([]int32, len(s))
	for i, run := range s {
		numbers[i] = int32(run)
	}
	return numbers
}

func runSetFromProto(numbers []int32) offer.RunSet {
	var s offer.RunSet
	for _, run := range numbers {
		s = s.With(int(run))
	}
	return s
}

func lossToProto(l quarantine.Loss) *dispatchv1.Loss {
	return &dispatchv1.Loss{
		Address: l.Address, StartTime: l.StartTime, Alone: l.Alone, Bystander: l.Bystander, Orphaned: l.Orphaned, Unconfirmed: l.Unconfirmed,
		Fate: int32(l.Fate),
	}
}

func lossFromProto(run int, worker string, l *dispatchv1.Loss) quarantine.Loss {
	return quarantine.Loss{
		Run: run, Worker: worker, Address: l.GetAddress(), StartTime: l.GetStartTime(),
		Alone: l.GetAlone(), Bystander: l.GetBystander(), Orphaned: l.GetOrphaned(), Unconfirmed: l.GetUnconfirmed(), Fate: quarantine.Fate(l.GetFate()),
	}
}

func outcomeFromProto(self string, p *dispatchv1.Outcome) offer.Outcome {
	o := offer.Outcome{
		Host: self, Task: fleet.TaskName{Job: p.GetJob(), Step: int(p.GetStep()), Index: int(p.GetIndex())},
		Run: int(p.GetRun()), FailedRuns: runSetFromProto(p.GetFailedRuns()), Result: offer.Result(p.GetResult()), MayHaveRun: p.GetRan(), Fence: p.GetFence(),
		Worker: p.GetWorker(), Why: p.GetWhy(), Submission: p.GetSubmission(), MaxRemaining: time.Duration(p.GetOverInMs()) * time.Millisecond,
	}
	if l := p.GetLoss(); l != nil {
		loss := lossFromProto(o.Run, o.Worker, l)
		o.Loss = &loss
	}
	return o
}

func runToProto(r fleet.RunID, reason fleet.EndReason) *dispatchv1.Run {
	return &dispatchv1.Run{
		Job: r.Task.Job, Step: int32(r.Task.Step), Index: int32(r.Task.Index), Run: int32(r.Run), Ending: int32(reason),
	}
}

func runFromProto(r *dispatchv1.Run) fleet.RunID {
	return fleet.RunID{
		Task: fleet.TaskName{Job: r.GetJob(), Step: int(r.GetStep()), Index: int(r.GetIndex())}, Run: int(r.GetRun()),
	}
}

func inventoryToProto(s offer.Inventory) *dispatchv1.Sighting {
	out := &dispatchv1.Sighting{Worker: s.Worker, Fence: s.Fence, MoreEnds: s.MoreEnds}
	for _, r := range s.Running {
		out.Running = append(out.Running, runToProto(r, 0))
	}
	for _, e := range s.Ended {
		out.Ended = append(out.Ended, runToProto(e.RunID, e.Reason))
	}
	return out
}

func inventoryFromProto(s *dispatchv1.Sighting) offer.Inventory {
	out := offer.Inventory{Worker: s.GetWorker(), Fence: s.GetFence(), MoreEnds: s.GetMoreEnds()}
	for _, r := range s.GetRunning() {
		out.Running = append(out.Running, runFromProto(r))
	}
	for _, r := range s.GetEnded() {
		out.Ended = append(out.Ended, fleet.RunEnd{RunID: runFromProto(r), Reason: fleet.EndReason(r.GetEnding())})
	}
	return out
}

func capacityReportToProto(r offer.CapacityReport) *dispatchv1.Room {
	report := &dispatchv1.Room{
		Capacity: int32(r.Capacity), FreeingRate: r.FreeingRate, Leaving: r.Leaving, Exclusive: int32(r.Exclusive), Saturated: r.Saturated,
		Stopping: r.Stopping,
	}
	for _, w := range r.Workers {
		room := &dispatchv1.WorkerRoom{
			Id: w.ID, Service: w.Service, Free: sizeToProto(w.Free),
			RelativeTime: float32(w.RelativeTime), RelativeTimeRuns: int32(w.RelativeTimeRuns),
		}
		for _, e := range w.Ends {
			room.FreeInMs = append(room.FreeInMs, int32(e.In.Milliseconds()))
			room.FreeCpu = append(room.FreeCpu, int32(e.MilliCPU))
		}
		report.Workers = append(report.Workers, room)
	}
	if len(r.QueuedWork) > 0 {
		report.QueuedWork = make(map[int32]int64, len(r.QueuedWork))
		for priority, work := range r.QueuedWork {
			report.QueuedWork[int32(priority)] = work
		}
	}
	for _, l := range r.Routes {
		report.Routes = append(report.Routes, &dispatchv1.RouteLoad{
			Route: l.Route, WaitingWork: l.WaitingWork, RunningCpu: l.RunningCPU, WaitingTasks: int32(l.WaitingTasks),
		})
	}
	return report
}

func capacityReportFromProto(r *dispatchv1.Room) offer.CapacityReport {
	report := offer.CapacityReport{
		Capacity: int(r.GetCapacity()), FreeingRate: r.GetFreeingRate(), Leaving: r.GetLeaving(), Exclusive: int(r.GetExclusive()), Saturated: r.GetSaturated(),
		Stopping: r.GetStopping(), QueuedWork: make(map[int]int64, len(r.GetQueuedWork())),
	}
	for _, w := range r.GetWorkers() {
		capacity := offer.WorkerCapacity{
			ID: w.GetId(), Service: w.GetService(), Free: sizeFromProto(w.GetFree()),
			RelativeTime: float64(w.GetRelativeTime()), RelativeTimeRuns: int(w.GetRelativeTimeRuns()),
		}
		for i, ms := range w.GetFreeInMs()[:min(len(w.GetFreeInMs()), len(w.GetFreeCpu()))] {
			capacity.Ends = append(capacity.Ends, offer.ExpectedEnd{In: time.Duration(ms) * time.Millisecond, MilliCPU: int(w.GetFreeCpu()[i])})
		}
		report.Workers = append(report.Workers, capacity)
	}
	for priority, work := range r.GetQueuedWork() {
		report.QueuedWork[int(priority)] = work
	}
	for _, l := range r.GetRoutes() {
		report.Routes = append(report.Routes, offer.RouteLoad{
			Route: l.GetRoute(), WaitingWork: l.GetWaitingWork(), RunningCPU: l.GetRunningCpu(), WaitingTasks: int(l.GetWaitingTasks()),
		})
	}
	return report
}
