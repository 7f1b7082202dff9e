package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MaxDocumentBytes is the greatest size of an encoded document; the platform's store holds values up to 1 MB.
	MaxDocumentBytes = 1_000_000
	// rememberedChanges is the number of change ids that a document keeps, to tell whether a change took effect whose
	// answer was lost.
	rememberedChanges = 64
	// MaxChangeIDLength is the greatest length of a change id in bytes.
	MaxChangeIDBytes = 64
)

// Document is the configuration in the platform's store. A document is never modified: each change returns a new one
// with the next version.
type Document struct {
	Version  uint64                      `json:"version"`
	Changes  []string                    `json:"changes"` // ids of the latest changes, the newest last
	Base     string                      `json:"base"`
	Overlays map[model.DataCentre]string `json:"overlays,omitempty"`
	Keys     map[model.KeyID]key.Record  `json:"keys,omitempty"`
	Secret   []byte                      `json:"secret"` // authenticates session tokens and transaction handles
}

// ConflictError reports that the configuration changed since the operator saw it.
type ConflictError struct {
	ExpectedVersion uint64   // version that the operator has seen
	CurrentVersion  uint64   // version in force
	Differences     []string // from the configuration in force to what the operator asked for
}

// Error returns the conflict in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at version %d, not at version %d", e.CurrentVersion, e.ExpectedVersion)
}

// NotFoundError reports that a named thing does not exist.
type NotFoundError struct{ Kind, Name string }

// Error returns the missing thing in one line.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// TooLargeError reports that a document would not fit into the store.
type TooLargeError struct{ Bytes int }

// Error returns the size and the limit in one line.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration would have %d bytes; at most %d are allowed", e.Bytes, MaxDocumentBytes)
}

// Decode reads a document from the store.
func Decode(data []byte) (*Document, error) {
	d := &Document{Keys: map[model.KeyID]key.Record{}}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("the configuration in the store cannot be read: %w", err)
	}
	return d, nil
}

// Encode returns the document as the store holds it.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxDocumentBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	return data, nil
}

// HasChange reports whether the change with the id took effect.
func (d *Document) HasChange(id string) bool { return slices.Contains(d.Changes, id) }

// ReusesChange reports whether the id was used for a change with another content. Ids have the form NAME.CONTENT.
func (d *Document) ReusesChangeID(id string) bool {
	name := id[:strings.LastIndex(id, ".")+1]
	return name != "" && !d.HasChange(id) && slices.ContainsFunc(d.Changes, func(known string) bool {
		return known[:strings.LastIndex(known, ".")+1] == name
	})
}

// next returns a copy with the next version that remembers the change.
func (d *Document) next(changeID string) *Document {
	n := *d
	n.Version++
	n.Changes = append(slices.Clone(d.Changes), changeID)
	if extra := len(n.Changes) - rememberedChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	n.Keys = maps.Clone(d.Keys)
	if n.Keys == nil {
		n.Keys = map[model.KeyID]key.Record{}
	}
	return &n
}

// Declaration is what an operator declares: a base file with overlays by data centre.
type Declaration struct {
	Base     string
	Overlays map[model.DataCentre]string
}

// Check parses the declaration for every data centre that has an overlay. It returns an *InvalidError with all
// problems when there are any.
func (c Declaration) Validate() error {
	invalid := &InvalidError{}
	collect := func(overlay *File) {
		_, err := Parse(File{Name: "base", Text: c.Base}, overlay)
		if e, ok := err.(*InvalidError); ok {
			invalid.Problems = append(invalid.Problems, e.Problems...)
		}
	}
	collect(nil)
	if len(invalid.Problems) == 0 {
		for _, dc := range slices.Sorted(maps.Keys(c.Overlays)) {
			collect(&File{Name: "overlay " + string(dc), Text: c.Overlays[dc]})
		}
	}
	if len(invalid.Problems) > 0 {
		return invalid
	}
	return nil
}

// Declaration returns what the document declares.
func (d *Document) Declaration() Declaration {
	return Declaration{Base: d.Base, Overlays: d.Overlays}
}

// Apply replaces the declaration. The change is refused with a *ConflictError unless expected is the document's
// version, so that nothing that another operator changed in between is undone. The secret is used by the first change
// only. An unchanged declaration returns the document itself.
func (d *Document) Apply(c Declaration, expected uint64, changeID string, secret []byte) (*Document, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	differences := Differences(d.Declaration(), c)
	if expected != d.Version {
		return nil, &ConflictError{ExpectedVersion: expected, CurrentVersion: d.Version, Differences: differences}
	}
	if len(differences) == 0 && d.Version > 0 {
		return d, nil
	}
	n := d.next(changeID)
	n.Base, n.Overlays = c.Base, maps.Clone(c.Overlays)
	if len(n.Secret) == 0 {
		n.Secret = secret
	}
	return n, nil
}

// CreateKey adds a key for a workspace.
func (d *Document) CreateKey(k key.Record, changeID string) (*Document, error) {
	s, err := ParseDocument(d, "")
	if err != nil {
		return nil, err
	}
	if _, ok := s.Workspaces[k.Workspace]; !ok {
		return nil, &NotFoundError{Kind: "workspace", Name: string(k.Workspace)}
	}
	n := d.next(changeID)
	n.Keys[k.ID] = k
	return n, nil
}

// WithdrawKey marks a key as withdrawn. A withdrawn key stays in the document, so that it cannot come back. A key that
// is withdrawn already returns the document itself.
func (d *Document) WithdrawKey(id model.KeyID, changeID string) (*Document, error) {
	k, ok := d.Keys[id]
	if !ok {
		return nil, &NotFoundError{Kind: "key", Name: string(id)}
	}
	if k.Withdrawn {
		return d, nil
	}
	n := d.next(changeID)
	n.Keys[id] = k.Withdraw()
	return n, nil
}

// WorkspaceChange says what to set of a workspace; nil fields stay as they are.
type WorkspaceChange struct {
	Workspace       model.Workspace
	Rate            *float64
	Burst           *float64
	Services        []model.Service
	ExpectedVersion uint64 // version that the operator has seen; 0 accepts any
}

// SetWorkspace creates or changes a workspace in the base file and keeps the rest of the file, with its comments.
func (d *Document) SetWorkspace(c WorkspaceChange, changeID string) (*Document, error) {
	if c.ExpectedVersion != 0 && c.ExpectedVersion != d.Version {
		return nil, &ConflictError{ExpectedVersion: c.ExpectedVersion, CurrentVersion: d.Version}
	}
	base, err := editWorkspace(d.Base, c)
	if err != nil {
		return nil, err
	}
	return d.Apply(Declaration{Base: base, Overlays: d.Overlays}, d.Version, changeID, nil)
}

func editWorkspace(base string, c WorkspaceChange) (string, error) {
	file, err := ini.LoadSources(loadOptions, []byte(base))
	if err != nil {
		return "", err
	}
	section := file.Section("workspace " + string(c.Workspace))
	if c.Rate != nil {
		section.Key("rate").SetValue(strconv.FormatFloat(*c.Rate, 'g', -1, 64))
	}
	if c.Burst != nil {
		section.Key("burst").SetValue(strconv.FormatFloat(*c.Burst, 'g', -1, 64))
	}
	if c.Services != nil {
		names := make([]string, len(c.Services))
		for i, s := range c.Services {
			names[i] = string(s)
		}
		section.Key("services").SetValue(strings.Join(names, ", "))
	}
	var out bytes.Buffer
	_, err = file.WriteTo(&out)
	return out.String(), err
}

// Differences returns one line for each key that differs between two declarations. Secrets are not shown.
func Differences(from, to Declaration) []string {
	a, b := flatten(from), flatten(to)
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	lines := []string{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := a[name]
		after, has := b[name]
		switch {
		case had && has && before != after:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, shown(name, before), shown(name, after)))
		case had && !has:
			lines = append(lines, fmt.Sprintf("%s: %s -> (removed)", name, shown(name, before)))
		case !had && has:
			lines = append(lines, fmt.Sprintf("%s: (added) %s", name, shown(name, after)))
		}
	}
	return lines
}

func shown(name, text string) string {
	if secretKeys[name[strings.LastIndex(name, " ")+1:]] {
		return "(hidden)"
	}
	return text
}

func flatten(c Declaration) map[string]string {
	out := map[string]string{}
	add := func(file, text string) {
		for section, keys := range (&parser{}).load(File{Name: file, Text: text}) {
			for key, v := range keys {
				out[fmt.Sprintf("%s [%s] %s", file, section, key)] = v.text
			}
			if len(keys) == 0 {
				out[fmt.Sprintf("%s [%s] (section)", file, section)] = "empty"
			}
		}
	}
	add("base", c.Base)
	for dc, text := range c.Overlays {
		add("overlay "+string(dc), text)
	}
	return out
}

// KeyIDs returns the ids of all keys in order.
func (d *Document) KeyIDs() []model.KeyID {
	return slices.Sorted(maps.Keys(d.Keys))
}
