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
	disturbance *Disturbance
	end         func()
}

// begin begins a fault, or returns false if it cannot come beside those that are under way.
func (w *world) begin(number int, f Fault) (ongoing, bool) {
	d := &Disturbance{Host: everyHost, From: time.Now()} // callers may see the fault before its begin returns
	var end func()
	h := w.hosts[f.Host]
	switch f.Kind {
	case HostKilled, HostStopped, HostFrozen:
		d.Host, d.Callers, d.Planned = f.Host, f.Kind != HostStopped, f.Kind == HostStopped
		end = w.signalHost(h, f.Kind, d)
	case AllHostsKilled:
		d.Callers = true
		end = w.killAll()
	case SettingsTouched, HostReloads:
		if f.Kind == HostReloads {
			h.signal(syscall.SIGHUP)
		} else if err := os.Chtimes(h.settings, time.Now(), time.Now()); err != nil {
			w.violation(Alive, "settings of host %d: %v", f.Host, err)
		}
		return ongoing{}, false
	case LinkSilent, LinkOneWay, LinkDelayed, LinkReset:
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
	case StoreDown, StoreSlow, StoreLoses:
		w.overlap(f.Kind, 1)
		end = func() { w.overlap(f.Kind, -1) }
	default:
		d.Databases = true
		var possible bool
		if end, possible = w.faultDatabase(f); !possible {
			return ongoing{}, false
		}
	}
	w.history.disturb(d)
	return ongoing{d, end}, true
}

// signalHost kills, freezes or stops a host, and returns what brings it back.
func (w *world) signalHost(h *host, kind Kind, d *Disturbance) func() {
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
		w.history.update(func() { d.Planned, d.Callers = false, true })
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
func (w *world) faultLink(number int, f Fault, d *Disturbance) func() {
	link := hostLink(f.Link, f.Host)
	d.Host, d.Callers = f.Host, f.Link == ToCallers
	if f.Link == ToDatabase {
		link, d.Host, d.Databases = databaseLink(f.Database), everyHost, true
	}
	name := fmt.Sprintf("fault-%d", number)
	if err := w.links.inject(link, name, f.Kind); err != nil {
		w.violation(Alive, "proxy %s: %v", link, err)
	}
	return func() {
		if err := w.links.heal(link, name, f.Kind); err != nil {
			w.violation(Alive, "proxy %s: %v", link, err)
		}
	}
}

// overlap counts the faults of the stand-ins that are under way, and puts them in force.
func (w *world) overlap(kind Kind, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[kind] += change
	on := w.active[kind] > 0
	random := func() bool { return rand.Float64() < lossShare }
	switch kind {
	case StoreDown:
		w.store.RefuseRequests(nil)
		if on {
			w.store.RefuseRequests(func(*http.Request) bool { return true })
		}
	case StoreSlow:
		w.store.SetResponseDelay(0)
		if on {
			w.store.SetResponseDelay(slowStore)
		}
	case StoreLoses:
		w.store.DropResponses(nil)
		if on {
			w.store.DropResponses(func(*http.Request) bool { return random() })
		}
	case DatabaseLoses:
		w.group.DropResponses(nil)
		if on {
			w.group.DropResponses(func(*lines.Member, string) bool { return random() })
		}
	case DatabaseLags:
		w.group.SetReplicationLag(usualLag)
		if on {
			w.group.SetReplicationLag(longLag)
		}
	}
}

// claim reserves the databases for a fault. Those that destroy data come alone, because no promise covers the loss of several
// copies.
func (w *world) claim(kind Kind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	destroying := w.active[DatabaseEmptied] + w.active[DatabaseReplaced]
	others := w.active[DatabaseCrashed] + w.active[DatabaseDeaf]
	alone := kind == DatabaseEmptied || kind == DatabaseReplaced
	if destroying > 0 || alone && others > 0 || w.active[kind] > 0 {
		return false
	}
	w.active[kind]++
	return true
}

func (w *world) release(kind Kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[kind]--
}

// faultDatabase begins a fault of a database and returns what ends it.
func (w *world) faultDatabase(f Fault) (end func(), possible bool) {
	if f.Kind == DatabaseLoses || f.Kind == DatabaseLags {
		w.overlap(f.Kind, 1)
		return func() { w.overlap(f.Kind, -1) }, true
	}
	if !w.claim(f.Kind) {
		return nil, false
	}
	m := w.group.Member(f.Database)
	switch f.Kind {
	case DatabaseCrashed:
		m.SetPartitioned(true)
		expiry := time.AfterFunc(entryTimeout, m.Deregister)
		return func() {
			expiry.Stop()
			m.SetPartitioned(false)
			m.Register()
			w.release(f.Kind)
		}, true
	case DatabaseDeaf:
		m.SetReplicationBlocked(true)
		return func() {
			m.SetReplicationBlocked(false)
			w.release(f.Kind)
		}, true
	case DatabaseEmptied:
		m.RestartEmpty()
		time.AfterFunc(heartbeat, m.Register)
	case DatabaseReplaced:
		m.Drain()
		time.AfterFunc(drainedAfter, func() {
			m.SetPartitioned(true)
			m.Deregister()
			time.Sleep(restartPause)
			m.RestartEmpty()
			m.SetPartitioned(false)
			m.Register()
		})
	}
	// The others hold the only copies until this one has received everything.
	return func() { time.AfterFunc(drainedAfter+stable, func() { w.release(f.Kind) }) }, true
}
