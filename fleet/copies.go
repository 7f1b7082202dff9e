package fleet

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// copiesCheckInterval is the interval between attempts to record the copies of a service whose replicas have changed. Each one costs
// a slot of each target for a moment.
const copiesCheckInterval = time.Second

// recordCopies stores which replicas have every acknowledged commit, for services with synchronous replicas. A replica that starts
// again without its data later on does not count then when the primary is replaced. It asks the targets only when their list or
// their start times differ from the record.
func (s *supervisor) recordCopies(ctx context.Context, doc versioned[primacy.Document]) {
	v := s.agent.view.Load()
	required := v.catalog.Services[s.service].SyncReplicas
	primary, registered := v.targets[doc.value.Primary]
	now := boottime.Now()
	if required == 0 || !registered || now.Sub(s.copiesCheckedAt) < copiesCheckInterval || doc.revision == 0 {
		return
	}
	starts := map[model.TargetID]int64{}
	for _, t := range v.targetsOf(s.service) {
		if t.ID != primary.ID {
			starts[t.ID] = t.StartedAt
		}
	}
	if maps.Equal(starts, doc.value.Copies) {
		return
	}
	s.copiesCheckedAt = now
	leading, err := s.probe(ctx, primary) // before the replicas, so that they have had its commits sent
	if err != nil || !leading.Primary || leading.Term < doc.value.Term {
		return
	}
	next := doc.value
	next.Copies = map[model.TargetID]int64{}
	for id, startedAt := range starts {
		status, err := s.probe(ctx, v.targets[id])
		if err == nil && primacy.HasEverything(status, leading) {
			next.Copies[id] = startedAt
		}
	}
	// With fewer copies than are required, a commit may be on a replica that the record would leave out.
	if len(next.Copies) < required || maps.Equal(next.Copies, doc.value.Copies) {
		return
	}
	s.log.Info("primary: recording the replicas that have every commit", zap.Any("started_at", next.Copies),
		zap.Uint64("epoch", next.Epoch), zap.Uint64("offset", leading.Received.Offset))
	s.writeDocument(ctx, doc.revision, next)
}
