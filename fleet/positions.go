package fleet

import (
	"errors"
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

// positionMethod is the RPC method that returns a position of a primary.
const positionMethod = "Peer.Position"

// positionCallTimeout bounds a request for a position.
const positionCallTimeout = 200 * time.Millisecond

// errNoHostForTarget means that no host that may connect to the target is reachable.
var errNoHostForTarget = errors.New("no host that uses the target is reachable")

// PositionRequest asks a host that uses the primary of a service for a position of it.
type PositionRequest struct{ Service model.Service }

// PositionReply is the reply to a PositionRequest.
type PositionReply struct {
	Epoch     uint64 // of the decision under which the host uses the primary
	Positions []AgedPosition
}

// AgedPosition is a position that the primary had Age before the reply, or later.
type AgedPosition struct {
	Position model.Position
	Age      time.Duration
}

// Position returns positions of a service's primary, oldest first.
func (p *Peer) Position(r PositionRequest, reply *PositionReply) error {
	epoch, samples, err := p.agent.Server.PrimaryPositions(r.Service)
	if err != nil {
		return err
	}
	now := boottime.Now()
	reply.Epoch = epoch
	for _, s := range samples {
		reply.Positions = append(reply.Positions, AgedPosition{s.Position, now.Sub(s.At)})
	}
	return nil
}

// PrimaryPositions implements frontend.Forwarder. The positions are dated back by their ages from the time at which the request
// was sent, which is before the request arrived at the other host. So none is taken for younger than it is.
func (a *Agent) PrimaryPositions(service model.Service, primary model.TargetID) (uint64, []routing.Sample, error) {
	v := a.view.Load()
	err := errNoHostForTarget
	for _, candidate := range v.targetPlan.Hosts(primary) {
		h, registered := v.hosts[candidate.Host]
		if !registered || a.reachability.isUnreachable(candidate.Host) {
			continue
		}
		var reply PositionReply
		sent := boottime.Now()
		if h.ID == a.Self.ID {
			err = (&Peer{a}).Position(PositionRequest{service}, &reply)
		} else {
			_, err = a.statementClients.callKeepConn(h, positionMethod, PositionRequest{service}, &reply, positionCallTimeout)
		}
		if err == nil {
			samples := make([]routing.Sample, len(reply.Positions))
			for i, p := range reply.Positions {
				samples[i] = routing.Sample{At: sent.Add(-p.Age), Position: p.Position}
			}
			return reply.Epoch, samples, nil
		}
	}
	return 0, nil, err
}

// RunOnRequest asks a host to run a statement on a target.
type RunOnRequest struct {
	Request frontend.ForwardRequest
	Target  model.TargetID
}

// RunOnReply is the reply to a RunOnRequest.
type RunOnReply struct {
	Reply     frontend.ForwardReply
	Elsewhere frontend.Elsewhere
	Load      targetLoad
}

// targetLoad is the encoded form of a balance.Load. Its units keep the encoding short.
type targetLoad struct {
	Limit, Running, Waiting uint16
	WaitMs, ServiceMs       uint32
	SlowdownPercent         uint16 // 100: as fast as the best targets
}

func newTargetLoad(l balance.Load) targetLoad {
	return targetLoad{Limit: clampUint16(l.Limit), Running: clampUint16(l.Running), Waiting: clampUint16(l.Waiting),
		WaitMs: uint32(max(0, l.Wait.Milliseconds())), ServiceMs: uint32(max(0, l.Service.Milliseconds())),
		SlowdownPercent: clampUint16(int(l.Slowdown * 100))}
}

func clampUint16(n int) uint16 { return uint16(min(max(0, n), math.MaxUint16)) }

func (l targetLoad) load() balance.Load {
	return balance.Load{Limit: int(l.Limit), Running: int(l.Running), Waiting: int(l.Waiting),
		Wait: time.Duration(l.WaitMs) * time.Millisecond, Service: time.Duration(l.ServiceMs) * time.Millisecond,
		Slowdown: float64(l.SlowdownPercent) / 100}
}

// RunOn executes a statement for another host on a target. An error means that it has not run.
func (p *Peer) RunOn(r RunOnRequest, reply *RunOnReply) (err error) {
	r.Request.Target = r.Target
	reply.Reply, err = p.agent.Server.RunForwarded(r.Request)
	p.agent.holdReply(&reply.Reply)
	reply.Elsewhere, reply.Load = reply.Reply.Elsewhere, newTargetLoad(reply.Reply.Load)
	return err
}
