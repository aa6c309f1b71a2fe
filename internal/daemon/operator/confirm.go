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
	// confirmWait bounds the time that a confirmation takes.
	confirmWait = 5 * time.Second
	// appendWait bounds one append.
	appendWait = 2 * time.Second
	// settleWait is how long a record whose append was not answered may take
	// to show up before it is appended again. A doubled record counts once.
	settleWait = time.Second
	// maxUnsettled bounds the plans that are remembered as unsettled.
	maxUnsettled = 256
)

// Result is what became of a plan.
type Result string

// The results.
const (
	ResultAccepted Result = "accepted"
	ResultRejected Result = "rejected"
	ResultUnknown  Result = "unknown"
)

// Confirmed is the answer to a confirmed plan, or to the question what became
// of one.
type PlanResult struct {
	Plan   string `json:"plan"`
	Result Result `json:"result"`
	// Reason says why a plan was rejected, or why nothing is known.
	Reason string `json:"reason,omitempty"`
	// Moved is what made a rejected plan stale.
	Conflict *standing.Conflict `json:"moved,omitempty"`
	// Offset is the offset of the plan's record, if known.
	Offset int64 `json:"offset,omitempty"`
	// Version is the version in force on this host after the answer.
	Version int64 `json:"version"`
}

func (s *Service) serveConfirm(w http.ResponseWriter, r *http.Request) {
	var plan config.Plan
	if err := httpjson.ReadStrict(w, r, maxDocument, &plan); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	confirmed, err := s.confirm(r.Context(), plan)
	if err != nil {
		s.note("refuse", string(err.Kind), plan.Intent.Operator+" confirmed: "+err.Detail, plan)
		errkind.Write(w, plan.ID, err, 0)
		return
	}
	s.note("confirm", string(confirmed.Result), plan.Intent.Operator+" confirmed", plan)
	httpjson.Write(w, http.StatusOK, confirmed)
}

// confirm records the plan and reads back what became of it. A plan that is
// confirmed again is answered as the first time.
func (s *Service) confirm(ctx context.Context, plan config.Plan) (PlanResult, *errkind.Error) {
	if err := plan.Verify(); err != nil {
		return PlanResult{}, err
	}
	state := s.follower.State()
	if state == nil {
		return PlanResult{}, errkind.New(errkind.NotReady, "no configuration yet")
	}
	if c, err, settled := s.settled(state, plan); settled {
		return c, err
	}
	if reason := s.follower.Blocked(); reason != "" {
		return PlanResult{}, errkind.New(errkind.LogUnavailable, "%s", reason)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	if err := s.append(ctx, plan); err != nil {
		return PlanResult{}, err
	}
	outcome, err := s.follower.Outcome(ctx, plan.ID)
	if err != nil {
		s.unsettled.add(plan.ID)
		return PlanResult{}, errkind.Wrap(errkind.LogUnknown, err, "look up %s/%s, or confirm the same plan again", PathPlans, plan.ID)
	}
	return s.answer(outcome)
}

// settled answers without the log if the outcome follows from the state.
func (s *Service) settled(state *standing.State, plan config.Plan) (PlanResult, *errkind.Error, bool) {
	if outcome, ok := state.Outcome(plan.ID); ok {
		c, err := s.answer(outcome)
		return c, err, true
	}
	moved := config.FindConflict(state, plan)
	if moved == nil {
		return PlanResult{}, nil, false
	}
	if moved.Intent == plan.Intent.ID {
		// The plan itself moved it, longer ago than outcomes are remembered.
		c, err := s.answer(config.Outcome{ID: plan.ID, Offset: moved.Version, Accepted: true})
		return c, err, true
	}
	c, err := s.answer(config.Outcome{ID: plan.ID, Reason: describe(moved, plan.Base), Conflict: moved})
	return c, err, true
}

func describe(m *standing.Conflict, base int64) string {
	return fmt.Sprintf("%s moved at version %d by %s with %s, the plan rests on version %d", m.Key, m.Version, m.Operator, m.Intent, base)
}

// answer turns an outcome into an answer.
func (s *Service) answer(o config.Outcome) (PlanResult, *errkind.Error) {
	s.unsettled.remove(o.ID)
	switch {
	case o.Accepted:
		return PlanResult{Plan: o.ID, Result: ResultAccepted, Offset: o.Offset, Version: s.follower.State().Version}, nil
	case o.Conflict != nil:
		return PlanResult{}, errkind.New(errkind.PlanStale, "%s", o.Reason)
	default:
		return PlanResult{}, errkind.New(errkind.PlanRejected, "%s", o.Reason)
	}
}

// append records the plan. If an append is not answered and the record does
// not show up, it is appended again.
func (s *Service) append(ctx context.Context, plan config.Plan) *errkind.Error {
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
			return s.unavailable(plan, err)
		}
		s.unsettled.add(plan.ID)
		waiting, cancel := context.WithTimeout(ctx, settleWait)
		_, err = s.follower.Outcome(waiting, plan.ID)
		cancel()
		if err == nil {
			return nil
		}
	}
	return nil
}

func (s *Service) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err := s.log.Append(ctx, platform.StreamConfig, [][]byte{data})
	return err
}

// unavailable answers for a log that took nothing now. It may still hold the
// plan from an earlier confirmation.
func (s *Service) unavailable(plan config.Plan, err error) *errkind.Error {
	if s.unsettled.has(plan.ID) {
		return errkind.Wrap(errkind.LogUnknown, err, "an earlier confirmation may have been recorded")
	}
	return errkind.Wrap(errkind.LogUnavailable, err, "this confirmation was not recorded")
}

// serveOutcome answers what became of a plan, on every host alike.
func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	state := s.follower.State()
	if state == nil {
		errkind.Write(w, id, errkind.New(errkind.NotReady, "no configuration yet"), 0)
		return
	}
	c := PlanResult{Plan: id, Result: ResultUnknown, Version: state.Version}
	outcome, known := state.Outcome(id)
	switch {
	case !known:
		c.Reason = fmt.Sprintf("not among the latest outcomes up to offset %d, the log was heard %s ago; confirm the same plan again to settle it",
			state.Offset, s.follower.LogAge(time.Now()).Round(time.Millisecond))
	case outcome.Accepted:
		c.Result, c.Offset = ResultAccepted, outcome.Offset
	default:
		c.Result, c.Offset, c.Reason, c.Conflict = ResultRejected, outcome.Offset, outcome.Reason, outcome.Conflict
	}
	httpjson.Write(w, http.StatusOK, c)
}

// unsettled remembers plans that may be in the log. It is safe for concurrent
// use.
type unsettled struct {
	mu    sync.Mutex
	plans map[string]bool
	order []string
}

func (u *unsettled) add(id string) {
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
	if len(u.order) > maxUnsettled {
		delete(u.plans, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *unsettled) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.plans, id)
}

func (u *unsettled) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.plans[id]
}
