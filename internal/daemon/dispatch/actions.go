package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/recovery"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

// executeActions executes the actions that the decisions ask for, updates the
// readiness and sends the frames that were filled.
func (d *Dispatcher) executeActions(ctx context.Context, now time.Time) {
	for _, a := range d.core.Reconcile(now) {
		d.execute(ctx, now, a)
	}
	d.followHandOver()
	d.updateReadiness()
	if d.advanceStart(now) {
		for _, a := range d.core.Reconcile(now) {
			d.execute(ctx, now, a)
		}
		d.updateReadiness()
	}
	d.peers.flush(now)
}

func (d *Dispatcher) execute(ctx context.Context, now time.Time, a host.Action) {
	switch a := a.(type) {
	case workerpool.Start:
		d.metrics.placements.WithLabelValues(string(a.Placement)).Inc()
		go d.sendStart(ctx, a)
	case workerpool.Stop:
		d.metrics.runsStopped.WithLabelValues(string(a.Why)).Inc()
		d.logger.Info("run stopped", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID, "why", a.Why,
			"job_host", a.Host, "submission", a.Submission, "job_host_heard_ago", d.peers.silence(now, a.Host), "lease_left", a.LeaseLeft)
		go d.sendStop(ctx, a)
	case workerpool.Poll:
		go d.sendPoll(ctx, a)
	case host.Send:
		d.peers.send(now, a.Host, a.Message)
	case host.Broadcast:
		d.peers.broadcast(now, a.Message)
	case host.RunClaimed:
		d.logger.Info("run claimed", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker, "owner", a.Owner,
			"task_was", a.Before.State, "at_host", a.Before.Host, "on_worker", a.Before.Worker)
	case host.TaskNotDone:
		o := a.Outcome
		d.logger.Info("task not done", "task", o.Task, "run", o.Run, "result", o.Result, "owner", a.Owner,
			"worker", o.Worker, "failed", len(o.FailedRuns), "why", o.Why)
	case coordinator.TaskJudged:
		d.metrics.verdicts.WithLabelValues(a.Verdict.String()).Inc()
		d.logger.Warn("task judged by its lost workers", "task", a.Task, "verdict", a.Verdict, "crashes", a.Crashes)
	case coordinator.TaskResumed:
		d.taskResumed(a)
	case workerpool.RunsLost:
		d.runsLost(a)
	case workerpool.SaturationChanged:
		d.saturationChanged(a)
	case workerpool.PollLost:
		d.metrics.pollsLost.Inc()
		d.logger.Info("poll lost", "worker", a.Worker, "number", a.Number, "age", a.Age)
	case workerpool.SlowRun:
		d.slowRun(a)
	case workerpool.SpeedSpread:
		d.speedSpread(a)
	case workerpool.SharedOrder:
		d.sharedOrder(a)
	case workerpool.WaitForFast:
		d.waitForFast(a)
	case workerpool.NearDecision:
		d.nearDecision("owner", a.Report)
	case coordinator.NearDecision:
		d.nearDecision("job_host", a.Report)
	case ledger.JobRead:
		d.notifyWatchers(a.Job)
	case ledger.JobEnded:
		d.jobEnded(a)
	case ledger.JobSetAside:
		d.jobSetAside(a)
	case ledger.UnknownCancelled:
		if d.cancelBestEffort(now, a.Job) {
			d.logger.Info("job cancelled at another host", "job", a.Job)
		}
	case ledger.RunsHandedOver:
		d.logger.Info("shard handover read", "by", a.Host, "runs", len(a.Runs), "shard", a.Shard, "number", a.Takeovers, "wait", a.RemainingWait)
		wake(d.shardWakeup)
	case host.Append:
		d.queueAppend(a, nil)
	case host.LogEvent:
		d.logger.Info(a.Message, "worker", a.Worker, "why", a.Why, "fence", a.Fence)
	case host.ZoneChanged:
		d.zoneChanged(a)
	case coordinator.Answer:
		d.answer(a)
	}
}

// longInterruption is how long a task of a stored job may have nothing running without a
// line in the process log.
const longInterruption = time.Second

// taskResumed measures the time for which a task of a stored job had nothing running.
func (d *Dispatcher) taskResumed(a coordinator.TaskResumed) {
	d.metrics.interruptions.WithLabelValues(string(a.Interruption)).Observe(a.Idle.Seconds())
	if a.Idle >= longInterruption {
		d.logger.Warn("task had nothing running", "task", a.Task, "for", a.Idle, "why", a.Interruption)
	}
}

// maxLoggedRuns bounds the runs in one line of the process log.
const maxLoggedRuns = 16

// runsLost logs and counts the runs that were lost with a worker.
func (d *Dispatcher) runsLost(a workerpool.RunsLost) {
	d.metrics.runsLost.WithLabelValues(a.Why).Add(float64(len(a.Runs)))
	runs := make([]string, 0, maxLoggedRuns)
	for _, r := range a.Runs[:min(len(a.Runs), maxLoggedRuns)] {
		runs = append(runs, fmt.Sprintf("%s run %d after %v", r.Task, r.Run, r.Age.Round(time.Millisecond)))
	}
	d.logger.Warn("runs lost with their worker", "worker", a.Worker.ID, "address", a.Worker.Address, "why", a.Why,
		"last_failure", a.LastFailure, "silent_for", a.SilentFor, "draining", a.Worker.Draining, "count", len(a.Runs), "runs", runs)
}

// slowRun logs and counts a decision about a run that is far slower than expected.
func (d *Dispatcher) slowRun(a workerpool.SlowRun) {
	d.metrics.slowRuns.WithLabelValues(string(a.Decision)).Inc()
	message := "slow run goes on"
	if a.Decision.Stopped() {
		message = "straggler stopped"
	}
	d.logger.Info(message, "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker, "why", a.Decision, "percent", a.Percent,
		"after", a.Took, "normal", a.Normal, "pace", a.Pace, "mean_pace", a.MeanPace, "stalled_for", a.StalledFor,
		"other_slow_runs", a.OtherSlowRuns, "needed", a.NeededSlowRuns)
}

func (d *Dispatcher) answer(a coordinator.Answer) {
	if a.Stored {
		d.logger.Info("stored job let go of", "job", a.Job, "route", a.Summary.Route, "done", a.Err == nil, "failed", a.Failed,
			"tasks", a.Summary.Tasks, "runs", a.Summary.Runs, "driven_for", a.Summary.Elapsed, "objective", a.Summary.Objective, "why", a.Summary.Why)
		return
	}
	w, ok := d.waiters[a.Job]
	if !ok {
		return
	}
	delete(d.waiters, a.Job)
	kind := errkind.Kind("completed")
	if a.Err != nil {
		kind = a.Err.Kind
	}
	elapsed, objective := a.Summary.Elapsed+w.heldFor, a.Summary.Objective+w.heldFor
	d.metrics.answered(a.Summary.Route, string(kind), elapsed)
	if a.Summary.Refusal != "" {
		d.metrics.refusals.WithLabelValues(a.Summary.Route, string(a.Summary.Refusal)).Inc()
	}
	logger := d.logger
	if a.Summary.Sharing.Decided() && a.Summary.Refusal == "" {
		// The reason of a refusal names the inputs.
		logger = logger.With("sharing", a.Summary.Sharing.String())
	}
	logger.Info("job answered", "job", a.Job, "route", a.Summary.Route, "outcome", kind, "tasks", a.Summary.Tasks,
		"runs", a.Summary.Runs, "took", elapsed, "objective", objective, "expected_wait", a.Summary.ExpectedWait, "why", a.Summary.Why)
	w.result <- platform.Result{Err: a.Err, RetryAfter: a.RetryAfter}
}

func (d *Dispatcher) sendStart(ctx context.Context, a workerpool.Start) {
	ctx, cancel := context.WithTimeout(ctx, a.GiveUp)
	defer cancel()
	if a.GiveUp > a.Timeout {
		// Cancelling the request would close its connection, and the worker may have
		// the run already.
		late := time.AfterFunc(a.Timeout, func() {
			d.post(func(now time.Time) { d.core.Pool.StartLate(now, a.Worker.ID, a.Run) })
		})
		defer late.Stop()
	}
	sent := time.Now()
	verdict, clock, err := d.workers.Start(ctx, a.Worker, platform.StartRequest{
		Run: a.Run, Spec: a.Spec, Fence: a.Fence, LeaseUntil: a.LeaseUntil,
	})
	d.metrics.starts.WithLabelValues(verdict.String()).Inc()
	d.metrics.startSeconds.Observe(time.Since(sent).Seconds())
	level := log.InfoLevel
	if verdict != fleet.StartAccepted {
		level = log.WarnLevel
	}
	d.logger.Log(level, "start answered", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID,
		"verdict", verdict, "fence", a.Fence, "job_host", a.Host, "submission", a.Submission, "took", time.Since(sent), "error", err)
	d.post(func(now time.Time) {
		d.core.Pool.StartAnswered(now, a.Worker.ID, a.Run, a.Fence, verdict, clock)
		if verdict == fleet.StartAccepted {
			d.stepEnded(now, recovery.FirstRun)
		}
	})
}

func (d *Dispatcher) sendStop(ctx context.Context, a workerpool.Stop) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	ok, err := d.workers.Stop(ctx, a.Worker, a.Run, a.Fence)
	if err != nil {
		d.logger.Warn("stop request failed", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID, "error", err)
	}
	d.post(func(now time.Time) { d.core.Pool.StopAnswered(now, a.Worker.ID, a.Run, ok) })
}

func (d *Dispatcher) sendPoll(ctx context.Context, a workerpool.Poll) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+a.Timeout)
	defer cancel()
	result, listing, err := d.workers.Poll(ctx, a.Worker, platform.PollRequest{
		Fence: a.Fence, Acknowledged: a.Acknowledged, StartTime: a.StartTime, LeaseUntil: a.LeaseUntil, Wait: a.Wait,
	})
	id := a.Worker.ID
	d.metrics.polls.Inc()
	switch {
	case err != nil:
		if ctx.Err() == nil || a.Wait == 0 {
			d.logger.Debug("worker poll failed", "worker", id, "error", err)
		}
		failure := d.workers.Failure(a.Worker, err)
		d.post(func(now time.Time) { d.core.Pool.PollFailed(now, id, a.Number, failure) })
	case result == platform.PollFenced:
		d.post(func(now time.Time) { d.core.Pool.Fenced(now, id, a.Number, a.Fence) })
	case result == platform.PollWrongWorker:
		d.post(func(now time.Time) { d.core.Pool.WorkerReplaced(now, id) })
	default:
		d.post(func(now time.Time) { d.core.Pool.PollAnswered(now, id, a.Number, listing) })
	}
}

// updateReadiness records whether this host accepts work. It needs a
// configuration, the evacuated zones, the list of workers, and a host with
// capacity. While all workers are in evacuated zones it is ready nevertheless, so
// that callers get a refusal with a Retry-After instead of no host at all.
func (d *Dispatcher) updateReadiness() {
	var why *errkind.Error
	switch {
	case d.config.Load() == nil:
		why = errkind.New(errkind.NotReady, "no configuration yet")
	case !d.core.Evacuations.Listed():
		why = errkind.New(errkind.NotReady, "evacuated zones not read yet")
	case !d.workersListed:
		why = errkind.New(errkind.NotReady, "no worker list yet")
	case !d.core.Coordinator.HasCapacity() && !d.core.Coordinator.AllEvacuated():
		why = errkind.New(errkind.NotReady, "no host has workers")
	}
	old := d.ready.Swap(why)
	if (old == nil) != (why == nil) {
		d.logger.Info("readiness changed", "ready", why == nil, "why", why)
	}
}
