package pagate

import "testing"

// A figure that is missing or nonsense must neither count as a load nor as slowness.
func TestParseLoad(t *testing.T) {
	for v, want := range map[string]reportedLoad{
		"":                  {},
		"3":                 {},
		"3,x,8":             {},
		"-1,0,8":            {},
		"3,2,8":             {known: true, running: 3, waiting: 2},
		" 3, 2, 8":          {known: true, running: 3, waiting: 2},
		"3,2,8,100":         {known: true, running: 3, waiting: 2, slowness: 1},
		"3,2,8,250":         {known: true, running: 3, waiting: 2, slowness: 2.5},
		"3,2,8,0":           {known: true, running: 3, waiting: 2},
		"3,2,8,-40":         {known: true, running: 3, waiting: 2},
		"3,2,8,NaN":         {known: true, running: 3, waiting: 2},
		"3,2,8,1e9":         {known: true, running: 3, waiting: 2},
		"3,2,8,fast":        {known: true, running: 3, waiting: 2},
		"3,2,8,250,further": {known: true, running: 3, waiting: 2, slowness: 2.5},
	} {
		if got := parseLoad(v); got != want {
			t.Errorf("parseLoad(%q) = %+v, want %+v", v, got, want)
		}
	}
}
