package paheader

import "testing"

// A figure that is missing or nonsense must neither count as a load nor as slowness.
func TestParseLoad(t *testing.T) {
	for v, want := range map[string]Load{
		"":                  {},
		"3":                 {},
		"3,x,8":             {},
		"-1,0,8":            {},
		"3,2,8":             {Known: true, Running: 3, Waiting: 2},
		" 3, 2, 8":          {Known: true, Running: 3, Waiting: 2},
		"3,2,8,100":         {Known: true, Running: 3, Waiting: 2, Slowness: 1},
		"3,2,8,250":         {Known: true, Running: 3, Waiting: 2, Slowness: 2.5},
		"3,2,8,0":           {Known: true, Running: 3, Waiting: 2},
		"3,2,8,-40":         {Known: true, Running: 3, Waiting: 2},
		"3,2,8,NaN":         {Known: true, Running: 3, Waiting: 2},
		"3,2,8,1e9":         {Known: true, Running: 3, Waiting: 2},
		"3,2,8,fast":        {Known: true, Running: 3, Waiting: 2},
		"3,2,8,250,further": {Known: true, Running: 3, Waiting: 2, Slowness: 2.5},
	} {
		if got := ParseLoad(v); got != want {
			t.Errorf("ParseLoad(%q) = %+v, want %+v", v, got, want)
		}
	}
}
