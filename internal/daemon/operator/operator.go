// Package operator serves the operators' interface: it turns intents into plans,
// appends confirmed plans to the platform's log, and explains decisions.
package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// The paths of the operators' interface.
const (
	PathPlans    = "/v1/plans"
	PathConfirms = "/v1/confirms"
	PathExplain  = "/v1/explain"
	PathStatus   = "/v1/status"
	PathFleet    = "/v1/fleet"
	PathHosts    = "/v1/hosts"
	PathMetrics  = "/debug/vars"
)

// Follower provides the configuration in force and the outcomes of plans.
type Follower interface {
	standing.View
	// Outcome waits until the outcome of the record with the id is known. It
	// returns an error if ctx ends first.
	Outcome(ctx context.Context, id string) (config.Outcome, error)
	// Blocked returns the reason why records that are appended now take no
	// effect on this host, or "" if they do.
	Blocked() string
	// LogAge returns the time since the log last answered.
	LogAge(now time.Time) time.Duration
}

// Explainer collects decision records and status from the entry hosts.
type Explainer interface {
	// Explain collects the decision records about a subject.
	Explain(ctx context.Context, subject string) Explanation
	// Fleet collects the status of every entry host.
	Fleet(ctx context.Context) Fleet
}

// Fleet is the status of every entry host that answered.
type Fleet struct {
	Hosts []Status `json:"hosts"`
	// Unreached are the entry hosts that did not answer.
	Unreached []string `json:"unreached,omitempty"`
}

// Horizon is how far back the decision records of an entry host reach.
type Horizon struct {
	Host string `json:"host"`
	// AgeMs is the age of the host's oldest record, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Explanation holds the decision records about a subject.
type Explanation struct {
	Subject string            `json:"subject"`
	Records []decision.Record `json:"records"`
	// Hosts are the entry hosts that answered.
	Hosts []string `json:"hosts"`
	// Horizons are how far back the records of these hosts reach.
	Horizons []Horizon `json:"horizons,omitempty"`
	// Unreached are the entry hosts that did not answer.
	Unreached []string `json:"unreached,omitempty"`
}

// Status is a summary of one entry host for an engineer on call.
type Status struct {
	Host        string            `json:"host"`
	Zone        string            `json:"zone"`
	Incarnation string            `json:"incarnation"`
	Version     int64             `json:"version"`
	LogAgeMs    int64             `json:"log_age_ms"`
	State       *standing.State   `json:"state,omitempty"`
	Peers       []PeerStatus      `json:"peers"`
	Conditions  []decision.Record `json:"conditions,omitempty"`
	// Refusals are the counts of recent refusals, by part and rule.
	Refusals []journal.RefusalCount `json:"refusals,omitempty"`
}

// PeerStatus is another entry host as seen from this one.
type PeerStatus struct {
	Host      string `json:"host"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Version   int64  `json:"version"`
}

// Service handles the operators' requests.
type Service struct {
	follower    Follower
	log         platform.Log
	recorder    decision.Recorder
	explainer   Explainer
	listedHosts func(context.Context) config.ListedHosts
	status      func() Status
	unresolved  unresolvedPlans
}

// New returns a service. The function listedHosts returns the hosts of the
// latest host list, status returns the status of this host.
func New(f Follower, l platform.Log, r decision.Recorder, e Explainer, listedHosts func(context.Context) config.ListedHosts, status func() Status) *Service {
	return &Service{follower: f, log: l, recorder: r, explainer: e, listedHosts: listedHosts, status: status}
}

// Routes adds the operators' paths to mux.
func (s *Service) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathPlans, s.servePlan)
	mux.HandleFunc("GET "+PathPlans+"/{id}", s.serveOutcome)
	mux.HandleFunc("POST "+PathConfirms, s.serveConfirm)
	mux.HandleFunc("GET "+PathExplain+"/{subject}", s.serveExplain)
	mux.HandleFunc("GET "+PathFleet, s.serveFleet)
	mux.HandleFunc("GET "+PathHosts, func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, s.listedHosts(r.Context()))
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.status())
	})
}

func (s *Service) serveFleet(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.explainer.Fleet(r.Context()))
}

func (s *Service) servePlan(w http.ResponseWriter, r *http.Request) {
	var intent config.Intent
	if err := httpjson.ReadStrict(w, r, MaxDocumentBytes, &intent); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	state := s.follower.State()
	if state == nil {
		errkind.Write(w, "", errkind.New(errkind.NotReady, "no configuration yet"), 0)
		return
	}
	// The ids of a plan and its intent differ only in their prefix, so that each
	// can be derived from the other.
	id := ids.New("plan")
	intent.ID = "intent-" + strings.TrimPrefix(id, "plan-")
	plan, err := config.MakePlan(id, state, s.listedHosts(r.Context()), intent)
	if err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	s.recordPlan("plan", "intent", intent.Operator+" requested "+string(intent.Verb)+": "+intent.Reason, plan)
	httpjson.Write(w, http.StatusOK, plan)
}

func (s *Service) serveExplain(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.explainer.Explain(r.Context(), r.PathValue("subject")))
}

func (s *Service) recordPlan(action, rule, why string, p config.Plan) {
	s.recorder.Record(decision.Record{
		Part: decision.PartPlan, Action: action, Rule: rule, Why: why, Subjects: p.Subjects(), Customer: p.Intent.Customer,
	})
}

// MaxDocumentBytes bounds the size of a document that an operator sends.
const MaxDocumentBytes = 1 << 20
