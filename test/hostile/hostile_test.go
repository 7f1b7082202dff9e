package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// crowdSize is the number of clients of most tests. With messages of 1 MiB they hold more than the memory limit of the tests.
const crowdSize = 150

// Guards against unfinished messages that take more memory than the host has: a message that has begun may take forever.
func TestUnfinishedMessages(t *testing.T) {
	f := start(t)
	text := "QUERY q WRITE item " + strings.Repeat("x", largeMessage)
	f.crowd(crowdSize, f.session, func(_ int, conn net.Conn) { _ = send(conn, text) })
	f.check()
}

// Guards against the same before a session has begun.
func TestUnfinishedStartups(t *testing.T) {
	f := start(t)
	text := "STARTUP orders " + strings.Repeat("x", largeMessage)
	f.crowd(crowdSize, func() net.Conn { return f.dial(f.callers) }, func(_ int, conn net.Conn) { _ = send(conn, text) })
	f.check()
}

// Guards against complete messages of legal size, many at once, that take more memory than the host has.
func TestManyLargeMessages(t *testing.T) {
	for _, pieces := range []int{1, 64} {
		t.Run(fmt.Sprintf("in %d pieces", pieces), func(t *testing.T) {
			f := start(t)
			f.group.SetStatementTime(20 * time.Millisecond)
			f.crowd(crowdSize, f.session, func(i int, conn net.Conn) {
				discard(conn)
				text := fmt.Sprintf("QUERY q-%d READ item ", i) + strings.Repeat("x", largeMessage-100) + "\r\n"
				for size := (len(text) + pieces - 1) / pieces; text != ""; {
					piece := text[:min(size, len(text))]
					if send(conn, piece) != nil {
						return
					}
					text = text[len(piece):]
				}
			})
			f.check()
		})
	}
}

// Guards against messages far over the limit, which must not be kept.
func TestMessagesFarOverLimit(t *testing.T) {
	f := start(t)
	piece := strings.Repeat("x", 1<<20)
	f.crowd(crowdSize, f.session, func(_ int, conn net.Conn) {
		for range 16 {
			if send(conn, piece) != nil {
				return
			}
		}
	})
	f.check()
}

// Guards against responses that nobody reads and that hold memory while their clients send more statements.
func TestPipelinedStatementsWithoutReading(t *testing.T) {
	f := start(t)
	f.storeItem("large", largeMessage-100)
	text := strings.Repeat("QUERY q READ large\r\n", 400)
	f.crowd(crowdSize, f.sessionThatReadsLittle, func(_ int, conn net.Conn) { _ = send(conn, text) })
	f.check()
}

// Guards against clients that read very slowly.
func TestSlowReaders(t *testing.T) {
	f := start(t)
	f.storeItem("large", largeMessage-100)
	text := strings.Repeat("QUERY q READ large\r\n", 20)
	f.crowd(crowdSize, f.sessionThatReadsLittle, func(_ int, conn net.Conn) {
		if send(conn, text) != nil {
			return
		}
		go func() {
			for b := make([]byte, 16); ; time.Sleep(100 * time.Millisecond) {
				if _, err := conn.Read(b); err != nil {
					return
				}
			}
		}()
	})
	f.check()
}

// Guards against clients that open connections and send nothing until no descriptor is left for others.
func TestSilentClients(t *testing.T) {
	f := start(t)
	f.crowd(2*maxFiles, func() net.Conn { return f.dial(f.callers) }, func(int, net.Conn) {})
	f.check()
}

// Guards against clients that send their messages byte by byte and stop half-way until no descriptor is left for others.
func TestSlowSenders(t *testing.T) {
	f := start(t)
	f.crowd(2*maxFiles, f.session, func(_ int, conn net.Conn) {
		go func() {
			for _, b := range "QUERY q WRITE item val" {
				if send(conn, string(b)) != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	})
	f.check()
}

// Guards against session state without a bound: variables and prepared statements of up to 1 MiB each.
func TestSessionState(t *testing.T) {
	for name, format := range map[string]string{
		"large variables":           "QUERY q SET name-%d " + strings.Repeat("x", largeMessage/4) + "\r\n",
		"large prepared statements": "QUERY q PREPARE name-%d READ " + strings.Repeat("x", largeMessage/4) + "\r\n",
		"many variables":            strings.Repeat("QUERY q SET name-%[1]d-%[2]d x\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			rounds, perRound := 20, 1
			if name == "many variables" {
				rounds, perRound = 20, 4000
			}
			f.crowd(40, f.session, func(_ int, conn net.Conn) {
				discard(conn)
				for i := range rounds {
					var text strings.Builder
					for j := range perRound {
						if perRound == 1 {
							fmt.Fprintf(&text, format, i)
						} else {
							fmt.Fprintf(&text, format, i, j)
						}
					}
					if send(conn, text.String()) != nil {
						return
					}
				}
			})
			f.check()
		})
	}
}

// Guards against messages between hosts without a bound. The messages are msgpack: a header [method, sequence number] and the
// arguments of the call.
func TestHostLinks(t *testing.T) {
	const blockBytes = 1 << 20
	block := strings.Repeat("x", blockBytes)
	hugeString := "\xdb\x10\x00\x00\x00" // the start of a string of 256 MiB
	// A ForwardRequest has 14 fields. The sixth is the statement: id, kind, name and text.
	statement := "\x92\xa8Peer.Run\x01" + "\x9e\xa6host-9\x01\x00\xc2\xc2" + "\x94\xa1q\x05\xa0"
	same := func(text string) func(int) string { return func(int) string { return text } }
	for name, test := range map[string]struct {
		clients, blocks int
		begin           string
		block           func(i int) string
	}{
		"statement without end":    {4, 64, statement + hugeString, same(block)},
		"method without end":       {4, 64, "\x92" + hugeString, same(block)},
		"unfinished statements":    {150, 1, statement + "\xdb\x00\x10\x00\x01", same(block)},
		"map without end":          {4, 16, "\x92\xaaPeer.Fetch\x01\xdf\x7f\xff\xff\xff", numberedKeys},
		"nested arrays":            {1, 32, "\x92\xabPeer.Nobody\x01", same(strings.Repeat("\x91", blockBytes))},
		"nested arrays in a field": {1, 32, "\x92\xa8Peer.Run\x01\x81\xa1f", same(strings.Repeat("\x91", blockBytes))},
		"unread replies": {8, 12, "",
			same(strings.Repeat("\x92\xa9Peer.Ping\x01\x90", blockBytes/13))},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.crowd(test.clients, func() net.Conn { return f.dial(f.peers) }, func(_ int, conn net.Conn) {
				if send(conn, test.begin) != nil {
					return
				}
				for i := range test.blocks {
					if send(conn, test.block(i)) != nil {
						return
					}
				}
			})
			f.check()
		})
	}
}

// numberedKeys returns entries of a map, 6 bytes each, whose keys differ between and within the blocks.
func numberedKeys(block int) string {
	const entries = 170_000
	var text strings.Builder
	for i := range uint32(entries) {
		key := uint32(block)*entries + i
		text.Write([]byte{0xa4, byte(key >> 24), byte(key >> 16), byte(key >> 8), byte(key), 1})
	}
	return text.String()
}

// Guards against connections on the port for other hosts that send nothing until no descriptor is left for others.
func TestSilentHostLinks(t *testing.T) {
	f := start(t)
	f.crowd(2*maxFiles, func() net.Conn { return f.dial(f.peers) }, func(int, net.Conn) {})
	f.check()
}

// Guards against a response of a target without end: rows without end, one row without end, and rows without text.
func TestTargetResponseWithoutEnd(t *testing.T) {
	for name, piece := range map[string]string{
		"rows without end":      "DATAROW " + strings.Repeat("x", 1000) + "\r\n",
		"one row without end":   strings.Repeat("x", 1000),
		"rows without any text": "DATAROW \r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			block := strings.Repeat(piece, 1+64<<10/len(piece))
			proxy := newTargetProxy(t, f.group.Member(0).Address, func(ctx context.Context, w io.Writer) {
				for ctx.Err() == nil {
					if _, err := io.WriteString(w, block); err != nil {
						return
					}
				}
			})
			f.group.Member(0).SetAdvertisedAddress(proxy.listener.Addr().String())
			f.waitFor("a write is answered", func() bool { return f.ordinaryRequest() == nil })
			f.crowd(4, f.session, func(i int, conn net.Conn) {
				c := lines.NewClient(conn, sendTimeout)
				for j := range 3 {
					_ = c.Query(fmt.Sprintf("q-%d-%d", i, j), "READ endless")
				}
			})
			f.check()
		})
	}
}

// Guards against limits that refuse clients inside them: one message of nearly 1 MiB and a response to it are served on the
// smallest host, and sessions without a message stay open.
func TestClientsInsideLimitsAreServed(t *testing.T) {
	f := startWithLimits(t, smallestMemoryMB, smallestMaxFiles)
	const idleSessions = 1000
	idle := make([]*lines.Client, idleSessions)
	f.crowd(idleSessions, f.session, func(i int, conn net.Conn) { idle[i] = lines.NewClient(conn, waitTimeout) })
	f.storeItem("large", largeMessage-100)
	conn := f.session()
	if conn == nil {
		t.Fatal("no session")
	}
	c := lines.NewClient(conn, waitTimeout)
	if r := c.Query("read", "READ large"); r.Code != "" || len(r.Rows) != 1 || len(r.Rows[0]) != largeMessage-100 {
		t.Errorf("a read of a large item was answered with code %q and %d rows: %v", r.Code, len(r.Rows), r.Err)
	}
	for i, c := range idle {
		if c == nil {
			t.Fatalf("session %d was not accepted", i)
		}
		if r := c.Query(fmt.Sprintf("set-%d", i), "SET name value"); r.Code != "" {
			t.Fatalf("the idle session %d was answered with %q: %v", i, r.Code, r.Err)
		}
	}
	f.check()
}

// storeItem writes an item of the given size.
func (f *fixture) storeItem(name string, size int) {
	f.t.Helper()
	f.waitFor("a large item is stored", func() bool {
		conn := f.session()
		if conn == nil {
			return false
		}
		defer conn.Close()
		return lines.NewClient(conn, waitTimeout).Query("store", "WRITE "+name+" "+strings.Repeat("x", size)).Code == ""
	})
}
