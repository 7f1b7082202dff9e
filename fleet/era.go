package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

const (
	// eraKey holds the EraDocument.
	eraKey = controlPrefix + "era"
	// settlingKey exists for hostLease after the store has come back from a copy. Until it ends, hosts whose registrations the copy does
	// not have may use primaries, so that no primary is replaced.
	settlingKey = controlPrefix + "settling"
	// documentsPerWrite is the number of decisions that are restored in one write, which may have 32 entries in all.
	documentsPerWrite = 10
	// concurrentRestores is the number of services whose targets are probed at the same time.
	concurrentRestores = 32
	// documentsTimeout bounds the question for the decisions that another host knows.
	documentsTimeout = 500 * time.Millisecond
	// epochBits is the number of bits of an epoch below the era, so that the epochs of an era are higher than all earlier ones, also than
	// lost ones.
	epochBits = 32
)

// EraDocument records how far the leader has got after the store came back from a copy.
type EraDocument struct {
	Era uint64 // of the store, see metastore.EraOf
	// Reconciled means that the stored decisions are the latest ones that any host knew.
	Reconciled bool
}

// observeEra records the era of a revision that this host has seen.
func (a *Agent) observeEra(prefix string, revision uint64) {
	era := metastore.EraOf(revision)
	known := a.storeEra.Load()
	if era > known && a.storeEra.CompareAndSwap(known, era) {
		a.Log.Info("store: in a later era", zap.Uint64("era", era), zap.Uint64("last_era", known), zap.String("prefix", prefix),
			zap.Uint64("revision", revision))
	}
}

// applyEra applies an event of eraKey.
func (v *clusterView) applyEra(e metastore.Event) error {
	if v.era = (versioned[EraDocument]{}); e.Removed {
		return nil
	}
	v.era.revision = e.Revision
	return json.Unmarshal(e.Value, &v.era.value)
}

// reconciled reports whether the decisions in the store are the latest ones in the era of a revision. In era 0 the store has lost
// nothing.
func (v *clusterView) reconciled(revision uint64) bool {
	era := metastore.EraOf(revision)
	return era == 0 || v.era.value == EraDocument{era, true}
}

// rebaseDocuments prepares the conditions of the next writes of decisions after a complete list in a later era: those that the store
// has lost are not there, and those of which it has an earlier one keep their value, see applyControlKey.
func (v *clusterView) rebaseDocuments(change prefixChange) {
	listed := map[string]bool{}
	for _, e := range change.events {
		listed[e.Key] = true
	}
	for service, doc := range v.documents {
		if metastore.EraOf(doc.revision) < metastore.EraOf(change.revision) && !listed[primaryPrefix+string(service)] {
			v.documents[service] = versioned[primacy.Document]{doc.value, 0}
		}
	}
}

// Documents replies with the latest decision about the primary of each service that this host knows, without their copies. Hosts of
// later versions ask with Decisions.
func (p *Peer) Documents(_ struct{}, reply *map[model.Service]primacy.Document) error {
	*reply = map[model.Service]primacy.Document{}
	for service, doc := range p.agent.view.Load().documents {
		(*reply)[service] = doc.value
	}
	return nil
}

// Decisions replies with the latest decision about the primary of each service that this host knows, as it is stored. Documents leaves
// the copies out.
func (p *Peer) Decisions(_ struct{}, reply *map[model.Service][]byte) error {
	*reply = map[model.Service][]byte{}
	for service, doc := range p.agent.view.Load().documents {
		(*reply)[service] = mustEncode(doc.value)
	}
	return nil
}

// decisionsOf asks a host for the decisions that it knows. Hosts of earlier versions have only the older method.
func (a *Agent) decisionsOf(h Host) (map[model.Service]primacy.Document, error) {
	var encoded map[model.Service][]byte
	documents := map[model.Service]primacy.Document{}
	err := callHost(a, h, "Peer.Decisions", (*Peer).Decisions, struct{}{}, &encoded, documentsTimeout)
	if isUnknownMethod(err) {
		err = callHost(a, h, "Peer.Documents", (*Peer).Documents, struct{}{}, &documents, documentsTimeout)
	}
	for service, value := range encoded {
		var doc primacy.Document
		if err := json.Unmarshal(value, &doc); err != nil {
			return nil, err
		}
		documents[service] = doc
	}
	return documents, err
}

// settle prepares the replacement of primaries after the store has come back from a copy: it makes replacements wait until all
// permissions of before have ended, and stores the latest decisions that any host knows. It reports false if the term ends first.
func (term *leadership) settle(ctx context.Context) bool {
	for ctx.Err() == nil {
		if term.agent.view.Load().reconciled(term.fence) || term.settleOnce(ctx) {
			return true
		}
		sleep(ctx, retryInterval)
	}
	return false
}

// settleOnce is one attempt of settle.
func (term *leadership) settleOnce(ctx context.Context) bool {
	a, era := term.agent, metastore.EraOf(term.fence)
	if err := a.refreshControlKeys(ctx); err != nil {
		a.Log.Warn("store: listing after a return from a copy failed", zap.Error(err))
		return false
	}
	if v := a.view.Load(); v.era.value.Era != era && !term.beginSettling(ctx, era, v.era.revision) {
		return false
	}
	latest, err := term.collectDocuments(ctx)
	if wait := leaderLease - boottime.Now().Sub(term.began); err == nil && len(latest) > 0 && wait > 0 && !a.wasRegistered() {
		// The leader of the last era may replace primaries until its lease has ended on its own clock, although the store has lost it.
		sleep(ctx, wait)
		latest, err = term.collectDocuments(ctx)
	}
	if err != nil {
		a.Log.Warn("primary: collecting decisions failed", zap.Error(err))
		return false
	}
	return term.restoreDocuments(ctx, era, latest) &&
		term.writeEra(ctx, EraDocument{era, true}, a.view.Load().era.revision, 0)
}

// beginSettling stores that the store is in a new era, together with settlingKey.
func (term *leadership) beginSettling(ctx context.Context, era, revision uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, _, err := term.agent.Store.Grant(callCtx, hostLease)
	if err != nil {
		term.agent.Log.Warn("store: no lease after a return from a copy", zap.Error(err))
		return false
	}
	return term.writeEra(ctx, EraDocument{Era: era}, revision, lease)
}

// writeEra stores the document, and settlingKey if a lease is given, and applies both on this host.
func (term *leadership) writeEra(ctx context.Context, doc EraDocument, expectedRevision uint64, lease metastore.Lease) bool {
	a := term.agent
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := metastore.Txn{Conditions: []metastore.Condition{{Key: eraKey, Revision: expectedRevision}, {Key: leaderKey, Revision: term.fence}},
		Puts: []metastore.Item{{Key: eraKey, Value: mustEncode(doc)}}}
	if lease != 0 {
		txn.Puts = append(txn.Puts, metastore.Item{Key: settlingKey, Value: mustEncode(doc), Lease: lease})
	}
	err := a.commitAndApply(ctx, txn)
	a.Log.Info("store: came back from a copy", zap.Uint64("era", doc.Era), zap.Bool("reconciled", doc.Reconciled), zap.Error(err))
	return err == nil
}

// commitAndApply commits a transaction that only puts control keys, and applies them on this host.
func (a *Agent) commitAndApply(ctx context.Context, txn metastore.Txn) error {
	revision, err := a.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	var events []metastore.Event
	for _, item := range txn.Puts {
		item.Revision = revision
		events = append(events, metastore.Event{Item: item})
	}
	return a.runAndWait(ctx, func(c *control) { c.applyControlKeys(prefixChange{events: events}) })
}

// wasRegistered reports whether this host was registered, with a permission that had not ended, when it registered in the present era.
// The last leader had to fence it then: it either knows a closed decision of that leader, or does not confirm it any more, see
// FenceInEra.
func (a *Agent) wasRegistered() bool {
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	return a.continuous
}

// collectDocuments returns the decisions with the highest epochs that this host and the others know.
func (term *leadership) collectDocuments(ctx context.Context) (map[model.Service]primacy.Document, error) {
	a := term.agent
	hosts := map[model.HostID]Host{}
	if err := a.runAndWait(ctx, func(c *control) {
		for id, d := range c.departed { // they may not have registered again yet
			hosts[id] = d.host
		}
		maps.Copy(hosts, c.view.hosts)
	}); err != nil {
		return nil, err
	}
	type answer struct {
		host      model.HostID
		documents map[model.Service]primacy.Document
		err       error
	}
	answers := make(chan answer, len(hosts))
	for _, h := range hosts {
		go func() {
			documents, err := a.decisionsOf(h)
			answers <- answer{h.ID, documents, err}
		}()
	}
	latest := map[model.Service]primacy.Document{}
	for service, doc := range a.view.Load().documents {
		latest[service] = doc.value
	}
	for range hosts {
		r := <-answers
		if r.err != nil {
			a.Log.Info("primary: decisions of a host not known", zap.String("host", string(r.host)), zap.Error(r.err))
		}
		for service, doc := range r.documents {
			if doc.Epoch > latest[service].Epoch {
				latest[service] = doc
			}
		}
	}
	return latest, nil
}

// restoreDocuments stores the decisions with epochs of the era, several at a time: a fleet has hundreds.
func (term *leadership) restoreDocuments(ctx context.Context, era uint64, latest map[model.Service]primacy.Document) bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var restored []primacy.Document
	slots := make(chan struct{}, concurrentRestores)
	for service, doc := range latest {
		if doc.Epoch>>epochBits >= era {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			doc.Service = service
			next := term.restoredDocument(ctx, era, doc)
			mu.Lock()
			defer mu.Unlock()
			restored = append(restored, next)
		})
	}
	wg.Wait()
	for batch := range slices.Chunk(restored, documentsPerWrite) {
		if !term.writeDocuments(ctx, batch) {
			return false
		}
	}
	return true
}

// restoredDocument returns the decision with an epoch of the era. If its primary has been replaced since, in a decision that nobody
// knows any more, it is closed, so that the primary is replaced again.
func (term *leadership) restoredDocument(ctx context.Context, era uint64, doc primacy.Document) primacy.Document {
	s := &supervisor{leadership: term, service: doc.Service}
	next := doc
	next.Epoch = era<<epochBits | (doc.Epoch&(1<<epochBits-1) + 1)
	for _, t := range term.agent.view.Load().targetsOf(doc.Service) {
		if status, err := s.probe(ctx, t); err == nil && status.Term > doc.Term && doc.Term > 0 {
			next.Open, next.Cause = false, primacy.CauseDemoted
		}
	}
	return next
}

// writeDocuments stores decisions in one write, and applies them on this host.
func (term *leadership) writeDocuments(ctx context.Context, documents []primacy.Document) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := term.agent.view.Load()
	txn := metastore.Txn{Conditions: []metastore.Condition{{Key: eraKey, Revision: v.era.revision}, {Key: leaderKey, Revision: term.fence}}}
	for _, doc := range documents {
		key := primaryPrefix + string(doc.Service)
		txn.Conditions = append(txn.Conditions, metastore.Condition{Key: key, Revision: v.documents[doc.Service].revision})
		txn.Puts = append(txn.Puts, metastore.Item{Key: key, Value: mustEncode(doc)})
		term.agent.Log.Info("primary: restoring decision", zap.String("service", string(doc.Service)), zap.Uint64("epoch", doc.Epoch),
			zap.Bool("open", doc.Open), zap.String("target", string(doc.Primary)), zap.Uint64("term", doc.Term))
	}
	if err := term.agent.commitAndApply(ctx, txn); err != nil {
		term.agent.Log.Warn("primary: decisions not restored", zap.Int("decisions", len(documents)), zap.Error(err))
		return false
	}
	return true
}

// permitPrimaries permits the use of primaries until a time, or, while the decisions in the store may be earlier than those that other
// hosts know, keeps the permission until the leader has reconciled them. A host whose permission had not ended when it registered
// knows every decision that has been put into effect. The caller holds registrationMu.
func (a *Agent) permitPrimaries(until time.Time) {
	if !a.continuous && !a.view.Load().reconciled(a.registeredRevision) {
		a.pendingPermission = until
		return
	}
	a.pendingPermission, a.permissionEnd = time.Time{}, until
	a.Server.AllowPrimariesUntil(until)
}

// releasePermission puts the reconciled decisions into effect and then the permission that waits for them.
func (a *Agent) releasePermission() {
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	if err := a.runAndWait(ctx, func(*control) {}); err != nil { // the decisions are published
		a.Log.Warn("primary: reconciled decisions not applied in time", zap.Error(err))
		return // the next renewal of the registration permits it
	}
	a.enforceDocuments()
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	if until := a.pendingPermission; a.lease != 0 && boottime.Now().Before(until) {
		a.permitPrimaries(until)
	}
}
