package membership

import (
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// updateQueue holds the updates that ride on messages, at most one for each member. The updates that were sent least
// often go first. Each level is a first-in first-out list of the updates that were sent that many times; an item that
// was replaced stays in its list and is skipped.
type updateQueue struct {
	items  map[model.HostID]*queued
	levels [][]*queued
}

type queued struct {
	update Update
	sent   int
}

// add queues an update in place of an earlier one about the same member.
func (q *updateQueue) add(u Update) {
	if q.items == nil {
		q.items = map[model.HostID]*queued{}
	}
	item := &queued{update: u}
	q.items[u.ID] = item
	q.push(item)
}

// replace changes an update that is still queued and keeps its number of transmissions.
func (q *updateQueue) replace(u Update) {
	if item := q.items[u.ID]; item != nil {
		item.update = u
	}
}

func (q *updateQueue) push(item *queued) {
	for len(q.levels) <= item.sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[item.sent] = append(q.levels[item.sent], item)
}

// take appends updates to the list, as long as they fit into the room and the list has fewer than MaxUpdates. An update
// is dropped after limit transmissions.
func (q *updateQueue) take(list []Update, room, limit int) []Update {
	var taken []*queued
	for level := range q.levels {
		for len(q.levels[level]) > 0 && len(list) < MaxUpdates {
			item := q.levels[level][0]
			if q.items[item.update.ID] != item {
				q.levels[level] = q.levels[level][1:]
				continue
			}
			if item.update.size() > room {
				q.requeue(taken, limit)
				return list
			}
			q.levels[level] = q.levels[level][1:]
			taken = append(taken, item)
			if !slices.ContainsFunc(list, func(u Update) bool { return u.ID == item.update.ID }) {
				list = append(list, item.update)
				room -= item.update.size()
			}
		}
	}
	q.requeue(taken, limit)
	return list
}

func (q *updateQueue) requeue(taken []*queued, limit int) {
	for _, item := range taken {
		item.sent++
		if item.sent < limit {
			q.push(item)
		} else {
			delete(q.items, item.update.ID)
		}
	}
}
