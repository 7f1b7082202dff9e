package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/configcheck"
	"github.com/waxwingspindle/waxwingspindle/platform"
)

// findingsError is returned by config check if it has printed findings; it sets the exit code.
type findingsError struct{}

func (findingsError) Error() string { return "the configuration has findings" }

// uncheckableError is returned by config check if it cannot compare the files; it sets the exit code.
type uncheckableError struct{ reason string }

func (e uncheckableError) Error() string { return e.reason }

type configCheckCommand struct {
	configFiles
	Against       string         `help:"Other version of FILE; prints what differs from it." type:"existingfile"`
	Format        string         `help:"Output format: ${enum}." enum:"text,json" default:"text"`
	Slots         map[string]int `help:"Slots of all targets of a service, as SERVICE=N; base files say them."`
	StatementTime time.Duration  `help:"Mean time for which a statement uses a slot." default:"${statementTime}"`
}

// Run checks a base file with its overlays, or a JSON document of the operators.
func (c *configCheckCommand) Run(e *environment) error {
	if c.StatementTime <= 0 {
		return uncheckableError{fmt.Sprintf("--statement-time has value %v: it must be above 0", c.StatementTime)}
	}
	data, err := os.ReadFile(c.Base)
	if err != nil {
		return uncheckableError{err.Error()}
	}
	var other []byte
	if c.Against != "" {
		if other, err = os.ReadFile(c.Against); err != nil {
			return uncheckableError{err.Error()}
		}
		if isDocument(c.Against, other) != isDocument(c.Base, data) {
			return uncheckableError{"a base file and a JSON document cannot be compared"}
		}
	}
	var findings []configcheck.Finding
	if isDocument(c.Base, data) {
		findings, err = c.checkDocument(data, other)
	} else {
		findings, err = c.checkFiles(string(data), string(other))
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) && c.Format == "json" {
		if err := c.printJSON(e, findingsOf(invalid)); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	return c.printFindings(e, findings)
}

// isDocument reports whether a file is a JSON document, also one with a byte order mark, which the decoder rejects. No base
// file begins with a brace. Errors of base files quote the line, which would show the keys of a document.
func isDocument(name string, data []byte) bool {
	text := bytes.TrimPrefix(data, []byte("\ufeff"))
	return filepath.Ext(name) == ".json" || bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

func (c *configCheckCommand) checkDocument(data, other []byte) ([]configcheck.Finding, error) {
	if len(c.Overlay) > 0 {
		return nil, uncheckableError{"a JSON document has no overlays"}
	}
	checked, invalid := platform.DecodeForCheck(c.Base, data)
	if invalid != nil {
		return []configcheck.Finding{*invalid}, nil
	}
	findings := configcheck.Check(c.withSlots(checked), c.StatementTime)
	if c.Against != "" {
		old, invalid := platform.DecodeForCheck(c.Against, other)
		if invalid != nil {
			return nil, uncheckableError{invalid.String()}
		}
		findings = append(findings, configcheck.Diff(checked, old)...)
	}
	return findings, nil
}

func (c *configCheckCommand) withSlots(checked configcheck.Configuration) configcheck.Configuration {
	for i, s := range checked.Services {
		if n, ok := c.Slots[s.Name]; ok {
			checked.Services[i].Slots = n
		}
	}
	return checked
}

// checkFiles checks a base file with its overlays. It returns a *config.InvalidError for files that a daemon rejects.
func (c *configCheckCommand) checkFiles(text, other string) ([]configcheck.Finding, error) {
	base := config.File{Name: c.Base, Text: text}
	declared, err := c.check()
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		invalid.AddLines(base)
		for _, name := range c.Overlay {
			if overlay, err := os.ReadFile(name); err == nil {
				invalid.AddLines(config.File{Name: name, Text: string(overlay)})
			}
		}
	}
	if err != nil {
		return nil, err
	}
	settings, err := config.Parse(base, nil)
	if err != nil {
		return nil, err
	}
	findings := configcheck.Check(c.withSlots(settings.ForCheck(base)), c.StatementTime)
	if c.Against != "" {
		if _, err := config.Parse(config.File{Name: c.Against, Text: other}, nil); err != nil {
			return nil, uncheckableError{err.Error()}
		}
		for _, line := range config.Differences(config.Declaration{Base: other}, config.Declaration{Base: declared.Base}) {
			findings = append(findings, configcheck.Finding{Severity: configcheck.Change, File: c.Base, Place: "key", Text: line})
		}
	}
	return findings, nil
}

// findingsOf converts the problems of files that a daemon rejects. Values of secret keys are already hidden in them.
func findingsOf(invalid *config.InvalidError) (list []configcheck.Finding) {
	for _, p := range invalid.Problems {
		f := configcheck.Finding{Severity: configcheck.Error, File: p.File, Line: p.Line, Place: "file", Text: p.Message}
		if p.Section != "" {
			f.Place = strings.TrimSpace("[" + p.Section + "] " + p.Key)
		}
		if p.Value != "" {
			f.Text = fmt.Sprintf("has value %q: %s", p.Value, p.Message)
		}
		list = append(list, f)
	}
	return list
}

// printJSON writes the findings as an array, which is empty without findings.
func (c *configCheckCommand) printJSON(e *environment, findings []configcheck.Finding) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(append([]configcheck.Finding{}, findings...))
}

func (c *configCheckCommand) printFindings(e *environment, findings []configcheck.Finding) error {
	mistakes := configcheck.Mistakes(findings)
	if c.Format == "json" {
		if err := c.printJSON(e, findings); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintln(e.stdout, f)
		}
		if !mistakes {
			fmt.Fprintln(e.stdout, "The configuration is valid.")
		}
	}
	if mistakes {
		return findingsError{}
	}
	return nil
}
