package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/appendgate"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/hostlimits"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// jobsGroup is the group whose partitions are the shards of the stored jobs.
	jobsGroup = "jobs"
	// appendTimeout bounds an append. The store usually answers within a few
	// milliseconds.
	appendTimeout = 500 * time.Millisecond
	// appendRetry is the delay after a failed append.
	appendRetry = 100 * time.Millisecond
	// appendInterval is the shortest delay between a host's appends. With many
	// hosts the delay is appendIntervalPerHost for each other host, so that all
	// hosts together stay well below the append rate of one partition.
	appendInterval        = 8 * time.Millisecond
	appendIntervalPerHost = 2 * time.Millisecond
	// maxAppendBytes bounds one append. The store accepts up to 2 MB.
	maxAppendBytes = 1 << 20
	// idleLogWait is how long a read of the job log waits for records while no
	// stored job is known, busyLogWait while some are. It is shorter because tasks
	// that may have to run again wait for the end of a read.
	idleLogWait = 2 * time.Second
	busyLogWait = 300 * time.Millisecond
	// readInterval is the delay between a host's reads of the job log. Hosts with
	// a stream between them send each other their appends; the appends of other
	// hosts arrive with the next read.
	readInterval = 100 * time.Millisecond
	// takeoverLogWait and takeoverReadInterval apply while a takeover of a shard waits
	// for the end of a read: the shard's tasks have no driver until then.
	takeoverLogWait      = 20 * time.Millisecond
	takeoverReadInterval = 20 * time.Millisecond
)

// ledgerConfig returns the configuration of the ledger of stored jobs.
func ledgerConfig(s platform.Settings) ledger.Config {
	ttl := timeToLive(s)
	return ledger.Config{
		Shards: s.Partitions, MemberTTL: ttl, Retention: s.JobRetention,
		// A setting may raise the limit of this host's own callers.
		MaxSteps: hostlimits.MaxJobSteps, MaxTasks: max(hostlimits.MaxJobTasks, s.Limits.JobTasks),
		// A partitioned driver continues for its time to live, an owner to which
		// it offers tasks continues until the stream times out, and a run continues
		// until its lease expires. The owner holds runs of a silent driver for no longer
		// than that (workerpool.Config.SilentHostHold).
		TakeoverDelay: ttl + peerTimeout + fleet.WithMaxClockDrift(s.MaxLease) + takeoverMargin,
	}
}

// takeoverMargin covers the ticks between the phases of the takeover delay.
const takeoverMargin = 100 * time.Millisecond

// appendRequest is a queued append.
type appendRequest struct {
	append  host.Append
	records []platform.KeyedRecord
	// done, if set, is called with the outcome, and the append is tried only
	// once. Without it a failed append is retried.
	done func(error)
}

// errNotSent is the outcome of an append that was not sent, because the log has not
// answered for some time.
var errNotSent = errors.New("the job log does not answer; the append was not sent")

// appendQueue holds the appends to the job log that wait to be sent.
type appendQueue struct {
	mu      sync.Mutex
	waiting []appendRequest
	gate    appendgate.Gate
	wake    chan struct{}
}

func newAppendQueue() *appendQueue { return &appendQueue{wake: make(chan struct{}, 1)} }

// add queues a request. A request that is tried only once is answered with
// errNotSent instead while the log is away.
func (q *appendQueue) add(r appendRequest) {
	q.mu.Lock()
	if r.done != nil && !q.gate.MayWait(len(q.waiting)) {
		q.mu.Unlock()
		r.done(errNotSent)
		return
	}
	q.waiting = append(q.waiting, r)
	q.mu.Unlock()
	wake(q.wake)
}

// nextBatch removes and returns the oldest requests that fit into one append,
// at least one if there are any.
func (q *appendQueue) nextBatch() []appendRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, n := 0, 0
	for n < len(q.waiting) {
		for _, r := range q.waiting[n].records {
			size += len(r.Key) + len(r.Value)
		}
		if n > 0 && size > maxAppendBytes {
			break
		}
		n++
	}
	if n > 0 {
		q.gate.Sent()
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	return batch
}

// succeeded records that the last batch was appended.
func (q *appendQueue) succeeded() {
	q.mu.Lock()
	q.gate.Succeeded()
	q.mu.Unlock()
}

// failed records that the last batch was not appended, or that no answer tells. It
// puts the requests to retry back at the head of the queue, and returns the waiting
// requests that are tried only once if the log is away.
func (q *appendQueue) failed(retry []appendRequest) []appendRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	away := q.gate.Failed()
	q.waiting = append(retry, q.waiting...)
	if !away {
		return nil
	}
	var notSent []appendRequest
	q.waiting = slices.DeleteFunc(q.waiting, func(r appendRequest) bool {
		if r.done != nil {
			notSent = append(notSent, r)
		}
		return r.done != nil
	})
	return notSent
}

// queueAppend queues an append. If done is set, it is called with the outcome
// and a failed append is not retried.
func (d *Dispatcher) queueAppend(a host.Append, done func(error)) {
	r := appendRequest{append: a, done: done}
	for _, e := range a.Entries {
		records, err := encodeEntry(e)
		if err != nil {
			d.logger.Error("failed to encode job log record", "error", err)
			if done != nil {
				done(err)
			}
			return
		}
		r.records = append(r.records, records...)
	}
	d.appends.add(r)
}

// runAppends sends the queued appends until ctx is done.
func (d *Dispatcher) runAppends(ctx context.Context) error {
	failed := false
	for {
		batch := d.appends.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-d.appends.wake:
			}
			continue
		}
		err := d.appendBatch(ctx, batch)
		if (err != nil) != failed {
			failed = err != nil
			d.logger.Info("job log", "failing", failed, "records", len(batch), "error", err)
		}
		pause := max(appendInterval, time.Duration(d.peers.count())*appendIntervalPerHost)
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
		d.appends.succeeded()
		d.post(func(now time.Time) {
			for _, r := range batch {
				d.core.Appended(now, r.append)
				if r.done != nil {
					r.done(nil)
				}
			}
		})
		return nil
	}
	var retry []appendRequest
	for _, r := range batch {
		if r.done == nil {
			retry = append(retry, r)
			continue
		}
		r.done(err)
	}
	for _, r := range d.appends.failed(retry) {
		r.done(errNotSent)
	}
	return err
}

// JobPace implements platform.JobLogHandler.
func (d *Dispatcher) JobPace() platform.Pace {
	switch {
	case !d.logRead.Load():
		return platform.Pace{}
	case !d.hasStoredJobs.Load():
		return platform.Pace{Wait: idleLogWait}
	case d.takingOver.Load():
		return platform.Pace{Wait: takeoverLogWait, Pause: takeoverReadInterval}
	}
	return platform.Pace{Wait: busyLogWait, Pause: readInterval}
}

// JobRecords implements platform.JobLogHandler.
func (d *Dispatcher) JobRecords(records []platform.KeyedRecord, sent time.Time, atEnd bool) {
	entries := make([]ledger.Entry, 0, len(records))
	jobs := false
	for _, r := range records {
		e, err := decodeRecord(r)
		if err != nil {
			d.RecordMalformed(err)
			continue
		}
		if e == nil {
			continue
		}
		entries = append(entries, e)
		switch e.(type) {
		case ledger.TakenOver, ledger.HandedOver, ledger.Cancelled, ledger.Forgotten:
			// These are written without stored jobs, too.
		default:
			jobs = true
		}
	}
	if jobs {
		d.hasStoredJobs.Store(true)
	}
	d.post(func(now time.Time) {
		d.core.Ledger.Apply(now, entries)
		if atEnd {
			d.core.LogRead(sent)
			if !d.logRead.Swap(true) {
				d.startupReadEnded()
			}
		}
	})
}

// submitStored submits a stored job. The job is accepted once it is in the log.
func (d *Dispatcher) submitStored(ctx context.Context, job fleet.Job, route fleet.Route) platform.Result {
	result := make(chan platform.Result, 1)
	d.post(func(now time.Time) { d.accept(now, job, route, result) })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return platform.Result{Err: errkind.New(errkind.Cancelled, "%s", endOf(ctx))}
	}
}

func (d *Dispatcher) accept(now time.Time, job fleet.Job, route fleet.Route, result chan platform.Result) {
	refuse := func(err *errkind.Error, retryAfter time.Duration) {
		d.logger.Warn("job refused", "job", job.ID, "route", route.Name, "why", err.Detail, "retry_after", retryAfter)
		result <- platform.Result{Err: err, RetryAfter: retryAfter}
	}
	if d.core.Ledger.Contains(job.ID) {
		d.logger.Info("job was already accepted", "job", job.ID, "route", route.Name)
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
	d.hasStoredJobs.Store(true)
	d.metrics.jobs.WithLabelValues(route.Name).Inc()
	accepted := ledger.Accepted{Job: job, Route: route, Takeovers: d.core.Ledger.Takeovers(job.ID)}
	d.queueAppend(host.Append{Entries: []ledger.Entry{accepted}}, func(err error) {
		if err != nil {
			refuse(appendError(err), time.Second)
			return
		}
		d.logger.Info("job accepted", "job", job.ID, "route", route.Name, "steps", len(job.Steps), "log_as_of", now.Sub(d.core.Ledger.AsOf()))
		result <- platform.Result{Accepted: true}
	})
}

// appendError returns the error of a failed append: LogUnavailable if it was
// certainly not applied, LogUnknown if it may have been.
func appendError(err error) *errkind.Error {
	if errors.Is(err, errNotSent) || platform.HadNoEffect(err) {
		return errkind.Wrap(errkind.LogUnavailable, err, "the append to the job log was not applied")
	}
	return errkind.Wrap(errkind.LogUnknown, err, "no answer to the append to the job log")
}

// cancelStored cancels a stored job. It returns true once the cancellation is in
// the log, and false if the job has already ended.
func (d *Dispatcher) cancelStored(ctx context.Context, job string) (bool, *errkind.Error) {
	result := make(chan error, 1)
	errEnded := errors.New("the job has ended")
	d.post(func(now time.Time) {
		state, _ := d.core.Ledger.State(now, job)
		if state.Ended() && state != ledger.StateCancelled {
			result <- errEnded
			return
		}
		d.queueAppend(host.Append{Entries: []ledger.Entry{ledger.Cancelled{Job: job}}}, func(err error) { result <- err })
	})
	select {
	case err := <-result:
		switch {
		case errors.Is(err, errEnded):
			return false, nil
		case err != nil:
			return false, appendError(err)
		}
		d.logger.Info("job cancelled", "job", job)
		return true, nil
	case <-ctx.Done():
		return false, errkind.New(errkind.Cancelled, "%s", endOf(ctx))
	}
}

// stateWait is how long a query waits for the end of an open job, or for the acceptance of
// one that this host does not know: the time that a record takes from the worker's poll
// response, or from another host's caller, through the log to every host.
const stateWait = 60 * time.Millisecond

// storedState returns a job's state, and the reason if it was set aside. For a job that has
// not ended, or that this host does not know, it waits up to stateWait, because another host
// may already know of its end or of its acceptance.
func (d *Dispatcher) storedState(ctx context.Context, job string) (ledger.State, string, *errkind.Error) {
	var state ledger.State
	var reason string
	known := false
	changed := make(chan struct{})
	readState := func(now time.Time) {
		state, known = d.core.Ledger.State(now, job)
		reason = d.core.Ledger.Reason(job)
	}
	d.postAndWait(func(now time.Time) {
		readState(now)
		if !state.Ended() {
			d.watchers[job] = append(d.watchers[job], changed)
		}
	})
	if !state.Ended() {
		select {
		case <-changed:
		case <-time.After(stateWait):
		case <-ctx.Done():
		}
		d.postAndWait(func(now time.Time) {
			readState(now)
			d.unwatch(job, changed)
		})
	}
	if !known {
		return "", "", errkind.New(errkind.LogUnavailable, "the job log has not been read recently")
	}
	return state, reason, nil
}

// unwatch removes a watcher of a job.
func (d *Dispatcher) unwatch(job string, changed chan struct{}) {
	rest := slices.DeleteFunc(d.watchers[job], func(o chan struct{}) bool { return o == changed })
	if len(rest) > 0 {
		d.watchers[job] = rest
	} else {
		delete(d.watchers, job)
	}
}

// jobEnded logs the end of a stored job and wakes the queries that wait for it.
func (d *Dispatcher) jobEnded(o ledger.JobEnded) {
	if o.Driven {
		d.logger.Info("stored job ended", "job", o.Job, "route", o.Queue, "state", o.State, "ends", o.Runs)
	}
	d.notifyWatchers(o.Job)
}

// notifyWatchers wakes the queries that wait for a change of a stored job.
func (d *Dispatcher) notifyWatchers(job string) {
	for _, changed := range d.watchers[job] {
		close(changed)
	}
	delete(d.watchers, job)
}

// jobSetAside logs and counts a stored job that no host can run.
func (d *Dispatcher) jobSetAside(a ledger.JobSetAside) {
	d.metrics.jobsSetAside.WithLabelValues(string(a.Cause)).Inc()
	d.logger.Error("stored job set aside", "job", a.Job, "route", a.Queue, "cause", a.Cause, "why", a.Why)
}

// runShardMembership keeps this host in the group that assigns the shards of the
// stored jobs, once the job log has been read and until it hands them over.
func (d *Dispatcher) runShardMembership(ctx context.Context) error {
	m := &membership{group: jobsGroup, member: d.self.Name, onAssigned: func(now, sent time.Time, r platform.Membership) {
		d.core.Ledger.Assigned(now, sent, r.Generation, r.Partitions)
	}, onLeave: d.core.Ledger.Leave, givenUp: &d.givesUpShards}
	return d.maintainMembership(ctx, m, d.shardWakeup, func() bool { return d.logRead.Load() && !d.givesUpShards.Load() })
}
