package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/metrics"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// controlCallTimeout bounds a call of a target's control connection. It is shorter than the silence after which the
// failover machine opens a new connection.
const controlCallTimeout = 600 * time.Millisecond

// groupControl performs the actions of a service's failover machine at its home. It is used from the control goroutine
// only; calls of targets run on goroutines of their own and post their results.
type groupControl struct {
	service model.Service
	control *control
	machine *failover.Machine
	dial    func(address string) *target.ControlMember
	members map[model.TargetID]*memberConnections
	wanted  map[model.TargetID]bool // targets of the configuration
	publish func(failover.View, *routing.PositionSamples)
	replace func(model.TargetID)      // closes the connections for traffic of a target
	idle    func(model.TargetID) bool // nothing runs on a target
	samples routing.PositionSamples
	writes  map[uint64]chan bool // writes whose durability is awaited
	nextID  uint64
	metrics *metrics.Metrics
	log     *zap.Logger
	stopped bool
	primary model.TargetID // last known primary
	began   bool           // writes were acknowledged since this host is home
	lost    time.Time      // time at which writes stopped being acknowledged, zero while they are
}

// memberConnections are the control connections of one target.
type memberConnections struct {
	address   string
	current   *target.ControlMember
	candidate *target.ControlMember // opened next to a connection that does not answer
}

func (m *memberConnections) close() {
	m.current.Close()
	if m.candidate != nil {
		m.candidate.Close()
	}
}

func newGroupControl(s config.Service, orderer string, c *control, dial func(string) *target.ControlMember,
	met *metrics.Metrics, log *zap.Logger) *groupControl {
	g := &groupControl{service: s.Name, control: c, dial: dial, members: map[model.TargetID]*memberConnections{},
		writes: map[uint64]chan bool{}, metrics: met, log: log}
	g.connect(s)
	g.machine = failover.New(failover.Config{Service: s.Name, Orderer: orderer, Members: groupMembers(s),
		Rand: rand.Float64}, time.Now())
	return g
}

func groupMembers(s config.Service) []failover.Member {
	members := make([]failover.Member, len(s.Targets))
	for i, t := range s.Targets {
		members[i] = failover.Member{Target: t.ID, Address: t.Address, Leaving: t.State == config.TargetLeaving}
	}
	return members
}

// connect opens control connections for new targets and replaces those of targets that have moved.
func (g *groupControl) connect(s config.Service) {
	g.wanted = map[model.TargetID]bool{}
	for _, t := range s.Targets {
		g.wanted[t.ID] = true
		if m := g.members[t.ID]; m != nil && m.address != t.Address {
			m.close()
			delete(g.members, t.ID)
		}
		if g.members[t.ID] == nil {
			g.members[t.ID] = &memberConnections{address: t.Address, current: g.dial(t.Address)}
		}
	}
}

// disconnect closes the control connections of removed targets, when the machine no longer needs them for majorities of
// the old list.
func (g *groupControl) disconnect() {
	for id, m := range g.members {
		if !g.wanted[id] {
			m.close()
			delete(g.members, id)
		}
	}
}

// configure follows a change of the configuration. Targets that were removed keep their connections until the machine
// no longer needs them for majorities of the old list.
func (g *groupControl) configure(now time.Time, s config.Service) {
	g.connect(s)
	g.handle(now, failover.MembersChanged{Members: groupMembers(s)})
}

// handle gives an event to the machine and performs the actions.
func (g *groupControl) handle(now time.Time, e failover.Event) {
	if g.stopped {
		return
	}
	for _, a := range g.machine.Handle(now, e) {
		g.perform(now, a)
	}
}

// tick lets the machine do what is due. A primary that is held back for a handover and runs nothing any more is reported
// as idle, so that the handover need not wait.
func (g *groupControl) tick(now time.Time) {
	v := g.machine.View()
	if v.Draining && g.idle(v.Primary) {
		g.handle(now, failover.PrimaryIdle{Term: v.Term})
	}
	if v.MembersSettled {
		g.disconnect()
	}
	g.handle(now, failover.Tick{})
}

// stop ends the work for the group, because this host is no longer its home.
func (g *groupControl) stop() {
	g.stopped = true
	for _, m := range g.members {
		m.close()
	}
	for id := range g.writes {
		g.decide(id, false)
	}
}

// awaitDurable asks for the durability of everything up to a position. The channel gets one value.
func (g *groupControl) awaitDurable(t model.TargetID, p model.Position, deadline time.Time) <-chan bool {
	answer := make(chan bool, 1)
	posted := g.control.post(func(now time.Time) {
		if g.stopped {
			answer <- false
			return
		}
		g.nextID++
		g.writes[g.nextID] = answer
		g.handle(now, failover.WriteFinished{ID: g.nextID, Target: t, Position: p, Deadline: deadline})
	})
	if !posted {
		answer <- false
	}
	return answer
}

func (g *groupControl) decide(id uint64, durable bool) {
	if answer, ok := g.writes[id]; ok {
		delete(g.writes, id)
		answer <- durable
	}
}

func (g *groupControl) perform(now time.Time, action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		g.probe(a)
	case failover.OpenConnection:
		g.openConnection(a)
	case failover.ReplaceConnections:
		g.replaceConnections(a)
	case failover.DiscardConnection:
		g.discardConnection(a)
	case failover.AdoptTerm:
		g.log.Info("failover: asking target to adopt a term", zap.String("target", string(a.Target)),
			zap.Uint64("term", a.Term), zap.String("reason", a.Reason))
		g.command(a.Target, a.Seq, func(ctx context.Context, m *target.ControlMember) (target.MemberStatus, error) {
			return m.Adopt(ctx, a.Term, a.Orderer)
		})
	case failover.Promote:
		g.log.Info("failover: promoting target", zap.String("target", string(a.Target)), zap.Uint64("term", a.Term),
			zap.String("reason", a.Reason))
		g.command(a.Target, a.Seq, func(ctx context.Context, m *target.ControlMember) (target.MemberStatus, error) {
			return m.Promote(ctx, a.Term, a.Orderer)
		})
	case failover.FollowPrimary:
		g.log.Info("failover: asking target to follow", zap.String("target", string(a.Target)),
			zap.String("primary", string(a.Primary)), zap.Uint64("term", a.Term))
		g.command(a.Target, a.Seq, func(ctx context.Context, m *target.ControlMember) (target.MemberStatus, error) {
			return m.Follow(ctx, a.Term, a.Address)
		})
	case failover.AwaitPosition:
		g.await(a)
	case failover.AcknowledgeWrite:
		g.decide(a.ID, true)
	case failover.AbandonWrite:
		g.log.Warn("failover: durability of a write is not known", zap.String("reason", a.Reason))
		g.decide(a.ID, false)
	case failover.PublishView:
		g.published(now, a.View)
	}
}

// published samples the primary's position, measures gaps in writes, and hands the view to traffic.
func (g *groupControl) published(now time.Time, v failover.View) {
	if at, p, ok := v.PrimarySample(); ok {
		g.samples.Add(at, p)
	}
	g.measureGap(now, v)
	g.publish(v, g.samples.Clone())
	g.abandon(v.Primary)
}

// abandon closes the connections for traffic of a primary that was replaced. What waits there for an answer ends as
// unknown and is run again on the new primary, where the request ledger decides whether it has run. Without this, writes
// on a primary that was cut off waited until the end of their time.
func (g *groupControl) abandon(primary model.TargetID) {
	if primary == "" || primary == g.primary {
		return
	}
	if g.primary != "" {
		g.replace(g.primary)
	}
	g.primary = primary
}

func (g *groupControl) measureGap(now time.Time, v failover.View) {
	switch {
	case !v.Writable && g.lost.IsZero() && g.began:
		g.lost = now
		g.log.Warn("failover: writes wait", zap.String("reason", v.Reason), zap.Uint64("term", v.Term))
	case v.Writable && !g.began:
		g.began = true
		g.log.Info("failover: writes begin", zap.String("primary", string(v.Primary)), zap.Uint64("term", v.Term))
	case v.Writable && !g.lost.IsZero():
		gap := now.Sub(g.lost)
		g.lost = time.Time{}
		g.metrics.Failover(g.service, gap)
		g.log.Info("failover: writes go on", zap.String("primary", string(v.Primary)), zap.Uint64("term", v.Term),
			zap.Duration("gap", gap), zap.String("reason", v.Reason))
	}
}

func (g *groupControl) probe(a failover.Probe) {
	if m := g.members[a.Target]; m != nil {
		go g.status(m.current, a.Target, a.Seq)
	}
}

func (g *groupControl) openConnection(a failover.OpenConnection) {
	m := g.members[a.Target]
	if m == nil {
		return
	}
	if m.candidate != nil {
		m.candidate.Close()
	}
	g.log.Info("failover: opening another control connection", zap.String("target", string(a.Target)),
		zap.String("reason", a.Reason))
	m.candidate = g.dial(m.address)
	go g.status(m.candidate, a.Target, a.Seq)
}

func (g *groupControl) replaceConnections(a failover.ReplaceConnections) {
	m := g.members[a.Target]
	if m == nil || m.candidate == nil {
		return
	}
	g.log.Warn("failover: replacing the connections to a target", zap.String("target", string(a.Target)),
		zap.String("reason", a.Reason))
	m.current.Close()
	m.current, m.candidate = m.candidate, nil
	g.replace(a.Target)
}

func (g *groupControl) discardConnection(a failover.DiscardConnection) {
	if m := g.members[a.Target]; m != nil && m.candidate != nil {
		m.candidate.Close()
		m.candidate = nil
	}
}

// status asks a member for its status and posts the answer.
func (g *groupControl) status(m *target.ControlMember, id model.TargetID, seq uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
	defer cancel()
	s, err := m.Status(ctx)
	g.control.post(func(now time.Time) {
		if err != nil {
			g.handle(now, failover.ProbeFailed{Target: id, Seq: seq, Failure: probeFailure(err)})
			return
		}
		g.handle(now, failover.ProbeAnswered{Target: id, Seq: seq, Status: memberStatus(s)})
	})
}

func probeFailure(err error) failover.FailureKind {
	switch {
	case target.IsRefusedConnection(err):
		return failover.FailureRefused
	case errors.Is(err, context.DeadlineExceeded):
		return failover.FailureTimeout
	}
	return failover.FailureClosed
}

func memberStatus(s target.MemberStatus) failover.Status {
	role := failover.RoleReplica
	if s.Role == target.RolePrimary {
		role = failover.RolePrimary
	}
	return failover.Status{AdoptedTerm: s.AdoptedTerm, Orderer: s.Orderer, Role: role, Position: s.Position,
		PrimaryAddress: s.PrimaryAddress}
}

// command runs an order at a member. A member that refuses it is asked for its status, which shows why.
func (g *groupControl) command(id model.TargetID, seq uint64,
	order func(context.Context, *target.ControlMember) (target.MemberStatus, error)) {
	m := g.members[id]
	if m == nil {
		return
	}
	member := m.current
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
		defer cancel()
		s, err := order(ctx, member)
		if target.IsRefusedOrder(err) {
			s, err = member.Status(ctx)
		}
		g.answered(id, seq, s, err)
	}()
}

func (g *groupControl) await(a failover.AwaitPosition) {
	m := g.members[a.Target]
	if m == nil {
		return
	}
	member := m.current
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
		defer cancel()
		s, err := member.WaitPosition(ctx, a.Position)
		if ctx.Err() != nil {
			g.command(a.Target, a.Seq, func(ctx context.Context, m *target.ControlMember) (target.MemberStatus, error) {
				return m.Status(ctx)
			})
			return
		}
		g.answered(a.Target, a.Seq, s, err)
	}()
}

func (g *groupControl) answered(id model.TargetID, seq uint64, s target.MemberStatus, err error) {
	g.control.post(func(now time.Time) {
		if err != nil {
			g.handle(now, failover.CommandFailed{Target: id, Seq: seq})
			return
		}
		g.handle(now, failover.CommandAnswered{Target: id, Seq: seq, Status: memberStatus(s)})
	})
}
