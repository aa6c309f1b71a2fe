// Package operator serves operators: intents become plans, confirmed plans
// become records in the platform's log, and decisions are explained.
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

// The paths of the interface.
const (
	PathPlans    = "/v1/plans"
	PathConfirms = "/v1/confirms"
	PathExplain  = "/v1/explain"
	PathStatus   = "/v1/status"
	PathFleet    = "/v1/fleet"
	PathMetrics  = "/debug/vars"
)

// Follower is the part of the configuration follower that is used here.
type Follower interface {
	standing.View
	// Outcome waits until the record's outcome is known.
	Outcome(ctx context.Context, id string) (config.Outcome, error)
	// Blocked says why nothing that is appended now takes effect here, or "".
	Blocked() string
	// Age returns the time since the log last answered.
	LogAge(now time.Time) time.Duration
}

// Explainer gathers what entry hosts know of a subject.
type Explainer interface {
	Explain(ctx context.Context, subject string) Explanation
	// Fleet gathers the status of every entry host.
	Fleet(ctx context.Context) Fleet
}

// Fleet is the status of every entry host that answered.
type Fleet struct {
	Hosts []Status `json:"hosts"`
	// Unreached are the entry hosts that did not answer.
	Unreached []string `json:"unreached,omitempty"`
}

// Horizon says how far back an entry host remembers.
type Horizon struct {
	Host string `json:"host"`
	// AgeMs is the age of its oldest record, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Explanation is what is known of a subject.
type Explanation struct {
	Subject string            `json:"subject"`
	Records []decision.Record `json:"records"`
	// Hosts are the entry hosts that answered.
	Hosts []string `json:"hosts"`
	// Horizons say how far back these remember.
	Horizons []Horizon `json:"horizons,omitempty"`
	// Unreached are the entry hosts that did not.
	Unreached []string `json:"unreached,omitempty"`
}

// Status is what a woken engineer needs first about one entry host.
type Status struct {
	Host        string            `json:"host"`
	Zone        string            `json:"zone"`
	Incarnation string            `json:"incarnation"`
	Version     int64             `json:"version"`
	LogAgeMs    int64             `json:"log_age_ms"`
	State       *standing.State   `json:"state,omitempty"`
	Peers       []PeerStatus      `json:"peers"`
	Conditions  []decision.Record `json:"conditions,omitempty"`
	// Refusals count what was refused lately, by part and rule.
	Refusals []journal.RefusalCount `json:"refusals,omitempty"`
}

// PeerStatus is one other entry host as seen from here.
type PeerStatus struct {
	Host      string `json:"host"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Version   int64  `json:"version"`
}

// Service serves operators.
type Service struct {
	follower  Follower
	log       platform.Log
	recorder  decision.Recorder
	explainer Explainer
	site      func(context.Context) config.ListedHosts
	status    func() Status
	unsettled unsettled
}

// New returns a service. Site gives the hosts as last listed, status describes
// this host.
func New(f Follower, l platform.Log, r decision.Recorder, e Explainer, site func(context.Context) config.ListedHosts, status func() Status) *Service {
	return &Service{follower: f, log: l, recorder: r, explainer: e, site: site, status: status}
}

// Routes adds the operators' paths to mux.
func (s *Service) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathPlans, s.servePlan)
	mux.HandleFunc("GET "+PathPlans+"/{id}", s.serveOutcome)
	mux.HandleFunc("POST "+PathConfirms, s.serveConfirm)
	mux.HandleFunc("GET "+PathExplain+"/{subject}", s.serveExplain)
	mux.HandleFunc("GET "+PathFleet, s.serveFleet)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.status())
	})
}

func (s *Service) serveFleet(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.explainer.Fleet(r.Context()))
}

func (s *Service) servePlan(w http.ResponseWriter, r *http.Request) {
	var intent config.Intent
	if err := httpjson.ReadStrict(w, r, maxDocument, &intent); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	state := s.follower.State()
	if state == nil {
		errkind.Write(w, "", errkind.New(errkind.NotReady, "no configuration yet"), 0)
		return
	}
	// The ids differ by their prefix alone, so that one leads to the other.
	id := ids.New("plan")
	intent.ID = "intent-" + strings.TrimPrefix(id, "plan-")
	plan, err := config.MakePlan(id, state, s.site(r.Context()), intent)
	if err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	s.note("plan", "intent", intent.Operator+" asked for "+string(intent.Verb)+": "+intent.Reason, plan)
	httpjson.Write(w, http.StatusOK, plan)
}

func (s *Service) serveExplain(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.explainer.Explain(r.Context(), r.PathValue("subject")))
}

func (s *Service) note(action, rule, why string, p config.Plan) {
	s.recorder.Record(decision.Record{
		Part: decision.PartPlan, Action: action, Rule: rule, Why: why, Subjects: p.Subjects(), Customer: p.Intent.Customer,
	})
}

// maxDocument bounds an operator's document, in bytes.
const maxDocument = 1 << 20
