package server

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// statusTimeout bounds status and confirmation calls to other hosts.
const statusTimeout = 500 * time.Millisecond

// groupStatus returns the state of a replication group, or an empty status if this host is not its home.
func (s *Server) groupStatus(service model.Service) daemon.GroupStatus {
	h, ok := s.homes.Load(service)
	if !ok {
		return daemon.GroupStatus{}
	}
	v := h.(*home).view.Load()
	if v == nil {
		return daemon.GroupStatus{}
	}
	out := daemon.GroupStatus{Known: true, Term: v.view.Term, Primary: v.view.Primary,
		Targets: map[model.TargetID]daemon.TargetStatus{}}
	for _, m := range v.view.Members {
		if m.HasStatus {
			out.Targets[m.Target] = daemon.TargetStatus{Alive: m.Alive, Leaving: m.Leaving, Position: m.Position}
		}
	}
	return out
}

// fetchGroupStatus returns the state of a service's replication group from the home of the service.
func (s *Server) fetchGroupStatus(service model.Service, host model.HostID) daemon.GroupStatus {
	if host == s.options.Daemon.Host || host == "" {
		return s.groupStatus(service)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	reply, err := call[daemon.GroupStatus](ctx, s, host, "Group", daemon.GroupRequest{Service: service})
	if err != nil {
		return daemon.GroupStatus{}
	}
	return reply
}

// serviceStatuses returns the state of all configured services. It queries their homes in parallel.
func (s *Server) serviceStatuses(snap *snapshot) []*genoperator.ServiceStatus {
	out := []*genoperator.ServiceStatus{}
	if snap.settings == nil {
		return out
	}
	var wg sync.WaitGroup
	for _, name := range sortedKeys(snap.settings.Services) {
		status := &genoperator.ServiceStatus{Service: string(name), Home: string(snap.homes[name])}
		out = append(out, status)
		wg.Go(func() {
			g := s.fetchGroupStatus(name, snap.homes[name])
			status.Term, status.Primary = g.Term, string(g.Primary)
			status.Targets = targetStatuses(snap.settings.Services[name], g)
		})
	}
	wg.Wait()
	return out
}

func targetStatuses(service config.Service, g daemon.GroupStatus) []*genoperator.TargetStatus {
	out := make([]*genoperator.TargetStatus, len(service.Targets))
	for i, t := range service.Targets {
		out[i] = targetStatus(t, g)
	}
	return out
}

func targetStatus(t config.Target, g daemon.GroupStatus) *genoperator.TargetStatus {
	out := &genoperator.TargetStatus{Target: string(t.ID), Address: t.Address, State: "unknown", Role: "unknown"}
	m, ok := g.Targets[t.ID]
	if !ok {
		return out
	}
	out.State, out.Role = "down", "replica"
	if m.Alive {
		out.State = "up"
	}
	if m.Leaving {
		out.State = "leaving"
	}
	if t.ID == g.Primary {
		out.Role = "primary"
	}
	out.LogTerm, out.LogOffset = m.Position.Term, m.Position.Offset
	return out
}
