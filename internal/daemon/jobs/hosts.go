package jobs

import (
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// workerInfos reads the workers and the live entry hosts from the host list.
func (s *Service) workerInfos() ([]jobs.WorkerInfo, []string) {
	state := s.deps.View.State()
	var infos []jobs.WorkerInfo
	entries := []string{s.deps.Settings.Host}
	for _, h := range s.deps.Hosts.Hosts() {
		switch h.Role {
		case platform.RoleWorker:
			infos = append(infos, jobs.WorkerInfo{
				Name: h.Name, Address: h.Address, Rack: h.Rack,
				Capacity: placement.Size{Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators},
				Live:     h.State == platform.HostLive && !drained(state, h.Name),
			})
		case platform.RoleEntry:
			if h.State == platform.HostLive && h.Name != s.deps.Settings.Host {
				entries = append(entries, h.Name)
			}
		}
	}
	return infos, entries
}

func drained(state *standing.State, name string) bool {
	if state == nil {
		return false
	}
	_, ok := state.Drains[name]
	return ok
}

// quotasOf divides each team's cores evenly among the entry hosts, rounded up.
func quotasOf(state *standing.State, entries int) []jobs.Quota {
	if state == nil {
		return nil
	}
	var quotas []jobs.Quota
	for customer, rules := range state.Customers {
		for name, t := range rules.Teams {
			if t.Cores > 0 {
				quotas = append(quotas, jobs.Quota{Customer: customer, Team: name, Cores: (t.Cores + entries - 1) / entries})
			}
		}
	}
	return quotas
}
