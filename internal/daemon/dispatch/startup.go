package dispatch

// startupReadEnded wakes the memberships once the job log and the evacuated zones
// have been read, so that the first join need not wait for joinInterval.
func (d *Dispatcher) startupReadEnded() {
	if d.policies.FastRecovery.Enabled() && d.logRead.Load() && d.evacuationsListed.Load() {
		d.wakeMemberships()
	}
}
