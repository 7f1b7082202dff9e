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

// File is the text of an INI file and the name under which its problems are reported.
type File struct {
	Name string
	Text string
}

// Problem is one error in a configuration.
type Problem struct {
	File    string
	Line    int // 0 if not known; set by InvalidError.AddLines
	Section string
	Key     string
	Value   string
	Message string // what is wrong or which values are allowed
}

// String formats the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:", p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
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

// InvalidError lists all problems of a configuration.
type InvalidError struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	return strings.Join(e.Lines(), "\n")
}

// Lines returns one line per problem.
func (e *InvalidError) Lines() []string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return lines
}

// secretKeys are the keys whose values are redacted in problems and differences.
var secretKeys = map[string]bool{"operator_token": true, "peer_secret": true, "password": true}

// value is the text of a value and the name of the file that sets it.
type value struct{ text, file string }

// rawSections holds unchecked values by section and key.
type rawSections map[string]map[string]value

// iniOptions disables inline comments, because '#' and ';' may be part of a password, and allows only '=' as delimiter.
// Shadows are allowed so that loadKeys can report repeated keys.
var iniOptions = ini.LoadOptions{
	IgnoreInlineComment: true,
	KeyValueDelimiters:  "=",
	AllowShadows:        true,
	Insensitive:         false,
}

// parser builds the settings from merged files and collects all problems.
type parser struct {
	problems []Problem
	settings Settings
	targets  map[model.Service][]Target
}

// Parse parses a base file merged with an overlay, which may be nil. It returns an *InvalidError that lists all problems.
func Parse(base File, overlay *File) (*Settings, error) {
	return ParseFiles(base, overlay)
}

// ParseFiles is like Parse with any number of overlays. Later overlays take precedence; nil overlays are skipped.
func ParseFiles(base File, overlays ...*File) (*Settings, error) {
	p := &parser{targets: map[model.Service][]Target{}}
	merged := p.load(base)
	for _, overlay := range overlays {
		if overlay != nil {
			p.merge(merged, p.load(*overlay))
		}
	}
	if len(p.problems) == 0 {
		p.parseSections(merged, base.Name)
	}
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return &p.settings, nil
}

// addProblem records a problem and redacts the values of secret keys.
func (p *parser) addProblem(file, section, key, val, allowed string) {
	if secretKeys[key] && val != "" {
		val = "(hidden)"
	}
	p.problems = append(p.problems, Problem{File: file, Section: section, Key: key, Value: val, Message: allowed})
}

// load parses the INI syntax of a file without checking sections, keys or values.
func (p *parser) load(f File) rawSections {
	out := rawSections{}
	parsed, err := ini.LoadSources(iniOptions, []byte(f.Text))
	if err != nil {
		p.addProblem(f.Name, "", "", "", fmt.Sprintf("not an INI file: %v", err))
		return out
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.addProblem(f.Name, "", k.Name(), k.Value(), "keys must be in a section")
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
			p.addProblem(file, s.Name(), k.Name(), strings.Join(shadows, ", "), "the key may stand once")
		}
		keys[k.Name()] = value{text: k.Value(), file: file}
	}
	return keys
}

// overlayKeys reports, by kind of section, whether an overlay may set a key. Rates, bursts and callers' keys apply to all
// hosts together, so they must not differ between data centres.
var overlayKeys = map[string]func(key string) bool{
	"daemon": func(string) bool { return true },
	"timing": func(string) bool { return true },
	"log":    func(string) bool { return true },
	"target": func(key string) bool { return key == "address" },
}

// merge copies the values of an overlay into base and reports those that an overlay may not set.
func (p *parser) merge(base, overlay rawSections) {
	for _, name := range slices.Sorted(maps.Keys(overlay)) {
		kind, _, _ := strings.Cut(name, " ")
		for _, key := range slices.Sorted(maps.Keys(overlay[name])) {
			v := overlay[name][key]
			if allowed := overlayKeys[kind]; allowed == nil || !allowed(key) {
				p.addProblem(v.file, name, key, v.text,
					"an overlay may set only [daemon], [timing], [log] and the address of a target")
				continue
			}
			if kind == "target" && base[name] == nil {
				p.addProblem(v.file, name, key, v.text, "the base file has no such target")
				continue
			}
			if base[name] == nil {
				base[name] = map[string]value{}
			}
			base[name][key] = v
		}
	}
}

// keySpec describes a key that a section may have. set parses and stores the text and reports whether it is valid.
type keySpec struct {
	key      string
	allowed  string
	required bool
	set      func(text string) bool
}

// parseSections parses all sections and links them. Sections that are missing get their default values.
func (p *parser) parseSections(merged rawSections, base string) {
	p.settings = Settings{Services: map[model.Service]Service{}, Workspaces: map[model.Workspace]Workspace{}}
	p.parseKeys(base, "daemon", merged["daemon"], daemonKeys(&p.settings.Daemon))
	p.parseKeys(base, "timing", merged["timing"], timingKeys(&p.settings.Timing))
	p.parseKeys(base, "limits", merged["limits"], limitKeys(&p.settings.Limits))
	p.parseKeys(base, "log", merged["log"], logKeys(&p.settings.Log))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		p.parseSection(base, name, merged[name])
	}
	p.linkSections(base)
}

func (p *parser) parseSection(base, name string, keys map[string]value) {
	kind, label, named := strings.Cut(name, " ")
	switch {
	case !named && (kind == "daemon" || kind == "timing" || kind == "limits" || kind == "log"):
	case named && kind == "service" && validName(label):
		s := Service{Name: model.Service(label)}
		p.parseKeys(base, name, keys, serviceKeys(&s))
		p.settings.Services[s.Name] = s
	case named && kind == "workspace" && validName(label):
		w := Workspace{Name: model.Workspace(label)}
		p.parseKeys(base, name, keys, workspaceKeys(&w))
		p.settings.Workspaces[w.Name] = w
	case named && kind == "target" && validTargetLabel(label):
		service, id, _ := strings.Cut(label, "/")
		t := Target{ID: model.TargetID(id)}
		p.parseKeys(base, name, keys, targetKeys(&t))
		p.targets[model.Service(service)] = append(p.targets[model.Service(service)], t)
	default:
		p.addProblem(base, name, "", "", "sections are [daemon], [timing], [limits], [log], [service NAME], "+
			"[target SERVICE/NAME] and [workspace NAME]; names have letters, digits, '-', '_' and '.', at most 64")
	}
}

// parseKeys checks the keys of a section against their specifications and stores the values.
func (p *parser) parseKeys(base, section string, keys map[string]value, specs []keySpec) {
	specByKey := map[string]keySpec{}
	for _, spec := range specs {
		specByKey[spec.key] = spec
		if _, ok := keys[spec.key]; spec.required && !ok {
			p.addProblem(base, section, spec.key, "", "the key is missing; allowed: "+spec.allowed)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		v := keys[key]
		spec, ok := specByKey[key]
		switch {
		case !ok:
			p.addProblem(v.file, section, key, v.text, "unknown key; known keys: "+knownKeys(specs))
		case !spec.set(v.text):
			p.addProblem(v.file, section, key, v.text, "allowed: "+spec.allowed)
		}
	}
}

func knownKeys(specs []keySpec) string {
	names := make([]string, len(specs))
	for i, spec := range specs {
		names[i] = spec.key
	}
	return strings.Join(names, ", ")
}

// linkSections attaches the targets to their services and checks the references between sections.
func (p *parser) linkSections(base string) {
	for _, service := range slices.Sorted(maps.Keys(p.targets)) {
		s, ok := p.settings.Services[service]
		if !ok {
			p.addProblem(base, "target "+string(service)+"/"+string(p.targets[service][0].ID), "", "",
				fmt.Sprintf("there is no section [service %s]", service))
			continue
		}
		s.Targets = p.targets[service]
		p.settings.Services[service] = s
	}
	for _, name := range slices.Sorted(maps.Keys(p.settings.Services)) {
		p.checkService(base, p.settings.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.settings.Workspaces)) {
		for _, s := range p.settings.Workspaces[name].Services {
			if _, ok := p.settings.Services[s]; !ok {
				p.addProblem(base, "workspace "+string(name), "services", string(s), "the service must have a section")
			}
		}
	}
}

// checkService checks that a service has targets with distinct addresses and that its slots fit its connection limit.
func (p *parser) checkService(base string, s Service) {
	section := "service " + string(s.Name)
	if len(s.Targets) == 0 {
		p.addProblem(base, section, "", "", "the service needs at least one [target "+string(s.Name)+"/NAME]")
	}
	addresses := map[string]model.TargetID{}
	for _, t := range s.Targets {
		if other, ok := addresses[t.Address]; ok {
			p.addProblem(base, "target "+string(s.Name)+"/"+string(t.ID), "address", t.Address,
				fmt.Sprintf("target %q has the same address", other))
		}
		addresses[t.Address] = t.ID
	}
	if s.Slots > s.Connections/2 {
		p.addProblem(base, section, "slots", strconv.Itoa(s.Slots),
			"at most half of the connections, because an old and a new home must fit together")
	}
}

// ParseDocument parses the document's base file with the overlay of the given data centre, if there is one.
func ParseDocument(d *Document, dataCentre model.DataCentre) (*Settings, error) {
	base := File{Name: "base", Text: d.Base}
	text, ok := d.Overlays[dataCentre]
	if !ok {
		return Parse(base, nil)
	}
	return Parse(base, &File{Name: "overlay " + string(dataCentre), Text: text})
}

func daemonKeys(d *Daemon) []keySpec {
	return []keySpec{
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

func timingKeys(t *Timing) []keySpec {
	*t = Timing{DrainTimeout: DefaultDrainTimeout, DrainGracePeriod: DefaultDrainGracePeriod,
		StatementTimeout: DefaultStatementTimeout, TransactionIdleTimeout: DefaultTransactionIdleTimeout,
		ReplicaWait: DefaultReplicaWait}
	return []keySpec{
		{"drain_limit", "a duration from 1s to 10m", false, setDuration(&t.DrainTimeout, time.Second, 10*time.Minute)},
		{"drain_grace", "a duration from 0s to 1m", false, setDuration(&t.DrainGracePeriod, 0, time.Minute)},
		{"statement_timeout", "a duration from 10ms to 10m", false,
			setDuration(&t.StatementTimeout, 10*time.Millisecond, 10*time.Minute)},
		{"transaction_idle", "a duration from 1s to 10m", false,
			setDuration(&t.TransactionIdleTimeout, time.Second, 10*time.Minute)},
		{"replica_wait", "a duration from 0s to 1s", false, setDuration(&t.ReplicaWait, 0, time.Second)},
	}
}

func limitKeys(l *Limits) []keySpec {
	*l = Limits{MaxConcurrentRequests: DefaultMaxConcurrentRequests, MaxAnswerBytes: DefaultMaxAnswerBytes}
	return []keySpec{
		{"max_concurrent", "a number from 1 to 1000000", false, setInt(&l.MaxConcurrentRequests, 1, 1000000)},
		{"max_answer_bytes", "a number from 1024 to 67108864", false, setInt(&l.MaxAnswerBytes, 1024, 64<<20)},
	}
}

func logKeys(l *Log) []keySpec {
	*l = Log{Level: "info", DecisionSampleInterval: DefaultDecisionSampleInterval}
	return []keySpec{
		{"level", "debug, info, warn or error", false, setChoice(&l.Level, "debug", "info", "warn", "error")},
		{"decision_sample", "a number from 1 to 1000000", false, setInt(&l.DecisionSampleInterval, 1, 1000000)},
	}
}

func serviceKeys(s *Service) []keySpec {
	s.Database, s.User = "postgres", "postgres"
	return []keySpec{
		{"slots", "a number from 1 to 10000", true, setInt(&s.Slots, 1, 10000)},
		{"connections", "a number from 4 to 10000", true, setInt(&s.Connections, MinConnections, 10000)},
		{"database", "a name", false, setName(&s.Database)},
		{"user", "a name", false, setName(&s.User)},
		{"password", "text", false, func(v string) bool { s.Password = v; return true }},
	}
}

func targetKeys(t *Target) []keySpec {
	t.State = TargetActive
	return []keySpec{
		{"address", "IP:port", true, setAddress(&t.Address)},
		{"data_centre", "a name", true, setName(&t.DataCentre)},
		{"state", "active or leaving", false, setChoice(&t.State, TargetActive, TargetLeaving)},
	}
}

func workspaceKeys(w *Workspace) []keySpec {
	return []keySpec{
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

// setName, like the other set functions below, returns a function that parses a value into dst and reports whether the
// value is valid.
func setName[T ~string](dst *T) func(string) bool {
	return func(v string) bool {
		*dst = T(v)
		return validName(v)
	}
}

func setChoice[T ~string](dst *T, choices ...T) func(string) bool {
	return func(v string) bool {
		*dst = T(v)
		return slices.Contains(choices, T(v))
	}
}

func setAddress(dst *string) func(string) bool {
	return func(v string) bool {
		*dst = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}
}

func setURL(dst *string) func(string) bool {
	return func(v string) bool {
		*dst = v
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" || u.Path != "" {
			return false
		}
		_, err = netip.ParseAddrPort(u.Host)
		return err == nil
	}
}

// minSecretBytes is the minimum length of the operator token and of the peer secret.
const minSecretBytes = 16

func setSecret(dst *string) func(string) bool {
	return func(v string) bool {
		*dst = v
		return len(v) >= minSecretBytes
	}
}

func setDuration(dst *time.Duration, low, high time.Duration) func(string) bool {
	return func(v string) bool {
		d, err := time.ParseDuration(v)
		*dst = d
		return err == nil && d >= low && d <= high
	}
}

func setInt(dst *int, low, high int) func(string) bool {
	return func(v string) bool {
		n, err := strconv.Atoi(v)
		*dst = n
		return err == nil && n >= low && n <= high
	}
}

func setFloat(dst *float64, high float64) func(string) bool {
	return func(v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*dst = f
		return err == nil && f >= 0 && f <= high
	}
}

func setServices(dst *[]model.Service) func(string) bool {
	return func(v string) bool {
		*dst = nil
		for _, name := range strings.Split(v, ",") {
			name = strings.TrimSpace(name)
			if !validName(name) || slices.Contains(*dst, model.Service(name)) {
				return false
			}
			*dst = append(*dst, model.Service(name))
		}
		return true
	}
}
