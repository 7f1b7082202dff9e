package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func readExample(t *testing.T, name string) File {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return File{Name: name, Text: string(text)}
}

// TestExamplesAreValid guards against example files that a daemon or the command line rejects, and against examples whose
// numbers of slots, connections and data centres differ from those of the users in the design.
func TestExamplesAreValid(t *testing.T) {
	for _, c := range []struct {
		name                         string
		overlays, slots, connections int
	}{
		{"federation", 3, 3, 20},
		{"lucciola", 4, 2, 35},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join("..", "examples", c.name)
			base := readExample(t, filepath.Join(dir, "base.ini"))
			files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
			if err != nil || len(files) != c.overlays+1 {
				t.Fatalf("files: %v, error: %v; want one base file and %d overlays", files, err, c.overlays)
			}
			declared := Declaration{Base: base.Text, Overlays: map[model.DataCentre]string{}}
			for _, name := range files {
				if filepath.Base(name) == "base.ini" {
					continue
				}
				overlay := readExample(t, name)
				dataCentre := model.DataCentre(strings.TrimSuffix(filepath.Base(name), ".ini"))
				declared.Overlays[dataCentre] = overlay.Text
				checkExample(t, base, overlay, dataCentre)
			}
			if err := declared.Validate(); err != nil {
				t.Error(err)
			}
			s, err := Parse(base, nil)
			if err != nil {
				t.Fatal(err)
			}
			checkExampleSizes(t, s, declared.Overlays, c.slots, c.connections)
		})
	}
}

// checkExample checks that a daemon can start with the base file, the overlay and a host's command-line options.
func checkExample(t *testing.T, base, overlay File, dataCentre model.DataCentre) {
	t.Helper()
	options := File{Name: "command line", Text: "[daemon]\nhost = host-1\npeer_listen = 127.0.0.1:7402\n"}
	s, err := ParseFiles(base, &overlay, &options)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Daemon.Validate(overlay.Name); err != nil {
		t.Error(err)
	}
	if s.Daemon.DataCentre != dataCentre {
		t.Errorf("%s: data centre %q", overlay.Name, s.Daemon.DataCentre)
	}
}

func checkExampleSizes(t *testing.T, s *Settings, dataCentres map[model.DataCentre]string, slots, connections int) {
	t.Helper()
	const services, targets, workspaces = 3, 3, 8
	if len(s.Services) != services || len(s.Workspaces) != workspaces {
		t.Errorf("%d services and %d workspaces", len(s.Services), len(s.Workspaces))
	}
	for name, service := range s.Services {
		if service.Slots != slots || service.Connections != connections || len(service.Targets) != targets {
			t.Errorf("service %s: %d slots, %d connections, %d targets", name, service.Slots, service.Connections,
				len(service.Targets))
		}
		for _, target := range service.Targets {
			if _, ok := dataCentres[target.DataCentre]; !ok {
				t.Errorf("target %s/%s: data centre %q has no overlay", name, target.ID, target.DataCentre)
			}
		}
	}
}
