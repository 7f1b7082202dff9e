// Package placement assigns jobs to hosts without coordination: every host computes the same assignment from the same
// list of live hosts. Hosts with different lists may disagree for a while, so callers must tolerate two hosts doing
// the same job.
//
// The assignment uses rendezvous hashing: each host is scored by the hash of the key and the host id, and the highest
// score wins. When a host leaves, only the keys assigned to it move, because the scores of the other hosts do not
// change.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Candidate is a live host that jobs may be assigned to.
type Candidate struct {
	ID         model.HostID
	DataCentre model.DataCentre
	Capacity   float64 // processor time in cores; used by RankByCapacity only
}

// Prefixes that separate the hash inputs of different kinds of keys.
const (
	servicePrefix   = "service/"
	workspacePrefix = "workspace/"
	targetPrefix    = "target/"
	relayKey        = "relay"
)

// Score returns the rendezvous score of a host for a key. The host with the highest score is ranked first.
func Score(key string, host model.HostID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0}) // separates key and host, so that ("ab", "c") and ("a", "bc") differ
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

// minCapacity is the capacity assumed of a host that states none, in cores.
const minCapacity = 0.001

type scoredHost struct {
	host  model.HostID
	score uint64
}

// compareScores orders hosts by decreasing score, and by id if the scores are equal, so that the order is total.
func compareScores(a, b scoredHost) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.host, b.host)
}

// Rank returns the ids of all hosts in rendezvous order for the key, independent of the order of the input.
func Rank(key string, hosts []Candidate) []model.HostID {
	scored := make([]scoredHost, len(hosts))
	for i, host := range hosts {
		scored[i] = scoredHost{host: host.ID, score: Score(key, host.ID)}
	}
	slices.SortFunc(scored, compareScores)
	ids := make([]model.HostID, len(scored))
	for i, entry := range scored {
		ids[i] = entry.host
	}
	return ids
}

// weightedHost is a host with its score in weighted rendezvous hashing.
type weightedHost struct {
	scoredHost
	weighted float64
}

func newWeightedHost(key string, host Candidate) weightedHost {
	score := Score(key, host.ID)
	// The logarithm of a uniform number, divided by the weight, is the usual score of weighted rendezvous hashing.
	uniform := (float64(score) + 0.5) / math.Exp2(64)
	return weightedHost{scoredHost{host.ID, score}, math.Log(uniform) / max(host.Capacity, minCapacity)}
}

// compareWeighted orders hosts by decreasing weighted score. The order is total.
func compareWeighted(a, b weightedHost) int {
	return cmp.Or(cmp.Compare(b.weighted, a.weighted), compareScores(a.scoredHost, b.scoredHost))
}

func hostIDs(list []weightedHost) []model.HostID {
	ids := make([]model.HostID, len(list))
	for i, entry := range list {
		ids[i] = entry.host
	}
	return ids
}

// RankByCapacity returns the ids of all hosts in weighted rendezvous order for the key: a host is ranked first for a share of
// the keys that is proportional to its capacity.
func RankByCapacity(key string, hosts []Candidate) []model.HostID {
	list := make([]weightedHost, len(hosts))
	for i, host := range hosts {
		list[i] = newWeightedHost(key, host)
	}
	slices.SortFunc(list, compareWeighted)
	return hostIDs(list)
}

// First returns the first host in rendezvous order for the key. It reports false if the list is empty.
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

// Home returns the host that owns the connections, queue and failover of a service. It prefers hosts in the data
// centres of the service's targets, because a statement then crosses no data centre on its way to the target. If
// there is no such host, all live hosts are considered. It reports false if there is no live host.
func Home(service model.Service, targets []model.DataCentre, live []Candidate) (model.HostID, bool) {
	key := servicePrefix + string(service)
	near := func(host Candidate) bool { return slices.Contains(targets, host.DataCentre) }
	if id, found := first(key, live, near); found {
		return id, true
	}
	return First(key, live)
}

// Broker returns the host that combines the lent shares of a workspace and grants tokens from them. It reports false
// if there is no live host.
func Broker(workspace model.Workspace, live []Candidate) (model.HostID, bool) {
	return First(workspacePrefix+string(workspace), live)
}
