package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const tickInterval = 50 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a message in transit, or a tick if the message has no kind.
type event struct {
	at       time.Time
	sequence int
	from     int
	to       int
	message  Message
}

// events is a heap of events, ordered by time and then by insertion.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// node is a simulated host.
type node struct {
	table        *Table
	initial      Member // this host's row at its start
	up           bool
	paused       bool
	deferred     []event // events that a paused host handles when it resumes
	sentBytes    int
	sentMessages int
	deaths       int // changes to StateDead at this host
}

// network runs hosts in three regions in virtual time. A message takes 1 ms within a region and 40 ms between regions.
type network struct {
	t              testing.TB
	rng            *rand.Rand
	now            time.Time
	queue          events
	sequence       int
	nodes          []*node
	lossRate       float64
	linkCut        func(from, to int) bool
	hostsByAddress map[string]int
	// encodeMessages passes messages in their wire format. Large fleets pass values instead, which takes a third of
	// the time.
	encodeMessages bool
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%03d", i)) }

func newNetwork(t testing.TB, n int, seed uint64) *network {
	net := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, linkCut: func(int, int) bool { return false },
		hostsByAddress: map[string]int{}, encodeMessages: n <= 50}
	for i := range n {
		net.nodes = append(net.nodes, &node{})
		net.hostsByAddress[address(i)] = i
	}
	for i := range n {
		net.startHost(i)
	}
	return net
}

func (net *network) hostList() []ListedHost {
	list := make([]ListedHost, len(net.nodes))
	for i := range net.nodes {
		list[i] = ListedHost{ID: hostID(i), GossipAddress: address(i), RPCAddress: address(i)}
	}
	return list
}

// startHost starts or restarts a host with a new incarnation and an empty table.
func (net *network) startHost(i int) {
	self := Member{ID: hostID(i), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%9)), GossipAddress: address(i),
		RPCAddress: address(i), Incarnation: model.Incarnation(net.now.UnixNano()), Payload: make([]byte, 8)}
	net.nodes[i].table = New(net.now, self, Settings{})
	net.nodes[i].initial = self
	net.nodes[i].up = true
	net.perform(i, net.nodes[i].table.ApplyHostList(net.now, net.rng, net.hostList()))
	net.push(event{at: net.now.Add(time.Duration(net.rng.Int64N(int64(tickInterval)))), to: i})
}

func (net *network) push(e event) {
	net.sequence++
	e.sequence = net.sequence
	heap.Push(&net.queue, e)
}

func (net *network) perform(from int, actions []Action) {
	for _, action := range actions {
		if action.Change != nil {
			if action.Change.Member.State == StateDead {
				net.nodes[from].deaths++
			}
			continue
		}
		message := action.Send.Message
		net.nodes[from].sentMessages++
		if net.encodeMessages {
			message = net.encodeAndDecode(from, message)
		}
		to, found := net.hostsByAddress[action.Send.Address]
		if !found {
			net.t.Fatalf("no host has the address %q", action.Send.Address)
		}
		if net.rng.Float64() < net.lossRate || net.linkCut(from, to) {
			continue
		}
		delay := time.Millisecond
		if from%3 != to%3 {
			delay = 40 * time.Millisecond
		}
		net.push(event{at: net.now.Add(delay), from: from, to: to, message: message})
	}
}

// encodeAndDecode checks that a message fits into a datagram and counts its bytes.
func (net *network) encodeAndDecode(from int, m Message) Message {
	data, err := Encode(m)
	if err != nil {
		net.t.Fatalf("message does not fit: %v: %+v", err, m)
	}
	net.nodes[from].sentBytes += len(data) + 8
	decoded, err := Decode(data)
	if err != nil {
		net.t.Fatal(err)
	}
	return decoded
}

func (net *network) run(d time.Duration) {
	end := net.now.Add(d)
	for len(net.queue) > 0 && net.queue[0].at.Before(end) {
		e := heap.Pop(&net.queue).(event)
		net.now = e.at
		net.handle(e)
	}
	net.now = end
}

func (net *network) handle(e event) {
	n := net.nodes[e.to]
	switch {
	case !n.up:
	case n.paused:
		n.deferred = append(n.deferred, e)
	case e.message.Kind == 0:
		net.perform(e.to, n.table.Tick(net.now, net.rng))
		net.push(event{at: net.now.Add(tickInterval), to: e.to})
	default:
		net.perform(e.to, n.table.HandleMessage(net.now, net.rng, address(e.from), e.message))
	}
}

func (net *network) resume(i int) {
	n := net.nodes[i]
	n.paused = false
	for _, e := range n.deferred {
		net.handle(e)
	}
	n.deferred = nil
}

// checkAgreement returns an error unless every running host sees exactly the running hosts as live, with the
// incarnation of their last start or a later one. While datagrams are lost, refutations keep raising the incarnations.
func (net *network) checkAgreement() error {
	var up []Member
	for _, n := range net.nodes {
		if n.up && n.table.Self().IsLive() {
			up = append(up, n.initial)
		}
	}
	for i, n := range net.nodes {
		if !n.up || !n.table.Self().IsLive() {
			continue
		}
		live := n.table.LiveMembers()
		if len(live) != len(up) {
			return fmt.Errorf("host %d sees %d live hosts, want %d", i, len(live), len(up))
		}
		for j, m := range live {
			if m.ID != up[j].ID || m.Incarnation < up[j].Incarnation || m.GossipAddress != up[j].GossipAddress {
				return fmt.Errorf("host %d sees %s incarnation %d, want %s %d", i, m.ID, m.Incarnation, up[j].ID, up[j].Incarnation)
			}
		}
	}
	return nil
}

// checkKnownDead returns an error unless at least n hosts see the member as dead.
func (net *network) checkKnownDead(id model.HostID, n int) error {
	for _, node := range net.nodes {
		if m, _ := node.table.Get(id); node.up && m.State == StateDead {
			n--
		}
	}
	if n > 0 {
		return fmt.Errorf("%d more hosts must see %s as dead", n, id)
	}
	return nil
}

// runUntil runs until the condition holds and returns the elapsed virtual time.
func (net *network) runUntil(limit time.Duration, condition func() error) time.Duration {
	net.t.Helper()
	start := net.now
	for {
		err := condition()
		if err == nil {
			return net.now.Sub(start)
		}
		if net.now.Sub(start) > limit {
			net.t.Fatalf("condition not met after %v: %v", limit, err)
		}
		net.run(100 * time.Millisecond)
	}
}

// deaths returns the number of deaths seen by all hosts together.
func (net *network) deaths() int {
	sum := 0
	for _, n := range net.nodes {
		sum += n.deaths
	}
	return sum
}
