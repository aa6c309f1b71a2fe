package standing

// State is the standing configuration at one version. A State is never
// modified after it is published.
type State struct {
	// Version is the log offset of the last accepted change; 0 means that there
	// was none.
	Version int64 `json:"version"`
	// Offset is the log offset of the last applied record. It is at least
	// Version.
	Offset int64 `json:"offset"`
	// Chain is a hash chain over the applied records. Replicas compare it to
	// find out whether their histories are the same.
	Chain string `json:"chain,omitempty"`
	// Intent is the id of the intent that produced Version.
	Intent string `json:"intent,omitempty"`
	// Customers are the rules by customer name.
	Customers map[string]Customer `json:"customers,omitempty"`
	// Drains are the hosts and backend servers that get no new work, by name.
	Drains map[string]Drain `json:"drains,omitempty"`
	// Evacuations are the availability zones whose backend servers and workers get
	// no new work, by zone.
	Evacuations map[string]Evacuation `json:"evacuations,omitempty"`
	// LastChanges holds the last change of each key, such as
	// "customer/tamarind" or "host/backend-7".
	LastChanges map[string]Change `json:"touched,omitempty"`
	// MinBase is the lowest base version that a plan may have. LastChanges no
	// longer holds every older change, so that the conflicts of a plan with an
	// older base could be missed.
	MinBase int64 `json:"floor,omitempty"`
	// Outcomes are the outcomes of the latest records, oldest first.
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Change describes the change of a key.
type Change struct {
	// Version is the version that the change produced.
	Version int64 `json:"version"`
	// Intent is the id of the intent behind the change.
	Intent string `json:"intent"`
	// Operator is the operator whose intent it was.
	Operator string `json:"operator"`
}

// Drain is an operator's order that a host or backend server gets no new work.
type Drain struct {
	// Since is the version that set the drain.
	Since int64 `json:"since"`
	// Intent is the id of the intent that set the drain.
	Intent string `json:"intent"`
	// Operator is the operator who set the drain.
	Operator string `json:"operator"`
	// Reason is the reason that the operator gave, if any.
	Reason string `json:"reason,omitempty"`
}

// Evacuation is an operator's order that the backend servers and workers of a zone
// get no new work.
type Evacuation struct {
	// Since is the version that set the evacuation.
	Since int64 `json:"since"`
	// Intent is the id of the intent that set the evacuation.
	Intent string `json:"intent"`
	// Operator is the operator who set the evacuation.
	Operator string `json:"operator"`
	// Reason is the reason that the operator gave, if any.
	Reason string `json:"reason,omitempty"`
}

// Evacuated reports whether a zone is evacuated. A nil state has no evacuations.
func (s *State) Evacuated(zone string) bool {
	if s == nil {
		return false
	}
	_, ok := s.Evacuations[zone]
	return ok
}

// Outcome is the result of applying a record.
type Outcome struct {
	// ID is the record's id.
	ID string `json:"id"`
	// Offset is the offset of the first record with the id.
	Offset int64 `json:"offset"`
	// Accepted is set if the record was applied as a change of the state, or if
	// it is a snapshot that agrees with the state.
	Accepted bool `json:"accepted"`
	// Reason is why the record was rejected, or empty.
	Reason string `json:"reason,omitempty"`
	// Conflict is the change that made a rejected plan stale, or nil.
	Conflict *Conflict `json:"moved,omitempty"`
}

// Conflict is a change that made a plan stale.
type Conflict struct {
	// Key is the key that changed.
	Key string `json:"key"`
	Change
}

// CustomerKey returns the key of a customer's rules.
func CustomerKey(customer string) string { return "customer/" + customer }

// PoolKey returns the key of the set of backend servers that a customer can use.
func PoolKey(customer string) string { return "pool/" + customer }

// HostKey returns the key of a backend server, worker or entry host.
func HostKey(host string) string { return "host/" + host }

// ZoneKey returns the key of an availability zone.
func ZoneKey(zone string) string { return "zone/" + zone }

// ZonesKey is the key of the set of zones in service.
const ZonesKey = "zones"

// LastChange returns the newest recorded change of the customer's rules or of
// any of the hosts or zones. An empty customer is ignored. It returns false if no change is
// recorded.
func (s *State) LastChange(customer string, hosts ...string) (Change, bool) {
	newest, found := Change{}, false
	consider := func(key string) {
		change, ok := s.LastChanges[key]
		if ok && change.Version > newest.Version {
			newest, found = change, true
		}
	}
	if customer != "" {
		consider(CustomerKey(customer))
	}
	for _, host := range hosts {
		consider(HostKey(host))
		consider(ZoneKey(host))
	}
	return newest, found
}

// Outcome returns the outcome of the record with the id. It returns false if the
// outcome is unknown or no longer kept.
func (s *State) Outcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

// View provides the configuration in force.
type View interface {
	// State returns the current snapshot, or nil before the first one.
	State() *State
}
