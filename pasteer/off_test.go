package pasteer

import "testing"

// Guards against misspelt names that are ignored, which would make a mechanism seem to have no effect.
func TestParseOffRejectsUnknownNames(t *testing.T) {
	o, err := ParseOff("Notes, ShiftBound")
	if err != nil || o != (Off{Notes: true, ShiftBound: true}) {
		t.Errorf("parsed as %+v, %v", o, err)
	}
	if _, err := ParseOff("Notes,Shiftbound"); err == nil {
		t.Error("an unknown name was accepted")
	}
	if o, err := ParseOff(""); err != nil || o != (Off{}) {
		t.Errorf("empty list parsed as %+v, %v", o, err)
	}
	for _, name := range Mechanisms() {
		if _, err := ParseOff(name); err != nil {
			t.Error(err)
		}
	}
}
