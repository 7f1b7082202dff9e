package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// keptTimeout bounds the question for what another host has kept, whose answer may have a configuration of a megabyte.
	keptTimeout = 500 * time.Millisecond
	// learnTimeout is the time for which a host that starts asks others. A store that comes back from a copy has the configuration and
	// the entries again about two seconds later.
	learnTimeout = 2 * time.Second
	// learnInterval is the interval between rounds of questions.
	learnInterval = 100 * time.Millisecond
)

// errEarlierEra means that a host has not seen the era of the store yet, so that it does not know what the store has lost.
var errEarlierEra = errors.New("this host has not seen that era of the store yet")

// keptState is what a host has read from an earlier history of the store and uses on, because the store has older ones since it came
// back from a copy.
type keptState struct {
	configuration []byte                            // of the version of the view's catalog; nil if the store has that version
	targets       map[model.TargetID]catalog.Target // as in use; immutable
}

// keep returns what the view shall publish as kept.
func (c *control) keep() keptState {
	kept := keptState{}
	if c.configurationOutdated {
		kept.configuration = c.configurationValue
	}
	for id := range c.entries.outdated {
		if t, used := c.view.targets[id]; used {
			if kept.targets == nil {
				kept.targets = map[model.TargetID]catalog.Target{}
			}
			kept.targets[id] = t
		}
	}
	return kept
}

// KeptRequest asks a host for what it has kept. Era is the era of the store that the sender has seen, Version that of its configuration.
type KeptRequest struct {
	Era     uint64
	Version int64
}

// KeptReply is the reply to a KeptRequest.
type KeptReply struct {
	Configuration []byte // empty if the store, or the sender, has that version
	Targets       []catalog.Target
}

// Kept replies with what this host has kept. It fails if this host has not seen the era yet.
func (p *Peer) Kept(r KeptRequest, reply *KeptReply) error {
	if p.agent.storeEra.Load() < r.Era {
		return errEarlierEra
	}
	v := p.agent.view.Load()
	if v.catalog.Version > r.Version {
		reply.Configuration = v.kept.configuration
	}
	for _, t := range v.kept.targets {
		t.ColdUntil = time.Time{} // by the clock of this host
		reply.Targets = append(reply.Targets, t)
	}
	return nil
}

// learnKept asks other hosts what they have kept if this host has started just after a return of the store, of which it has read only
// what the copy has.
func (a *Agent) learnKept(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	for ctx.Err() == nil && a.view.Load().catalog.Version == 0 { // the era is known with the configuration
		sleep(ctx, storePollInterval)
	}
	for ctx.Err() == nil && !a.view.Load().reconciled(metastore.RevisionInEra(a.storeEra.Load(), 1)) {
		for _, h := range a.knownPeers() {
			request := KeptRequest{a.storeEra.Load(), a.view.Load().catalog.Version}
			var reply KeptReply
			err := a.controlClients.call(h, "Peer.Kept", request, &reply, keptTimeout)
			a.Log.Info("store: asked what is kept from before its return", zap.String("peer", string(h.ID)), zap.Uint64("era", request.Era),
				zap.Int("configuration_bytes", len(reply.Configuration)), zap.Int("targets", len(reply.Targets)), zap.Error(err))
			if err == nil {
				a.post(ctx, func(c *control) { c.applyKept(request.Era, reply) })
				return
			}
		}
		sleep(ctx, learnInterval)
	}
}

// knownPeers returns the leader, the candidates and the seeds, without this host.
func (a *Agent) knownPeers() (hosts []Host) {
	if leader, ok := a.view.Load().leaderHost(); ok {
		hosts = append(hosts, leader)
	}
	hosts = append(hosts, a.candidateHosts()...)
	for _, seed := range a.Seeds {
		hosts = append(hosts, Host{ID: model.HostID(seed), Address: seed})
	}
	return slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == a.Self.ID })
}

// applyKept applies what another host has kept from before an era, unless this host has later ones.
func (c *control) applyKept(era uint64, kept KeptReply) {
	if len(kept.Configuration) > 0 {
		c.setConfiguration(kept.Configuration, false)
	}
	now := boottime.Now()
	for _, t := range kept.Targets {
		known, ok := c.view.targets[t.ID]
		if ok && !known.Before(t) || c.entries.eras[t.ID] > era {
			continue
		}
		c.applyEntry(t, metastore.RevisionInEra(era-1, 1), false, now)
		if ok {
			c.entries.outdated[t.ID] = outdatedEntry{known, era, now}
		}
		c.pending.targets = true
	}
	c.publish()
}
