package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Submit takes a submission. An error is for this arrival alone. After nil, an
// Answer, Settled or Refused follows for the submission.
func (c *Core) Submit(now time.Time, spec callerapi.Job, digest string) *errkind.Error {
	k := Key{Customer: spec.Customer, Submission: spec.Submission}
	if known, err := c.join(now, k, digest); known || err != nil {
		return err
	}
	minter, minted := ids.Minter(spec.Submission)
	if minted && minter != c.cfg.Self {
		c.emit(OwnedElsewhere{Key: k, Owner: minter})
		return nil
	}
	if err := c.mayClaim(now); err != nil && !minted {
		return c.doubt(err, spec)
	}
	if c.stopping {
		return c.doubt(errkind.New(errkind.Stopping, "entry host %s is stopping", c.cfg.Self.Host()), spec)
	}
	p := &pending{job: spec, digest: digest, minted: minted, asked: now}
	if minted {
		lease := time.Duration(spec.DeadlineMs)*time.Millisecond + c.cfg.CloseMargin
		c.own(now, k, p, now.Add(lease), "minted-id", "the id of the submission names this process")
		return nil
	}
	c.pending[k] = p
	c.claims = append(c.claims, claimed{k, p})
	c.claim(now, k, p)
	return nil
}

// join takes a second arrival to the first, if this host knows of one.
func (c *Core) join(now time.Time, k Key, digest string) (known bool, err *errkind.Error) {
	mismatch := errkind.New(errkind.RequestMismatch, "submission %s was sent before with other content", k)
	if j, ok := c.owned[k]; ok {
		if j.digest != digest {
			return true, mismatch
		}
		c.give(now, j)
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
		return true, unresolved(k)
	}
	c.tell(k, e)
	return true, nil
}

// unresolved is the answer for a claim of this host that may not be the first.
func unresolved(k Key) *errkind.Error {
	return errkind.New(errkind.DuplicateUnresolved, "an older claim of submission %s may have been trimmed from the log unread", k)
}

// tell gives what the log says about a submission that this host does not run.
func (c *Core) tell(k Key, e Entry) {
	switch {
	case e.Close != nil && (e.Close.State == callerapi.JobFailed || e.Owner == c.cfg.Self):
		c.emit(Answer{Key: k, Answer: e.Close.answer()})
	case e.Owner != c.cfg.Self:
		c.emit(OwnedElsewhere{Key: k, Owner: e.Owner, Address: e.Address})
	}
}

// mayClaim reports whether this host knows the job stream far enough back to
// tell a new submission from an old one.
func (c *Core) mayClaim(now time.Time) *errkind.Error {
	reach, complete := c.table.KnownSpan(now)
	if complete || reach >= c.cfg.Horizon {
		return nil
	}
	return errkind.New(errkind.NotReady, "the job stream is known for %v, jobs are taken from %v on",
		reach.Round(time.Second), c.cfg.Horizon)
}

// doubt turns a refusal into one that leaves the run state open, unless the
// caller says that it sends the job for the first time: another entry host may
// own a submission that this one has not seen.
func (c *Core) doubt(err *errkind.Error, spec callerapi.Job) *errkind.Error {
	if spec.Attempt == 1 {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

func (c *Core) claim(now time.Time, k Key, p *pending) {
	lease := time.Duration(p.job.DeadlineMs)*time.Millisecond + 2*c.cfg.CloseMargin
	c.append(now, Record{
		Kind: KindClaim, Key: k, Address: c.cfg.Address, Digest: p.digest, LeaseMs: lease.Milliseconds(),
	})
}

// AppendRefused is told when the log had no part in an append of the record.
func (c *Core) AppendRejected(now time.Time, r Record) {
	if j, ok := c.owned[r.Key]; ok && r.Kind == KindClose && j.closed {
		c.replyUnrecorded(now, j)
		return
	}
	p, ok := c.pending[r.Key]
	if r.Kind != KindClaim || !ok {
		return
	}
	err := c.doubt(errkind.New(errkind.LogUnavailable, "the log service is away, the job was not claimed"), p.job)
	c.giveUp(r.Key, err)
}

// giveUp stops waiting for a claim. If it turns up later, it is closed.
func (c *Core) giveUp(k Key, err *errkind.Error) {
	delete(c.pending, k)
	c.note(decision.PartJob, "refuse", string(err.Kind), k, nil, "%s", err.Detail)
	c.emit(Refused{Key: k, Err: err})
}

// Opened is told that the job stream is read from its oldest record, at the
// start and after a gap.
func (c *Core) StreamOpened(now time.Time, first, last int64) { c.table.Open(now, first, last) }

// Fold takes the next record of the job stream.
func (c *Core) ApplyRecord(now time.Time, offset int64, r Record) {
	changed := c.table.Apply(now, offset, r)
	e, ok := c.table.Lookup(r.Key)
	if !ok {
		return
	}
	switch r.Kind {
	case KindClaim:
		c.claimSeen(now, r.Key, e, changed)
	case KindClose:
		if changed {
			c.closeSeen(now, r.Key, e)
		}
		if e.HasGap && r.Owner == c.cfg.Self {
			c.closeUnsettled(r.Key)
		}
	}
}

// claimSeen settles a submission when its first claim is known.
func (c *Core) claimSeen(now time.Time, k Key, e Entry, first bool) {
	p, waiting := c.pending[k]
	switch {
	case waiting && e.Owner != c.cfg.Self:
		delete(c.pending, k)
		if p.digest != e.Digest {
			c.emit(Refused{Key: k, Err: errkind.New(errkind.RequestMismatch, "submission %s was sent before with other content", k)})
			return
		}
		c.note(decision.PartJob, "join", "first-claim", k, []string{e.Owner.Host()}, "the claim of %s is first in the log", e.Owner)
		c.tell(k, e)
	case waiting && first:
		delete(c.pending, k)
		c.won(now, k, p, e)
	case waiting:
		// The host's own older claim, given up and closed.
		delete(c.pending, k)
		c.tell(k, e)
	case first && e.Owner == c.cfg.Self && c.owned[k] == nil && !e.Uncertain:
		c.abandon(now, k, "the entry host gave the job up before its claim appeared in the log")
	}
}

// won takes a job whose claim is first, unless it is no longer wanted.
func (c *Core) won(now time.Time, k Key, p *pending, e Entry) {
	// The lease counts from the claim that the log has, which may be an older
	// one of this host than the last it made.
	claimed := c.born.Add(time.Duration(e.OwnerAgeMs) * time.Millisecond)
	leaseEnd := claimed.Add(e.LeaseDuration - c.cfg.CloseMargin)
	switch {
	case e.Uncertain:
		c.emit(Refused{Key: k, Err: unresolved(k)})
	case p.digest != e.Digest:
		c.abandon(now, k, "the claim was made for other content")
		c.emit(Refused{Key: k, Err: errkind.New(errkind.RequestMismatch, "submission %s was sent before with other content", k)})
	case p.cancelled != nil:
		c.own(now, k, p, leaseEnd, "first-claim", "this host's claim is first in the log")
		c.end(now, c.owned[k], p.cancelled)
	default:
		c.own(now, k, p, leaseEnd, "first-claim", "this host's claim is first in the log")
	}
}

// abandoned is a claim of this host that is to be closed and not run.
type abandoned struct {
	key     Key
	reason  string
	retryAt time.Time
}

// abandon closes a claim of this host under which no task was started or will
// be.
func (c *Core) abandon(now time.Time, k Key, reason string) {
	c.note(decision.PartJob, "abandon", "claim-given-up", k, nil, "%s", reason)
	c.abandoned = append(c.abandoned, &abandoned{key: k, reason: reason})
	c.tickAbandoned(now)
}

// tickAbandoned writes the closes of abandoned claims until the log has them.
func (c *Core) tickAbandoned(now time.Time) {
	c.abandoned = slices.DeleteFunc(c.abandoned, func(a *abandoned) bool {
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

// closeUnsettled takes the close of an owned job while it is not known whether
// it is the first. If it was not answered under the lease, nobody can tell.
func (c *Core) closeUnsettled(k Key) {
	j, ok := c.owned[k]
	if !ok || !j.closed {
		return
	}
	j.confirmed = true
	if j.answered {
		return
	}
	c.emit(Refused{Key: k, Err: errkind.New(errkind.LogUnknown, "the job's lease ended and its close was trimmed unread")})
	c.closed = slices.DeleteFunc(c.closed, func(o *job) bool { return o == j })
	c.open = slices.DeleteFunc(c.open, func(o *job) bool { return o == j })
	c.drop(j)
	c.table.drop(k)
}

// closeSeen takes the first close of a submission.
func (c *Core) closeSeen(now time.Time, k Key, e Entry) {
	j, ok := c.owned[k]
	if !ok {
		c.tell(k, e)
		return
	}
	j.confirmed = true
	if e.Close.Owner != c.cfg.Self && !j.answered {
		c.note(decision.PartJob, "close", "closed-by-other", k, []string{e.Close.Owner.Host()}, "%s", e.Close.Reason)
		c.shut(now, j, e.Close.answer())
	}
	if e.Close.Owner == c.cfg.Self || !j.answered {
		c.settle(now, j)
	}
}
