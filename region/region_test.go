package region

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var regions = Map{"a1": "eu", "a2": "eu", "b1": "us", "c1": "asia"}

// Guards against a statement that runs outside the regions of its route or workspace, and against one that runs nowhere
// although it has none.
func TestTargets(t *testing.T) {
	for _, test := range []struct {
		name             string
		route, workspace []string
		want             []model.DataCentre
	}{
		{"none given", nil, nil, []model.DataCentre{"a1", "a2", "b1", "c1", "unknown"}},
		{"of the route", []string{"eu"}, nil, []model.DataCentre{"a1", "a2"}},
		{"of the workspace", nil, []string{"us", "asia"}, []model.DataCentre{"b1", "c1"}},
		{"of both", []string{"eu", "us"}, []string{"us", "asia"}, []model.DataCentre{"b1"}},
		{"of both, without a common one", []string{"eu"}, []string{"asia"}, nil},
		{"unknown", []string{"moon"}, nil, nil},
	} {
		c := regions.Targets(test.route, test.workspace)
		var got []model.DataCentre
		for _, dc := range []model.DataCentre{"a1", "a2", "b1", "c1", "unknown"} {
			if c.Allows(dc) {
				got = append(got, dc)
			}
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
	if (Map{}).Targets([]string{"eu"}, nil).Limited {
		t.Error("regions are enforced although none is known")
	}
}

// Guards against a statement that is forwarded to a host in a region that is neither allowed nor its caller's.
func TestHosts(t *testing.T) {
	c := regions.Hosts(regions.Targets([]string{"us"}, nil), "a1")
	for dc, want := range map[model.DataCentre]bool{"a1": true, "a2": true, "b1": true, "c1": false, "unknown": false} {
		if c.Allows(dc) != want {
			t.Errorf("%s: allowed %t", dc, !want)
		}
	}
	if c = regions.Hosts(regions.Targets([]string{"us"}, nil), "unknown"); !c.Allows("unknown") || c.Allows("a1") {
		t.Error("a host of a data centre without a region does not run statements itself, or forwards them anywhere")
	}
	if !regions.Hosts(Constraint{}, "a1").Allows("c1") {
		t.Error("a statement without regions is not forwarded to all hosts")
	}
}

// Guards against a host that does not start because a data centre has no region, and against a wrong list that is taken.
func TestParseMap(t *testing.T) {
	got, err := ParseMap(" a1:eu, b1 : us,c1:,")
	if diff := cmp.Diff(Map{"a1": "eu", "b1": "us"}, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	for _, text := range []string{"a1", ":eu", "a1:eu,a1:us"} {
		if _, err := ParseMap(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
