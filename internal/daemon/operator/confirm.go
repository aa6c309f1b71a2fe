package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// confirmTimeout bounds the handling of one confirmation.
	confirmTimeout = 5 * time.Second
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// reappendDelay is how long a record whose append has an unknown outcome may
	// take to appear in the log before it is appended again. Duplicate records
	// take effect once.
	reappendDelay = time.Second
	// maxUnresolved bounds the plans that are remembered as unresolved.
	maxUnresolved = 256
)

// Result is the outcome of a plan.
type Result string

// The results of a plan.
const (
	ResultAccepted Result = "accepted"
	ResultRejected Result = "rejected"
	ResultUnknown  Result = "unknown"
)

// PlanResult is the answer to a confirmation of a plan, and to a lookup of a
// plan's outcome.
type PlanResult struct {
	Plan   string `json:"plan"`
	Result Result `json:"result"`
	// Reason explains why a plan was rejected, or why its outcome is unknown.
	Reason string `json:"reason,omitempty"`
	// Conflict is the change that made a rejected plan stale.
	Conflict *standing.Conflict `json:"moved,omitempty"`
	// Offset is the offset of the plan's record, if known.
	Offset int64 `json:"offset,omitempty"`
	// Version is the version in force on this host when it answered.
	Version int64 `json:"version"`
}

func (s *Service) serveConfirm(w http.ResponseWriter, r *http.Request) {
	var plan config.Plan
	if err := httpjson.ReadStrict(w, r, MaxDocumentBytes, &plan); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	result, err := s.confirm(r.Context(), plan)
	if err != nil {
		s.recordPlan("refuse", string(err.Kind), plan.Intent.Operator+" confirmed: "+err.Detail, plan)
		errkind.Write(w, plan.ID, err, 0)
		return
	}
	s.recordPlan("confirm", string(result.Result), plan.Intent.Operator+" confirmed", plan)
	httpjson.Write(w, http.StatusOK, result)
}

// confirm appends the plan to the log and waits for its outcome. It is
// idempotent: a plan that is confirmed again gets the answer of the first
// confirmation.
func (s *Service) confirm(ctx context.Context, plan config.Plan) (PlanResult, *errkind.Error) {
	if err := plan.Verify(); err != nil {
		return PlanResult{}, err
	}
	state := s.follower.State()
	if state == nil {
		return PlanResult{}, errkind.New(errkind.NotReady, "no configuration yet")
	}
	if c, err, resolved := s.resolveFromState(state, plan); resolved {
		return c, err
	}
	if reason := s.follower.Blocked(); reason != "" {
		return PlanResult{}, errkind.New(errkind.LogUnavailable, "%s", reason)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.appendPlan(ctx, plan); err != nil {
		return PlanResult{}, err
	}
	outcome, err := s.follower.Outcome(ctx, plan.ID)
	if err != nil {
		s.unresolved.add(plan.ID)
		return PlanResult{}, errkind.Wrap(errkind.LogUnknown, err, "look up %s/%s, or confirm the same plan again", PathPlans, plan.ID)
	}
	return s.planResult(outcome)
}

// resolveFromState answers without an append if the outcome follows from the
// state. It returns false if it does not.
func (s *Service) resolveFromState(state *standing.State, plan config.Plan) (PlanResult, *errkind.Error, bool) {
	if outcome, ok := state.Outcome(plan.ID); ok {
		c, err := s.planResult(outcome)
		return c, err, true
	}
	conflict := config.FindConflict(state, plan)
	if conflict == nil {
		return PlanResult{}, nil, false
	}
	if conflict.Intent == plan.Intent.ID {
		// The plan itself made the conflicting change, so long ago that its
		// outcome is no longer remembered.
		c, err := s.planResult(config.Outcome{ID: plan.ID, Offset: conflict.Version, Accepted: true})
		return c, err, true
	}
	c, err := s.planResult(config.Outcome{ID: plan.ID, Reason: describeConflict(conflict, plan.Base), Conflict: conflict})
	return c, err, true
}

func describeConflict(c *standing.Conflict, base int64) string {
	return fmt.Sprintf("%s moved at version %d by %s with %s, the plan rests on version %d", c.Key, c.Version, c.Operator, c.Intent, base)
}

// planResult converts an outcome to the answer of a confirmation: a result if
// the plan was accepted, an error if it was not.
func (s *Service) planResult(o config.Outcome) (PlanResult, *errkind.Error) {
	s.unresolved.remove(o.ID)
	switch {
	case o.Accepted:
		return PlanResult{Plan: o.ID, Result: ResultAccepted, Offset: o.Offset, Version: s.follower.State().Version}, nil
	case o.Conflict != nil:
		return PlanResult{}, errkind.New(errkind.PlanStale, "%s", o.Reason)
	default:
		return PlanResult{}, errkind.New(errkind.PlanRejected, "%s", o.Reason)
	}
}

// appendPlan appends the plan to the log, and again if the outcome of an append
// is unknown and the record does not appear. It returns nil when ctx ends.
func (s *Service) appendPlan(ctx context.Context, plan config.Plan) *errkind.Error {
	data, err := config.Record{Kind: config.KindChange, ID: plan.ID, Plan: &plan}.Encode()
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode plan").WithRun(errkind.NotRun)
	}
	for ctx.Err() == nil {
		err := s.appendOnce(ctx, data)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return s.unavailableError(plan, err)
		}
		s.unresolved.add(plan.ID)
		waitCtx, cancel := context.WithTimeout(ctx, reappendDelay)
		_, err = s.follower.Outcome(waitCtx, plan.ID)
		cancel()
		if err == nil {
			return nil
		}
	}
	return nil
}

func (s *Service) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	return err
}

// unavailableError returns the error for a log that refused the append. The log
// may still hold the plan from an earlier confirmation.
func (s *Service) unavailableError(plan config.Plan, err error) *errkind.Error {
	if s.unresolved.has(plan.ID) {
		return errkind.Wrap(errkind.LogUnknown, err, "an earlier confirmation may have been recorded")
	}
	return errkind.Wrap(errkind.LogUnavailable, err, "this confirmation was not recorded")
}

// serveOutcome answers with the outcome of a plan. Any entry host can answer, as
// outcomes follow from the log.
func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	state := s.follower.State()
	if state == nil {
		errkind.Write(w, id, errkind.New(errkind.NotReady, "no configuration yet"), 0)
		return
	}
	result := PlanResult{Plan: id, Result: ResultUnknown, Version: state.Version}
	outcome, known := state.Outcome(id)
	switch {
	case !known:
		result.Reason = fmt.Sprintf("not among the latest outcomes up to offset %d, the log last answered %s ago; confirm the same plan again to resolve it",
			state.Offset, s.follower.LogAge(time.Now()).Round(time.Millisecond))
	case outcome.Accepted:
		result.Result, result.Offset = ResultAccepted, outcome.Offset
	default:
		result.Result, result.Offset, result.Reason, result.Conflict = ResultRejected, outcome.Offset, outcome.Reason, outcome.Conflict
	}
	httpjson.Write(w, http.StatusOK, result)
}

// unresolvedPlans holds the ids of the latest plans that may be in the log: an
// append of theirs had an unknown outcome. It is safe for concurrent use.
type unresolvedPlans struct {
	mu    sync.Mutex
	plans map[string]bool
	order []string
}

func (u *unresolvedPlans) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.plans == nil {
		u.plans = map[string]bool{}
	}
	if u.plans[id] {
		return
	}
	u.plans[id] = true
	u.order = append(u.order, id)
	if len(u.order) > maxUnresolved {
		delete(u.plans, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *unresolvedPlans) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.plans, id)
}

func (u *unresolvedPlans) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.plans[id]
}
