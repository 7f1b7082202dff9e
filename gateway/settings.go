package gateway

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/waxwingspindle/waxwingspindle/budget"
	"github.com/waxwingspindle/waxwingspindle/clientlimit"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/region"
)

// Fractions of DrainSeconds at which the phases of a graceful stop end at the latest. The rest of DrainSeconds is left for the
// calls that end the process.
const (
	// minTransactionsFraction is the time that the platform grants open transactions to end.
	minTransactionsFraction = 0.5
	// statementsFraction is the latest deadline of statements.
	statementsFraction = 0.85
	// drainFraction leaves time to deliver the answers of statements that ran until their deadline.
	drainFraction = 0.9
)

// lastStatementTime is the time that a statement of an open transaction has at least if it is accepted during a graceful stop.
// Few statements take longer.
const lastStatementTime = time.Second

// Default limits of clients. Clients inside the limits of the protocol (messages up to 1 MiB that arrive within seconds) do not
// reach them.
const (
	// defaultSessionStartSeconds is the time for a startup message. Callers give up after 2 s.
	defaultSessionStartSeconds = 5
	// defaultMessageSeconds is the time for a message. 1 MiB takes 0.9 s at 10 Mbit/s.
	defaultMessageSeconds = 10
	// defaultResponseSeconds is the time for a response to be read. Callers' timeouts are below 10 s.
	defaultResponseSeconds = 20
	// defaultSessionEntries bounds variables and prepared statements of a session, which are compared before each statement.
	defaultSessionEntries = 1000
	// defaultSessionStateKB leaves room for a variable of 1 MiB.
	defaultSessionStateKB = 2048
)

// unfilledPrefix begins the values of a template that were not filled in.
const unfilledPrefix = "{{"

// Settings are the contents of section [host] of a settings file.
type Settings struct {
	Host       string  `ini:"name"`
	DataCentre string  `ini:"data_centre"`
	MemoryMB   int64   `ini:"memory_mb"`
	LinkMbps   float64 `ini:"link_mbps"`
	Cores      float64 `ini:"cores"`

	Callers   string `ini:"callers"`   // listen address for callers
	Health    string `ini:"health"`    // listen address of the readiness check
	Peers     string `ini:"peers"`     // listen address for other hosts
	Advertise string `ini:"advertise"` // address at which other hosts reach this one, if it differs from Peers
	Seeds     string `ini:"seeds"`     // comma-separated addresses of the hosts that a starting host contacts
	Metrics   string `ini:"metrics"`   // listen address of the metrics

	Store        string `ini:"store"`  // address of the metadata store
	PromotionAPI string `ini:"duties"` // address of the platform's promotion API

	// PoolTokens is "on" where the hosts of a data centre take tokens of rate limits from one of them. It saves most
	// requests to the leader, whose bytes between data centres are expensive.
	PoolTokens   string  `ini:"pool_tokens"`
	DrainSeconds float64 `ini:"drain_seconds"` // time between the stop signal and the kill of the process

	Contracts   string `ini:"contracts"`    // list of the deployment's contracts, decoded by package platform
	LoadControl string `ini:"load_control"` // on or off; if empty, Contracts decides
	// EvacuationMs is the time in milliseconds after the request to evacuate a data centre from which no statement may reach a
	// target there. Hosts ignore such requests if it is empty.
	EvacuationMs string `ini:"evacuation_ms"`
	// Regions lists data centres with their regions, as "north:eu,south:us". Hosts ignore allowed regions if it is empty.
	Regions string `ini:"regions"`

	// Limits of clients. 0 stands for the default, and where there is none for no limit.
	MaxFiles            int     `ini:"max_files"`             // descriptors of the process
	ReserveFiles        int     `ini:"reserve_files"`         // descriptors for targets, hosts, the store and files
	ClientMemoryMB      int64   `ini:"client_memory_mb"`      // memory that all clients hold together
	SessionStartSeconds float64 `ini:"session_start_seconds"` // from the connection to the end of the startup message
	MessageSeconds      float64 `ini:"message_seconds"`       // from the beginning of a message to its end
	ResponseSeconds     float64 `ini:"response_seconds"`      // for a response to be read
	SessionEntries      int     `ini:"session_entries"`       // variables and prepared statements of a session
	SessionStateKB      int     `ini:"session_state_kb"`      // memory of the same
	ResponseKB          int64   `ini:"response_kb"`           // memory of a response of a target
	HostMessageKB       int64   `ini:"host_message_kb"`       // memory of a decoded message of another host
	HostCalls           int     `ini:"host_calls"`            // calls without a response on a connection of another host
}

// RegionMap returns Regions as a map, which is empty if they are invalid.
func (s Settings) RegionMap() region.Map {
	m, err := region.ParseMap(s.Regions)
	if err != nil {
		return nil // validate reports the error
	}
	return m
}

// EvacuationBound returns EvacuationMs as a duration, or 0 if it is empty or invalid.
func (s Settings) EvacuationBound() time.Duration {
	ms, err := strconv.ParseInt(s.EvacuationMs, 10, 32)
	if err != nil {
		return 0 // validate reports an invalid value
	}
	return time.Duration(ms) * time.Millisecond
}

// EvacuationLimits returns the limits that follow from EvacuationMs, which are zero if it is empty.
func (s Settings) EvacuationLimits() evacuation.Limits {
	if s.EvacuationMs == "" {
		return evacuation.Limits{}
	}
	return evacuation.NewLimits(s.EvacuationBound())
}

// AdvertisedAddress returns the address at which other hosts reach this one.
func (s Settings) AdvertisedAddress() string { return cmp.Or(s.Advertise, s.Peers) }

// OtherSeeds returns the seed addresses without this host's own.
func (s Settings) OtherSeeds() []string {
	return slices.DeleteFunc(strings.Split(s.Seeds, ","), func(seed string) bool {
		return seed == "" || seed == s.AdvertisedAddress()
	})
}

// IsSeed reports whether this host is one of the seeds.
func (s Settings) IsSeed() bool {
	return slices.Contains(strings.Split(s.Seeds, ","), s.AdvertisedAddress())
}

// ClientLimits returns the limits of all clients together and their time limits.
func (s Settings) ClientLimits() clientlimit.Limits {
	seconds := func(value, byDefault float64) time.Duration {
		return time.Duration(cmp.Or(value, byDefault) * float64(time.Second))
	}
	return clientlimit.Limits{HeldBytes: cmp.Or(s.ClientMemoryMB<<20, budget.HeldBytes(s.MemoryMB<<20)),
		Files: s.MaxFiles, ReserveFiles: s.ReserveFiles,
		Times: budget.Times{Start: seconds(s.SessionStartSeconds, defaultSessionStartSeconds),
			Message:  seconds(s.MessageSeconds, defaultMessageSeconds),
			Response: seconds(s.ResponseSeconds, defaultResponseSeconds)}}
}

// StateLimits returns the limits of the state of one session.
func (s Settings) StateLimits() frontend.StateLimits {
	return frontend.StateLimits{Entries: cmp.Or(s.SessionEntries, defaultSessionEntries),
		Bytes: cmp.Or(s.SessionStateKB, defaultSessionStateKB) << 10}
}

// LoadControlEnabled reports whether statements wait in the queues of targets.
func (s Settings) LoadControlEnabled() bool {
	if s.LoadControl == "" {
		return platform.ParseContracts(s.Contracts).LoadControl
	}
	return s.LoadControl == "on"
}

// DrainTimeout returns the maximum duration of a graceful stop, without the calls that end the process.
func (s Settings) DrainTimeout() time.Duration { return s.drainTime(drainFraction) }

// StopTimes returns the times of a graceful stop that is requested at the given boot time.
func (s Settings) StopTimes(requested time.Time) frontend.StopTimes {
	statements := s.drainTime(statementsFraction)
	transactions := max(s.drainTime(minTransactionsFraction), statements-lastStatementTime)
	return frontend.StopTimes{TransactionsEnd: requested.Add(transactions), StatementsEnd: requested.Add(statements)}
}

func (s Settings) drainTime(fraction float64) time.Duration {
	return time.Duration(s.DrainSeconds * fraction * float64(time.Second))
}

// ReadSettings reads and validates a settings file. Unknown keys are ignored.
func ReadSettings(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, trace.Wrap(err, "reading the settings file")
	}
	var s Settings
	section := file.Section("host")
	for _, key := range section.Keys() {
		// A deployment without a limit leaves the field of the template empty, and an older one does not fill it in.
		if key.Value() == "" || strings.HasPrefix(key.Value(), unfilledPrefix) {
			section.DeleteKey(key.Name())
		}
	}
	if err := section.StrictMapTo(&s); err != nil {
		return Settings{}, trace.Wrap(err, "section [host]")
	}
	return s, s.validate()
}

func (s Settings) validate() error {
	var problems []string
	if s.Host == "" {
		problems = append(problems, "name is missing")
	}
	if s.DataCentre == "" {
		problems = append(problems, "data_centre is missing")
	}
	addresses := []struct{ name, value string }{{"callers", s.Callers}, {"health", s.Health}, {"store", s.Store},
		{"duties", s.PromotionAPI}, {"peers", s.Peers}, {"advertise", s.AdvertisedAddress()}, {"metrics", s.Metrics}}
	for _, seed := range s.OtherSeeds() {
		addresses = append(addresses, struct{ name, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not an IP address with a port", a.name, a.value))
		}
	}
	if s.EvacuationMs != "" && s.EvacuationBound() < evacuation.MinBound {
		problems = append(problems, fmt.Sprintf("evacuation_ms: %q is not a number of milliseconds of at least %d",
			s.EvacuationMs, evacuation.MinBound.Milliseconds()))
	}
	if _, err := region.ParseMap(s.Regions); err != nil {
		problems = append(problems, "regions: "+err.Error())
	}
	for name, value := range map[string]float64{"drain_seconds": s.DrainSeconds, "memory_mb": float64(s.MemoryMB),
		"max_files": float64(s.MaxFiles), "reserve_files": float64(s.ReserveFiles),
		"client_memory_mb": float64(s.ClientMemoryMB), "session_start_seconds": s.SessionStartSeconds,
		"message_seconds": s.MessageSeconds, "response_seconds": s.ResponseSeconds,
		"session_entries": float64(s.SessionEntries), "session_state_kb": float64(s.SessionStateKB),
		"response_kb": float64(s.ResponseKB), "host_message_kb": float64(s.HostMessageKB), "host_calls": float64(s.HostCalls)} {
		if value < 0 {
			problems = append(problems, name+" is negative")
		}
	}
	if !slices.Contains([]string{"", "on", "off"}, s.LoadControl) {
		problems = append(problems, fmt.Sprintf("load_control: %q is neither on nor off", s.LoadControl))
	}
	if s.PoolTokens != "" && s.PoolTokens != "on" && s.PoolTokens != "off" {
		problems = append(problems, fmt.Sprintf("pool_tokens: %q is neither on nor off", s.PoolTokens))
	}
	if len(problems) > 0 {
		return trace.BadParameter("settings: %s", strings.Join(problems, "; "))
	}
	return nil
}
