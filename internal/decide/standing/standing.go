// Package standing holds the standing configuration: the rules that operators
// put in force for customers, teams, backend servers and hosts. The types are
// plain data, the packages that decide read them as an immutable snapshot.
package standing

import "cmp"

// Policy names a way to choose a backend server.
type Policy string

// The policies.
const (
	// PolicyShares divides slots among entry hosts and borrows when short. It
	// gives the best response time at the cost of some messages.
	PolicyShares Policy = "shares"
	// PolicyLeast takes the least loaded backend server by local counts. It
	// sends no extra message.
	PolicyLeast Policy = "least"
)

// Unmarked says how a non-idempotent request is treated that carries a
// caller's own id but no attempt number.
type UnmarkedPolicy string

// The treatments of unmarked requests.
const (
	// UnmarkedAsk asks the other entry hosts before the request starts.
	UnmarkedQueryPeers UnmarkedPolicy = "ask"
	// UnmarkedFirst takes the request for a first attempt.
	UnmarkedFirstAttempt UnmarkedPolicy = "first"
)

// Customer holds the standing rules of one customer.
type Customer struct {
	// Policy chooses backend servers. Default "least".
	Policy Policy `json:"policy,omitempty"`
	// QueueLimit bounds the requests that wait on one entry host. Default 400.
	QueueLimit int `json:"queue_limit,omitempty"`
	// DeadlineMs is the deadline of a request that states none, in
	// milliseconds. Default 10,000.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// MaxDeadlineMs bounds the deadline that a request may state, in
	// milliseconds. Default 60,000.
	MaxDeadlineMs int64 `json:"max_deadline_ms,omitempty"`
	// RetryRatio is the number of retries allowed per success. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// Eject holds the ejection rules.
	Eject Ejection `json:"eject,omitzero"`
	// Unmarked treats non-idempotent requests with no attempt number.
	// Default "ask".
	Unmarked UnmarkedPolicy `json:"unmarked,omitempty"`
	// HorizonMs is how long a request id is remembered after its answer, and
	// the longest time in which a caller may send it again, in milliseconds.
	// Default 120,000.
	HorizonMs int64 `json:"horizon_ms,omitempty"`
	// Teams are the customer's teams by name. A team that is not listed is
	// refused unless the list is empty.
	Teams map[string]Team `json:"teams,omitempty"`
	// Weights scale a backend server's share of new work, by name. A server
	// that is not listed has weight 1; weight 0 gets no work.
	Weights map[string]float64 `json:"weights,omitempty"`
}

// Team holds one team's rules.
type Team struct {
	// Weight is the team's share when teams compete. Default 1.
	Weight int `json:"weight,omitempty"`
	// Slots bounds the requests that the team runs at once on one entry host;
	// 0 means no bound.
	Slots int `json:"slots,omitempty"`
	// Cores bounds the worker cores that the team's tasks hold at once, over
	// the whole fleet; 0 means no bound.
	Cores int `json:"cores,omitempty"`
}

// Eject holds the rules for taking a failing backend server out of service.
type Ejection struct {
	// Failures is how many failures in a row eject a server. Default 5.
	Failures int `json:"failures,omitempty"`
	// MaxShare is the largest share of servers that may be ejected at once.
	// Default 0.3.
	MaxShare float64 `json:"max_share,omitempty"`
	// BaseMs is the first ejection's length in milliseconds; it doubles up to
	// MaxMs. Default 2,000.
	BaseMs int64 `json:"base_ms,omitempty"`
	// MaxMs bounds an ejection's length in milliseconds. Default 60,000.
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

// WithDefaults returns a copy of c with its unset rules filled in.
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
