package config

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// File is an INI file with the name that problems are reported under.
type File struct {
	Name string
	Text string
}

// Problem is one fault of a configuration.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Message string // what is allowed instead
}

// String returns the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:", p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, " section [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " key %q", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " has value %q", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	return b.String()
}

// InvalidError reports all problems of a configuration.
type InvalidError struct{ Problems []Problem }

// Error returns the problems, one a line.
func (e *InvalidError) Error() string {
	return strings.Join(e.Lines(), "\n")
}

// Lines returns the problems as text, one element a problem.
func (e *InvalidError) Lines() []string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return lines
}

// secretKeys are keys whose values are never shown.
var secretKeys = map[string]bool{"operator_token": true, "peer_secret": true, "password": true}

// value is a value with the file that it came from.
type value struct{ text, file string }

// sections is a merged configuration before the values are checked.
type sections map[string]map[string]value

// loadOptions reads values as they stand: '#' and ';' may be part of a password, and only '=' ends a key.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment: true,
	KeyValueDelimiters:  "=",
	AllowShadows:        true,
	Insensitive:         false,
}

// parser collects problems while it checks a configuration.
type parser struct {
	problems []Problem
	settings Settings
	targets  map[model.Service][]Target
}

// Parse checks a base file with an overlay as a whole. The overlay may be nil. It returns an *InvalidError with all
// problems when there are any.
func Parse(base File, overlay *File) (*Settings, error) {
	return ParseFiles(base, overlay)
}

// ParseFiles is Parse with several overlays, each over the one before. Nil overlays are left out.
func ParseFiles(base File, overlays ...*File) (*Settings, error) {
	p := &parser{targets: map[model.Service][]Target{}}
	merged := p.load(base)
	for _, overlay := range overlays {
		if overlay != nil {
			p.merge(merged, p.load(*overlay))
		}
	}
	if len(p.problems) == 0 {
		p.sections(merged, base.Name)
	}
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return &p.settings, nil
}

func (p *parser) add(file, section, key, val, allowed string) {
	if secretKeys[key] && val != "" {
		val = "(hidden)"
	}
	p.problems = append(p.problems, Problem{File: file, Section: section, Key: key, Value: val, Message: allowed})
}

// load reads a file without checking its values.
func (p *parser) load(f File) sections {
	out := sections{}
	parsed, err := ini.LoadSources(loadOptions, []byte(f.Text))
	if err != nil {
		p.add(f.Name, "", "", "", fmt.Sprintf("not an INI file: %v", err))
		return out
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.add(f.Name, "", k.Name(), k.Value(), "keys must be in a section")
			}
			continue
		}
		out[s.Name()] = p.loadKeys(f.Name, s)
	}
	return out
}

func (p *parser) loadKeys(file string, s *ini.Section) map[string]value {
	keys := map[string]value{}
	for _, k := range s.Keys() {
		if shadows := k.ValueWithShadows(); len(shadows) > 1 {
			p.add(file, s.Name(), k.Name(), strings.Join(shadows, ", "), "the key may stand once")
		}
		keys[k.Name()] = value{text: k.Value(), file: file}
	}
	return keys
}

// overlayKeys tells which keys an overlay may set, by kind of section. Rates, bursts and keys are counted over all
// hosts together, so they must not differ between data centres.
var overlayKeys = map[string]func(key string) bool{
	"daemon": func(string) bool { return true },
	"timing": func(string) bool { return true },
	"log":    func(string) bool { return true },
	"target": func(key string) bool { return key == "address" },
}

func (p *parser) merge(base, overlay sections) {
	for _, name := range slices.Sorted(maps.Keys(overlay)) {
		kind, _, _ := strings.Cut(name, " ")
		for _, key := range slices.Sorted(maps.Keys(overlay[name])) {
			v := overlay[name][key]
			if allowed := overlayKeys[kind]; allowed == nil || !allowed(key) {
				p.add(v.file, name, key, v.text,
					"an overlay may set only [daemon], [timing], [log] and the address of a target")
				continue
			}
			if kind == "target" && base[name] == nil {
				p.add(v.file, name, key, v.text, "the base file has no such target")
				continue
			}
			if base[name] == nil {
				base[name] = map[string]value{}
			}
			base[name][key] = v
		}
	}
}

// field is a key that a section may have.
type field struct {
	key      string
	allowed  string
	required bool
	set      func(text string) bool
}

// sections checks all sections and then what holds between them.
func (p *parser) sections(merged sections, base string) {
	p.settings = Settings{Services: map[model.Service]Service{}, Workspaces: map[model.Workspace]Workspace{}}
	p.fields(base, "daemon", merged["daemon"], daemonFields(&p.settings.Daemon))
	p.fields(base, "timing", merged["timing"], timingFields(&p.settings.Timing))
	p.fields(base, "limits", merged["limits"], limitFields(&p.settings.Limits))
	p.fields(base, "log", merged["log"], logFields(&p.settings.Log))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		p.section(base, name, merged[name])
	}
	p.join(base)
}

func (p *parser) section(base, name string, keys map[string]value) {
	kind, label, named := strings.Cut(name, " ")
	switch {
	case !named && (kind == "daemon" || kind == "timing" || kind == "limits" || kind == "log"):
	case named && kind == "service" && validName(label):
		s := Service{Name: model.Service(label)}
		p.fields(base, name, keys, serviceFields(&s))
		p.settings.Services[s.Name] = s
	case named && kind == "workspace" && validName(label):
		w := Workspace{Name: model.Workspace(label)}
		p.fields(base, name, keys, workspaceFields(&w))
		p.settings.Workspaces[w.Name] = w
	case named && kind == "target" && validTargetLabel(label):
		service, id, _ := strings.Cut(label, "/")
		t := Target{ID: model.TargetID(id)}
		p.fields(base, name, keys, targetFields(&t))
		p.targets[model.Service(service)] = append(p.targets[model.Service(service)], t)
	default:
		p.add(base, name, "", "", "sections are [daemon], [timing], [limits], [log], [service NAME], "+
			"[target SERVICE/NAME] and [workspace NAME]; names have letters, digits, '-', '_' and '.', at most 64")
	}
}

// fields checks the keys of one section.
func (p *parser) fields(base, section string, keys map[string]value, fields []field) {
	known := map[string]field{}
	for _, f := range fields {
		known[f.key] = f
		if _, ok := keys[f.key]; f.required && !ok {
			p.add(base, section, f.key, "", "the key is missing; allowed: "+f.allowed)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		v := keys[key]
		f, ok := known[key]
		switch {
		case !ok:
			p.add(v.file, section, key, v.text, "unknown key; known keys: "+knownKeys(fields))
		case !f.set(v.text):
			p.add(v.file, section, key, v.text, "allowed: "+f.allowed)
		}
	}
}

func knownKeys(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return strings.Join(names, ", ")
}

// join checks what holds between sections and puts the targets into their services.
func (p *parser) join(base string) {
	for _, service := range slices.Sorted(maps.Keys(p.targets)) {
		s, ok := p.settings.Services[service]
		if !ok {
			p.add(base, "target "+string(service)+"/"+string(p.targets[service][0].ID), "", "",
				fmt.Sprintf("there is no section [service %s]", service))
			continue
		}
		s.Targets = p.targets[service]
		p.settings.Services[service] = s
	}
	for _, name := range slices.Sorted(maps.Keys(p.settings.Services)) {
		p.joinService(base, p.settings.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.settings.Workspaces)) {
		for _, s := range p.settings.Workspaces[name].Services {
			if _, ok := p.settings.Services[s]; !ok {
				p.add(base, "workspace "+string(name), "services", string(s), "the service must have a section")
			}
		}
	}
}

func (p *parser) joinService(base string, s Service) {
	section := "service " + string(s.Name)
	if len(s.Targets) == 0 {
		p.add(base, section, "", "", "the service needs at least one [target "+string(s.Name)+"/NAME]")
	}
	addresses := map[string]model.TargetID{}
	for _, t := range s.Targets {
		if other, ok := addresses[t.Address]; ok {
			p.add(base, "target "+string(s.Name)+"/"+string(t.ID), "address", t.Address,
				fmt.Sprintf("target %q has the same address", other))
		}
		addresses[t.Address] = t.ID
	}
	if s.Slots > s.Connections/2 {
		p.add(base, section, "slots", strconv.Itoa(s.Slots),
			"at most half of the connections, because an old and a new home must fit together")
	}
}

// ParseDocument checks the declaration in a document for each data centre that has an overlay, and returns the settings
// of the given one.
func ParseDocument(d *Document, dataCentre model.DataCentre) (*Settings, error) {
	base := File{Name: "base", Text: d.Base}
	text, ok := d.Overlays[dataCentre]
	if !ok {
		return Parse(base, nil)
	}
	return Parse(base, &File{Name: "overlay " + string(dataCentre), Text: text})
}

func daemonFields(d *Daemon) []field {
	return []field{
		{"host", "a name", false, setName(&d.Host)},
		{"data_centre", "a name", false, setName(&d.DataCentre)},
		{"caller_listen", "IP:port", false, setAddress(&d.CallerListen)},
		{"operator_listen", "IP:port", false, setAddress(&d.OperatorListen)},
		{"peer_listen", "IP:port", false, setAddress(&d.PeerListen)},
		{"platform_url", "an http URL with an IP number", false, setURL(&d.PlatformURL)},
		{"operator_token", "at least 16 characters", false, setSecret(&d.OperatorToken)},
		{"peer_secret", "at least 16 characters", false, setSecret(&d.PeerSecret)},
	}
}

func timingFields(t *Timing) []field {
	*t = Timing{DrainTimeout: DefaultDrainTimeout, DrainGracePeriod: DefaultDrainGracePeriod, StatementTimeout: DefaultStatementTimeout,
		TransactionIdleTimeout: DefaultTransactionIdleTimeout, ReplicaWait: DefaultReplicaWait}
	return []field{
		{"drain_limit", "a duration from 1s to 10m", false, setDuration(&t.DrainTimeout, time.Second, 10*time.Minute)},
		{"drain_grace", "a duration from 0s to 1m", false, setDuration(&t.DrainGracePeriod, 0, time.Minute)},
		{"statement_timeout", "a duration from 10ms to 10m", false,
			setDuration(&t.StatementTimeout, 10*time.Millisecond, 10*time.Minute)},
		{"transaction_idle", "a duration from 1s to 10m", false,
			setDuration(&t.TransactionIdleTimeout, time.Second, 10*time.Minute)},
		{"replica_wait", "a duration from 0s to 1s", false, setDuration(&t.ReplicaWait, 0, time.Second)},
	}
}

func limitFields(l *Limits) []field {
	*l = Limits{MaxConcurrentRequests: DefaultMaxConcurrentRequests, MaxAnswerBytes: DefaultMaxAnswerBytes}
	return []field{
		{"max_concurrent", "a number from 1 to 1000000", false, setInt(&l.MaxConcurrentRequests, 1, 1000000)},
		{"max_answer_bytes", "a number from 1024 to 67108864", false, setInt(&l.MaxAnswerBytes, 1024, 64<<20)},
	}
}

func logFields(l *Log) []field {
	*l = Log{Level: "info", DecisionSampleInterval: DefaultDecisionSampleInterval}
	return []field{
		{"level", "debug, info, warn or error", false, setChoice(&l.Level, "debug", "info", "warn", "error")},
		{"decision_sample", "a number from 1 to 1000000", false, setInt(&l.DecisionSampleInterval, 1, 1000000)},
	}
}

func serviceFields(s *Service) []field {
	s.Database, s.User = "postgres", "postgres"
	return []field{
		{"slots", "a number from 1 to 10000", true, setInt(&s.Slots, 1, 10000)},
		{"connections", "a number from 4 to 10000", true, setInt(&s.Connections, MinConnections, 10000)},
		{"database", "a name", false, setName(&s.Database)},
		{"user", "a name", false, setName(&s.User)},
		{"password", "text", false, func(v string) bool { s.Password = v; return true }},
	}
}

func targetFields(t *Target) []field {
	t.State = TargetActive
	return []field{
		{"address", "IP:port", true, setAddress(&t.Address)},
		{"data_centre", "a name", true, setName(&t.DataCentre)},
		{"state", "active or leaving", false, setChoice(&t.State, TargetActive, TargetLeaving)},
	}
}

func workspaceFields(w *Workspace) []field {
	return []field{
		{"rate", "statements a second, a number from 0 to 10000000", true, setFloat(&w.Rate, 1e7)},
		{"burst", "statements at once, a number from 0 to 10000000", true, setFloat(&w.Burst, 1e7)},
		{"services", "names of services separated by commas", true, setServices(&w.Services)},
	}
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}) < 0
}

func validTargetLabel(label string) bool {
	service, id, ok := strings.Cut(label, "/")
	return ok && validName(service) && validName(id)
}

func setName[T ~string](to *T) func(string) bool {
	return func(v string) bool {
		*to = T(v)
		return validName(v)
	}
}

func setChoice[T ~string](to *T, choices ...T) func(string) bool {
	return func(v string) bool {
		*to = T(v)
		return slices.Contains(choices, T(v))
	}
}

func setAddress(to *string) func(string) bool {
	return func(v string) bool {
		*to = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}
}

func setURL(to *string) func(string) bool {
	return func(v string) bool {
		*to = v
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" || u.Path != "" {
			return false
		}
		_, err = netip.ParseAddrPort(u.Host)
		return err == nil
	}
}

// minSecretLength is the least length of an operator token and of a peer secret in bytes.
const minSecretLength = 16

func setSecret(to *string) func(string) bool {
	return func(v string) bool {
		*to = v
		return len(v) >= minSecretLength
	}
}

func setDuration(to *time.Duration, low, high time.Duration) func(string) bool {
	return func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= low && d <= high
	}
}

func setInt(to *int, low, high int) func(string) bool {
	return func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= low && n <= high
	}
}

func setFloat(to *float64, high float64) func(string) bool {
	return func(v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*to = f
		return err == nil && f >= 0 && f <= high
	}
}

func setServices(to *[]model.Service) func(string) bool {
	return func(v string) bool {
		*to = nil
		for _, name := range strings.Split(v, ",") {
			name = strings.TrimSpace(name)
			if !validName(name) || slices.Contains(*to, model.Service(name)) {
				return false
			}
			*to = append(*to, model.Service(name))
		}
		return true
	}
}
