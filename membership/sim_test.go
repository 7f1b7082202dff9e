package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const tick = 50 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a message on its way, or a tick when the message has no kind.
type event struct {
	at      time.Time
	seq     int
	from    int
	to      int
	message Message
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type node struct {
	table   *Table
	first   Member // this host's row at its start
	up      bool
	paused  bool
	backlog []event // datagrams that a paused host finds when it wakes
	bytes   int     // sent
	sent    int
	deaths  int // members that this host declared or heard to be dead
}

// network runs hosts in three regions in virtual time, with 1 ms inside a region and 40 ms between regions.
type network struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	queue events
	seq   int
	nodes []*node
	loss  float64
	cut   func(from, to int) bool
	index map[string]int // host at an address
	// encode sends messages over their wire form. Large fleets pass them on as values, which takes a third of the time.
	encode bool
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%03d", i)) }

func newNetwork(t testing.TB, n int, seed uint64) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, cut: func(int, int) bool { return false },
		index: map[string]int{}, encode: n <= 50}
	for i := range n {
		w.nodes = append(w.nodes, &node{})
		w.index[address(i)] = i
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *network) list() []ListedHost {
	list := make([]ListedHost, len(w.nodes))
	for i := range w.nodes {
		list[i] = ListedHost{ID: hostID(i), GossipAddress: address(i), RPCAddress: address(i)}
	}
	return list
}

// start starts or restarts a host with a new incarnation and an empty table.
func (w *network) start(i int) {
	self := Member{ID: hostID(i), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%9)), GossipAddress: address(i),
		RPCAddress: address(i), Incarnation: model.Incarnation(w.now.UnixNano()), Payload: make([]byte, 8)}
	w.nodes[i].table = New(w.now, self, Settings{})
	w.nodes[i].first = self
	w.nodes[i].up = true
	w.perform(i, w.nodes[i].table.ApplyHostList(w.now, w.rng, w.list()))
	w.push(event{at: w.now.Add(time.Duration(w.rng.Int64N(int64(tick)))), to: i})
}

func (w *network) push(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

func (w *network) perform(from int, actions []Action) {
	for _, action := range actions {
		if action.Change != nil {
			if action.Change.Member.State == StateDead {
				w.nodes[from].deaths++
			}
			continue
		}
		message := action.Send.Message
		w.nodes[from].sent++
		if w.encode {
			message = w.overWire(from, message)
		}
		to, found := w.index[action.Send.Address]
		if !found {
			w.t.Fatalf("no host has the address %q", action.Send.Address)
		}
		if w.rng.Float64() < w.loss || w.cut(from, to) {
			continue
		}
		delay := time.Millisecond
		if from%3 != to%3 {
			delay = 40 * time.Millisecond
		}
		w.push(event{at: w.now.Add(delay), from: from, to: to, message: message})
	}
}

// overWire encodes and decodes a message, to check that it fits into a datagram and to count its bytes.
func (w *network) overWire(from int, m Message) Message {
	data, err := Encode(m)
	if err != nil {
		w.t.Fatalf("message does not fit: %v: %+v", err, m)
	}
	w.nodes[from].bytes += len(data) + 8
	decoded, err := Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	return decoded
}

func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.handle(e)
	}
	w.now = end
}

func (w *network) handle(e event) {
	n := w.nodes[e.to]
	switch {
	case !n.up:
	case n.paused:
		n.backlog = append(n.backlog, e)
	case e.message.Kind == 0:
		w.perform(e.to, n.table.Tick(w.now, w.rng))
		w.push(event{at: w.now.Add(tick), to: e.to})
	default:
		w.perform(e.to, n.table.HandleMessage(w.now, w.rng, address(e.from), e.message))
	}
}

func (w *network) wake(i int) {
	n := w.nodes[i]
	n.paused = false
	for _, e := range n.backlog {
		w.handle(e)
	}
	n.backlog = nil
}

// agree reports whether every running host sees exactly the running hosts as live, at the incarnation of their present
// start or a later one. Refutations raise incarnations all the time while datagrams are lost.
func (w *network) agree() error {
	var up []Member
	for _, n := range w.nodes {
		if n.up && n.table.Self().IsLive() {
			up = append(up, n.first)
		}
	}
	for i, n := range w.nodes {
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

// aware reports whether at least n hosts see the member as dead.
func (w *network) aware(id model.HostID, n int) error {
	for _, node := range w.nodes {
		if m, _ := node.table.Get(id); node.up && m.State == StateDead {
			n--
		}
	}
	if n > 0 {
		return fmt.Errorf("%d more hosts have to see %s as dead", n, id)
	}
	return nil
}

// until runs until the condition holds and returns the time it took.
func (w *network) until(limit time.Duration, condition func() error) time.Duration {
	w.t.Helper()
	start := w.now
	for {
		err := condition()
		if err == nil {
			return w.now.Sub(start)
		}
		if w.now.Sub(start) > limit {
			w.t.Fatalf("not after %v: %v", limit, err)
		}
		w.run(100 * time.Millisecond)
	}
}

// deaths returns how many deaths all hosts together saw.
func (w *network) deaths() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.deaths
	}
	return sum
}
