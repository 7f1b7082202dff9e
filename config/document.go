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
	// MaxDocumentBytes is the maximum size of an encoded document. The platform's store holds values of at most 1 MB.
	MaxDocumentBytes = 1_000_000
	// maxRememberedChanges is the number of recent change ids that a document keeps. They show whether a change took effect
	// if the store's answer to it was lost.
	maxRememberedChanges = 64
	// MaxChangeIDBytes is the maximum length of a change id.
	MaxChangeIDBytes = 64
)

// Document is the configuration in the platform's store. Documents are immutable: each change returns a new document with
// the next version.
type Document struct {
	Version  uint64                      `json:"version"`
	Changes  []string                    `json:"changes"` // ids of the most recent changes, oldest first
	Base     string                      `json:"base"`
	Overlays map[model.DataCentre]string `json:"overlays,omitempty"`
	Keys     map[model.KeyID]key.Record  `json:"keys,omitempty"`
	Secret   []byte                      `json:"secret"` // authenticates session tokens and transaction handles
}

// ConflictError reports that a change expected another version of the configuration than the active one.
type ConflictError struct {
	ExpectedVersion uint64   // version that the change is based on
	CurrentVersion  uint64   // active version
	Differences     []string // differences from the active to the requested configuration
}

// Error returns the current and the expected version in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at version %d, not at version %d", e.CurrentVersion, e.ExpectedVersion)
}

// NotFoundError reports that a workspace or key does not exist.
type NotFoundError struct{ Kind, Name string }

// Error returns the kind and the name in one line.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// TooLargeError reports that an encoded document exceeds MaxDocumentBytes.
type TooLargeError struct{ Bytes int }

// Error returns the size and the limit in one line.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration would have %d bytes; at most %d are allowed", e.Bytes, MaxDocumentBytes)
}

// Decode parses an encoded document.
func Decode(data []byte) (*Document, error) {
	d := &Document{Keys: map[model.KeyID]key.Record{}}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("the configuration in the store cannot be read: %w", err)
	}
	return d, nil
}

// Encode returns the stored form of the document. It returns a *TooLargeError if the document does not fit into the store.
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

// HasChange reports whether the change with the given id is among the recent changes of the document.
func (d *Document) HasChange(id string) bool { return slices.Contains(d.Changes, id) }

// ReusesChangeID reports whether the id was used for a change with different content. Ids have the form NAME.CONTENT, where
// CONTENT is a hash of the change.
func (d *Document) ReusesChangeID(id string) bool {
	prefix := id[:strings.LastIndex(id, ".")+1]
	return prefix != "" && !d.HasChange(id) && slices.ContainsFunc(d.Changes, func(other string) bool {
		return other[:strings.LastIndex(other, ".")+1] == prefix
	})
}

// nextVersion returns a copy of the document with the next version number and the change id appended.
func (d *Document) nextVersion(changeID string) *Document {
	n := *d
	n.Version++
	n.Changes = append(slices.Clone(d.Changes), changeID)
	if extra := len(n.Changes) - maxRememberedChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	n.Keys = maps.Clone(d.Keys)
	if n.Keys == nil {
		n.Keys = map[model.KeyID]key.Record{}
	}
	return &n
}

// Declaration is the configuration as operators write it: a base file and one optional overlay per data centre.
type Declaration struct {
	Base     string
	Overlays map[model.DataCentre]string
}

// Validate parses the base file alone and, if it is valid, with each overlay. It returns an *InvalidError that lists all
// problems.
func (d Declaration) Validate() error {
	invalid := &InvalidError{}
	collect := func(overlay *File) {
		_, err := Parse(File{Name: "base", Text: d.Base}, overlay)
		if e, ok := err.(*InvalidError); ok {
			invalid.Problems = append(invalid.Problems, e.Problems...)
		}
	}
	collect(nil)
	if len(invalid.Problems) == 0 {
		for _, dc := range slices.Sorted(maps.Keys(d.Overlays)) {
			collect(&File{Name: "overlay " + string(dc), Text: d.Overlays[dc]})
		}
	}
	if len(invalid.Problems) > 0 {
		return invalid
	}
	return nil
}

// Declaration returns the base file and the overlays of the document.
func (d *Document) Declaration() Declaration {
	return Declaration{Base: d.Base, Overlays: d.Overlays}
}

// Apply replaces the declaration. It returns a *ConflictError unless expected is the document's version, so that it cannot
// undo a change that another operator made in the meantime. The secret is used only if the document has none yet. If the
// declaration is unchanged, Apply returns the document itself.
func (d *Document) Apply(declared Declaration, expected uint64, changeID string, secret []byte) (*Document, error) {
	if err := declared.Validate(); err != nil {
		return nil, err
	}
	differences := Differences(d.Declaration(), declared)
	if expected != d.Version {
		return nil, &ConflictError{ExpectedVersion: expected, CurrentVersion: d.Version, Differences: differences}
	}
	if len(differences) == 0 && d.Version > 0 {
		return d, nil
	}
	n := d.nextVersion(changeID)
	n.Base, n.Overlays = declared.Base, maps.Clone(declared.Overlays)
	if len(n.Secret) == 0 {
		n.Secret = secret
	}
	return n, nil
}

// CreateKey adds a key. It returns a *NotFoundError if the key's workspace does not exist.
func (d *Document) CreateKey(k key.Record, changeID string) (*Document, error) {
	s, err := ParseDocument(d, "")
	if err != nil {
		return nil, err
	}
	if _, ok := s.Workspaces[k.Workspace]; !ok {
		return nil, &NotFoundError{Kind: "workspace", Name: string(k.Workspace)}
	}
	n := d.nextVersion(changeID)
	n.Keys[k.ID] = k
	return n, nil
}

// WithdrawKey marks a key as withdrawn. The record stays in the document, so that the key cannot become valid again. If the
// key is already withdrawn, WithdrawKey returns the document itself.
func (d *Document) WithdrawKey(id model.KeyID, changeID string) (*Document, error) {
	k, ok := d.Keys[id]
	if !ok {
		return nil, &NotFoundError{Kind: "key", Name: string(id)}
	}
	if k.Withdrawn {
		return d, nil
	}
	n := d.nextVersion(changeID)
	n.Keys[id] = k.Withdraw()
	return n, nil
}

// WorkspaceChange describes a change of a workspace. Nil fields keep their values.
type WorkspaceChange struct {
	Workspace       model.Workspace
	Rate            *float64
	Burst           *float64
	Services        []model.Service
	ExpectedVersion uint64 // version that the change is based on; 0 accepts any version
}

// SetWorkspace creates or changes a workspace in the base file. The rest of the file, including comments, is kept. It
// returns a *ConflictError if the change expects another version.
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

// editWorkspace returns the base file with the change made in the workspace's section.
func editWorkspace(base string, c WorkspaceChange) (string, error) {
	file, err := ini.LoadSources(iniOptions, []byte(base))
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

// Differences returns one line for each key that differs between two declarations. Values of secret keys are redacted.
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
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, redact(name, before), redact(name, after)))
		case had && !has:
			lines = append(lines, fmt.Sprintf("%s: %s -> (removed)", name, redact(name, before)))
		case !had && has:
			lines = append(lines, fmt.Sprintf("%s: (added) %s", name, redact(name, after)))
		}
	}
	return lines
}

// redact hides the text if the name, which ends with " KEY", belongs to a secret key.
func redact(name, text string) string {
	if secretKeys[name[strings.LastIndex(name, " ")+1:]] {
		return "(hidden)"
	}
	return text
}

// flatten returns the values of a declaration by "FILE [SECTION] KEY". Empty sections get an entry of their own, so that
// adding or removing one is a difference.
func flatten(d Declaration) map[string]string {
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
	add("base", d.Base)
	for dc, text := range d.Overlays {
		add("overlay "+string(dc), text)
	}
	return out
}

// KeyIDs returns the ids of all keys in ascending order.
func (d *Document) KeyIDs() []model.KeyID {
	return slices.Sorted(maps.Keys(d.Keys))
}
