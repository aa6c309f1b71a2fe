package dispatch

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/room"
	"github.com/parsleyhill/parsleyhill/internal/decide/spread"
	"github.com/parsleyhill/parsleyhill/internal/decide/tenure"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// orderTimeout is how long a start or stop may go without an answer. A
	// worker answers in a few milliseconds; the rest is for a busy host.
	orderTimeout = 200 * time.Millisecond
	// lookSlack is how long an answer to a look may take beyond its wait.
	lookSlack = 400 * time.Millisecond
)

// settle carries out what the decisions ask for until nothing is left.
func (d *Dispatch) settle(ctx context.Context, now time.Time) {
	if d.pool.Waiting() > 0 {
		d.pool.Shed(now, d.spread.RoomElsewhere())
	}
	for {
		ownership, orders := d.tenure.Take(), d.pool.Take(now)
		d.report(now)
		offers := d.spread.Take()
		if len(ownership)+len(orders)+len(offers) == 0 {
			break
		}
		for _, a := range ownership {
			d.carryOwnership(now, a)
		}
		for _, a := range orders {
			d.carryOrder(ctx, now, a)
		}
		for _, a := range offers {
			d.carryOffer(now, a)
		}
	}
	d.judgeReady()
	d.peers.flush()
}

func (d *Dispatch) carryOwnership(now time.Time, a tenure.Action) {
	switch a := a.(type) {
	case tenure.Adopt:
		d.logger.Info("worker adopted", "worker", a.Worker.ID, "zone", a.Worker.Zone, "fence", a.Fence)
		d.pool.Adopt(now, a.Worker, a.Fence)
	case tenure.Drop:
		d.pool.Drop(now, a.Worker, a.Why)
	case tenure.Update:
		d.pool.Update(a.Worker)
	}
}

func (d *Dispatch) carryOrder(ctx context.Context, now time.Time, a room.Action) {
	switch a := a.(type) {
	case room.Start:
		go d.sendStart(ctx, a)
	case room.Stop:
		d.logger.Info("run stopped", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID)
		go d.sendStop(ctx, a)
	case room.Look:
		go d.sendLook(ctx, a)
	case room.Tell:
		if a.Outcome.Host == d.self.Name {
			d.outcome(now, d.self.Name, a.Outcome)
		} else {
			d.peers.outcome(a.Outcome)
		}
	case room.Sight:
		d.logger.Info("runs found on an adopted worker", "worker", a.Sighting.Worker,
			"running", len(a.Sighting.Running), "ended", len(a.Sighting.Ended))
		d.spread.Sighted(now, d.self.Name, a.Sighting)
		d.peers.sighting(a.Sighting)
	case room.Dropped:
		d.logger.Info("worker dropped", "worker", a.Worker, "why", a.Why)
		d.tenure.Dropped(a.Worker)
	case room.Note:
		d.logger.Info(a.What, "worker", a.Worker, "why", a.Why)
	}
}

func (d *Dispatch) carryOffer(now time.Time, a spread.Action) {
	switch a := a.(type) {
	case spread.Offer:
		if a.Host == d.self.Name {
			for _, t := range a.Tasks {
				d.pool.Offer(now, t)
			}
		} else {
			d.peers.offer(now, a.Host, a.Tasks)
		}
	case spread.Withdraw:
		if a.Host == d.self.Name {
			d.pool.Withdraw(now, d.self.Name, a.Job)
		} else {
			d.peers.withdraw(a.Host, a.Job)
		}
	case spread.Recall:
		if a.Host == d.self.Name {
			d.pool.Recall(d.self.Name, a.Job)
		} else {
			d.peers.recall(a.Host, a.Job)
		}
	case spread.Begun:
		if a.Host == d.self.Name {
			d.pool.Begun(d.self.Name, a.Job)
		} else {
			d.peers.begun(a.Host, a.Job)
		}
	case spread.Claim:
		if a.Host == d.self.Name {
			d.pool.Claimed(now, a.Claim)
		} else {
			d.peers.claim(now, a.Host, a.Claim)
		}
	case spread.Answer:
		d.answer(a)
	}
}

func (d *Dispatch) outcome(now time.Time, from string, o offer.Outcome) {
	if o.Result != offer.Done && o.Result != offer.Started {
		d.logger.Info("task not done", "task", o.Task, "run", o.Run, "result", o.Result, "owner", from, "worker", o.Worker, "why", o.Why)
	}
	if w, ok := d.waiters[o.Task.Job]; ok && !w.begun && o.Run > 0 {
		w.begun = true
		d.waiters[o.Task.Job] = w
	}
	d.spread.Outcome(now, from, o)
}

func (d *Dispatch) answer(a spread.Answer) {
	w, ok := d.waiters[a.Job]
	if !ok {
		return
	}
	delete(d.waiters, a.Job)
	kind := errkind.Kind("completed")
	if a.Err != nil {
		kind = a.Err.Kind
	}
	d.metrics.answered(a.Facts.Route, string(kind), a.Facts.Waited)
	d.logger.Info("job answered", "job", a.Job, "route", a.Facts.Route, "outcome", kind, "tasks", a.Facts.Tasks,
		"runs", a.Facts.Runs, "took", a.Facts.Waited, "objective", a.Facts.Objective, "expected_wait", a.Facts.Wait, "why", a.Facts.Why)
	w.result <- platform.Result{Err: a.Err, RetryAfter: a.RetryAfter}
}

func (d *Dispatch) sendStart(ctx context.Context, a room.Start) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	verdict, clock, err := d.workers.Start(ctx, a.Worker, platform.Start{
		Run: a.Run, Spec: a.Spec, Fence: a.Fence, LeaseUntil: a.LeaseUntil,
	})
	d.metrics.starts.WithLabelValues(verdict.String()).Inc()
	d.metrics.startSeconds.Observe(time.Since(sent).Seconds())
	level := log.InfoLevel
	if verdict != fleet.StartAccepted {
		level = log.WarnLevel
	}
	d.logger.Log(level, "start answered", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID,
		"verdict", verdict, "fence", a.Fence, "took", time.Since(sent), "error", err)
	d.post(func(now time.Time) { d.pool.StartAnswered(now, a.Worker.ID, a.Run, a.Fence, verdict, clock) })
}

func (d *Dispatch) sendStop(ctx context.Context, a room.Stop) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ok, err := d.workers.Stop(ctx, a.Worker, a.Run, a.Fence)
	if err != nil {
		d.logger.Warn("stop not answered", "task", a.Run.Task, "run", a.Run.Run, "worker", a.Worker.ID, "error", err)
	}
	d.post(func(now time.Time) { d.pool.StopAnswered(now, a.Worker.ID, a.Run, ok) })
}

func (d *Dispatch) sendLook(ctx context.Context, a room.Look) {
	ctx, cancel := context.WithTimeout(ctx, a.Wait+lookSlack)
	defer cancel()
	result, listing, err := d.workers.Look(ctx, a.Worker, platform.Look{
		Fence: a.Fence, Noted: a.Noted, LeaseUntil: a.LeaseUntil, Wait: a.Wait,
	})
	id := a.Worker.ID
	d.metrics.looks.Inc()
	switch {
	case err != nil:
		if ctx.Err() == nil || a.Wait == 0 {
			d.logger.Debug("look not answered", "worker", id, "error", err)
		}
		d.post(func(now time.Time) { d.pool.LookFailed(now, id, a.Number) })
	case result == platform.LookFenced:
		d.post(func(now time.Time) { d.pool.Fenced(now, id, a.Fence) })
	case result == platform.LookGone:
		d.post(func(now time.Time) { d.pool.Gone(now, id) })
	default:
		d.post(func(now time.Time) { d.pool.Listed(now, id, a.Number, listing) })
	}
}

// judgeReady says whether this host takes work: with a configuration, the list
// of workers, and room somewhere.
func (d *Dispatch) judgeReady() {
	var why *errkind.Error
	switch {
	case d.config.Load() == nil:
		why = errkind.New(errkind.NotReady, "no configuration yet")
	case !d.listed:
		why = errkind.New(errkind.NotReady, "no list of workers yet")
	case !d.spread.HasCapacity():
		why = errkind.New(errkind.NotReady, "no host has workers")
	}
	old := d.ready.Swap(why)
	if (old == nil) != (why == nil) {
		d.logger.Info("readiness changed", "ready", why == nil, "why", why)
	}
}
