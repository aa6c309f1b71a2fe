// Package standing defines the standing configuration: the rules that operators
// set for customers, teams, backend servers and hosts. The types are plain
// data, which other packages read as an immutable snapshot.
package standing

import "cmp"

// Policy is the strategy for choosing a backend server.
type Policy string

// The policies.
const (
	// PolicyShares divides the slots of the backend servers among the entry
	// hosts. A host with too few slots borrows from another. This policy gives
	// the best response time at the cost of some messages between entry hosts.
	PolicyShares Policy = "shares"
	// PolicyLeast chooses the backend server with the least load by the entry
	// host's own counts. It sends no extra messages.
	PolicyLeast Policy = "least"
)

// UnmarkedPolicy is the treatment of a non-idempotent request that has an id
// chosen by the caller but no attempt number, so that it may be a retry.
type UnmarkedPolicy string

// The treatments of unmarked requests.
const (
	// UnmarkedQueryPeers queries the other entry hosts for the request's id
	// before the request starts.
	UnmarkedQueryPeers UnmarkedPolicy = "ask"
	// UnmarkedFirstAttempt treats the request as a first attempt.
	UnmarkedFirstAttempt UnmarkedPolicy = "first"
)

// Customer holds the standing rules of one customer.
type Customer struct {
	// Policy is the strategy for choosing a backend server. Default "least".
	Policy Policy `json:"policy,omitempty"`
	// QueueLimit is the maximum number of requests that wait on one entry host.
	// Default 400.
	QueueLimit int `json:"queue_limit,omitempty"`
	// DeadlineMs is the deadline of a request that does not set one, in
	// milliseconds. Default 10,000.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// MaxDeadlineMs is the longest deadline that a request may set, in
	// milliseconds. Default 60,000.
	MaxDeadlineMs int64 `json:"max_deadline_ms,omitempty"`
	// RetryRatio is the number of retries allowed per successful request.
	// Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// Eject holds the rules for ejecting backend servers.
	Eject Ejection `json:"eject,omitzero"`
	// Unmarked is the treatment of non-idempotent requests without an attempt
	// number. Default "ask".
	Unmarked UnmarkedPolicy `json:"unmarked,omitempty"`
	// HorizonMs is how long a request id is remembered after its answer, and
	// the longest time in which a caller may send it again, in milliseconds.
	// Default 120,000.
	HorizonMs int64 `json:"horizon_ms,omitempty"`
	// Teams are the customer's teams by name. Work of a team that is not listed
	// is refused, unless no team is listed at all.
	Teams map[string]Team `json:"teams,omitempty"`
	// Weights scale the share of new work of each backend server, by the name of
	// the server. A server that is not listed has weight 1; a server with weight
	// 0 gets no new work.
	Weights map[string]float64 `json:"weights,omitempty"`
}

// Team holds one team's rules.
type Team struct {
	// Weight is the team's relative share when teams compete. Default 1.
	Weight int `json:"weight,omitempty"`
	// Slots is the maximum number of requests that the team runs at once
	// through one entry host; 0 means no limit.
	Slots int `json:"slots,omitempty"`
	// Cores is the maximum number of worker cores that the team's tasks hold at
	// once in the whole fleet; 0 means no limit.
	Cores int `json:"cores,omitempty"`
}

// Ejection holds the rules for taking a failing backend server out of service.
type Ejection struct {
	// Failures is the number of consecutive failures that ejects a server.
	// Default 5.
	Failures int `json:"failures,omitempty"`
	// MaxShare is the largest fraction of servers that may be ejected at once.
	// Default 0.3.
	MaxShare float64 `json:"max_share,omitempty"`
	// BaseMs is the duration of a server's first ejection in milliseconds. It
	// doubles with each further ejection, up to MaxMs. Default 2,000.
	BaseMs int64 `json:"base_ms,omitempty"`
	// MaxMs is the longest duration of an ejection in milliseconds. Default
	// 60,000.
	MaxMs int64 `json:"max_ms,omitempty"`
}

// The defaults of a customer's rules.
const (
	DefaultQueueLimit    = 400
	DefaultDeadlineMs    = 10_000
	DefaultMaxDeadlineMs = 60_000
	DefaultRetryRatio    = 0.1
	DefaultHorizonMs     = 120_000
	DefaultEjectFailures = 5
	DefaultEjectMaxShare = 0.3
	DefaultEjectBaseMs   = 2_000
	DefaultEjectMaxMs    = 60_000
)

// WithDefaults returns a copy of c in which unset rules have their defaults. The
// rules of teams and the weights stay as they are.
func (c Customer) WithDefaults() Customer {
	c.Policy = cmp.Or(c.Policy, PolicyLeast)
	c.QueueLimit = cmp.Or(c.QueueLimit, DefaultQueueLimit)
	c.DeadlineMs = cmp.Or(c.DeadlineMs, DefaultDeadlineMs)
	c.MaxDeadlineMs = cmp.Or(c.MaxDeadlineMs, DefaultMaxDeadlineMs)
	c.RetryRatio = cmp.Or(c.RetryRatio, DefaultRetryRatio)
	c.Unmarked = cmp.Or(c.Unmarked, UnmarkedQueryPeers)
	c.HorizonMs = cmp.Or(c.HorizonMs, DefaultHorizonMs)
	c.Eject.Failures = cmp.Or(c.Eject.Failures, DefaultEjectFailures)
	c.Eject.MaxShare = cmp.Or(c.Eject.MaxShare, DefaultEjectMaxShare)
	c.Eject.BaseMs = cmp.Or(c.Eject.BaseMs, DefaultEjectBaseMs)
	c.Eject.MaxMs = cmp.Or(c.Eject.MaxMs, DefaultEjectMaxMs)
	return c
}
