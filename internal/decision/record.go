// Package decision holds decision records: what an entry host decided, why,
// and under which configuration version. Records answer "explain" queries and
// are written as one log line each.
package decision

import "time"

// Part names the component that took a decision. It is the log prefix.
type Part string

// The parts of an entry host.
const (
	PartAdmit    Part = "admit"
	PartRoute    Part = "route"
	PartRetry    Part = "retry"
	PartEject    Part = "eject"
	PartIdentity Part = "identity"
	PartJob      Part = "job"
	PartPlace    Part = "place"
	PartWorker   Part = "worker"
	PartConfig   Part = "config"
	PartPlan     Part = "plan"
	PartMember   Part = "member"
	PartStop     Part = "stop"
)

// Record is one decision.
type Record struct {
	// Time is the wall clock time of the host, for people only.
	Time time.Time `json:"time"`
	// Host is the entry host that decided.
	Host string `json:"host"`
	// Part is the component that decided.
	Part Part `json:"part"`
	// Action is what was done, as a short verb such as "send" or "refuse".
	Action string `json:"action"`
	// Rule names the rule that led to the action.
	Rule string `json:"rule,omitempty"`
	// Subjects are the ids the decision is about: request, job, task, backend,
	// worker, entry host or plan.
	Subjects []string `json:"subjects"`
	// Why is a short sentence with the inputs seen.
	Why string `json:"why"`
	// Version is the configuration version in force.
	Version int64 `json:"version"`
	// Intent is the id of the operator's intent that last changed what the
	// decision rests on: the customer's rules or the hosts among the subjects.
	// It is empty if none of that was ever changed.
	Intent string `json:"intent,omitempty"`
	// IntentVersion is the version that the intent led to.
	IntentVersion int64 `json:"intent_version,omitempty"`
	// Customer is the customer concerned, or empty.
	Customer string `json:"customer,omitempty"`
}

// Recorder takes decision records. Implementations fill in Time, Host, and
// Version and Intent where those are zero.
type Recorder interface {
	Record(r Record)
}
