package gateway

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// drainPart is the part of the time before the process is killed that a planned stop may use. Half of it is owed to open
// transactions, and the end needs a few calls.
const drainPart = 0.75

// Settings are what a host's process has to know to start.
type Settings struct {
	Host       string  `ini:"name"`
	DataCentre string  `ini:"data_centre"`
	MemoryMB   int64   `ini:"memory_mb"`
	LinkMbps   float64 `ini:"link_mbps"`
	Cores      float64 `ini:"cores"`

	Callers   string `ini:"callers"`   // address that callers connect to
	Health    string `ini:"health"`    // address of the readiness check
	Peers     string `ini:"peers"`     // address for other hosts
	Advertise string `ini:"advertise"` // address at which other hosts reach this one, if it is not the one above
	Seeds     string `ini:"seeds"`     // addresses of other hosts that a starting one asks, separated by commas
	Metrics   string `ini:"metrics"`   // address of the metrics

	Store        string `ini:"store"`  // address of the metadata store
	PromotionAPI string `ini:"duties"` // address for orders of promotion

	DrainSeconds float64 `ini:"drain_seconds"` // time between the request to stop and the kill
}

// Reachable returns the address at which other hosts reach this one.
func (s Settings) AdvertisedAddress() string { return cmp.Or(s.Advertise, s.Peers) }

// SeedList returns the addresses of the hosts that a starting one asks, without its own.
func (s Settings) OtherSeeds() []string {
	return slices.DeleteFunc(strings.Split(s.Seeds, ","), func(seed string) bool { return seed == "" || seed == s.AdvertisedAddress() })
}

// IsSeed reports whether other hosts ask this one when they start.
func (s Settings) IsSeed() bool {
	return slices.Contains(strings.Split(s.Seeds, ","), s.AdvertisedAddress())
}

// Drain returns the longest time that a planned stop may take.
func (s Settings) DrainTimeout() time.Duration {
	return time.Duration(s.DrainSeconds * drainPart * float64(time.Second))
}

// ReadSettings reads and checks a settings file. Keys that are not known are ignored.
func ReadSettings(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, trace.Wrap(err, "the settings file cannot be read")
	}
	var s Settings
	if err := file.Section("host").StrictMapTo(&s); err != nil {
		return Settings{}, trace.Wrap(err, "section [host]")
	}
	return s, s.check()
}

func (s Settings) check() error {
	var faults []string
	if s.Host == "" {
		faults = append(faults, "name is missing")
	}
	if s.DataCentre == "" {
		faults = append(faults, "data_centre is missing")
	}
	addresses := []struct{ name, value string }{{"callers", s.Callers}, {"health", s.Health}, {"store", s.Store},
		{"duties", s.PromotionAPI}, {"peers", s.Peers}, {"advertise", s.AdvertisedAddress()}, {"metrics", s.Metrics}}
	for _, seed := range s.OtherSeeds() {
		addresses = append(addresses, struct{ name, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %q is not an IP address with a port", a.name, a.value))
		}
	}
	if s.DrainSeconds < 0 {
		faults = append(faults, "drain_seconds is negative")
	}
	if len(faults) > 0 {
		return trace.BadParameter("settings: %s", strings.Join(faults, "; "))
	}
	return nil
}
