// Package hostile tests one host process against clients, hosts and targets that don't stay inside the limits. Each test starts
// the built program with lowered limits and sends a small crowd at it. The bounds are the limits in the settings of the test; no
// test checks times or shares of requests. The tests run one at a time.
package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// memoryMB is the memory limit in the settings of the tests, and the bound of the process's resident memory.
	memoryMB = 96
	// maxFiles is the limit of descriptors in the settings of the tests, and the bound of the process's descriptors.
	maxFiles = 200
	// smallestMemoryMB and smallestMaxFiles are the limits of the smallest host.
	smallestMemoryMB, smallestMaxFiles = 184, 4300
	// waitTimeout is the longest time of each wait. It is far above the expected times, so that a loaded machine does not
	// cause failures.
	waitTimeout = time.Minute
	// sendTimeout bounds the time for which a client tries to send; a host that no longer reads makes it stop.
	sendTimeout = 5 * time.Second
	// largeMessage is the length of the text of a message that is inside the limit of 1 MiB.
	largeMessage = 1<<20 - 100
	workspaceKey = "workshop-key"
)

// program is the path of the program under test. It is built without the race detector, whose memory is not bounded.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "waxwingspindle-hostile")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "waxwingspindle")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/waxwingspindle").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a directory of temporary files
	os.Exit(code)
}

// fixture is a host process with its stand-ins.
type fixture struct {
	t                *testing.T
	memoryMB, files  int
	callers, peers   string
	health, logFile  string
	cmd              *exec.Cmd
	done             chan struct{} // closed when the process has exited
	group            *lines.Group
	openedMu         sync.Mutex
	opened           []net.Conn // connections of hostile clients, closed at the end of the test
	ordinaryRequests int
}

// start starts a host with the limits of the tests and waits until it serves writes.
func start(t *testing.T) *fixture { return startWithLimits(t, memoryMB, maxFiles) }

func startWithLimits(t *testing.T, memory, files int) *fixture {
	t.Helper()
	store := lines.NewStore()
	group, err := lines.NewGroup(store, "stock", 3) // a primary that is slow on a loaded machine can be replaced
	if err != nil {
		t.Fatal(err)
	}
	store.PutConfig(lines.NewConfig(1, workspaceKey))
	platformStore, promotionAPI := httptest.NewServer(store), httptest.NewServer(group)
	dir, ip := t.TempDir(), loopback.Address(7)
	f := &fixture{t: t, memoryMB: memory, files: files, group: group, callers: ip + ":20001", health: ip + ":20002",
		peers: ip + ":20003", logFile: filepath.Join(dir, "host.log"), done: make(chan struct{})}
	settings := fmt.Sprintf("[host]\nname = host-0\ndata_centre = z1\nmemory_mb = %d\nmax_files = %d\ncallers = %s\n"+
		"health = %s\npeers = %s\nseeds =\nmetrics = %s:20004\nstore = %s\nduties = %s\ndrain_seconds = 2\n", memory, files,
		f.callers, f.health, f.peers, ip, strings.TrimPrefix(platformStore.URL, "http://"),
		strings.TrimPrefix(promotionAPI.URL, "http://"))
	settingsFile := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(f.logFile)
	if err != nil {
		t.Fatal(err)
	}
	f.cmd = exec.Command(program, "gateway", "--settings", settingsFile)
	f.cmd.Stdout, f.cmd.Stderr = out, out
	if err := f.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = f.cmd.Wait() // an unexpected exit is found by check
		_ = out.Close()
		close(f.done)
	}()
	t.Cleanup(func() {
		f.closeOpened()
		_ = f.cmd.Process.Kill() // fails only if it has exited
		<-f.done
		group.Close()
		platformStore.CloseClientConnections()
		platformStore.Close()
		promotionAPI.Close()
		if t.Failed() {
			t.Logf("last lines of the host's log:\n%s", f.logTail())
		}
	})
	f.waitFor("the host is ready", func() bool {
		response, err := http.Get("http://" + f.health + "/-/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close() // only the status is used
		return response.StatusCode == http.StatusOK
	})
	f.waitFor("a write is answered", func() bool { return f.ordinaryRequest() == nil })
	return f
}

func (f *fixture) logTail() string {
	text, err := os.ReadFile(f.logFile)
	if err != nil {
		return err.Error()
	}
	var kept []string
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, `"msg":"statement: done"`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept[max(0, len(kept)-30):], "")
}

func (f *fixture) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("after %s still not true: %s", waitTimeout, what)
		}
		if f.exited() {
			f.t.Fatalf("the process has exited while waiting: %s", what)
		}
	}
}

func (f *fixture) exited() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// ordinaryRequest opens a session, runs one write and ends the session.
func (f *fixture) ordinaryRequest() error {
	conn, err := net.DialTimeout("tcp", f.callers, sendTimeout)
	if err != nil {
		return err
	}
	c := lines.NewClient(conn, sendTimeout)
	defer c.Close()
	if r := c.Start("orders", workspaceKey); r.Code != "" {
		return fmt.Errorf("session: %s %w", r.Code, errors.Join(r.Err))
	}
	f.ordinaryRequests++
	if r := c.Query(fmt.Sprintf("ordinary-%d", f.ordinaryRequests), "WRITE ordinary x"); r.Code != "" {
		return fmt.Errorf("statement: %s %w", r.Code, errors.Join(r.Err))
	}
	return nil
}

// check fails the test unless the process lives, answers an ordinary request, and has kept to its limits.
func (f *fixture) check() {
	f.t.Helper()
	files := f.openFiles()
	f.settle()
	files = max(files, f.openFiles())
	var last error
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if f.exited() {
			f.t.Fatalf("the process has exited: %s", f.cmd.ProcessState)
		}
		if last = f.ordinaryRequest(); last == nil || time.Now().After(deadline) {
			break
		}
	}
	if last != nil {
		f.t.Errorf("no ordinary request was answered: %v", last)
	}
	peak, files := f.memoryKB("VmHWM"), max(files, f.openFiles())
	f.t.Logf("resident memory %d KB at most (limit %d KB), %d descriptors (limit %d)", peak, f.memoryMB<<10, files, f.files)
	if peak > f.memoryMB<<10 {
		f.t.Errorf("the process held %d KB of memory, its settings allow %d", peak, f.memoryMB<<10)
	}
	if files > f.files {
		f.t.Errorf("the process has %d open descriptors, its settings allow %d", files, f.files)
	}
}

// settle waits until the host has handled what the clients have sent: until its peak of memory has hardly grown for a while.
// A wait that ends too early makes the test miss memory and never fail.
func (f *fixture) settle() {
	const (
		quiet   = time.Second
		atMost  = 10 * time.Second
		growKB  = 256
		pollGap = 50 * time.Millisecond
	)
	last, since := 0, time.Now()
	for end := time.Now().Add(atMost); time.Since(since) < quiet && time.Now().Before(end); time.Sleep(pollGap) {
		if now := f.memoryKB("VmHWM"); now > last+growKB {
			last, since = now, time.Now()
		}
	}
}

// memoryKB returns a memory field of the process's status in KB, or 0 if the process has exited.
func (f *fixture) memoryKB(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), field+":")
	if !found {
		return 0 // a process that has exited and that nobody has waited for yet
	}
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, err := strconv.Atoi(value)
	if err != nil {
		f.t.Fatalf("%s of the process: %v", field, err)
	}
	return n
}

// openFiles returns the number of open descriptors of the process, or 0 if it has exited.
func (f *fixture) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// dial opens a connection that stays open until the end of the test unless the host closes it. It returns nil if the host does
// not accept it.
func (f *fixture) dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil
	}
	f.openedMu.Lock()
	defer f.openedMu.Unlock()
	f.opened = append(f.opened, conn)
	return conn
}

func (f *fixture) closeOpened() {
	f.openedMu.Lock()
	defer f.openedMu.Unlock()
	for _, conn := range f.opened {
		_ = conn.Close() // may be closed already
	}
	f.opened = nil
}

// sessionThatReadsLittle is session with a receive buffer in the kernel that holds a small part of a response.
func (f *fixture) sessionThatReadsLittle() net.Conn {
	conn := f.session()
	if conn != nil {
		_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10) // fails only on a closed connection
	}
	return conn
}

// session opens a session of a hostile client. It returns nil if the host refuses it.
func (f *fixture) session() net.Conn {
	conn := f.dial(f.callers)
	if conn == nil {
		return nil
	}
	if send(conn, "STARTUP orders "+workspaceKey+"\r\n") != nil {
		return nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection, where the read fails too
	line, err := bufio.NewReaderSize(conn, 64).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return nil
	}
	return conn
}

// crowd runs n clients at once and waits until all have done what they do. A client without a session does nothing.
func (f *fixture) crowd(n int, open func() net.Conn, act func(i int, conn net.Conn)) {
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() {
			if conn := open(); conn != nil {
				act(i, conn)
			}
		})
	}
	clients.Wait()
}

// send sends a text. A host that closes the connection or stops reading makes it fail, as it may.
func send(conn net.Conn, text string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, text)
	return errors.Join(err, conn.SetWriteDeadline(time.Time{}))
}

// discard reads and drops what the host sends until the connection ends.
func discard(conn net.Conn) { go func() { _, _ = io.Copy(io.Discard, conn) }() }

// targetProxy stands between the host and a target. Statements that contain the word endless are answered with rows without end.
type targetProxy struct{ listener net.Listener }

func newTargetProxy(t *testing.T, upstream string, endless func(ctx context.Context, w io.Writer)) *targetProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close() // nothing depends on it
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go proxyTarget(ctx, conn, upstream, endless)
		}
	}()
	return &targetProxy{l}
}

func proxyTarget(ctx context.Context, conn net.Conn, upstream string, endless func(ctx context.Context, w io.Writer)) {
	defer conn.Close()
	target, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		defer conn.Close()
		_, _ = io.Copy(conn, target) // ends with the connection
	}()
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.Contains(line, "endless") {
			endless(ctx, conn)
			return
		}
		if _, err := io.WriteString(target, line); err != nil {
			return
		}
	}
}
