package target_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

const (
	historySeeds    = 12
	historyClients  = 4
	historyWrites   = 12
	historyRounds   = 10
	historyDeadline = time.Second
)

// history is a run of clients that append tokens while faults and failovers happen.
type history struct {
	*bench
	random  *rand.Rand // used by the goroutine of the faults only
	pools   []*target.Pool
	members []*target.ControlMember
	primary atomic.Int32

	mu    sync.Mutex
	acked []string
}

// TestHistoryUnderFaults guards against acknowledged writes that are lost, writes that run twice, and replicas that
// serve a session less than it has seen, while primaries are killed, cut off, frozen or fall silent.
func TestHistoryUnderFaults(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
				h := &history{bench: b, random: rand.New(rand.NewPCG(seed, 0))}
				h.run()
			})
		})
	}
}

func (h *history) run() {
	for _, m := range h.group.Members {
		pool := h.newPool(m, target.Options{MaxConnections: 4, MaintenanceInterval: 200 * time.Millisecond})
		defer pool.Close()
		h.pools = append(h.pools, pool)
		h.members = append(h.members, h.member(m))
	}
	h.writeUntilDurable(request("first"), put("log", ""))
	var clients sync.WaitGroup
	for c := range historyClients {
		clients.Go(func() { h.client(c) })
	}
	term := uint64(1)
	for range historyRounds {
		m := h.group.Members[h.random.IntN(len(h.group.Members))]
		end := h.fault(m)
		time.Sleep(time.Second)
		term = h.failOver(term)
		time.Sleep(time.Second)
		end()
	}
	for !h.lead(term) {
		term = h.failOver(term)
	}
	clients.Wait()
	h.check()
}

// fault begins a random fault of a member and returns the function that ends it.
func (h *history) fault(m *standin.Member) func() {
	switch h.random.IntN(7) {
	case 0:
		m.Kill()
		return func() {
			if err := m.Restart(); err != nil {
				h.Error(err)
			}
		}
	case 1:
		m.Partition(standin.AllPeers, standin.Both)
		return m.Heal
	case 2:
		m.Partition(standin.AllPeers, standin.Outbound)
		return m.Heal
	case 3:
		m.SetFrozen(true)
		return func() { m.SetFrozen(false) }
	case 4:
		m.SilenceConnections()
	case 5:
		m.DropResponses(3)
	case 6:
		m.SetReplicationLag(time.Duration(h.random.IntN(500)) * time.Millisecond)
	}
	return func() {}
}

// failOver has a new term adopted by a majority and promotes the adopter with the greatest position. It returns the
// highest term that was used.
func (h *history) failOver(term uint64) uint64 {
	term++
	best, adopted := -1, 0
	var position model.Position
	for i, m := range h.members {
		status, err := m.Adopt(h.within(historyDeadline), term, "home")
		if err != nil {
			continue
		}
		adopted++
		if best < 0 || position.Later(status.Position) != position {
			best, position = i, status.Position
		}
	}
	if adopted <= len(h.members)/2 {
		return term
	}
	if _, err := h.members[best].Promote(h.within(historyDeadline), term, "home"); err != nil {
		return term
	}
	h.primary.Store(int32(best))
	for i, m := range h.members {
		if i != best {
			// A member that does not hear this follows in the next term.
			_, _ = m.Follow(h.within(historyDeadline), term, h.group.Members[best].Address())
		}
	}
	return term
}

// lead reports whether the whole group obeys the primary of a term.
func (h *history) lead(term uint64) bool {
	for i, m := range h.members {
		status, err := m.Status(h.within(historyDeadline))
		if err != nil || status.AdoptedTerm != term || status.Leads() != (i == int(h.primary.Load())) {
			return false
		}
	}
	return true
}

// client appends its tokens one after the other and reads each one back from every member that covers it.
func (h *history) client(c int) {
	for i := range historyWrites {
		token := fmt.Sprintf("%d.%d;", c, i)
		position := h.writeUntilDurable(request(token), appendTo("log", token))
		h.mu.Lock()
		h.acked = append(h.acked, token)
		h.mu.Unlock()
		for m, pool := range h.pools {
			a := pool.Read(h.within(historyDeadline), readKey("log"), position)
			if a.Result.Outcome == model.OutcomeDone && !holds(a.Rows, token) {
				h.Errorf("member %d at %v does not have %q, which was acknowledged at %v", m, a.Position, token, position)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func holds(rows target.Rows, token string) bool {
	return len(rows.Values) == 1 && strings.Contains(*rows.Values[0][0], token)
}

// writeUntilDurable repeats a write with the same request id until it is acknowledged.
func (h *history) writeUntilDurable(r target.Request, s target.Statement) model.Position {
	for {
		pool := h.pools[h.primary.Load()]
		a := pool.Write(h.within(historyDeadline), r, s)
		if a.Result.Outcome == model.OutcomeDone && h.durable(a.Position) {
			return a.Position
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// durable reports whether a replica that adopted the position's term holds it.
func (h *history) durable(p model.Position) bool {
	confirmed := make(chan bool)
	for _, m := range h.members {
		go func() {
			status, err := m.WaitPosition(h.within(historyDeadline), p)
			confirmed <- err == nil && status.AdoptedTerm == p.Term && status.Role == target.RoleReplica
		}()
	}
	durable := false
	for range h.members {
		durable = <-confirmed || durable
	}
	return durable
}

// check compares the log with what was acknowledged.
func (h *history) check() {
	log := h.value(h.group.Members[h.primary.Load()], "log")
	counts := map[string]int{}
	for _, token := range strings.SplitAfter(log, ";") {
		counts[token]++
	}
	for _, token := range h.acked {
		if counts[token] != 1 {
			h.Errorf("the acknowledged token %q is %d times in the log", token, counts[token])
		}
	}
	if len(h.acked) != historyClients*historyWrites {
		h.Errorf("%d tokens were acknowledged, want %d", len(h.acked), historyClients*historyWrites)
	}
}
