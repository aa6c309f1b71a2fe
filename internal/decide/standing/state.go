package standing

// State is the standing configuration at one version. A State is never
// modified after it is published.
type State struct {
	// Version is the log offset of the last accepted change; 0 means none.
	Version int64 `json:"version"`
	// Offset is the log offset up to which records are folded in. It is at
	// least Version.
	Offset int64 `json:"offset"`
	// Chain identifies the records that led to the state.
	Chain string `json:"chain,omitempty"`
	// Intent is the id of the intent that led to Version.
	Intent string `json:"intent,omitempty"`
	// Customers are the rules by customer name.
	Customers map[string]Customer `json:"customers,omitempty"`
	// Drains are the hosts and backend servers that get no new work, by name.
	Drains map[string]Drain `json:"drains,omitempty"`
	// Touched is the last change by touched key, such as "customer/tamarind"
	// or "host/backend-7".
	LastChanges map[string]Change `json:"touched,omitempty"`
	// Floor is the version below which Touched is incomplete. A plan that
	// rests on an older version is rejected.
	MinBase int64 `json:"floor,omitempty"`
	// Outcomes are what became of the latest records, oldest first.
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Touch is one change of a key.
type Change struct {
	// Version is the version that the change led to.
	Version int64 `json:"version"`
	// Intent is the id of the intent behind the change.
	Intent string `json:"intent"`
	// Operator is who confirmed it.
	Operator string `json:"operator"`
}

// Drain takes a host or backend server out of service on an operator's word.
type Drain struct {
	// Since is the version that set the drain.
	Since int64 `json:"since"`
	// Intent is the id of the intent that set it.
	Intent string `json:"intent"`
	// Operator is who set it.
	Operator string `json:"operator"`
	// Reason is the operator's reason.
	Reason string `json:"reason,omitempty"`
}

// Outcome says what became of a record.
type Outcome struct {
	// ID is the record's id.
	ID string `json:"id"`
	// Offset is the offset of the first record with the id.
	Offset int64 `json:"offset"`
	// Accepted is set if the record changed the state.
	Accepted bool `json:"accepted"`
	// Reason says why a record was rejected.
	Reason string `json:"reason,omitempty"`
	// Moved is set if the ground of a rejected plan had moved.
	Conflict *Conflict `json:"moved,omitempty"`
}

// Moved says which change made a plan stale.
type Conflict struct {
	// Key is what changed.
	Key string `json:"key"`
	Change
}

// CustomerKey is the key of a customer's rules.
func CustomerKey(customer string) string { return "customer/" + customer }

// PoolKey is the key of the set of backend servers that a customer can use.
func PoolKey(customer string) string { return "pool/" + customer }

// HostKey is the key of a backend server, worker or entry host.
func HostKey(host string) string { return "host/" + host }

// Ground returns the newest change of what a decision about the customer and
// the hosts rests on. It returns false if nothing of it was ever changed.
func (s *State) LastChange(customer string, hosts ...string) (Change, bool) {
	newest, found := Change{}, false
	take := func(key string) {
		touch, ok := s.LastChanges[key]
		if ok && touch.Version > newest.Version {
			newest, found = touch, true
		}
	}
	if customer != "" {
		take(CustomerKey(customer))
	}
	for _, host := range hosts {
		take(HostKey(host))
	}
	return newest, found
}

// Outcome returns what became of the record, if that is still remembered.
func (s *State) Outcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

// View gives the configuration in force.
type View interface {
	// State returns the current snapshot, or nil before the first one.
	State() *State
}
