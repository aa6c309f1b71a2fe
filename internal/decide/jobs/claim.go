package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Submit claims a new submission or joins the one that this host knows. An
// error concerns this call only. After nil, an Answer, OwnedElsewhere or
// Refused follows for the submission.
func (c *Core) Submit(now time.Time, spec callerapi.Job, digest string) *errkind.Error {
	k := Key{Customer: spec.Customer, Submission: spec.Submission}
	if known, err := c.joinExisting(now, k, digest); known || err != nil {
		return err
	}
	minter, minted := ids.Minter(spec.Submission)
	if minted && minter != c.cfg.Self {
		c.emit(OwnedElsewhere{Key: k, Owner: minter})
		return nil
	}
	if err := c.checkStreamKnown(now); err != nil && !minted {
		return c.refusal(err, spec)
	}
	if c.rejectNew {
		return c.refusal(errkind.New(errkind.Stopping, "entry host %s is stopping", c.cfg.Self.Host()), spec)
	}
	if len(c.evacuatedZones) > 0 {
		err := errkind.New(errkind.Overloaded, "all workers are in evacuated zones: %s", strings.Join(c.evacuatedZones, ", "))
		c.logDecision(decision.PartJob, "refuse", "evacuation", k, c.evacuatedZones, "%s", err.Detail)
		return c.refusal(err, spec)
	}
	p := &pendingClaim{job: spec, digest: digest, minted: minted, requestedAt: now}
	if minted {
		lease := time.Duration(spec.DeadlineMs)*time.Millisecond + c.cfg.CloseMargin
		c.takeOwnership(now, k, p, now.Add(lease), "minted-id", "the id of the submission names this process")
		return nil
	}
	c.pending[k] = p
	c.claimQueue = append(c.claimQueue, queuedClaim{k, p})
	c.appendClaim(now, k, p)
	return nil
}

// joinExisting handles a submission that this host already knows. It returns
// false if the submission is new, and an error if it was sent before with
// different content.
func (c *Core) joinExisting(now time.Time, k Key, digest string) (known bool, err *errkind.Error) {
	mismatch := errkind.New(errkind.RequestMismatch, "submission %s was sent before with different content", k)
	if j, ok := c.owned[k]; ok {
		if j.digest != digest {
			return true, mismatch
		}
		c.sendAnswer(now, j)
		return true, nil
	}
	if p, ok := c.pending[k]; ok {
		if p.digest != digest {
			return true, mismatch
		}
		return true, nil
	}
	e, ok := c.table.Lookup(k)
	switch {
	case !ok:
		return false, nil
	case e.Digest != digest:
		return true, mismatch
	case e.Owner == c.cfg.Self && e.Uncertain:
		return true, errEarlierClaimUnknown(k)
	}
	c.sendLogged(k, e)
	return true, nil
}

// errEarlierClaimUnknown returns the refusal for a claim of this host that may
// not be the first.
func errEarlierClaimUnknown(k Key) *errkind.Error {
	return errkind.New(errkind.DuplicateUnresolved, "an earlier claim of submission %s may have been trimmed from the log unread", k)
}

// sendLogged emits the logged state of a submission that this host does not
// run.
func (c *Core) sendLogged(k Key, e Entry) {
	switch {
	case e.Close != nil && (e.Close.State == callerapi.JobFailed || e.Owner == c.cfg.Self):
		c.emit(Answer{Key: k, Answer: e.Close.answer()})
	case e.Owner != c.cfg.Self:
		c.emit(OwnedElsewhere{Key: k, Owner: e.Owner, Address: e.Address})
	}
}

// checkStreamKnown returns an error unless this host knows the job stream far
// enough back to tell a new submission from an earlier one.
func (c *Core) checkStreamKnown(now time.Time) *errkind.Error {
	span, complete := c.table.KnownSpan(now)
	if complete || span >= c.cfg.Horizon {
		return nil
	}
	return errkind.New(errkind.NotReady, "the job stream is known for the last %v; jobs are accepted once it is known for %v",
		span.Round(time.Second), c.cfg.Horizon)
}

// refusal returns err with the run state unknown, unless the caller states that
// this is the first attempt: another entry host may own a submission that this
// host has not seen.
func (c *Core) refusal(err *errkind.Error, spec callerapi.Job) *errkind.Error {
	if spec.Attempt == 1 {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

func (c *Core) appendClaim(now time.Time, k Key, p *pendingClaim) {
	lease := time.Duration(p.job.DeadlineMs)*time.Millisecond + 2*c.cfg.CloseMargin
	c.append(now, Record{
		Kind: KindClaim, Key: k, Address: c.cfg.Address, Digest: p.digest, LeaseMs: lease.Milliseconds(),
	})
}

// AppendRejected handles a record that the log certainly did not accept.
func (c *Core) AppendRejected(now time.Time, r Record) {
	if j, ok := c.owned[r.Key]; ok && r.Kind == KindClose && j.closed {
		c.answerBeforeLogged(now, j)
		return
	}
	p, ok := c.pending[r.Key]
	if r.Kind != KindClaim || !ok {
		return
	}
	err := c.refusal(errkind.New(errkind.LogUnavailable, "the log service is unavailable; the job was not claimed"), p.job)
	c.rejectPending(r.Key, err)
}

// rejectPending refuses a submission whose claim is pending. If the claim
// appears in the log later, it is closed.
func (c *Core) rejectPending(k Key, err *errkind.Error) {
	delete(c.pending, k)
	c.logDecision(decision.PartJob, "refuse", string(err.Kind), k, nil, "%s", err.Detail)
	c.emit(Refused{Key: k, Err: err})
}

// StreamOpened starts reading the job stream at its oldest record, initially
// and after a gap.
func (c *Core) StreamOpened(now time.Time, first, last int64) { c.table.Open(now, first, last) }

// ApplyRecord applies the next record of the job stream.
func (c *Core) ApplyRecord(now time.Time, offset int64, r Record) {
	changed := c.table.Apply(now, offset, r)
	e, ok := c.table.Lookup(r.Key)
	if !ok {
		return
	}
	switch r.Kind {
	case KindClaim:
		c.handleClaim(now, r.Key, e, changed)
	case KindClose:
		if changed {
			c.handleFirstClose(now, r.Key, e)
		}
		if e.HasGap && r.Owner == c.cfg.Self {
			c.handleAmbiguousClose(r.Key)
		}
	}
}

// handleClaim decides a pending submission once its first claim is in the log.
func (c *Core) handleClaim(now time.Time, k Key, e Entry, first bool) {
	p, waiting := c.pending[k]
	switch {
	case waiting && e.Owner != c.cfg.Self:
		delete(c.pending, k)
		if p.digest != e.Digest {
			c.emit(Refused{Key: k, Err: errkind.New(errkind.RequestMismatch, "submission %s was sent before with different content", k)})
			return
		}
		c.logDecision(decision.PartJob, "join", "first-claim", k, []string{e.Owner.Host()}, "the claim of %s is first in the log", e.Owner)
		c.sendLogged(k, e)
	case waiting && first:
		delete(c.pending, k)
		c.claimWon(now, k, p, e)
	case waiting:
		// The claim is an older one of this host, which was abandoned and
		// closed.
		delete(c.pending, k)
		c.sendLogged(k, e)
	case first && e.Owner == c.cfg.Self && c.owned[k] == nil && !e.Uncertain:
		c.abandonClaim(now, k, "the entry host abandoned the job before its claim appeared in the log")
	}
}

// claimWon takes ownership of a job whose claim is first, unless the job is
// refused.
func (c *Core) claimWon(now time.Time, k Key, p *pendingClaim, e Entry) {
	// The lease starts at the claim in the log, which may be older than this
	// host's latest claim.
	claimedAt := c.startTime.Add(time.Duration(e.OwnerAgeMs) * time.Millisecond)
	leaseEnd := claimedAt.Add(e.LeaseDuration - c.cfg.CloseMargin)
	switch {
	case e.Uncertain:
		c.emit(Refused{Key: k, Err: errEarlierClaimUnknown(k)})
	case p.digest != e.Digest:
		c.abandonClaim(now, k, "the claim was made for different content")
		c.emit(Refused{Key: k, Err: errkind.New(errkind.RequestMismatch, "submission %s was sent before with different content", k)})
	case p.cancelErr != nil:
		c.takeOwnership(now, k, p, leaseEnd, "first-claim", "this host's claim is first in the log")
		c.beginStop(now, c.owned[k], p.cancelErr)
	default:
		c.takeOwnership(now, k, p, leaseEnd, "first-claim", "this host's claim is first in the log")
	}
}

// abandonedClaim is a claim of this host that is to be closed without running
// the job.
type abandonedClaim struct {
	key     Key
	reason  string
	retryAt time.Time
}

// abandonClaim closes a claim of this host under which no task was or will be
// started.
func (c *Core) abandonClaim(now time.Time, k Key, reason string) {
	c.logDecision(decision.PartJob, "abandon", "claim-given-up", k, nil, "%s", reason)
	c.abandoned = append(c.abandoned, &abandonedClaim{key: k, reason: reason})
	c.closeAbandoned(now)
}

// closeAbandoned appends the closes of abandoned claims until they are in the
// log.
func (c *Core) closeAbandoned(now time.Time) {
	c.abandoned = slices.DeleteFunc(c.abandoned, func(a *abandonedClaim) bool {
		e, ok := c.table.Lookup(a.key)
		if !ok || e.Close != nil || e.HasGap {
			return true
		}
		if now.Before(a.retryAt) {
			return false
		}
		a.retryAt = now.Add(c.cfg.RetryInterval)
		c.append(now, Record{
			Kind: KindClose, Key: a.key, ClaimOwner: c.cfg.Self, State: callerapi.JobFailed,
			ErrorKind: string(errkind.LogUnknown), Run: string(errkind.NotRun), Reason: a.reason,
		})
		return false
	})
}

// handleAmbiguousClose handles this host's close of an owned job when it is
// unknown whether the close is the first. If the job was not answered under the
// lease, its outcome cannot be known.
func (c *Core) handleAmbiguousClose(k Key) {
	j, ok := c.owned[k]
	if !ok || !j.closed {
		return
	}
	j.closeFinal = true
	if j.answered {
		return
	}
	c.emit(Refused{Key: k, Err: errkind.New(errkind.LogUnknown, "the job's lease ended and its close was trimmed from the log unread")})
	c.closed = slices.DeleteFunc(c.closed, func(o *job) bool { return o == j })
	c.unresolved = slices.DeleteFunc(c.unresolved, func(o *job) bool { return o == j })
	c.removeJob(j)
	c.table.remove(k)
}

// handleFirstClose handles the first close of a submission.
func (c *Core) handleFirstClose(now time.Time, k Key, e Entry) {
	j, ok := c.owned[k]
	if !ok {
		c.sendLogged(k, e)
		return
	}
	j.closeFinal = true
	if e.Close.Owner != c.cfg.Self && !j.answered {
		c.logDecision(decision.PartJob, "close", "closed-by-other", k, []string{e.Close.Owner.Host()}, "%s", e.Close.Reason)
		c.markClosed(now, j, e.Close.answer())
	}
	if e.Close.Owner == c.cfg.Self || !j.answered {
		c.markLogged(now, j)
	}
}
