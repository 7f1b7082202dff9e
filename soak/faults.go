package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// slowStore is the time that a slow store takes for an answer.
	slowStore = 300 * time.Millisecond
	// lossShare is the share of answers that are lost.
	lossShare = 0.3
	// longLag is the time after which lagging replicas apply commits.
	longLag = 900 * time.Millisecond
	// heartbeat is the time after which a database that has restarted tells so in its entry.
	heartbeat = 600 * time.Millisecond
	// usualLag is what the stand-in begins with.
	usualLag = 20 * time.Millisecond
)

// ongoing is a fault that has begun. End ends it; it may take as long as a restart.
type ongoing struct {
	disturbance *FaultWindow
	end         func()
}

// begin begins a fault, or returns false if it cannot come beside those that are under way.
func (w *world) begin(number int, f Fault) (ongoing, bool) {
	d := &FaultWindow{Host: everyHost, From: time.Now()} // callers may see the fault before its begin returns
	var end func()
	h := w.hosts[f.Host]
	switch f.Kind {
	case HostKilled, HostStopped, HostFrozen:
		d.Host, d.HostUnavailable, d.PlannedStop = f.Host, f.Kind != HostStopped, f.Kind == HostStopped
		end = w.signalHost(h, f.Kind, d)
	case AllHostsKilled:
		d.HostUnavailable = true
		end = w.killAll()
	case SettingsTouched, HostReloaded:
		if f.Kind == HostReloaded {
			h.signal(syscall.SIGHUP)
		} else if err := os.Chtimes(h.settings, time.Now(), time.Now()); err != nil {
			w.violation(NoUnexpectedExit, "settings of host %d: %v", f.Host, err)
		}
		return ongoing{}, false
	case LinkBlackholed, LinkResponsesDropped, LinkDelayed, LinkReset:
		end = w.faultLink(number, f, d)
	case KeyChanged:
		w.changeKey()
		return ongoing{}, false
	case LimitChanged:
		w.changeLimit(rand.New(rand.NewPCG(w.options.Seed, uint64(number))))
		return ongoing{}, false
	case StoreCompacted:
		w.store.Compact()
		return ongoing{}, false
	case StoreDown, StoreSlow, StoreDropsResponses:
		w.overlap(f.Kind, 1)
		end = func() { w.overlap(f.Kind, -1) }
	default:
		d.DatabasesOnly = true
		var possible bool
		if end, possible = w.faultDatabase(f); !possible {
			return ongoing{}, false
		}
	}
	w.history.disturb(d)
	return ongoing{d, end}, true
}

// signalHost kills, freezes or stops a host, and returns what brings it back.
func (w *world) signalHost(h *host, kind FaultKind, d *FaultWindow) func() {
	switch kind {
	case HostFrozen:
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	case HostKilled:
		h.kill()
		return func() { w.restart(h) }
	}
	h.signal(syscall.SIGTERM)
	done := h.ended()
	late := time.AfterFunc(drainSeconds*time.Second, func() {
		h.signal(syscall.SIGCONT) // a frozen process cannot stop
		h.signal(syscall.SIGKILL)
		w.history.update(func() { d.PlannedStop, d.HostUnavailable = false, true })
	})
	return func() {
		<-done
		late.Stop()
		w.restart(h)
	}
}

func (w *world) killAll() func() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range w.hosts {
		h.kill()
	}
	return func() {
		for _, h := range w.hosts {
			go w.restart(h)
		}
		for _, h := range w.hosts {
			w.awaitReady(h, drainSeconds*time.Second)
		}
	}
}

// faultLink puts a fault on the link of a host or of a database.
func (w *world) faultLink(number int, f Fault, d *FaultWindow) func() {
	link := hostLink(f.Link, f.Host)
	d.Host, d.HostUnavailable = f.Host, f.Link == LinkToCallers
	if f.Link == LinkToDatabase {
		link, d.Host, d.DatabasesOnly = databaseLink(f.Database), everyHost, true
	}
	name := fmt.Sprintf("fault-%d", number)
	if err := w.links.inject(link, name, f.Kind); err != nil {
		w.violation(NoUnexpectedExit, "proxy %s: %v", link, err)
	}
	return func() {
		if err := w.links.heal(link, name, f.Kind); err != nil {
			w.violation(NoUnexpectedExit, "proxy %s: %v", link, err)
		}
	}
}

// overlap counts the faults of the stand-ins that are under way, and puts them in force.
func (w *world) overlap(kind FaultKind, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[kind] += change
	on := w.active[kind] > 0
	random := func() bool { return rand.Float64() < lossShare }
	switch kind {
	case StoreDown:
		w.store.SetRefuse(nil)
		if on {
			w.store.SetRefuse(func(*http.Request) bool { return true })
		}
	case StoreSlow:
		w.store.SetDelay(0)
		if on {
			w.store.SetDelay(slowStore)
		}
	case StoreDropsResponses:
		w.store.SetLose(nil)
		if on {
			w.store.SetLose(func(*http.Request) bool { return random() })
		}
	case DatabaseDropsResponses:
		w.group.SetLose(nil)
		if on {
			w.group.SetLose(func(*lines.Member, string) bool { return random() })
		}
	case ReplicationLagging:
		w.group.SetLag(usualLag)
		if on {
			w.group.SetLag(longLag)
		}
	}
}

// claim reserves the databases for a fault. Those that destroy data come alone, because no promise covers the loss of several
// copies.
func (w *world) claim(kind FaultKind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	destroying := w.active[DatabaseDataLost] + w.active[DatabaseDrained]
	others := w.active[DatabaseCrashed] + w.active[ReplicationBlocked]
	alone := kind == DatabaseDataLost || kind == DatabaseDrained
	if destroying > 0 || alone && others > 0 || w.active[kind] > 0 {
		return false
	}
	w.active[kind]++
	return true
}

func (w *world) release(kind FaultKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[kind]--
}

// faultDatabase begins a fault of a database and returns what ends it.
func (w *world) faultDatabase(f Fault) (end func(), possible bool) {
	if f.Kind == DatabaseDropsResponses || f.Kind == ReplicationLagging {
		w.overlap(f.Kind, 1)
		return func() { w.overlap(f.Kind, -1) }, true
	}
	if !w.claim(f.Kind) {
		return nil, false
	}
	m := w.group.Member(f.Database)
	switch f.Kind {
	case DatabaseCrashed:
		m.SetDark(true)
		expiry := time.AfterFunc(entryTimeout, m.Withdraw)
		return func() {
			expiry.Stop()
			m.SetDark(false)
			m.Register()
			w.release(f.Kind)
		}, true
	case ReplicationBlocked:
		m.SetDeaf(true)
		return func() {
			m.SetDeaf(false)
			w.release(f.Kind)
		}, true
	case DatabaseDataLost:
		m.Empty()
		time.AfterFunc(heartbeat, m.Register)
	case DatabaseDrained:
		m.Drain()
		time.AfterFunc(drainedAfter, func() {
			m.SetDark(true)
			m.Withdraw()
			time.Sleep(restartPause)
			m.Empty()
			m.SetDark(false)
			m.Register()
		})
	}
	// The others hold the only copies until this one has received everything.
	return func() { time.AfterFunc(drainedAfter+stable, func() { w.release(f.Kind) }) }, true
}
