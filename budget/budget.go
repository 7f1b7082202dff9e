// Package budget decides which clients a host refuses or closes when memory or descriptors run out, or when a client exceeds a
// time limit. It is pure: the clients and their states are arguments. The load that its decisions answer is many clients that
// don't stay inside the limits (unfinished messages, responses that nobody reads, connections without a session), next to a few hundred
// ordinary sessions with messages of about 1 KB.
package budget

import (
	"cmp"
	"time"
)

const (
	// OrdinaryBytes is the number of bytes up to which a client counts as ordinary. Most messages and responses are below
	// 1 KB; a connection itself counts with ConnectionBytes.
	OrdinaryBytes = 64 << 10
	// ConnectionBytes is the memory of a connection without messages: two buffers of 2 KiB, a goroutine and the session.
	// 3,990 idle sessions took 65 MB of resident memory, which includes the headroom of the garbage collector.
	ConnectionBytes = 12 << 10
	// stalledAfter is the time after which a client that has begun a message makes room for a new one when all places are
	// taken. A message of 1 MiB takes a second at 10 Mbit/s.
	stalledAfter = 2 * time.Second
	// idleAfter is the time after which an idle session makes room for a new client when all places are taken.
	idleAfter = 10 * time.Second
)

// heldFraction is the fraction of a host's memory that clients may hold. The soft limit of the Go runtime is 0.7 of it, of which
// the process needs 25 MB (60 MB in fleets of 200 hosts) by itself, and the runtime returns memory late. Of 184 MB, 0.3 leaves
// 74 MB below that limit to the process and to memory that was released and not collected yet, and 4,000 idle sessions fit.
const heldFraction = 0.3

// HeldBytes returns the number of bytes that all clients of a host with the given memory may hold together. 0 stands for no limit.
func HeldBytes(memory int64) int64 { return int64(float64(memory) * heldFraction) }

const (
	// reservedFilesDivisor, minReservedFiles and maxReservedFiles determine the descriptors that are reserved for targets, other
	// hosts, the store and files: a part of all, but no more than a host needs that sees few other hosts. The smallest host
	// has 4,300 descriptors, of which 200 are for files, and then keeps 4,000 callers.
	reservedFilesDivisor = 4
	minReservedFiles     = 64
	maxReservedFiles     = 300
	// filesPerLink is the number of descriptors for each link of another host: to most of these hosts there is one, too.
	filesPerLink = 2
	// linksDivisor is the part of the descriptors that links of other hosts may take: 1,075 on the smallest host. In a fleet
	// of 300 hosts a leader has up to 600.
	linksDivisor = 4
)

// Places returns how many callers and how many links of other hosts a host with the given number of descriptors accepts at once,
// while it has the given number of links. The more links it has, the fewer callers it accepts. 0 descriptors stand for no limit,
// as do results of 0. A reserve of 0 stands for the default.
func Places(files, reserve, links int) (maxCallers, maxLinks int) {
	if files <= 0 {
		return 0, 0
	}
	if reserve <= 0 {
		reserve = max(minReservedFiles, min(files/reservedFilesDivisor, maxReservedFiles))
	}
	needed := max(reserve, reserve*2/3+filesPerLink*links)
	return max(1, files-needed), max(1, files/linksDivisor)
}

// Phase is what a client's connection waits for.
type Phase uint8

// Phases of a client.
const (
	// Unknown clients have not opened a session yet, or are links that have not carried a message.
	Unknown Phase = iota
	// Waiting clients have a session, and no message has begun.
	Waiting
	// Reading clients have begun a message.
	Reading
	// Running clients have a message that is being handled.
	Running
	// Writing clients have a response that they have not read.
	Writing
)

// Client is the state of one client.
type Client struct {
	Phase  Phase
	InTxn  bool          // a transaction is open, or it is a link of another host with messages
	Held   int64         // bytes
	Unread int64         // bytes of the response in phase Writing
	Since  time.Duration // time in the phase
}

// shedClass orders clients that may be closed for memory, the first one to be closed first.
func (c Client) shedClass() int {
	large := c.Held > OrdinaryBytes
	switch {
	case large && !c.InTxn:
		return 0
	case c.Phase == Unknown:
		return 1
	case large:
		return 2
	case !c.InTxn && c.Phase != Running:
		return 3
	case !c.InTxn:
		return 4
	}
	return 5
}

// Shed returns the index of the client to close when all together hold too much, or -1 if there is none: the one that holds most
// and reads least. Bytes that a client doesn't read count twice. An open transaction of a client inside the limits is closed
// last.
func Shed(clients []Client) int {
	return best(clients, func(a, b Client) int {
		return cmp.Or(cmp.Compare(a.shedClass(), b.shedClass()), cmp.Compare(b.Held+b.Unread, a.Held+a.Unread),
			cmp.Compare(b.Since, a.Since))
	}, func(Client) bool { return true })
}

// replaceClass orders clients that may be closed for a place, the first one to be closed first; -1 for those that stay.
func (c Client) replaceClass() int {
	switch {
	case c.Phase == Unknown:
		return 0
	case c.InTxn || c.Phase == Running:
		return -1
	case c.Phase == Reading && c.Since >= stalledAfter, c.Phase == Writing && c.Since >= stalledAfter:
		return 1
	case c.Phase == Waiting && c.Since >= idleAfter:
		return 2
	}
	return -1
}

// Replace returns the index of the client to close for a new one when all places are taken, or -1 if the new one is to be refused:
// connections without a session first, then stalled messages and responses, then sessions that have been idle for long. Among
// equals it is the one that has been in its state for longest.
func Replace(clients []Client) int {
	return best(clients, func(a, b Client) int {
		return cmp.Or(cmp.Compare(a.replaceClass(), b.replaceClass()), cmp.Compare(b.Since, a.Since))
	}, func(c Client) bool { return c.replaceClass() >= 0 })
}

func best(clients []Client, compare func(a, b Client) int, eligible func(Client) bool) int {
	chosen := -1
	for i, c := range clients {
		if eligible(c) && (chosen < 0 || compare(c, clients[chosen]) < 0) {
			chosen = i
		}
	}
	return chosen
}

// Times are the time limits of clients. 0 stands for no limit.
type Times struct {
	Start    time.Duration // for the first message of a connection
	Message  time.Duration // for a message that has begun
	Response time.Duration // for a response to be read
}

// Expired reports whether a client has exceeded a time limit.
func (t Times) Expired(c Client) bool {
	limit := time.Duration(0)
	switch c.Phase {
	case Unknown:
		limit = t.Start
	case Reading:
		limit = t.Message
	case Writing:
		limit = t.Response
	}
	return limit > 0 && c.Since > limit
}
