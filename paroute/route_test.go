package paroute

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"A.example:8080", "/x/", "short"},
		{"a.example", "/xy/", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"b.example", "//x/", ""},
		{"b.example", "/X/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// In a canary release a new service gets a tenth of a route's requests. Each entry VM handles a few hundred of them, so a
// random choice would now and then miss the share by a third.
func TestSharesAreExactToOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 100), 1, 5).Draw(t, "weights")
		var parts []WeightedService
		var sum float64
		for i, w := range weights {
			parts = append(parts, WeightedService{Service: string(rune('a' + i)), Weight: w})
			sum += w
		}
		var s Splitter
		count := map[string]int{}
		for n := 1; n <= 300; n++ {
			count[s.Next(parts)]++
			for _, p := range parts {
				if diff := math.Abs(float64(count[p.Service]) - p.Weight/sum*float64(n)); diff > float64(len(parts)) {
					t.Fatalf("after %d requests service %s is off its share by %v requests", n, p.Service, diff)
				}
			}
		}
	})
}

func TestNextIsEmptyWithoutWeights(t *testing.T) {
	var s Splitter
	if got := s.Next([]WeightedService{{Service: "a"}, {Service: "b"}}); got != "" {
		t.Errorf("service %q, want none as no weight is positive", got)
	}
}

func TestAllowedRegions(t *testing.T) {
	if !AllowsRegion([]string{"north"}, "north") || AllowsRegion([]string{"north"}, "south") || !AllowsRegion(nil, "south") {
		t.Error("AllowsRegion gives a wrong result")
	}
}

// A key listed in two workspaces would attribute the requests of one to the other.
func TestCheckRefusesKeysAndLimitsThatCannotBe(t *testing.T) {
	zero := Config{Version: 1}
	for name, all := range map[string][]Workspace{
		"shared":   {{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}},
		"empty":    {{Name: "a", Keys: []string{""}}},
		"blank":    {{Name: "a", Keys: []string{"a b"}}},
		"negative": {{Name: "a", Rate: -1}},
		"infinite": {{Name: "a", Rate: 1, Burst: math.Inf(1)}},
		"nan":      {{Name: "a", Rate: math.NaN()}},
		"unnamed":  {{}},
		"line":     {{Name: "a\r\nb"}},
	} {
		c := zero
		c.Workspaces = all
		got := Check(&c)
		if len(got) != 1 {
			t.Errorf("%s: faults %q, want one", name, got)
		}
	}
	c := zero
	c.Workspaces = []Workspace{{Name: "a", Keys: []string{"k1", "k2"}, Rate: 3, AllowedRegions: []string{"n", "x"}}}
	if got := Check(&c); len(got) != 0 {
		t.Errorf("faults in a valid configuration: %q", got)
	}
	if got := CheckRegions(c.Workspaces, map[string]string{"z": "n"}); len(got) != 1 {
		t.Errorf("faults for one unknown region: %q, want one", got)
	}
}

// A key that moves to another workspace or is removed must do so exactly with the configuration version that changes it.
func TestKeysBelongToTheirVersion(t *testing.T) {
	before := NewTable(&Config{Workspaces: []Workspace{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}}})
	after := NewTable(&Config{Workspaces: []Workspace{{Name: "a", Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k2"}}}})
	name := func(t *Table, key string) string {
		if w := t.WorkspaceByKey(key); w != nil {
			return w.Name
		}
		return ""
	}
	if name(before, "k2") != "a" || name(after, "k2") != "b" || name(after, "k3") != "" || name(before, "") != "" {
		t.Error("a table finds keys of another configuration version")
	}
}

// If Check reported only the first fault, an operator would need a run for each fault in a configuration.
func TestCheckNamesEveryFault(t *testing.T) {
	c := &Config{
		Routes: []Route{
			{Name: "a", Prefix: "x/", Timeout: time.Second, TargetLatency: 2 * time.Second, Parts: []WeightedService{{Service: "none", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/x/", Parts: []WeightedService{{Service: "s"}}},
			{Name: "c", Host: "H", Prefix: "/x/", Timeout: time.Second, Parts: []WeightedService{{Service: "s", Weight: 1}}},
		},
		Services: map[string]Service{"s": {WarmUp: time.Second}},
	}
	if got := Check(c); len(got) != 9 {
		t.Errorf("%d faults, want 9: %q", len(got), got)
	}
	good := &Config{Version: 1, Routes: c.Routes[2:], Services: map[string]Service{"s": {}}}
	if got := Check(good); len(got) != 0 {
		t.Errorf("faults in a valid configuration: %q", got)
	}
}
