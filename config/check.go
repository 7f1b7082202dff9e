package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/waxwingspindle/waxwingspindle/configcheck"
)

// lineOf returns the line of a key in a section, that of the section if the key is empty or missing, or 0.
func lineOf(text, section, key string) int {
	header, inSection := 0, false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			inSection = strings.TrimSpace(strings.TrimSuffix(name, "]")) == section
			if inSection && header == 0 {
				header = i + 1
			}
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok && inSection && key != "" && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return header
}

// AddLines sets the line of each problem that concerns the file.
func (e *InvalidError) AddLines(f File) {
	for i, p := range e.Problems {
		if p.File == f.Name {
			e.Problems[i].Line = lineOf(f.Text, p.Section, p.Key)
		}
	}
}

// ForCheck returns the parts of the settings that configcheck examines, with their lines in the base file.
func (s *Settings) ForCheck(base File) configcheck.Configuration {
	c := configcheck.Configuration{File: base.Name}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		service := s.Services[name]
		c.Services = append(c.Services, configcheck.Service{Line: lineOf(base.Text, "service "+string(name), ""),
			Name: string(name), MaxConnections: service.Connections, Slots: service.Slots * len(service.Targets)})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Workspaces)) {
		workspace := s.Workspaces[name]
		w := configcheck.Workspace{Line: lineOf(base.Text, "workspace "+string(name), ""), Name: string(name), Limited: true,
			Rate: workspace.Rate, Burst: workspace.Burst}
		for _, service := range workspace.Services {
			w.Services = append(w.Services, string(service))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}
