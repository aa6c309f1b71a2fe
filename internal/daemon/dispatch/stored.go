package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// jobsGroup names the group whose partitions are the shards of the jobs.
	jobsGroup = "jobs"
	// appendTimeout bounds an append; the store answers in some milliseconds.
	appendTimeout = 500 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 100 * time.Millisecond
	// appendPause and appendCost space a host's appends, so that all hosts
	// together stay well below what one partition takes.
	appendPause = 8 * time.Millisecond
	appendCost  = 2 * time.Millisecond
	// maxAppendBytes bounds one append; the store takes two megabytes.
	maxAppendBytes = 1 << 20
	// idleLogWait is the wait of a reading of a log without jobs, busyLogWait
	// that with some: what may be run again waits for a reading's end.
	idleLogWait = 2 * time.Second
	busyLogWait = 300 * time.Millisecond
	// readPause spaces a host's readings. Linked hosts tell each other what they
	// append; of others it is heard with the next reading.
	readPause = 100 * time.Millisecond
)

// ledgerConfig returns the times of the stored jobs' ledger.
func ledgerConfig(s platform.Settings) ledger.Config {
	ttl := timeToLive(s)
	return ledger.Config{
		Shards: s.Partitions, MemberTTL: ttl, Retention: s.JobRetention,
		// A driver that is cut off goes on for its time to live, an owner that
		// it offers to until the stream is silent, and a run until its lease ends.
		TakeoverDelay: ttl + peerSilence + fleet.WithMaxClockDrift(s.MaxLease) + settleMargin,
	}
}

// settleMargin covers the ticks between these.
const settleMargin = 100 * time.Millisecond

// appendRequest is one append that waits.
type appendRequest struct {
	append  host.Append
	records []platform.KeyedRecord
	// answer, if set, takes the outcome; the append is then tried once.
	answer func(error)
}

// journal holds the appends to the log of stored jobs that wait.
type journal struct {
	mu      sync.Mutex
	waiting []appendRequest
	wake    chan struct{}
}

func newJournal() *journal { return &journal{wake: make(chan struct{}, 1)} }

func (j *journal) add(r appendRequest) {
	j.mu.Lock()
	j.waiting = append(j.waiting, r)
	j.mu.Unlock()
	wake(j.wake)
}

// take returns what fits into one append, the oldest first.
func (j *journal) take() []appendRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	for n < len(j.waiting) {
		for _, r := range j.waiting[n].records {
			size += len(r.Key) + len(r.Value)
		}
		if n > 0 && size > maxAppendBytes {
			break
		}
		n++
	}
	batch := j.waiting[:n:n]
	j.waiting = j.waiting[n:]
	return batch
}

// putBack returns appends that failed, before all others.
func (j *journal) putBack(batch []appendRequest) {
	j.mu.Lock()
	j.waiting = append(batch, j.waiting...)
	j.mu.Unlock()
}

// record queues an append. Answer, if set, takes the outcome of one try.
func (d *Dispatcher) record(a host.Append, answer func(error)) {
	r := appendRequest{append: a, answer: answer}
	for _, e := range a.Entries {
		records, err := recordsOf(e)
		if err != nil {
			d.logger.Error("record not encoded", "error", err)
			if answer != nil {
				answer(err)
			}
			return
		}
		r.records = append(r.records, records...)
	}
	d.journal.add(r)
}

// keepJournal appends what waits until ctx ends.
func (d *Dispatcher) keepJournal(ctx context.Context) error {
	failed := false
	for {
		batch := d.journal.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-d.journal.wake:
			}
			continue
		}
		err := d.appendBatch(ctx, batch)
		if (err != nil) != failed {
			failed = err != nil
			d.logger.Info("job log", "failing", failed, "records", len(batch), "error", err)
		}
		pause := max(appendPause, time.Duration(d.peers.count())*appendCost)
		if err != nil {
			pause = appendRetry
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

func (d *Dispatcher) appendBatch(ctx context.Context, batch []appendRequest) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records []platform.KeyedRecord
	for _, r := range batch {
		records = append(records, r.records...)
	}
	err := d.store.AppendJobRecords(ctx, records)
	if err == nil {
		d.post(func(now time.Time) {
			for _, r := range batch {
				d.core.Appended(now, r.append)
				if r.answer != nil {
					r.answer(nil)
				}
			}
		})
		return nil
	}
	var again []appendRequest
	for _, r := range batch {
		if r.answer == nil {
			again = append(again, r)
			continue
		}
		r.answer(err)
	}
	d.journal.putBack(again)
	return err
}

// JobPace implements platform.JobLog.
func (d *Dispatcher) JobPace() platform.Pace {
	switch {
	case !d.logRead.Load():
		return platform.Pace{}
	case !d.storing.Load():
		return platform.Pace{Wait: idleLogWait}
	}
	return platform.Pace{Wait: busyLogWait, Pause: readPause}
}

// JobRecords implements platform.JobLog.
func (d *Dispatcher) JobRecords(records []platform.KeyedRecord, sent time.Time, whole bool) {
	entries := make([]ledger.Entry, 0, len(records))
	jobs := false
	for _, r := range records {
		e, err := entryOf(r)
		if err != nil {
			d.RecordMalformed(err)
			continue
		}
		if e == nil {
			continue
		}
		entries = append(entries, e)
		if _, ok := e.(ledger.TakenOver); !ok {
			jobs = true
		}
	}
	if jobs {
		d.storing.Store(true)
	}
	d.post(func(now time.Time) {
		d.core.Ledger.Apply(now, entries)
		if whole {
			d.core.LogRead(sent)
			d.logRead.Store(true)
		}
	})
}

// submitStored accepts a job once it is in the log.
func (d *Dispatcher) submitStored(ctx context.Context, job fleet.Job, route fleet.Route) platform.Result {
	result := make(chan platform.Result, 1)
	d.post(func(now time.Time) { d.accept(now, job, route, result) })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return platform.Result{Err: errkind.New(errkind.Cancelled, "the caller has gone")}
	}
}

func (d *Dispatcher) accept(now time.Time, job fleet.Job, route fleet.Route, result chan platform.Result) {
	refuse := func(err *errkind.Error, retryAfter time.Duration) {
		d.logger.Warn("job refused", "job", job.ID, "route", route.Name, "why", err.Detail, "retry_after", retryAfter)
		result <- platform.Result{Err: err, RetryAfter: retryAfter}
	}
	if d.core.Ledger.Contains(job.ID) {
		d.logger.Info("job accepted before", "job", job.ID, "route", route.Name)
		result <- platform.Result{Accepted: true}
		return
	}
	if err := d.ready.Load(); err != nil {
		refuse(err, time.Second)
		return
	}
	if err, retryAfter := d.core.Coordinator.AdmitStored(now, job, route); err != nil {
		refuse(err, retryAfter)
		return
	}
	d.storing.Store(true)
	d.metrics.jobs.WithLabelValues(route.Name).Inc()
	accepted := ledger.Accepted{Job: job, Route: route, Takeovers: d.core.Ledger.Takeovers(job.ID)}
	d.record(host.Append{Entries: []ledger.Entry{accepted}}, func(err error) {
		if err != nil {
			refuse(appendError(err), time.Second)
			return
		}
		d.logger.Info("job accepted", "job", job.ID, "route", route.Name, "steps", len(job.Steps), "log_as_of", now.Sub(d.core.Ledger.AsOf()))
		result <- platform.Result{Accepted: true}
	})
}

// appendError says whether a failed append may have been done.
func appendError(err error) *errkind.Error {
	if platform.HadNoEffect(err) {
		return errkind.Wrap(errkind.LogUnavailable, err, "the job log takes nothing")
	}
	return errkind.Wrap(errkind.LogUnknown, err, "the job log did not answer")
}

// cancelStored cancels a job once that is in the log.
func (d *Dispatcher) cancelStored(ctx context.Context, job string) (bool, *errkind.Error) {
	result := make(chan error, 1)
	over := errors.New("the job is over")
	d.post(func(now time.Time) {
		state, _ := d.core.Ledger.State(now, job)
		if state.Ended() && state != ledger.StateCancelled {
			result <- over
			return
		}
		d.record(host.Append{Entries: []ledger.Entry{ledger.Cancelled{Job: job}}}, func(err error) { result <- err })
	})
	select {
	case err := <-result:
		switch {
		case errors.Is(err, over):
			return false, nil
		case err != nil:
			return false, appendError(err)
		}
		d.logger.Info("job cancelled", "job", job)
		return true, nil
	case <-ctx.Done():
		return false, errkind.New(errkind.Cancelled, "the caller has gone")
	}
}

// stateWait is how long a question about a job waits for its end: the time
// that a record takes from the worker's list over the log to every host.
const stateWait = 60 * time.Millisecond

// storedState returns a job's state. That of an open one is given a moment
// later: its end may be known to another host already.
func (d *Dispatcher) storedState(ctx context.Context, job string) (ledger.State, *errkind.Error) {
	var state ledger.State
	known := false
	over := make(chan struct{})
	look := func(now time.Time) { state, known = d.core.Ledger.State(now, job) }
	d.ask(func(now time.Time) {
		look(now)
		if state != "" && !state.Ended() {
			d.watchers[job] = append(d.watchers[job], over)
		}
	})
	if state != "" && !state.Ended() {
		select {
		case <-over:
		case <-time.After(stateWait):
		case <-ctx.Done():
		}
		d.ask(func(now time.Time) {
			look(now)
			d.unwatch(job, over)
		})
	}
	if !known {
		return "", errkind.New(errkind.LogUnavailable, "the job log has not been read lately")
	}
	return state, nil
}

// unwatch forgets one who waited for a job's end.
func (d *Dispatcher) unwatch(job string, over chan struct{}) {
	rest := slices.DeleteFunc(d.watchers[job], func(o chan struct{}) bool { return o == over })
	if len(rest) > 0 {
		d.watchers[job] = rest
	} else {
		delete(d.watchers, job)
	}
}

// jobOver takes the end of a stored job.
func (d *Dispatcher) jobOver(o ledger.JobEnded) {
	if o.Driven {
		d.logger.Info("stored job ended", "job", o.Job, "route", o.Queue, "state", o.State, "ends", o.Runs)
	}
	for _, over := range d.watchers[o.Job] {
		close(over)
	}
	delete(d.watchers, o.Job)
}

// keepDriving keeps this host in the group that deals the stored jobs' shards.
func (d *Dispatcher) keepDriving(ctx context.Context) error {
	m := &membership{group: jobsGroup, dealt: func(now, sent time.Time, r platform.Membership) {
		d.core.Ledger.Assigned(now, sent, r.Partitions)
	}, left: func() { d.core.Ledger.MembershipEnded("planned stop") }}
	return d.keepIn(ctx, m, nil, func() bool { return d.logRead.Load() && !d.leaving.Load() })
}
