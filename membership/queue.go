package membership

import (
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// updateQueue holds the updates that are piggybacked on messages, at most one for each member. Updates with the fewest
// transmissions are sent first. Each level is a FIFO list of the updates with that number of transmissions; a replaced
// item stays in its list and is skipped.
type updateQueue struct {
	items  map[model.HostID]*queuedUpdate
	levels [][]*queuedUpdate
}

type queuedUpdate struct {
	update        Update
	transmissions int
}

// add queues an update and replaces an earlier one about the same member.
func (q *updateQueue) add(u Update) {
	if q.items == nil {
		q.items = map[model.HostID]*queuedUpdate{}
	}
	item := &queuedUpdate{update: u}
	q.items[u.ID] = item
	q.push(item)
}

// replace changes a queued update without resetting its number of transmissions.
func (q *updateQueue) replace(u Update) {
	if item := q.items[u.ID]; item != nil {
		item.update = u
	}
}

func (q *updateQueue) push(item *queuedUpdate) {
	for len(q.levels) <= item.transmissions {
		q.levels = append(q.levels, nil)
	}
	q.levels[item.transmissions] = append(q.levels[item.transmissions], item)
}

// take appends updates to the list while they fit into freeBytes and the list has fewer than MaxUpdates. An update is
// dropped after maxTransmissions.
func (q *updateQueue) take(list []Update, freeBytes, maxTransmissions int) []Update {
	var taken []*queuedUpdate
	for level := range q.levels {
		for len(q.levels[level]) > 0 && len(list) < MaxUpdates {
			item := q.levels[level][0]
			if q.items[item.update.ID] != item {
				q.levels[level] = q.levels[level][1:]
				continue
			}
			if item.update.size() > freeBytes {
				q.requeue(taken, maxTransmissions)
				return list
			}
			q.levels[level] = q.levels[level][1:]
			taken = append(taken, item)
			if !slices.ContainsFunc(list, func(u Update) bool { return u.ID == item.update.ID }) {
				list = append(list, item.update)
				freeBytes -= item.update.size()
			}
		}
	}
	q.requeue(taken, maxTransmissions)
	return list
}

func (q *updateQueue) requeue(taken []*queuedUpdate, maxTransmissions int) {
	for _, item := range taken {
		item.transmissions++
		if item.transmissions < maxTransmissions {
			q.push(item)
		} else {
			delete(q.items, item.update.ID)
		}
	}
}
