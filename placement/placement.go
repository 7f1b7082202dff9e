// Package placement decides which host does which job, without any agreement between hosts: every host computes the
// same answer from the same list of live hosts. Hosts with different lists may give different answers for a while; the
// users of the package are built so that two hosts doing one job is harmless.
//
// The order is rendezvous hashing: each host gets a score from the hash of the key and the host id. When a host leaves,
// only the keys for which it came first move, because the scores of the other hosts do not change.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Candidate is a live host that may be given a job.
type Candidate struct {
	ID         model.HostID
	DataCentre model.DataCentre
}

// Prefixes keep the orders of different kinds of keys independent of each other.
const (
	servicePrefix   = "service/"
	workspacePrefix = "workspace/"
	relayKey        = "relay"
)

// Score returns the rendezvous score of a host for a key. The host with the greatest score comes first.
func Score(key string, host model.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0}) // separates key and host, so that ("ab", "c") and ("a", "bc") differ
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

type scoredHost struct {
	host  model.HostID
	score uint64
}

// before orders by falling score. Equal scores are ordered by id, so that the order is total.
func compareScores(a, b scoredHost) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.host, b.host)
}

// Rank returns the ids of all hosts in rendezvous order for the key. The order of the input does not matter.
func Rank(key string, hosts []Candidate) []model.HostID {
	list := make([]scoredHost, len(hosts))
	for i, host := range hosts {
		list[i] = scoredHost{host: host.ID, score: Score(key, host.ID)}
	}
	slices.SortFunc(list, compareScores)
	ids := make([]model.HostID, len(list))
	for i, entry := range list {
		ids[i] = entry.host
	}
	return ids
}

// First returns the first host in rendezvous order for the key. It reports false when the list is empty.
func First(key string, hosts []Candidate) (model.HostID, bool) {
	return first(key, hosts, func(Candidate) bool { return true })
}

func first(key string, hosts []Candidate, eligible func(Candidate) bool) (model.HostID, bool) {
	var best scoredHost
	found := false
	for _, host := range hosts {
		if !eligible(host) {
			continue
		}
		entry := scoredHost{host: host.ID, score: Score(key, host.ID)}
		if !found || compareScores(entry, best) < 0 {
			best = entry
			found = true
		}
	}
	return best.host, found
}

// Home returns the host that owns the connections, queue and failover of a service. Hosts in a data centre of one of
// the service's targets come first, because a statement then crosses no data centre on its way to the target. All live
// hosts are considered when none is in such a data centre. It reports false when there is no live host.
func Home(service model.Service, targets []model.DataCentre, live []Candidate) (model.HostID, bool) {
	key := servicePrefix + string(service)
	near := func(host Candidate) bool { return slices.Contains(targets, host.DataCentre) }
	if id, found := first(key, live, near); found {
		return id, true
	}
	return First(key, live)
}

// Broker returns the host that combines and hands out the lent shares of a workspace. It reports false when there is no
// live host.
func Broker(workspace model.Workspace, live []Candidate) (model.HostID, bool) {
	return First(workspacePrefix+string(workspace), live)
}
