// Package policy names the optional scheduling policies and whether each is on.
package policy

import "fmt"

// Mode tells whether a policy may act.
type Mode string

// The modes.
const (
	// Auto lets a policy act wherever its own conditions hold.
	Auto Mode = "auto"
	// Off turns a policy off.
	Off Mode = "off"
)

// Enabled reports whether the policy may act. An unset mode counts as Auto.
func (m Mode) Enabled() bool { return m != Off }

// check returns an error if the mode is not one of the constants.
func (m Mode) check(name string) error {
	if m != Auto && m != Off && m != "" {
		return fmt.Errorf("policy %q is %q, which is neither %q nor %q", name, string(m), Auto, Off)
	}
	return nil
}

// Settings holds the mode of each policy. The zero value lets all policies act.
type Settings struct {
	// UnequalWorkers places tasks by the learned speeds of workers.
	UnequalWorkers Mode `json:"unequal_workers"`
	// NearWait decides how long a task waits for a worker near its data.
	NearWait Mode `json:"near_wait"`
	// SharedCapacity divides scarce capacity among routes.
	SharedCapacity Mode `json:"shared_capacity"`
	// Saturation limits the work in flight on slow links.
	Saturation Mode `json:"saturation"`
	// FastRecovery shortens the return to service after an outage.
	FastRecovery Mode `json:"fast_recovery"`
}

// Check returns an error that names the first policy with an unknown mode.
func (s Settings) Check() error {
	for _, p := range []struct {
		name string
		mode Mode
	}{
		{"unequal_workers", s.UnequalWorkers},
		{"near_wait", s.NearWait},
		{"shared_capacity", s.SharedCapacity},
		{"saturation", s.Saturation},
		{"fast_recovery", s.FastRecovery},
	} {
		if err := p.mode.check(p.name); err != nil {
			return err
		}
	}
	return nil
}
