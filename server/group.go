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

// controlCallTimeout bounds a call on a target's control connection. It is shorter than the time without an answer after
// which the failover machine opens a new connection.
const controlCallTimeout = 600 * time.Millisecond

// groupController executes the actions of a service's failover machine at the service's home. It is accessed by the
// control loop only; calls to targets run on separate goroutines and post their results to the loop.
type groupController struct {
	service        model.Service
	controlLoop    *controlLoop
	machine        *failover.Machine
	dial           func(address string) *target.MemberClient
	members        map[model.TargetID]*memberConnections
	configured     map[model.TargetID]bool // targets in the active configuration
	publish        func(failover.View, *routing.PositionSamples)
	replaceTraffic func(model.TargetID)      // closes and reopens the traffic connections to a target
	isIdle         func(model.TargetID) bool // reports whether no statement or transaction is active on a target
	samples        routing.PositionSamples
	pendingWrites  map[uint64]chan bool // writes that wait for confirmation, by id
	lastWriteID    uint64
	metrics        *metrics.Metrics
	log            *zap.Logger
	stopped        bool
	lastPrimary    model.TargetID // last known primary, empty if none was known
	writesStarted  bool           // the group has been writable since this home started
	gapStart       time.Time      // time at which the group stopped being writable, zero while it is writable
}

// memberConnections holds the control connections to one target.
type memberConnections struct {
	address   string
	current   *target.MemberClient
	candidate *target.MemberClient // opened while the current connection does not answer, otherwise nil
}

func (m *memberConnections) close() {
	m.current.Close()
	if m.candidate != nil {
		m.candidate.Close()
	}
}

func newGroupController(s config.Service, orderer string, c *controlLoop, dial func(string) *target.MemberClient,
	met *metrics.Metrics, log *zap.Logger) *groupController {
	g := &groupController{service: s.Name, controlLoop: c, dial: dial, members: map[model.TargetID]*memberConnections{},
		pendingWrites: map[uint64]chan bool{}, metrics: met, log: log}
	g.openControlConnections(s)
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

// openControlConnections opens control connections to new targets and replaces those whose address has changed.
func (g *groupController) openControlConnections(s config.Service) {
	g.configured = map[model.TargetID]bool{}
	for _, t := range s.Targets {
		g.configured[t.ID] = true
		if m := g.members[t.ID]; m != nil && m.address != t.Address {
			m.close()
			delete(g.members, t.ID)
		}
		if g.members[t.ID] == nil {
			g.members[t.ID] = &memberConnections{address: t.Address, current: g.dial(t.Address)}
		}
	}
}

// closeUnusedConnections closes the control connections to removed targets. It is called once the machine no longer needs
// these targets for majorities of the previous member list.
func (g *groupController) closeUnusedConnections() {
	for id, m := range g.members {
		if !g.configured[id] {
			m.close()
			delete(g.members, id)
		}
	}
}

// configure applies a changed service configuration. Removed targets keep their connections until the machine no longer
// needs them for majorities of the previous member list.
func (g *groupController) configure(now time.Time, s config.Service) {
	g.openControlConnections(s)
	g.handle(now, failover.MembersChanged{Members: groupMembers(s)})
}

// handle passes an event to the failover machine and executes the resulting actions.
func (g *groupController) handle(now time.Time, e failover.Event) {
	if g.stopped {
		return
	}
	for _, a := range g.machine.Handle(now, e) {
		g.perform(now, a)
	}
}

// tick advances the failover machine. While writes are held for a planned handover, it reports a primary that has become
// idle, so that the handover proceeds without waiting for its timeout.
func (g *groupController) tick(now time.Time) {
	v := g.machine.View()
	if v.Draining && g.isIdle(v.Primary) {
		g.handle(now, failover.PrimaryIdle{Term: v.Term})
	}
	if v.MembersSettled {
		g.closeUnusedConnections()
	}
	g.handle(now, failover.Tick{})
}

// stop closes the control connections and fails the pending writes when this host is no longer the home of the service.
func (g *groupController) stop() {
	g.stopped = true
	for _, m := range g.members {
		m.close()
	}
	for id := range g.pendingWrites {
		g.resolveWrite(id, false)
	}
}

// awaitDurable waits until a majority of the group has the log up to a position. The channel receives one value: false if
// this was not confirmed by the deadline.
func (g *groupController) awaitDurable(t model.TargetID, p model.Position, deadline time.Time) <-chan bool {
	answer := make(chan bool, 1)
	posted := g.controlLoop.post(func(now time.Time) {
		if g.stopped {
			answer <- false
			return
		}
		g.lastWriteID++
		g.pendingWrites[g.lastWriteID] = answer
		g.handle(now, failover.WriteFinished{ID: g.lastWriteID, Target: t, Position: p, Deadline: deadline})
	})
	if !posted {
		answer <- false
	}
	return answer
}

func (g *groupController) resolveWrite(id uint64, durable bool) {
	if answer, ok := g.pendingWrites[id]; ok {
		delete(g.pendingWrites, id)
		answer <- durable
	}
}

func (g *groupController) perform(now time.Time, action failover.Action) {
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
		g.log.Info("failover: sending adopt command to target", zap.String("target", string(a.Target)),
			zap.Uint64("term", a.Term), zap.String("reason", a.Reason))
		g.runCommand(a.Target, a.Seq, func(ctx context.Context, m *target.MemberClient) (target.MemberStatus, error) {
			return m.Adopt(ctx, a.Term, a.Orderer)
		})
	case failover.Promote:
		g.log.Info("failover: promoting target", zap.String("target", string(a.Target)), zap.Uint64("term", a.Term),
			zap.String("reason", a.Reason))
		g.runCommand(a.Target, a.Seq, func(ctx context.Context, m *target.MemberClient) (target.MemberStatus, error) {
			return m.Promote(ctx, a.Term, a.Orderer)
		})
	case failover.FollowPrimary:
		g.log.Info("failover: sending follow command to target", zap.String("target", string(a.Target)),
			zap.String("primary", string(a.Primary)), zap.Uint64("term", a.Term))
		g.runCommand(a.Target, a.Seq, func(ctx context.Context, m *target.MemberClient) (target.MemberStatus, error) {
			return m.Follow(ctx, a.Term, a.Address)
		})
	case failover.AwaitPosition:
		g.awaitPosition(a)
	case failover.AcknowledgeWrite:
		g.resolveWrite(a.ID, true)
	case failover.AbandonWrite:
		g.log.Warn("failover: durability of a write is not known", zap.String("reason", a.Reason))
		g.resolveWrite(a.ID, false)
	case failover.PublishView:
		g.handleView(now, a.View)
	}
}

// handleView samples the primary's position, records write gaps, and publishes the view to request goroutines.
func (g *groupController) handleView(now time.Time, v failover.View) {
	if at, p, ok := v.PrimarySample(); ok {
		g.samples.Add(at, p)
	}
	g.recordWriteGap(now, v)
	g.publish(v, g.samples.Clone())
	g.replacePrimaryTraffic(v.Primary)
}

// replacePrimaryTraffic closes the traffic connections to a primary that was replaced. Statements waiting there end with
// an unknown outcome and are retried on the new primary, where the request ledger detects those that have already run.
// Otherwise writes on an unreachable primary would wait until their deadline.
func (g *groupController) replacePrimaryTraffic(primary model.TargetID) {
	if primary == "" || primary == g.lastPrimary {
		return
	}
	if g.lastPrimary != "" {
		g.replaceTraffic(g.lastPrimary)
	}
	g.lastPrimary = primary
}

func (g *groupController) recordWriteGap(now time.Time, v failover.View) {
	switch {
	case !v.Writable && g.gapStart.IsZero() && g.writesStarted:
		g.gapStart = now
		g.log.Warn("failover: writes wait", zap.String("reason", v.Reason), zap.Uint64("term", v.Term))
	case v.Writable && !g.writesStarted:
		g.writesStarted = true
		g.log.Info("failover: writes started", zap.String("primary", string(v.Primary)), zap.Uint64("term", v.Term))
	case v.Writable && !g.gapStart.IsZero():
		gap := now.Sub(g.gapStart)
		g.gapStart = time.Time{}
		g.metrics.ObserveFailover(g.service, gap)
		g.log.Info("failover: writes resumed", zap.String("primary", string(v.Primary)), zap.Uint64("term", v.Term),
			zap.Duration("gap", gap), zap.String("reason", v.Reason))
	}
}

func (g *groupController) probe(a failover.Probe) {
	if m := g.members[a.Target]; m != nil {
		go g.postStatus(m.current, a.Target, a.Seq)
	}
}

func (g *groupController) openConnection(a failover.OpenConnection) {
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
	go g.postStatus(m.candidate, a.Target, a.Seq)
}

func (g *groupController) replaceConnections(a failover.ReplaceConnections) {
	m := g.members[a.Target]
	if m == nil || m.candidate == nil {
		return
	}
	g.log.Warn("failover: replacing the connections to a target", zap.String("target", string(a.Target)),
		zap.String("reason", a.Reason))
	m.current.Close()
	m.current, m.candidate = m.candidate, nil
	g.replaceTraffic(a.Target)
}

func (g *groupController) discardConnection(a failover.DiscardConnection) {
	if m := g.members[a.Target]; m != nil && m.candidate != nil {
		m.candidate.Close()
		m.candidate = nil
	}
}

// postStatus queries the status of a member and posts the result to the control loop.
func (g *groupController) postStatus(m *target.MemberClient, id model.TargetID, seq uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
	defer cancel()
	s, err := m.Status(ctx)
	g.controlLoop.post(func(now time.Time) {
		if err != nil {
			g.handle(now, failover.ProbeFailed{Target: id, Seq: seq, Failure: probeFailure(err)})
			return
		}
		g.handle(now, failover.ProbeAnswered{Target: id, Seq: seq, Status: memberStatus(s)})
	})
}

func probeFailure(err error) failover.FailureKind {
	switch {
	case target.IsConnectionRefused(err):
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

// runCommand sends a command to a member. If the member refuses it, its status is queried instead, which shows the reason.
func (g *groupController) runCommand(id model.TargetID, seq uint64,
	command func(context.Context, *target.MemberClient) (target.MemberStatus, error)) {
	m := g.members[id]
	if m == nil {
		return
	}
	member := m.current
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlCallTimeout)
		defer cancel()
		s, err := command(ctx, member)
		if target.IsCommandRefused(err) {
			s, err = member.Status(ctx)
		}
		g.postCommandResult(id, seq, s, err)
	}()
}

func (g *groupController) awaitPosition(a failover.AwaitPosition) {
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
			g.runCommand(a.Target, a.Seq, func(ctx context.Context, m *target.MemberClient) (target.MemberStatus, error) {
				return m.Status(ctx)
			})
			return
		}
		g.postCommandResult(a.Target, a.Seq, s, err)
	}()
}

func (g *groupController) postCommandResult(id model.TargetID, seq uint64, s target.MemberStatus, err error) {
	g.controlLoop.post(func(now time.Time) {
		if err != nil {
			g.handle(now, failover.CommandFailed{Target: id, Seq: seq})
			return
		}
		g.handle(now, failover.CommandAnswered{Target: id, Seq: seq, Status: memberStatus(s)})
	})
}
