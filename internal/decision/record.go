// Package decision defines decision records: what an entry host decided, why,
// and under which configuration version. Each record is written as one log
// line, and "explain" queries return the records about an id.
package decision

import "time"

// Part is the component that took a decision. It prefixes the log line.
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
	// Time is the host's wall clock time, for display only.
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
	// Why is a short human-readable reason with the inputs of the decision.
	Why string `json:"why"`
	// Version is the configuration version in force.
	Version int64 `json:"version"`
	// Intent is the id of the operator's intent that last changed what the
	// decision depends on: the customer's rules or a host among the subjects.
	// It is empty if no known intent changed any of these.
	Intent string `json:"intent,omitempty"`
	// IntentVersion is the configuration version that the intent produced.
	IntentVersion int64 `json:"intent_version,omitempty"`
	// Customer is the customer that the decision is about, or empty.
	Customer string `json:"customer,omitempty"`
}

// Recorder stores decision records. Implementations set Time and Host, and
// also Version and Intent where the record leaves them zero.
type Recorder interface {
	Record(r Record)
}
